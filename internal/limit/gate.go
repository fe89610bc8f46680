// Package limit bounds what one entry has at a pool, and divides the hosts'
// slots and connections among the entries.
package limit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// Gate bounds how many requests of one pool an entry runs, and holds the rest
// in a queue that is bounded by their deadlines. It is safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu    sync.Mutex
	queue *Queue
}

// GateStats counts what a gate did.
type GateStats struct {
	Limit   int
	Running int
	Queued  int
	// Admitted and the refusals by reason are totals since the start.
	Admitted  uint64
	Deadline  uint64
	Displaced uint64
	Full      uint64
	Cancelled uint64
}

// NewGate returns a gate with a limit of 0. Nothing runs until SetLimit.
func NewGate(now func() time.Time) *Gate { return &Gate{now: now, queue: NewQueue(FIFO)} }

// SetLimit changes how many requests may run at once. Running requests above
// a lowered limit go on.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wake(g.queue.SetLimit(n, g.now()))
}

// Acquire waits until the request may run and returns the function that ends
// it, which may be called more than once. It returns a refusal, always as not
// run, before the deadline is spent or when ctx is done.
func (g *Gate) Acquire(ctx context.Context, priority int, deadline time.Time) (func(), *outcome.Refusal) {
	r := &Request{Priority: priority, Deadline: deadline}
	g.arrive(ctx, r)
	if r.ready != nil {
		g.wait(ctx, r)
	}
	if r.refusal != NotRefused {
		return nil, refusal(r.refusal)
	}
	return func() { g.finish(r) }, nil
}

// arrive hands the request to the queue. It sets ready before another
// goroutine can see the request waiting.
func (g *Gate) arrive(ctx context.Context, r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		g.queue.refuse(r, Cancelled)
		return
	}
	wake(g.queue.Arrive(r, g.now()))
	if r.state == waiting {
		r.ready = make(chan struct{})
	}
}

// wait returns when the request was admitted or refused.
func (g *Gate) wait(ctx context.Context, r *Request) {
	timer := time.NewTimer(r.startBy.Sub(g.now()))
	defer timer.Stop()
	select {
	case <-r.ready:
	case <-timer.C:
		g.withdraw(r, DeadlineTooNear)
	case <-ctx.Done():
		g.withdraw(r, Cancelled)
	}
}

// withdraw takes the request out of the queue. If it was settled in the same
// moment, that settlement holds: an admitted request stays admitted.
func (g *Gate) withdraw(r *Request, reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Withdraw(r, reason)
}

func (g *Gate) finish(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wake(g.queue.Finish(r, g.now()))
}

// wake tells the waiting goroutines of settled requests. Closing the channel
// orders the request's fields before their reader.
func wake(settled []*Request) {
	for _, r := range settled {
		close(r.ready)
	}
}

// refusal returns the answer to a caller: the request has not run.
func refusal(reason Reason) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, reason.String(), nil)
}

// Stats returns the counters.
func (g *Gate) Stats() GateStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.queue.counts
	return GateStats{
		Limit:     g.queue.limit,
		Running:   g.queue.running,
		Queued:    g.queue.waiting,
		Admitted:  c.admitted,
		Deadline:  c.refused[DeadlineTooNear],
		Displaced: c.refused[Displaced],
		Full:      c.refused[QueueFull],
		Cancelled: c.refused[Cancelled],
	}
}
