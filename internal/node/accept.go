package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// maxAcceptBatch is how many jobs one transaction accepts: each takes two
	// conditions' worth of entries and two writes of the platform's 100.
	maxAcceptBatch = 30
	// maxAcceptBytes bounds the rows of one transaction, under the platform's
	// 1 MB for the whole call in base64.
	maxAcceptBytes = 500 << 10
	// acceptQueueLength is how many jobs may wait for a transaction.
	acceptQueueLength = 256
	// acceptTimeout bounds one transaction.
	acceptTimeout = 900 * time.Millisecond
	// refuseAfter is how long a submission that the store refuses is tried. It
	// is a small part of a caller's patience.
	refuseAfter = 250 * time.Millisecond
	// acceptRetryDelay is the pause after a refused transaction.
	acceptRetryDelay = 60 * time.Millisecond
)

// submitOutcome is what became of a submission.
type submitOutcome int

const (
	// submitStored submissions are stored, now or by an earlier request.
	submitStored submitOutcome = iota
	// submitNotStored submissions are certainly not stored.
	submitNotStored
	// submitUnknown submissions may be stored, or may still be.
	submitUnknown
)

// submission is a job that waits to be stored.
type submission struct {
	job  *workload.Job
	rows [2]platform.RowWrite
	size int
	// deadline is when the caller's patience ends.
	deadline time.Time
	// submittedAt is when the caller asked.
	submittedAt time.Time
	// outcomeUnknown says that an earlier try may still succeed.
	outcomeUnknown bool
	outcome        chan submitOutcome
}

// acceptor stores submissions: for each part of the jobs many in one
// transaction, one transaction at a time.
type acceptor struct {
	node   *Node
	queues [jobParts]chan *submission
}

func newAcceptor(n *Node) *acceptor {
	a := &acceptor{node: n}
	for i := range a.queues {
		a.queues[i] = make(chan *submission, acceptQueueLength)
	}
	return a
}

// submit stores a job. It returns by the deadline, and at once while the table
// service is known to be away.
func (a *acceptor) submit(ctx context.Context, job *workload.Job, deadline time.Time) submitOutcome {
	s, err := newSubmission(job, deadline)
	if err != nil {
		return submitNotStored
	}
	if a.node.reachability.unreachable() {
		return submitNotStored
	}
	select {
	case a.queues[partOf(job.ID)] <- s:
	default:
		return submitNotStored
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case outcome := <-s.outcome:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	return submitUnknown
}

func newSubmission(job *workload.Job, deadline time.Time) (*submission, error) {
	s := &submission{job: job, deadline: deadline, submittedAt: time.Now(), outcome: make(chan submitOutcome, 1)}
	spec, err := job.Encode()
	if err != nil {
		return nil, err
	}
	progress := workload.Progress{Queue: job.Queue, State: workload.Queued}
	record, err := progress.Encode()
	if err != nil {
		return nil, err
	}
	s.rows = [2]platform.RowWrite{
		{RowKey: jobRow(jobTable, job.ID, ""), Value: spec},
		{RowKey: jobRow(progressTable, job.ID, ""), Value: record},
	}
	s.size = len(spec) + len(record)
	return s, nil
}

// run stores what is submitted until ctx ends.
func (a *acceptor) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, queue := range a.queues {
		group.Go(func() error { return a.runPart(ctx, queue) })
	}
	return group.Wait()
}

func (a *acceptor) runPart(ctx context.Context, queue chan *submission) error {
	var batch []*submission
	for {
		if len(batch) == 0 {
			select {
			case s := <-queue:
				batch = append(batch, s)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		batch = fillBatch(batch, queue)
		batch = a.store(ctx, batch)
	}
}

// fillBatch adds what waits, as far as it fits.
func fillBatch(batch []*submission, queue chan *submission) []*submission {
	size := 0
	for _, s := range batch {
		size += s.size
	}
	for len(batch) < maxAcceptBatch && size < maxAcceptBytes {
		select {
		case s := <-queue:
			batch = append(batch, s)
			size += s.size
		default:
			return batch
		}
	}
	return batch
}

// store tries one transaction and returns what is to be tried again.
func (a *acceptor) store(ctx context.Context, batch []*submission) []*submission {
	batch = dropExpired(batch)
	if len(batch) == 0 {
		return nil
	}
	var txn platform.RowTxn
	included := map[string]bool{}
	for _, s := range batch {
		if included[s.job.ID] {
			continue // the same request twice at once
		}
		included[s.job.ID] = true
		txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: s.rows[0].RowKey, Version: platform.NoVersion})
		txn.Writes = append(txn.Writes, s.rows[:]...)
	}
	callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	stamp, err := a.node.Rows.CommitRows(callCtx, txn)
	a.node.reachability.observe(err)
	a.node.Clock.ObserveStore(stamp, a.node.Clock.Now())
	var conflict *platform.RowConflict
	switch {
	case err == nil:
		answerAll(batch, submitStored)
		return nil
	case errors.As(err, &conflict):
		return resolveConflict(batch, conflict)
	case errors.Is(err, platform.ErrUnavailable):
		// Nothing was done. What was never tried without an answer is refused
		// soon, so that its caller may come back when the store does.
		return a.retryLater(ctx, refuseNotStored(batch))
	}
	for _, s := range batch {
		s.outcomeUnknown = true
	}
	return a.retryLater(ctx, batch)
}

// retryLater returns what is to be tried again after a pause: nothing while the
// service is away. Another process may reach it, and the callers' next tries go
// to others, under the same ids.
func (a *acceptor) retryLater(ctx context.Context, batch []*submission) []*submission {
	if a.node.reachability.unreachable() {
		answerAll(batch, submitUnknown)
		return nil
	}
	if len(batch) > 0 {
		timer := time.NewTimer(acceptRetryDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return batch
}

// resolveConflict answers those that are stored already and returns the others.
func resolveConflict(batch []*submission, conflict *platform.RowConflict) []*submission {
	var rest []*submission
	for _, s := range batch {
		if conflict.Row(s.rows[0].RowKey).Version != platform.NoVersion {
			s.outcome <- submitStored
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// refuseNotStored refuses those that are certainly not stored and were tried for
// a while, and returns the others. A short overload of the store passes in that
// time, and what waits then goes into fewer transactions.
func refuseNotStored(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if !s.outcomeUnknown && time.Since(s.submittedAt) > refuseAfter {
			s.outcome <- submitNotStored
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// dropExpired answers those whose callers no longer wait.
func dropExpired(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if time.Now().Before(s.deadline) {
			rest = append(rest, s)
			continue
		}
		s.outcome <- submitUnknown
	}
	return rest
}

func answerAll(batch []*submission, outcome submitOutcome) {
	for _, s := range batch {
		s.outcome <- outcome
	}
}
