package claim

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/outcome"
)

// Reasons for which no claim could be made.
var (
	errTimeout = errors.New("the table service did not settle the claim in time")
	errFull    = errors.New("too many claims wait")
)

// Manager claims keys in batches. Its methods are safe for concurrent use.
type Manager struct {
	opts Options
	// queue carries steps to Run, which owns all state below it.
	queue chan *step
	// idPrefix differs for every manager, also if an entry is started again
	// with the same name and incarnation. attempts numbers the attempts.
	idPrefix string
	attempts atomic.Uint64

	// deferred holds steps whose key already has a step in the batch, and
	// finishing steps that wait for the table.
	deferred []*step
	// watched holds refused attempts of which a commit may still land.
	watched []watch
	// answering says that the table answered the last transaction.
	answering bool
	// committedAt is when the last transaction began.
	committedAt time.Time
	sweeper     *sweeper
}

// New returns a manager that claims while Run runs.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	return &Manager{
		opts:     opts,
		queue:    make(chan *step, queueSize),
		idPrefix: fmt.Sprintf("%s/%d/%s/", opts.Entry, opts.Incarnation, rand.Text()),
		sweeper:  newSweeper(opts),
	}
}

// Claim asks for the key of a request. It waits until the claim is settled,
// for ClaimTimeout or until ctx ends, and never returns nil.
func (m *Manager) Claim(ctx context.Context, req Request) *Claim {
	a := m.newAttempt(req)
	select {
	case m.queue <- &step{attempt: a, claims: true}:
	default:
		return m.unclaimed(a, req, errFull)
	}
	timer := time.NewTimer(m.opts.ClaimTimeout)
	defer timer.Stop()
	select {
	case c := <-a.ready:
		return m.settled(a, req, c)
	case <-timer.C:
	case <-ctx.Done():
	}
	if !a.abandon() {
		return m.settled(a, req, <-a.ready)
	}
	return m.unclaimed(a, req, errTimeout)
}

// newAttempt returns the attempt of a request.
func (m *Manager) newAttempt(req Request) *attempt {
	return &attempt{
		key:   rowKey(req.Service, req.Key),
		ready: make(chan *Claim, 1),
		record: record{
			ID:          m.idPrefix + strconv.FormatUint(m.attempts.Add(1), 10),
			Entry:       m.opts.Entry,
			Incarnation: m.opts.Incarnation,
			Digest:      req.Digest,
			State:       stateClaimed,
			ClaimedAt:   time.Now().UnixMilli(),
		},
		runsAnyway: req.Outage == contract.OutageRun,
	}
}

// settled returns what the request gets for the claim that Run settled.
func (m *Manager) settled(a *attempt, req Request, c *Claim) *Claim {
	m.sweeper.serve(req.Service)
	switch {
	case c.Verdict == Refuse && errors.Is(c.Refusal.Err, errTableDown):
		return m.unclaimed(a, req, c.Refusal.Err)
	case c.Verdict == Refuse:
		return m.refused(a, req, c)
	}
	return c
}

// unclaimed returns what the request gets while its key cannot be claimed.
func (m *Manager) unclaimed(a *attempt, req Request, err error) *Claim {
	if req.Outage != contract.OutageRun {
		return m.refused(a, req, unavailable(err))
	}
	event.RequestUnclaimed.Log(m.opts.Log, zap.String("row", a.key), zap.Error(err))
	return &Claim{Verdict: ForwardUnclaimed, attempt: a}
}

// unavailable returns the refusal of a request whose key cannot be claimed.
func unavailable(err error) *Claim {
	return refuse(http.StatusServiceUnavailable, outcome.NotRun, "claim-unavailable", err)
}

// refused logs and returns a refusal.
func (m *Manager) refused(a *attempt, req Request, c *Claim) *Claim {
	event.ClaimRefused.Log(m.opts.Log, zap.String("service", req.Service), zap.String("row", a.key),
		zap.String("reason", c.Refusal.Reason), zap.Stringer("outcome", c.Refusal.Outcome), zap.Error(c.Refusal.Err))
	return c
}

// Done records that the claimed request ran, with its whole answer, or nil for
// one that is too long to be held. It returns at once; the row is written with
// a later batch. Until then, and if this process ends before, the key reads as
// in progress. The answer must not be changed afterwards.
func (m *Manager) Done(c *Claim, answer *Stored) {
	if c.attempt == nil {
		return
	}
	final := c.attempt.record
	final.State = stateDone
	if answer != nil {
		final.Status = answer.Status
	}
	if answer != nil && len(answer.Body) <= m.opts.StoredAnswerBytes {
		final.Stored = answer
	}
	m.finish(c, &final)
}

// Lost records that the outcome of the claimed request is unknown. The key
// stays claimed.
func (m *Manager) Lost(c *Claim) {
	if c.attempt == nil {
		return
	}
	final := c.attempt.record
	final.State = stateLost
	m.finish(c, &final)
}

// Release gives the key back. It may be called only if it is certain that the
// claimed request did not run.
func (m *Manager) Release(c *Claim) {
	if c.attempt != nil {
		m.finish(c, nil)
	}
}

// finish queues the last step of an attempt. A full queue drops it: the key
// then reads as in progress, which is safe.
func (m *Manager) finish(c *Claim, final *record) {
	select {
	case m.queue <- &step{attempt: c.attempt, final: final}:
	default:
		event.ClaimOutcomeUnknown.Log(m.opts.Log, zap.String("row", c.attempt.key), zap.Error(errFull))
	}
}
