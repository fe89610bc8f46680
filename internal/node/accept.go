package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// maxAcceptBatch is the maximum number of jobs stored in one transaction.
	// Each job takes four of the 100 entries that the platform allows: two
	// conditions and two writes. One of a team takes five.
	maxAcceptBatch = 25
	// maxAcceptBytes bounds the rows of one transaction, so that the whole
	// call, encoded in base64, stays below the platform's limit of 1 MB.
	maxAcceptBytes = 500 << 10
	// maxRowBytes is the platform's limit on the value of a row.
	maxRowBytes = 64 << 10
	// acceptQueueLength is the maximum number of jobs of a part that wait for a
	// transaction.
	acceptQueueLength = 256
	// acceptTimeout bounds one attempt to commit a transaction.
	acceptTimeout = 900 * time.Millisecond
	// refuseAfter is how long a submission is retried while the store is
	// unavailable. It is a small part of a caller's timeout, so that the caller
	// has time to try again.
	refuseAfter = 250 * time.Millisecond
	// acceptRetryDelay is the delay before a failed transaction is retried.
	acceptRetryDelay = 60 * time.Millisecond
)

// submitOutcome is the result of submitting a job.
type submitOutcome int

const (
	// submitStored means that the job is stored, by this or an earlier request.
	submitStored submitOutcome = iota
	// submitNotStored means that the job is certainly not stored.
	submitNotStored
	// submitUnknown means that the job may be stored, or may be stored later by
	// a transaction whose outcome is unknown.
	submitUnknown
	// submitTooLarge means that no row can hold the job.
	submitTooLarge
	// submitCancelled means that the job was cancelled before it was stored. It is
	// not stored and never will be.
	submitCancelled
)

// submission is a job that waits to be stored.
type submission struct {
	job  *workload.Job
	rows [2]platform.RowWrite
	size int
	// deadline is when the caller stops waiting. callerGone is closed earlier if
	// it leaves.
	deadline   time.Time
	callerGone <-chan struct{}
	// submittedAt is when the job was submitted.
	submittedAt time.Time
	// outcomeUnknown is set after an attempt that returned no usable answer and
	// may still be applied.
	outcomeUnknown bool
	// existing is the row of the job if an earlier attempt or request had stored it,
	// nil otherwise. It is set before the outcome is sent.
	existing *platform.PartRow
	outcome  chan submitOutcome
}

// acceptor stores submitted jobs. It batches the jobs of each part and commits
// one transaction per part at a time.
type acceptor struct {
	node   *Node
	queues [jobParts]chan *submission
}

// newAcceptor returns an acceptor that stores nothing until run.
func newAcceptor(n *Node) *acceptor {
	a := &acceptor{node: n}
	for i := range a.queues {
		a.queues[i] = make(chan *submission, acceptQueueLength)
	}
	return a
}

// submit stores a job and returns the outcome, by the deadline at the latest.
// It returns submitNotStored at once while the table service is unreachable, if
// the queue of the job's part is full or if ctx has ended.
func (a *acceptor) submit(ctx context.Context, job *workload.Job, deadline time.Time) submitOutcome {
	outcome, _ := a.submitChecked(ctx, job, deadline)
	return outcome
}

