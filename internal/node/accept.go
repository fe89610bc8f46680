package node

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// maxAcceptBatch is the maximum number of jobs stored in one transaction.
	// Each job takes four of the 100 entries that the platform allows: two
	// conditions and two writes; where there are teams, five.
	maxAcceptBatch = 25
	// maxAcceptBytes bounds the rows of one transaction, so that the whole
	// call, encoded in base64, stays below the platform's limit of 1 MB.
	maxAcceptBytes = 500 << 10
	// maxRowBytes is the platform's limit on the value of a row.
	maxRowBytes = 64 << 10
	// acceptQueueLength is the maximum number of jobs of a part that wait for a
	// transaction.
	acceptQueueLength = 256
	// acceptTimeout bounds one attempt to commit a transaction, if the service
	// answers later calls meanwhile: the answer is then lost. It also bounds the
	// commit of a cancellation.
	acceptTimeout = 900 * time.Millisecond
	// maxAcceptTimeout bounds one attempt while the service answers no later call
	// either. On slow days an answer takes longer than acceptTimeout.
	maxAcceptTimeout = 2 * acceptTimeout
	// refuseAfter is how long a submission is retried while the store is
	// unavailable. It is a small part of a caller's timeout, so that the caller
	// has time to try again.
	refuseAfter = 250 * time.Millisecond
	// acceptRetryDelay is the delay before a failed transaction is retried.
	acceptRetryDelay = 60 * time.Millisecond
	// maxResolving is the maximum number of jobs in a transaction to a service that
	// has stopped answering. At most one such transaction is in flight.
	maxResolving = 4
	// holdInterval is how often a part whose transactions are held looks whether the
	// service answers again.
	holdInterval = 20 * time.Millisecond
	// silenceCheckInterval is how often a submission looks whether the service is
	// silent.
	silenceCheckInterval = 100 * time.Millisecond
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

// String returns the outcome's name for logs.
func (o submitOutcome) String() string {
	return [...]string{"stored", "not stored", "unknown", "too large", "cancelled"}[o]
}

// submission is a job that waits to be stored.
type submission struct {
	job  *workload.Job
	rows [2]platform.RowWrite
	size int
	// teams is set if the job is of a deployment with teams, which may have cancelled
	// it before also if it has none.
	teams bool
	// deadline is when the caller stops waiting. callerGone is closed earlier if
	// it leaves.
	deadline   time.Time
	callerGone <-chan struct{}
	// submittedAt is when the job was submitted.
	submittedAt time.Time
	// outcomeUnknown is set after an attempt that returned no usable answer and
	// may still be applied. No answer to a later attempt rules that out, except one
	// that shows the job's row or that of its cancellation. Only the goroutine of
	// the job's part uses it.
	outcomeUnknown bool
	attempts       atomic.Int32 // of attemptState
	// existing is the row of the job if an earlier attempt or request had stored it,
	// nil otherwise. It is set before the outcome is sent.
	existing *platform.PartRow
	outcome  chan submitOutcome
}

// attemptState says whether an attempt to store a submission can still be applied.
// Only a submission without such an attempt is answered that it is not stored.
type attemptState int32

const (
	// attemptNone means that none can: nothing was sent, or the service refused each
	// attempt, or answered that its conditions did not hold, or no connection to it
	// could be set up.
	attemptNone attemptState = iota
	// attemptOpen means that one is in flight or has an unknown outcome.
	attemptOpen
	// attemptBarred means that none can and that none follows.
	attemptBarred
)

// open reports whether the submission may be sent, and records that it is.
func (s *submission) open() bool {
	return s.attempts.CompareAndSwap(int32(attemptNone), int32(attemptOpen)) || s.attempts.Load() == int32(attemptOpen)
}

// ended records that the attempt in flight cannot be applied any more.
func (s *submission) ended() {
	if !s.outcomeUnknown {
		s.attempts.Store(int32(attemptNone))
	}
}

// bar reports whether no attempt can be applied, and ensures that none follows.
func (s *submission) bar() bool {
	return s.attempts.CompareAndSwap(int32(attemptNone), int32(attemptBarred)) || s.attempts.Load() == int32(attemptBarred)
}

// acceptor stores submitted jobs. It batches the jobs of each part and commits
// one transaction per part at a time.
type acceptor struct {
	node   *Node
	queues [jobParts]chan *submission
	// resolving holds a token while a transaction to a service that has stopped
	// answering is in flight.
	resolving chan struct{}
}

// newAcceptor returns an acceptor that stores nothing until run.
func newAcceptor(n *Node) *acceptor {
	a := &acceptor{node: n, resolving: make(chan struct{}, 1)}
	for i := range a.queues {
		a.queues[i] = make(chan *submission, acceptQueueLength)
	}
	return a
}

// submit stores a job and returns the outcome, by the deadline at the latest.
// It returns submitNotStored at once while the table service is unreachable or
// silent, if the queue of the job's part is full or if ctx has ended, and later if
// no attempt can be applied when the service becomes silent, ctx ends or the
// deadline passes.
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
	part := partOf(s.job.ID)
	refused := a.node.metrics.refused
	if a.away(part) || ctx.Err() != nil {
		refused.Add("table service away", 1)
		return submitNotStored
	}
	select {
	case a.queues[part] <- s:
	default:
		refused.Add("queue full", 1)
		return submitNotStored
	}
	timer := time.NewTimer(min(time.Until(s.deadline), silenceCheckInterval))
	defer timer.Stop()
	for waiting := true; waiting; {
		select {
		case outcome := <-s.outcome:
			return outcome
		case <-timer.C:
			if a.away(part) && s.bar() {
				refused.Add("table service away", 1)
				return submitNotStored
			}
			left := time.Until(s.deadline)
			waiting = left > 0
			timer.Reset(min(left, silenceCheckInterval))
		case <-ctx.Done():
			waiting = false
		}
	}
	if s.bar() {
		refused.Add("not sent in time", 1)
		return submitNotStored
	}
	select {
	case outcome := <-s.outcome:
		return outcome
	default:
		return submitUnknown
	}
}

// away reports whether the table service does not serve a part of the jobs: all calls
// of this process fail, or calls to the part have no answer.
func (a *acceptor) away(part int) bool {
	return a.node.reachability.unreachable() || a.node.storeHealth.silent(partName(part))
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
