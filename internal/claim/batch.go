package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// errTableUnreachable marks a claim that was not made since the table service cannot
// be reached.
var errTableUnreachable = errors.New("the table service cannot be reached")

// idleInterval is how often Run looks at what waits for the table when no
// request comes.
const idleInterval = time.Second

// maxStopBatches bounds the batches that are written after Run's context ended.
const maxStopBatches = 2 * queueSize / DefaultBatchSize

// stopTimeout bounds the last transactions after Run's context ended.
const stopTimeout = 2 * time.Second

// Run commits batches until ctx ends, then writes what is finished and returns.
func (m *Manager) Run(ctx context.Context) error {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	sweep := time.NewTicker(m.opts.SweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case s := <-m.queue:
			m.commit(ctx, m.collect(ctx, s))
		case <-m.deferredDue():
			m.commit(ctx, m.collect(ctx, nil))
		case <-idle.C:
			m.commit(ctx, m.collect(ctx, nil))
			m.checkWatched(ctx)
		case <-sweep.C:
			m.sweeper.sweep(ctx)
		case <-ctx.Done():
			return m.stop(ctx)
		}
	}
}

// deferredDue returns a channel that is ready when steps that wait behind another of
// their key are due, or nil if there are none. While the table is away they
// wait for the idle period.
func (m *Manager) deferredDue() <-chan time.Time {
	if len(m.deferred) == 0 || !m.tableReachable {
		return nil
	}
	return time.After(m.opts.BatchPeriod)
}

// stop refuses the claims that wait and writes what is finished.
func (m *Manager) stop(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for range maxStopBatches {
		batch := m.takeQueued(nil)
		if len(batch) == 0 || stopCtx.Err() != nil {
			break
		}
		var finishing []*rowUpdate
		for _, s := range batch {
			if s.isClaim {
				s.attempt.settle(unavailable(errTableUnreachable))
			} else {
				finishing = append(finishing, s)
			}
		}
		m.commit(stopCtx, finishing)
	}
	return ctx.Err()
}

// collect returns the next batch: at once if the last transaction began more
// than BatchPeriod ago, else when it is full or the period is over.
func (m *Manager) collect(ctx context.Context, first *rowUpdate) []*rowUpdate {
	wait := time.NewTimer(m.opts.BatchPeriod - time.Since(m.committedAt))
	defer wait.Stop()
	batch := m.takeQueued(first)
	for len(batch) > 0 && len(batch) < m.opts.BatchSize {
		select {
		case s := <-m.queue:
			batch = m.addToBatch(batch, s)
		case <-wait.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// takeQueued returns a batch of the deferred steps, first, and what waits.
func (m *Manager) takeQueued(first *rowUpdate) []*rowUpdate {
	deferred := m.deferred
	m.deferred = nil
	var batch []*rowUpdate
	for _, s := range deferred {
		batch = m.addToBatch(batch, s)
	}
	if first != nil {
		batch = m.addToBatch(batch, first)
	}
	for len(batch) < m.opts.BatchSize {
		select {
		case s := <-m.queue:
			batch = m.addToBatch(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// addToBatch adds a step to the batch, or defers it if the batch is full or has a
// step for the same key: a transaction has one condition for each row.
func (m *Manager) addToBatch(batch []*rowUpdate, s *rowUpdate) []*rowUpdate {
	if len(batch) >= m.opts.BatchSize {
		m.deferred = append(m.deferred, s)
		return batch
	}
	for _, other := range batch {
		if other.attempt.key == s.attempt.key {
			m.deferred = append(m.deferred, s)
			return batch
		}
	}
	return append(batch, s)
}

// commit settles every step of the batch, or defers it if it finishes an
// attempt and the table is down.
func (m *Manager) commit(ctx context.Context, batch []*rowUpdate) {
	for round := 0; len(batch) > 0; round++ {
		batch = m.dropObsolete(batch)
		if len(batch) == 0 {
			return
		}
		err := m.commitOnce(ctx, batch)
		if err == nil {
			return
		}
		if round < maxRounds && !errors.Is(err, platform.ErrUnavailable) {
			batch, err = m.readBack(ctx, batch)
		}
		if err != nil || round >= maxRounds {
			m.deferOrRefuse(batch, err)
			return
		}
	}
}

// dropObsolete returns the steps that still have something to do: the requests of
// some may have been refused, the rows of others may never have been written.
func (m *Manager) dropObsolete(batch []*rowUpdate) []*rowUpdate {
	kept := batch[:0]
	for _, s := range batch {
		switch {
		case s.isClaim && s.attempt.isRefused():
			m.watchIfOutcomeUnknown(s.attempt)
		case !s.isClaim && s.attempt.version == platform.NoVersion && !s.attempt.outcomeUnknown:
		default:
			kept = append(kept, s)
		}
	}
	return kept
}

// commitOnce sends the batch as one transaction.
func (m *Manager) commitOnce(ctx context.Context, batch []*rowUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TableTimeout)
	defer cancel()
	var txn platform.Txn
	for _, s := range batch {
		txn.Conditions = append(txn.Conditions, s.condition())
		txn.Writes = append(txn.Writes, s.write())
	}
	m.committedAt = time.Now()
	version, err := m.opts.Table.Commit(ctx, txn)
	countCommit(err)
	m.tableReachable = err == nil || errors.Is(err, platform.ErrConflict)
	switch {
	case err == nil:
		for _, s := range batch {
			s.committed(version)
			m.settle(s, nil)
		}
	case !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable):
		for _, s := range batch {
			s.attempt.outcomeUnknown = true
		}
	}
	return err
}

// settle ends a step and tells the waiting request.
func (m *Manager) settle(s *rowUpdate, err error) {
	switch {
	case !s.isClaim:
		if s.final == nil {
			m.watchIfOutcomeUnknown(s.attempt)
		}
	case err != nil:
		s.attempt.settle(refuse(statusUnreadable, outcome.NotRun, "claim-unreadable", err))
	case !s.attempt.settle(&Claim{Verdict: Forward, attempt: s.attempt}) && s.attempt.isRefused():
		// The request was refused as not run in the meantime.
		m.deferred = append(m.deferred, &rowUpdate{attempt: s.attempt})
	}
}

// deferOrRefuse ends a batch that the table did not settle: claims are refused,
// finishing steps wait.
func (m *Manager) deferOrRefuse(batch []*rowUpdate, err error) {
	for _, s := range batch {
		if !s.isClaim {
			m.deferred = append(m.deferred, s)
			continue
		}
		event.ClaimUnsettled.Log(m.opts.Log, zap.String("row", s.attempt.key), zap.Error(err))
		s.attempt.settle(unavailable(errTableUnreachable))
		m.watchIfOutcomeUnknown(s.attempt)
	}
}
