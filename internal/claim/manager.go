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

// Causes of a claim that could not be made.
var (
	errTimeout = errors.New("the table service did not settle the claim in time")
	errFull    = errors.New("too many claims are pending")
)

// Manager claims keys in batches. Its methods are safe for concurrent use.
type Manager struct {
	opts Options
	// queue passes updates to Run.
	queue chan *rowUpdate
	// idPrefix is unique to every manager, even if an entry is restarted with
	// the same name and incarnation.
	idPrefix string
	// attempts counts the attempts, to number them.
	attempts atomic.Uint64

	// The fields below are used only by Run, except for the sweeper's list of
	// services.

	// deferred holds updates whose key already had an update in their batch,
	// and finishing updates that wait for the table.
	deferred []*rowUpdate
	// watched holds refused attempts with a commit that may still take effect.
	watched []watch
	// tableReachable reports whether the table answered the last transaction.
	tableReachable bool
	// committedAt is when the last transaction began.
	committedAt time.Time
	sweeper     *sweeper
}

// New returns a manager. It makes claims only while its Run runs.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	return &Manager{
		opts:     opts,
		queue:    make(chan *rowUpdate, queueSize),
		idPrefix: fmt.Sprintf("%s/%d/%s/", opts.Entry, opts.Incarnation, rand.Text()),
		sweeper:  newSweeper(opts),
	}
}

// Claim claims the key of a request. It waits until the claim is settled, but at
// most for ClaimTimeout and until ctx ends. It never returns nil.
func (m *Manager) Claim(ctx context.Context, req Request) *Claim {
	a := m.newAttempt(req)
	select {
	case m.queue <- &rowUpdate{attempt: a, isClaim: true}:
	default:
		return m.unclaimed(a, req, errFull)
	}
	timer := time.NewTimer(m.opts.ClaimTimeout)
	defer timer.Stop()
	select {
	case c := <-a.result:
		return m.finalClaim(a, req, c)
	case <-timer.C:
	case <-ctx.Done():
	}
	if !a.abandon() {
		return m.finalClaim(a, req, <-a.result)
	}
	return m.unclaimed(a, req, errTimeout)
}

// newAttempt returns a new attempt to claim a request's key.
func (m *Manager) newAttempt(req Request) *attempt {
	return &attempt{
		key:    rowKey(req.Service, req.Key),
		result: make(chan *Claim, 1),
		record: record{
			ID:          m.idPrefix + strconv.FormatUint(m.attempts.Add(1), 10),
			Entry:       m.opts.Entry,
			Incarnation: m.opts.Incarnation,
			Digest:      req.Digest,
			State:       stateClaimed,
			ClaimedAt:   time.Now().UnixMilli(),
		},
		runsUnclaimed: req.Outage == contract.OutageRun,
	}
}

// finalClaim returns the result of Claim for a claim that Run has settled.
func (m *Manager) finalClaim(a *attempt, req Request, c *Claim) *Claim {
	m.sweeper.addService(req.Service)
	switch {
	case c.Verdict == Refuse && errors.Is(c.Refusal.Err, errTableUnreachable):
		return m.unclaimed(a, req, c.Refusal.Err)
	case c.Verdict == Refuse:
		return m.logRefusal(a, req, c)
	}
	return c
}

// unclaimed returns the result of Claim for a key that could not be claimed, by
// the contract's outage policy.
func (m *Manager) unclaimed(a *attempt, req Request, err error) *Claim {
	if req.Outage != contract.OutageRun {
		return m.logRefusal(a, req, unavailable(err))
	}
	event.RequestUnclaimed.Log(m.opts.Log, zap.String("row", a.key), zap.Error(err))
	return &Claim{Verdict: ForwardUnclaimed, attempt: a}
}

// unavailable returns the refusal of a request whose key cannot be claimed.
func unavailable(err error) *Claim {
	return refuse(http.StatusServiceUnavailable, outcome.NotRun, "claim-unavailable", err)
}

// logRefusal logs the refusal and returns its claim.
func (m *Manager) logRefusal(a *attempt, req Request, c *Claim) *Claim {
	event.ClaimRefused.Log(m.opts.Log, zap.String("service", req.Service), zap.String("row", a.key),
		zap.String("reason", c.Refusal.Reason), zap.Stringer("outcome", c.Refusal.Outcome), zap.Error(c.Refusal.Err))
	return c
}

// Done records that the claimed request ran, with its whole answer, or nil if
// the answer is too long to be buffered. It returns at once; the row is written
// with a later batch. Until then, and if this process ends before, requests with
// the key are refused as in progress. The answer must not be changed afterwards.
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

// Lost records that the claimed request was sent and that its outcome is
// unknown. The key stays claimed.
func (m *Manager) Lost(c *Claim) {
	if c.attempt == nil {
		return
	}
	final := c.attempt.record
	final.State = stateLost
	m.finish(c, &final)
}

// Release removes the claim of the key. It may be called only if it is certain
// that the claimed request did not run.
func (m *Manager) Release(c *Claim) {
	if c.attempt != nil {
		m.finish(c, nil)
	}
}

// finish queues the last update of an attempt. If the queue is full, the update
// is dropped: requests with the key are then refused as in progress, which is
// safe.
func (m *Manager) finish(c *Claim, final *record) {
	select {
	case m.queue <- &rowUpdate{attempt: c.attempt, final: final}:
	default:
		event.ClaimOutcomeUnknown.Log(m.opts.Log, zap.String("row", c.attempt.key), zap.Error(errFull))
	}
}