// await queues a submission and returns its outcome.
func (a *acceptor) await(ctx context.Context, s *submission) submitOutcome {
	s.callerGone = ctx.Done()
	if len(s.rows[0].Value) > maxRowBytes {
		return submitTooLarge // its transaction would fail, with the other jobs in it
	}
	if a.node.reachability.unreachable() || ctx.Err() != nil {
		return submitNotStored
	}
	select {
	case a.queues[partOf(s.job.ID)] <- s:
	default:
		return submitNotStored
	}
	timer := time.NewTimer(time.Until(s.deadline))
	defer timer.Stop()
	select {
	case outcome := <-s.outcome:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	return submitUnknown
}

// newSubmission encodes the rows of a job: its specification and its initial
// progress.
func newSubmission(job *workload.Job, deadline time.Time) (*submission, error) {
	s := &submission{job: job, deadline: deadline, submittedAt: time.Now(), outcome: make(chan submitOutcome, 1)}
	spec, err := job.Encode()
	if err != nil {
		return nil, err
	}
	progress := workload.Progress{Queue: job.Queue, Team: job.Team, State: workload.Queued}
	record, err := progress.Encode()
	if err != nil {
		return nil, err
	}
	s.rows = [2]platform.RowWrite{
		{RowKey: jobRow(jobTable, job.ID), Value: spec},
		{RowKey: jobRow(progressTable, job.ID), Value: record},
	}
	s.size = len(spec) + len(record)
	return s, nil
}

// run stores submitted jobs until ctx ends.
func (a *acceptor) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, queue := range a.queues {
		group.Go(func() error { return a.runPart(ctx, queue) })
	}
	return group.Wait()
}

// runPart stores the jobs of one part until ctx ends.
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
		batch = a.storeByTeam(ctx, batch)
	}
}

// fillBatch adds queued submissions to a batch until the batch is full or the
// queue is empty.
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

// store attempts one transaction and returns the submissions to retry.
func (a *acceptor) store(ctx context.Context, batch []*submission) []*submission {
	batch = dropAbandoned(batch)
	if len(batch) == 0 {
		return nil
	}
	var txn platform.RowTxn
	included := map[string]bool{}
	for _, s := range batch {
		if included[s.job.ID] {
			continue // the same job was submitted twice concurrently
		}
		included[s.job.ID] = true
		txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: s.rows[0].RowKey, Version: platform.NoVersion})
		for _, key := range cancelRows(s.job) {
			txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: key, Version: platform.NoVersion})
		}
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
		// Nothing was written. Submissions without an earlier attempt of unknown
		// outcome are refused early, so that their callers can retry once the
		// store is available again.
		return a.retryLater(ctx, refuseNotStored(batch))
	}
	for _, s := range batch {
		s.outcomeUnknown = true
	}
	return a.retryLater(ctx, batch)
}

// retryLater returns the submissions to retry after a delay. While the table
// service is unreachable it returns none and reports their outcome as unknown:
// another process may reach the service, and the callers' retries, under the
// same job ids, go to other processes.
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

// resolveConflict reports the jobs that are already stored and those that were
// cancelled before, and returns the other submissions.
func resolveConflict(batch []*submission, conflict *platform.RowConflict) []*submission {
	var rest []*submission
	for _, s := range batch {
		existing := conflict.Row(s.rows[0].RowKey)
		switch {
		case existing.Version != platform.NoVersion:
			s.existing = &existing
			s.outcome <- submitStored
		case slices.ContainsFunc(cancelRows(s.job), func(k platform.RowKey) bool { return conflict.Row(k).Version != platform.NoVersion }):
			s.outcome <- submitCancelled
		default:
			rest = append(rest, s)
		}
	}
	return rest
}

// refuseNotStored refuses the submissions that are certainly not stored and
// have been retried for refuseAfter, and returns the others. A short overload
// of the store ends within that time, and the submissions that wait meanwhile
// share fewer transactions.
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

// dropAbandoned reports an unknown outcome for the submissions whose callers have
// left or are past their deadline, and returns the others. A caller without an
// answer submits the job again or cancels it.
func dropAbandoned(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if s.abandoned() {
			s.outcome <- submitUnknown
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// abandoned reports whether nobody waits for the outcome any more.
func (s *submission) abandoned() bool {
	select {
	case <-s.callerGone:
		return true
	default:
		return !time.Now().Before(s.deadline)
	}
}

// answerAll reports one outcome for all submissions of a batch.
func answerAll(batch []*submission, outcome submitOutcome) {
	for _, s := range batch {
		s.outcome <- outcome
	}
}
