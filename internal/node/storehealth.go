package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// minUnanswered is the least time after which a call counts as unanswered. The
	// service answers in 8 to 16 ms.
	minUnanswered = 100 * time.Millisecond
	// unansweredFactor times the latency of answered calls replaces minUnanswered if
	// it is longer: on slow days calls take up to 60 times as long.
	unansweredFactor = 3
	// maxUnanswered bounds the time after which a call counts as unanswered. It is
	// above 60 times the usual latency.
	maxUnanswered = 1100 * time.Millisecond
	// silentAfter is how long a call must have no answer before the service counts
	// as silent, and submissions that were never sent are refused. It is above the
	// latency of slow days, on which nobody is to be refused.
	silentAfter = 1200 * time.Millisecond
	// recentAnswer is the age of the last answer of a part up to which a job is sent
	// without a read before it.
	recentAnswer = 150 * time.Millisecond
	// recentRefusal is how long after a refused transaction those sent before or after
	// it may wait behind others.
	recentRefusal = 2 * time.Second
	// maxTickGap is the time between two ticks above which the process was paused or
	// lacks processor time: then it has not read answers, and calls without one say
	// nothing.
	maxTickGap = 400 * time.Millisecond
	// latencyDecay is the part of the latency estimate that each answer leaves.
	latencyDecay = 0.9
)

// storeHealth tracks which calls of this process the table service answers. It
// keeps the evidence by part, since the service may fail in some parts only. Its
// methods are safe for concurrent use. The zero value is ready to use.
//
// A call is unanswered from a bound on its latency on, until a call to the same
// part that was sent later is answered. Calls that the service refuses are neither
// answered nor unanswered, except that one refused for the number of calls shows that
// the part is reachable.
type storeHealth struct {
	mu    sync.Mutex
	parts map[string]*partHealth
	// latency is the recent largest latency of an answered call.
	latency time.Duration
	// commitLatency is that of answered transactions alone: a part applies one at a
	// time, and answers reads meanwhile.
	commitLatency time.Duration
	// ticked is the time of the last tick.
	ticked time.Time
}

// partHealth holds the calls to one part. Times are times of the sending of calls,
// for a long poll the end of its wait.
type partHealth struct {
	// answered is the latest time of an answered call, and answeredAt when the last
	// answer came.
	answered, answeredAt time.Time
	// waiting holds the calls in flight.
	waiting map[*storeCall]struct{}
	// firstLost and lastLost are the earliest and the latest time of calls that
	// ended without an answer since, zero for none.
	firstLost, lastLost time.Time
	// refusedAt is when a transaction was last refused, or a call for the number of calls.
	refusedAt time.Time
}

// storeCall is a call in flight.
type storeCall struct {
	health    *storeHealth
	part      *partHealth
	ctx       context.Context
	sent, due time.Time
	// overtaken is set for transactions. It is called once the answer is due (see
	// commitBound) and a later call to the part was answered.
	overtaken func()
}

// begin records that a call to a part is sent, which the service may hold for wait.
// The caller reports its outcome to end. A call whose ctx was cancelled, or ended
// before an answer was due, says nothing.
func (h *storeHealth) begin(ctx context.Context, part string, wait time.Duration, overtaken func()) *storeCall {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &storeCall{health: h, part: h.part(part), ctx: ctx, sent: now, due: now.Add(wait), overtaken: overtaken}
	c.part.waiting[c] = struct{}{}
	return c
}

// end records the outcome of the call.
func (c *storeCall) end(err error) {
	now, h, p := time.Now(), c.health, c.part
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(p.waiting, c)
	limited := errors.Is(err, platform.ErrLimited)
	if limited || c.overtaken != nil && errors.Is(err, platform.ErrUnavailable) {
		p.refusedAt = now
	}
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrHistoryGone):
		p.answer(c.sent)
		p.answeredAt = now
		h.latency = max(now.Sub(c.due), time.Duration(latencyDecay*float64(h.latency)))
		if c.overtaken != nil {
			h.commitLatency = max(now.Sub(c.due), time.Duration(latencyDecay*float64(h.commitLatency)))
		}
	case limited: // says nothing of how long calls take that are carried out
		p.answer(c.sent)
		p.answeredAt = now
	case errors.Is(err, platform.ErrUnavailable), c.ctx.Err() == context.Canceled, c.ctx.Err() != nil && now.Sub(c.due) < h.bound():
	default:
		p.lose(c.due)
	}
}

