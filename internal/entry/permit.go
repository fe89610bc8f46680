package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/routing"
)

const (
	// registerBackoff is the pause after a failed registration.
	registerBackoff = 500 * time.Millisecond
	// confirmInterval is the time between two looks at the registration.
	confirmInterval = 5 * time.Second
	// tableTimeout bounds the calls to the table of one look.
	tableTimeout = 4 * time.Second
)

// tick shows the registration that the process runs, and lets trials of hosts
// that were set aside fall due.
func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(routing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.exec.Do(ctx, func() { e.tickPools(now) })
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) tickPools(now time.Time) {
	e.registration.Tick(e.elapsed())
	for _, p := range e.pools {
		p.tracker.Tick(now)
		p.limitGate()
		e.logSourceChange(p)
	}
	e.warmUp()
	if _, pending := e.registration.Pending(e.elapsed()); pending {
		e.requestConfirm()
	}
}

// logSourceChange logs when a pool comes to be routed on its last assignment, and when
// a right that was lost is there again.
func (e *Entry) logSourceChange(p *pool) {
	source := p.permit.Source(e.elapsed())
	if source == p.source {
		return
	}
	switch {
	case source == permit.SourceStatic:
		event.PermitStatic.Log(e.log, zap.String("pool", p.name))
	case source == permit.SourceOwner && p.everGranted:
		event.PermitRegained.Log(e.log, zap.String("pool", p.name), zap.Stringer("from", p.source))
	}
	p.everGranted = p.everGranted || source != permit.SourceNone
	p.source = source
}

// requestConfirm asks for a look at the registration now.
func (e *Entry) requestConfirm() {
	select {
	case e.wakeConfirm <- struct{}{}:
	default:
	}
}

// maintainRegistration registers the entry and looks after its registration until
// ctx ends. The registration comes before the first assignment is used: every
// move that commits its drain later waits for this entry, and one that
// committed it earlier is seen in the assignment.
func (e *Entry) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		wait := confirmInterval
		if err := e.confirm(ctx); err != nil {
			e.log.Debug("registration not confirmed", zap.Error(err))
			_ = ctxtime.Sleep(ctx, registerBackoff)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-e.wakeConfirm:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// confirm registers the entry if its row has to be written, and else looks
// whether the row is there.
func (e *Entry) confirm(ctx context.Context) error {
	e.rowLock <- struct{}{}
	defer func() { <-e.rowLock }()
	if e.deregistered {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row := e.row
	renewal, pending := e.registration.Pending(e.elapsed())
	row.Renewal = renewal
	if pending {
		return e.registerRow(ctx, row)
	}
	found, err := permit.Confirm(ctx, e.platform.Table, row, e.poolNames(ctx))
	if err != nil {
		return err
	}
	e.registration.Confirmed(e.elapsed(), found)
	return e.findOwners(ctx)
}

// registerRow writes the entry's row.
func (e *Entry) registerRow(ctx context.Context, row membership.EntryRow) error {
	if row.Renewal > 0 {
		event.PermitLapsed.Log(e.log, zap.Uint64("renewal", row.Renewal))
	}
	if err := e.registry.Register(ctx, row); err != nil {
		return err
	}
	e.registration.Registered(e.elapsed(), row.Renewal)
	return nil
}

// poolNames returns the names of all pools.
func (e *Entry) poolNames(ctx context.Context) []string {
	var names []string
	e.exec.Do(ctx, func() {
		for name := range e.pools {
			names = append(names, name)
		}
	})
	return names
}
