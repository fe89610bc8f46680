package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// store attempts one transaction and returns the submissions to retry.
func (a *acceptor) store(ctx context.Context, batch []*submission) []*submission {
	batch = a.dropAbandoned(batch)
	if len(batch) == 0 {
		return nil
	}
	part := partOf(batch[0].job.ID)
	var held []*submission
	if unresponsive := a.node.storeHealth.unresponsive(partName(part)); unresponsive || !a.node.storeHealth.recent(partName(part)) {
		unknown, others := splitUnknown(batch)
		switch {
		case unresponsive && len(unknown) == 0:
			_ = ctxtime.Sleep(ctx, holdInterval) // the loop of the part sees the end of ctx
			return others
		case unresponsive:
			select {
			case a.resolving <- struct{}{}:
				defer func() { <-a.resolving }()
			default:
				_ = ctxtime.Sleep(ctx, holdInterval)
				return batch
			}
			batch, held = unknown, others
		case len(unknown) > 0:
			batch, held = unknown, others // their answer is that of a probe
		case !a.node.confirmPart(ctx, part):
			_ = ctxtime.Sleep(ctx, holdInterval)
			if a.node.storeHealth.unresponsive(partName(part)) {
				return batch // the service may be slow only
			}
			return a.refuseNotStored(batch)
		}
	}
	txn := platform.RowTxn{
		Conditions: make([]platform.RowCondition, 0, 2*len(batch)), Writes: make([]platform.RowWrite, 0, 2*len(batch)),
	}
	sent := batch[:0]
	for _, s := range batch {
		if s.abandoned() || !s.open() {
			held = append(held, s) // dropped with the next batch
			continue
		}
		sent = append(sent, s)
		if slices.ContainsFunc(sent[:len(sent)-1], func(o *submission) bool { return o.job.ID == s.job.ID }) {
			continue // the same job was submitted twice concurrently
		}
		txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: s.rows[0].RowKey, Version: platform.NoVersion})
		for _, key := range s.cancelRows() {
			txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: key, Version: platform.NoVersion})
		}
		txn.Writes = append(txn.Writes, s.rows[:]...)
	}
	if len(sent) == 0 {
		return held
	}
	return append(held, a.attempt(ctx, partName(part), txn, sent)...) // the others have their turn
}

// splitUnknown returns up to maxResolving submissions with unknown outcome, and the
// others.
func splitUnknown(batch []*submission) (unknown, others []*submission) {
	for _, s := range batch {
		if s.outcomeUnknown && len(unknown) < maxResolving {
			unknown = append(unknown, s)
		} else {
			others = append(others, s)
		}
	}
	return unknown, others
}

// attempt commits the transaction of a batch once, and returns the submissions to
// retry after a delay.
func (a *acceptor) attempt(ctx context.Context, part string, txn platform.RowTxn, batch []*submission) []*submission {
	stamp, err := a.commit(ctx, part, txn)
	a.node.reachability.observe(err)
	a.node.Clock.ObserveStore(stamp, a.node.Clock.Now())
	var conflict *platform.RowConflict
	switch {
	case err == nil:
		for _, s := range batch {
			a.finish(s, submitStored)
		}
		return nil
	case errors.As(err, &conflict):
		return a.resolveConflict(batch, conflict)
	case errors.Is(err, platform.ErrUnavailable):
		// The service refused the call, or no connection to it could be set up:
		// nothing was written, and nothing will be.
		for _, s := range batch {
			s.ended()
		}
		batch = a.refuseNotStored(batch)
	default:
		for _, s := range batch {
			a.unresolved(s, err)
		}
	}
	delay := acceptRetryDelay
	if a.node.storeHealth.unresponsive(part) {
		delay = probeInterval
	}
	if len(batch) > 0 {
		_ = ctxtime.Sleep(ctx, delay)
	}
	return batch
}

// commit commits a transaction. It gives up at the first tick after acceptTimeout if the service has
// answered a later call to the part.
func (a *acceptor) commit(ctx context.Context, part string, txn platform.RowTxn) (platform.Stamp, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptTimeout)
	defer cancel()
	call := a.node.storeHealth.begin(ctx, part, 0, cancel)
	stamp, err := a.node.Rows.CommitRows(ctx, txn)
	call.end(err)
	return stamp, err
}

// resolveConflict reports the jobs that are already stored and those that were
// cancelled before, and returns the other submissions.
func (a *acceptor) resolveConflict(batch []*submission, conflict *platform.RowConflict) []*submission {
	var rest []*submission
	for _, s := range batch {
		existing := conflict.Row(s.rows[0].RowKey)
		switch {
		case existing.Version != platform.NoVersion:
			s.existing = &existing
			a.finish(s, submitStored)
		case slices.ContainsFunc(s.cancelRows(), func(k platform.RowKey) bool { return conflict.Row(k).Version != platform.NoVersion }):
			a.finish(s, submitCancelled)
		default:
			s.ended()
			rest = append(rest, s)
		}
	}
	return rest
}

// refuseNotStored refuses the submissions that are certainly not stored and
// have been retried for refuseAfter, or all of them while the table service is
// unreachable, and returns the others. A short overload of the store ends within
// that time, and the submissions that wait meanwhile share fewer transactions.
// Another process may reach the service, and the callers' retries, under the same
// job ids, go to other processes.
func (a *acceptor) refuseNotStored(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if (a.node.reachability.unreachable() || time.Since(s.submittedAt) > refuseAfter) && s.bar() {
			a.node.metrics.refused.Add("table service refuses", 1)
			a.finish(s, submitNotStored)
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// dropAbandoned ends the submissions whose callers were answered, have left or are
// past their deadline, and returns the others. A caller without an answer submits
// the job again or cancels it.
func (a *acceptor) dropAbandoned(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if s.abandoned() {
			if !s.bar() {
				a.finish(s, submitUnknown)
			}
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// abandoned reports whether nobody waits for the outcome any more.
func (s *submission) abandoned() bool {
	if s.attempts.Load() == int32(attemptBarred) {
		return true
	}
	select {
	case <-s.callerGone:
		return true
	default:
		return !time.Now().Before(s.deadline)
	}
}

// unresolved records an attempt of unknown outcome.
func (a *acceptor) unresolved(s *submission, err error) {
	if s.outcomeUnknown {
		return
	}
	s.outcomeUnknown = true
	a.node.metrics.unresolved.Add(1)
	event.SubmissionUnresolved.Log(a.node.Log, zap.String("job", s.job.ID), zap.String("queue", s.job.Queue),
		zap.Duration("age", time.Since(s.submittedAt)), zap.Error(err))
}

// finish reports the outcome of a submission.
func (a *acceptor) finish(s *submission, outcome submitOutcome) {
	if s.outcomeUnknown {
		a.node.metrics.unresolved.Add(-1)
		event.SubmissionResolved.Log(a.node.Log, zap.String("job", s.job.ID), zap.String("queue", s.job.Queue),
			zap.Stringer("outcome", outcome), zap.Duration("age", time.Since(s.submittedAt)))
	}
	s.outcome <- outcome
}
