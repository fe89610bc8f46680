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
	// registerBackoff is the delay after a failed registration.
	registerBackoff = 500 * time.Millisecond
	// confirmInterval is the time between two checks of the registration.
	confirmInterval = 5 * time.Second
	// tableTimeout bounds the table calls of one check.
	tableTimeout = 4 * time.Second
)

// tick reports to the registration that the process is running, makes trials
// of hosts that were set aside due, and updates the pools, every
// routing.TickInterval.
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

// logSourceChange logs when a pool starts to be routed by its last assignment,
// and when a permit that was lost is regained.
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

// requestConfirm requests a check of the registration now.
func (e *Entry) requestConfirm() {
	select {
	case e.wakeConfirm <- struct{}{}:
	default:
	}
}

// maintainRegistration registers the entry and checks its registration until
// ctx ends. The entry registers before it uses its first assignment: every
// move whose drain commits later waits for this entry, and a drain that
// committed earlier is visible in the assignment.
func (e *Entry) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		wait := confirmInterval
		if err := e.confirm(ctx); err != nil {
			e.log.Debug("checking the registration failed", zap.Error(err))
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

// confirm writes the entry's row if it has to be written, and otherwise checks
// that it exists.
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