func (h *storeHealth) part(name string) *partHealth {
	p := h.parts[name]
	if p == nil {
		p = &partHealth{waiting: map[*storeCall]struct{}{}}
		if h.parts == nil {
			h.parts = map[string]*partHealth{}
		}
		h.parts[name] = p
	}
	return p
}

func (p *partHealth) answer(sent time.Time) {
	if sent.After(p.answered) {
		p.answered = sent
	}
	if !p.firstLost.After(p.answered) {
		p.firstLost = p.lastLost
	}
	if !p.lastLost.After(p.answered) {
		p.firstLost, p.lastLost = time.Time{}, time.Time{}
	}
}

func (p *partHealth) lose(due time.Time) {
	if !due.After(p.answered) {
		return
	}
	if p.firstLost.IsZero() || due.Before(p.firstLost) {
		p.firstLost = due
	}
	if due.After(p.lastLost) {
		p.lastLost = due
	}
}

// unansweredSince returns the earliest time of a call without an answer, zero if
// there is none.
func (p *partHealth) unansweredSince() time.Time {
	since := p.firstLost
	for c := range p.waiting {
		if c.due.After(p.answered) && (since.IsZero() || c.due.Before(since)) {
			since = c.due
		}
	}
	return since
}

// tick is called each probeInterval. It ends calls whose answers are lost. After a
// pause it counts calls in flight from now.
func (h *storeHealth) tick() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	paused := now.Sub(h.ticked) > maxTickGap
	for _, p := range h.parts {
		if paused {
			p.firstLost, p.lastLost = time.Time{}, time.Time{}
		}
		for c := range p.waiting {
			if paused && c.due.Before(now) {
				c.due = now
			}
			if c.overtaken != nil && now.Sub(c.due) > h.commitBound(p) && p.answered.After(c.sent) {
				c.overtaken()
			}
		}
	}
	h.ticked = now
}

// commitBound returns the time from which the answer of a transaction is lost if a
// later call to the part was answered. A part that has just refused a transaction may
// have others waiting for a second: it answers reads before those.
func (h *storeHealth) commitBound(p *partHealth) time.Duration {
	if time.Since(p.refusedAt) < recentRefusal {
		return maxAcceptTimeout
	}
	return max(acceptTimeout, unansweredFactor*h.commitLatency)
}

// unresponsive reports whether a call to the part, or to another one since the last
// answer of this part, is unanswered: the service may have stopped answering, and a
// transaction may be applied late or never.
func (h *storeHealth) unresponsive(part string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered(part, h.bound())
}

// silent reports whether the service has answered no call to the part for
// silentAfter, though one had to be answered and this process has read answers.
func (h *storeHealth) silent(part string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.ticked) <= maxTickGap && h.unanswered(part, max(silentAfter, h.bound()))
}

// recent reports whether the part has answered a call within recentAnswer. It is
// also true while answers take so long that a read before each transaction would
// take too much of a caller's time.
func (h *storeHealth) recent(part string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency > minUnanswered || time.Since(h.part(part).answeredAt) < recentAnswer
}

// bound returns the time from which a call is unanswered.
func (h *storeHealth) bound() time.Duration {
	return min(max(minUnanswered, unansweredFactor*h.latency), maxUnanswered)
}

func (h *storeHealth) unanswered(part string, bound time.Duration) bool {
	answered, limit := h.part(part).answered, time.Now().Add(-bound)
	for _, p := range h.parts {
		if since := p.unansweredSince(); !since.IsZero() && since.After(answered) && since.Before(limit) {
			return true
		}
	}
	return false
}
