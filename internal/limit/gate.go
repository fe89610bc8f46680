// Package limit is the admission control of entries. A Gate bounds the
// requests that one entry runs in a pool and queues the rest. Divide and
// Allocator, used by the pool's owner, divide the hosts' slots and connections
// among the entries.
package limit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// Gate bounds how many requests of one pool an entry runs at once, and queues
// the rest as long as their deadlines allow. It is safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu    sync.Mutex
	queue *Queue
}

// GateStats are the state and the counters of a gate.
type GateStats struct {
	Limit   int
	Running int
	Queued  int
	// Admitted and the refusals by reason are totals since the gate was
	// created.
	Admitted  uint64
	Deadline  uint64
	Displaced uint64
	Full      uint64
	Cancelled uint64
}

// NewGate returns a gate with a limit of 0: it admits nothing until SetLimit.
// now is its clock.
func NewGate(now func() time.Time) *Gate { return &Gate{now: now, queue: NewQueue(FIFO)} }

// SetLimit changes how many requests may run at once. When it is lowered,
// running requests above it continue.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wake(g.queue.SetLimit(n, g.now()))
}

// Acquire waits until the request may run, and returns the function that ends
// it, which may be called more than once. If the deadline gets too near or ctx
// is done, it returns a refusal, whose outcome is always not-run.
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

// arrive adds the request to the queue. It sets ready before another goroutine
// can see the request waiting.
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

// wait blocks until the request is admitted or refused.
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

// withdraw removes the request from the queue and refuses it. A request that
// was settled concurrently keeps that result: an admitted one stays admitted.
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

// wake unblocks the goroutines that wait for the settled requests. Closing the
// channel makes the fields of the request visible to them.
func wake(settled []*Request) {
	for _, r := range settled {
		close(r.ready)
	}
}

// refusal returns the answer to the caller: the request has not run.
func refusal(reason Reason) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, reason.String(), nil)
}

// Stats returns the gate's state and counters.
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
