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

// errTableUnreachable is the cause of a refusal because the table service cannot
// be reached.
var errTableUnreachable = errors.New("the table service cannot be reached")

// idleInterval is how often Run retries deferred updates and checks watched
// attempts while no request arrives.
const idleInterval = time.Second

// maxStopBatches is the most batches that are written after Run's context has
// ended.
const maxStopBatches = 2 * queueSize / DefaultBatchSize

// stopTimeout is the time limit for all of those batches together.
const stopTimeout = 2 * time.Second

// Run commits batches until ctx ends. Then it refuses the claims that still
// wait, writes the finished ones and returns the error of ctx.
func (m *Manager) Run(ctx context.Context) error {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	sweep := time.NewTicker(m.opts.SweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case u := <-m.queue:
			m.commit(ctx, m.collect(ctx, u))
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

// deferredDue returns a channel that is ready when the deferred updates are due,
// or nil if there are none. While the table is unreachable they wait for the
// idle interval.
func (m *Manager) deferredDue() <-chan time.Time {
	if len(m.deferred) == 0 || !m.tableReachable {
		return nil
	}
	return time.After(m.opts.BatchPeriod)
}

// stop refuses the claims that still wait and writes the finished ones.
func (m *Manager) stop(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for range maxStopBatches {
		batch := m.takeQueued(nil)
		if len(batch) == 0 || stopCtx.Err() != nil {
			break
		}
		var finishing []*rowUpdate
		for _, u := range batch {
			if u.isClaim {
				u.attempt.settle(unavailable(errTableUnreachable))
			} else {
				finishing = append(finishing, u)
			}
		}
		m.commit(stopCtx, finishing)
	}
	return ctx.Err()
}

// collect returns the next batch: at once if the last transaction began at least
// BatchPeriod ago, otherwise when the batch is full or the period is over.
func (m *Manager) collect(ctx context.Context, first *rowUpdate) []*rowUpdate {
	wait := time.NewTimer(m.opts.BatchPeriod - time.Since(m.committedAt))
	defer wait.Stop()
	batch := m.takeQueued(first)
	for len(batch) > 0 && len(batch) < m.opts.BatchSize {
		select {
		case u := <-m.queue:
			batch = m.addToBatch(batch, u)
		case <-wait.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// takeQueued returns a batch of the deferred updates, then first unless it is
// nil, then those in the queue. It doesn't wait.
func (m *Manager) takeQueued(first *rowUpdate) []*rowUpdate {
	deferred := m.deferred
	m.deferred = nil
	var batch []*rowUpdate
	for _, u := range deferred {
		batch = m.addToBatch(batch, u)
	}
	if first != nil {
		batch = m.addToBatch(batch, first)
	}
	for len(batch) < m.opts.BatchSize {
		select {
		case u := <-m.queue:
			batch = m.addToBatch(batch, u)
		default:
			return batch
		}
	}
	return batch
}

// addToBatch adds an update to the batch, or defers it if the batch is full or
// has an update of the same key: a transaction has one condition for each row.
func (m *Manager) addToBatch(batch []*rowUpdate, u *rowUpdate) []*rowUpdate {
	if len(batch) >= m.opts.BatchSize {
		m.deferred = append(m.deferred, u)
		return batch
	}
	for _, other := range batch {
		if other.attempt.key == u.attempt.key {
			m.deferred = append(m.deferred, u)
			return batch
		}
	}
	return append(batch, u)
}

// commit settles every update of the batch. If the table doesn't settle them, it
// refuses those that claim a key and defers those that finish an attempt.
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

// dropObsolete returns the updates that are still needed. A claim is not once
// its request was refused, nor is a finishing update whose row was never written.
func (m *Manager) dropObsolete(batch []*rowUpdate) []*rowUpdate {
	kept := batch[:0]
	for _, u := range batch {
		switch {
		case u.isClaim && u.attempt.isRefused():
			m.watchIfOutcomeUnknown(u.attempt)
		case !u.isClaim && u.attempt.version == platform.NoVersion && !u.attempt.outcomeUnknown:
		default:
			kept = append(kept, u)
		}
	}
	return kept
}

// commitOnce commits the batch as one transaction.
func (m *Manager) commitOnce(ctx context.Context, batch []*rowUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TableTimeout)
	defer cancel()
	var txn platform.Txn
	for _, u := range batch {
		txn.Conditions = append(txn.Conditions, u.condition())
		txn.Writes = append(txn.Writes, u.write())
	}
	m.committedAt = time.Now()
	version, err := m.opts.Table.Commit(ctx, txn)
	countCommit(err)
	m.tableReachable = err == nil || errors.Is(err, platform.ErrConflict)
	switch {
	case err == nil:
		for _, u := range batch {
			u.committed(version)
			m.settle(u, nil)
		}
	case !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable):
		for _, u := range batch {
			u.attempt.outcomeUnknown = true
		}
	}
	return err
}

// settle completes an update and passes the result to the waiting request.
func (m *Manager) settle(u *rowUpdate, err error) {
	switch {
	case !u.isClaim:
		if u.final == nil {
			m.watchIfOutcomeUnknown(u.attempt)
		}
	case err != nil:
		u.attempt.settle(refuse(statusUnreadable, outcome.NotRun, "claim-unreadable", err))
	case !u.attempt.settle(&Claim{Verdict: Forward, attempt: u.attempt}) && u.attempt.isRefused():
		// The request was refused as not run in the meantime: release the key.
		m.deferred = append(m.deferred, &rowUpdate{attempt: u.attempt})
	}
}

// deferOrRefuse ends a batch that the table did not settle: claims are refused,
// finishing updates are deferred.
func (m *Manager) deferOrRefuse(batch []*rowUpdate, err error) {
	for _, u := range batch {
		if !u.isClaim {
			m.deferred = append(m.deferred, u)
			continue
		}
		event.ClaimOutcomeUnknown.Log(m.opts.Log, zap.String("row", u.attempt.key), zap.Error(err))
		u.attempt.settle(unavailable(errTableUnreachable))
		m.watchIfOutcomeUnknown(u.attempt)
	}
}
