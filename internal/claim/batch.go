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

// errTableDown marks a claim that was not made since the table service cannot
// be reached.
var errTableDown = errors.New("the table service cannot be reached")

// idlePeriod is how often Run looks at what waits for the table when no
// request comes.
const idlePeriod = time.Second

// stopRounds bounds the batches that are written after Run's context ended.
const stopRounds = 2 * queueSize / DefaultBatchSize

// stopTimeout bounds the last transactions after Run's context ended.
const stopTimeout = 2 * time.Second

// Run commits batches until ctx ends, then writes what is finished and returns.
func (m *Manager) Run(ctx context.Context) error {
	idle := time.NewTicker(idlePeriod)
	defer idle.Stop()
	sweep := time.NewTicker(m.opts.SweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case s := <-m.queue:
			m.commit(ctx, m.collect(ctx, s))
		case <-m.again():
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

// again returns a channel that is ready when steps that wait behind another of
// their key are due, or nil if there are none. While the table is away they
// wait for the idle period.
func (m *Manager) again() <-chan time.Time {
	if len(m.deferred) == 0 || !m.answering {
		return nil
	}
	return time.After(m.opts.BatchPeriod)
}

// stop refuses the claims that wait and writes what is finished.
func (m *Manager) stop(ctx context.Context) error {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for range stopRounds {
		batch := m.drain(nil)
		if len(batch) == 0 || last.Err() != nil {
			break
		}
		var finishing []*step
		for _, s := range batch {
			if s.claims {
				s.attempt.settle(unavailable(errTableDown))
			} else {
				finishing = append(finishing, s)
			}
		}
		m.commit(last, finishing)
	}
	return ctx.Err()
}

// collect returns the next batch: at once if the last transaction began more
// than BatchPeriod ago, else when it is full or the period is over.
func (m *Manager) collect(ctx context.Context, first *step) []*step {
	wait := time.NewTimer(m.opts.BatchPeriod - time.Since(m.committedAt))
	defer wait.Stop()
	batch := m.drain(first)
	for len(batch) > 0 && len(batch) < m.opts.BatchSize {
		select {
		case s := <-m.queue:
			batch = m.add(batch, s)
		case <-wait.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// drain returns a batch of the deferred steps, first, and what waits.
func (m *Manager) drain(first *step) []*step {
	deferred := m.deferred
	m.deferred = nil
	var batch []*step
	for _, s := range deferred {
		batch = m.add(batch, s)
	}
	if first != nil {
		batch = m.add(batch, first)
	}
	for len(batch) < m.opts.BatchSize {
		select {
		case s := <-m.queue:
			batch = m.add(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// add adds a step to the batch, or defers it if the batch is full or has a
// step for the same key: a transaction has one condition for each row.
func (m *Manager) add(batch []*step, s *step) []*step {
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
func (m *Manager) commit(ctx context.Context, batch []*step) {
	for round := 0; len(batch) > 0; round++ {
		batch = m.current(batch)
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
			m.postpone(batch, err)
			return
		}
	}
}

// current returns the steps that still have something to do: the requests of
// some may have been refused, the rows of others may never have been written.
func (m *Manager) current(batch []*step) []*step {
	kept := batch[:0]
	for _, s := range batch {
		switch {
		case s.claims && s.attempt.isRefused():
			m.watchIfOutcomeUnknown(s.attempt)
		case !s.claims && s.attempt.version == platform.NoVersion && !s.attempt.outcomeUnknown:
		default:
			kept = append(kept, s)
		}
	}
	return kept
}

// commitOnce sends the batch as one transaction.
func (m *Manager) commitOnce(ctx context.Context, batch []*step) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TableTimeout)
	defer cancel()
	var txn platform.Txn
	for _, s := range batch {
		txn.Conditions = append(txn.Conditions, s.condition())
		txn.Writes = append(txn.Writes, s.write())
	}
	m.committedAt = time.Now()
	version, err := m.opts.Table.Commit(ctx, txn)
	count(err)
	m.answering = err == nil || errors.Is(err, platform.ErrConflict)
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
func (m *Manager) settle(s *step, err error) {
	switch {
	case !s.claims:
		if s.final == nil {
			m.watchIfOutcomeUnknown(s.attempt)
		}
	case err != nil:
		s.attempt.settle(refuse(statusUnreadable, outcome.NotRun, "claim-unreadable", err))
	case !s.attempt.settle(&Claim{Verdict: Forward, attempt: s.attempt}) && s.attempt.isRefused():
		// The request was refused as not run in the meantime.
		m.deferred = append(m.deferred, &step{attempt: s.attempt})
	}
}

// postpone ends a batch that the table did not settle: claims are refused,
// finishing steps wait.
func (m *Manager) postpone(batch []*step, err error) {
	for _, s := range batch {
		if !s.claims {
			m.deferred = append(m.deferred, s)
			continue
		}
		event.ClaimOutcomeUnknown.Log(m.opts.Log, zap.String("row", s.attempt.key), zap.Error(err))
		s.attempt.settle(unavailable(errTableDown))
		m.watchIfOutcomeUnknown(s.attempt)
	}
}
