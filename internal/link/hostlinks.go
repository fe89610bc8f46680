package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// Errors of requests that get no connection.
var (
	errNotAssigned = errors.New("host is no longer assigned")
	errNoShare     = errors.New("entry has no share of the host's connections")
)

// hostLinks manages the connections to one host.
type hostLinks struct {
	set       *Set
	name      string
	address   string
	peer      string
	probeHead string
	probes    singleflight.Group

	mu sync.Mutex
	// limit is the entry's share of the host's connections, 0 while draining.
	limit int
	// draining is true while the host is not assigned and gets no new requests.
	draining bool
	// open counts connections that are being opened, open or being closed.
	open int
	// inFlight counts requests that hold a connection or are opening one.
	inFlight int
	// idle lists the idle connections, the most recently used last.
	idle    []*conn
	waiters []*waiter
	reaper  *time.Timer
	signal  ShutdownSignal
	latency latency
}

// waiter waits for a connection or for permission to open one.
type waiter struct {
	// ready receives one grant. It has a buffer of one, so that sending the grant
	// never blocks.
	ready chan grant
	// probe is true if the waiter needs permission to open a connection and
	// cannot use an idle one.
	probe bool
}

// grant is what a waiter receives: a connection, permission to open one (both
// fields nil), or an error.
type grant struct {
	conn *conn
	err  error
}

// newHostLinks returns the hostLinks of a host, without connections.
func newHostLinks(s *Set, name, address string) *hostLinks {
	return &hostLinks{
		set:       s,
		name:      name,
		address:   address,
		peer:      address + " (" + name + ")",
		probeHead: fmt.Sprintf(probeRequest, address),
	}
}

// acquire returns a connection for one request. If fresh is true, the
// connection is new or brought an answer at most MaxIdleNoRepeat ago. If it
// fails, no byte of the request was written.
func (h *hostLinks) acquire(ctx context.Context, fresh bool) (*conn, error) {
	h.mu.Lock()
	if err := h.refusal(); err != nil {
		h.mu.Unlock()
		return nil, err
	}
	if c := h.takeIdle(fresh); c != nil {
		h.inFlight++
		h.mu.Unlock()
		return c, nil
	}
	if h.open < h.limit {
		h.open++
		h.inFlight++
		h.mu.Unlock()
		return h.dialForRequest(ctx)
	}
	w := &waiter{ready: make(chan grant, 1)}
	h.waiters = append(h.waiters, w)
	h.mu.Unlock()
	g, err := h.await(ctx, w)
	if err != nil {
		return nil, err
	}
	if g.conn != nil {
		return g.conn, nil
	}
	return h.dialForRequest(ctx)
}

// acquireDial waits for permission to open a connection for a probe, ahead of
// all requests. At the limit, it closes an idle connection to make room.
func (h *hostLinks) acquireDial(ctx context.Context) bool {
	h.mu.Lock()
	if h.refusal() != nil {
		h.mu.Unlock()
		return false
	}
	if h.open < h.limit {
		h.open++
		h.mu.Unlock()
		return true
	}
	w := &waiter{ready: make(chan grant, 1), probe: true}
	h.waiters = append([]*waiter{w}, h.waiters...)
	if len(h.idle) > 0 {
		c := h.idle[0]
		h.idle = h.idle[1:]
		h.retire(c)
	}
	h.mu.Unlock()
	_, err := h.await(ctx, w)
	return err == nil
}

// refusal returns the error for new requests, or nil if the host accepts them.
// h.mu must be held.
func (h *hostLinks) refusal() error {
	switch {
	case h.draining:
		return errNotAssigned
	case h.limit <= 0:
		return errNoShare
	}
	return nil
}

// takeIdle returns the most recently used idle connection that is usable, or
// nil, and closes those that it finds unusable. h.mu must be held.
func (h *hostLinks) takeIdle(fresh bool) *conn {
	now := time.Now()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		if h.usable(c, now, fresh) {
			return c
		}
		h.retire(c)
	}
	return nil
}

// usable reports whether an idle connection may be used for a request.
func (h *hostLinks) usable(c *conn, now time.Time, fresh bool) bool {
	o := &h.set.opts
	idle := now.Sub(c.lastAnswer)
	if idle > o.MaxIdle || now.Sub(c.dialled) > o.MaxAge || c.isSilent() {
		return false
	}
	if fresh && idle > o.MaxIdleNoRepeat {
		return false
	}
	return nothingPending(c.tcp)
}

// await waits for the waiter's grant until ctx ends. If a grant arrives at the
// same time as the end, it is passed on to the next waiter.
func (h *hostLinks) await(ctx context.Context, w *waiter) (grant, error) {
	select {
	case g := <-w.ready:
		return g, g.err
	case <-ctx.Done():
	}
	h.mu.Lock()
	waiting := h.removeWaiter(w)
	h.mu.Unlock()
	if waiting {
		return grant{}, errors.Wrap(ctx.Err(), "wait for a connection")
	}
	// The grant was sent while the lock was held, so it is already in the
	// channel.
	g := <-w.ready
	switch {
	case g.err != nil:
	case g.conn != nil:
		h.release(g.conn, true)
	case w.probe:
		h.connClosed()
	default:
		h.cancelDial()
	}
	return grant{}, errors.Wrap(ctx.Err(), "wait for a connection")
}

// removeWaiter removes the waiter and reports whether it was still waiting.
// h.mu must be held.
func (h *hostLinks) removeWaiter(w *waiter) bool {
	for i, other := range h.waiters {
		if other == w {
			h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// dialForRequest opens a connection that is already counted in open and
// inFlight.
func (h *hostLinks) dialForRequest(ctx context.Context) (*conn, error) {
	c, err := h.dial(ctx)
	if err != nil {
		h.cancelDial()
		return nil, err
	}
	return c, nil
}

// dial opens a connection and records the shutdown signal of a refused one.
func (h *hostLinks) dial(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, h.set.dialer, h.address)
	dials.Add(1)
	if err != nil {
		failedDials.Add(1)
		if signal := signalOfDial(err, time.Now()); signal.Kind != SignalNone {
			h.recordSignal(signal)
		}
	}
	return c, err
}

// cancelDial returns the permission of a request to open a connection.
func (h *hostLinks) cancelDial() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.open--
	h.grantDials()
}

// connClosed records that a connection which no request holds is closed.
func (h *hostLinks) connClosed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.grantDials()
}

// grantDials permits waiters to open connections up to the limit. h.mu must be
// held.
func (h *hostLinks) grantDials() {
	for len(h.waiters) > 0 && h.open < h.limit {
		w := h.popWaiter()
		h.open++
		if !w.probe {
			h.inFlight++
		}
		w.ready <- grant{}
	}
}

// popWaiter removes and returns the first waiter. h.mu must be held.
func (h *hostLinks) popWaiter() *waiter {
	w := h.waiters[0]
	h.waiters[0] = nil
	h.waiters = h.waiters[1:]
	return w
}

// release returns a connection from a request. If it is reusable, it is passed
// to the next waiter or becomes idle, and otherwise it is closed.
func (h *hostLinks) release(c *conn, reusable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if !reusable || h.draining || h.open > h.limit || c.isSilent() {
		h.retire(c)
		return
	}
	if len(h.waiters) == 0 {
		h.idle = append(h.idle, c)
		h.scheduleReaper()
		return
	}
	if h.waiters[0].probe || !nothingPending(c.tcp) {
		// The waiter opens a new connection after this one is closed.
		h.retire(c)
		return
	}
	h.inFlight++
	h.popWaiter().ready <- grant{conn: c}
}

// retire closes a connection in the background. It counts as open until it is
// closed.
func (h *hostLinks) retire(c *conn) {
	go func() {
		c.closeGracefully(h.set.opts.CloseTimeout)
		h.connClosed()
	}()
}

// retireOlder closes the idle connections that were not dialled after the
// given time.
func (h *hostLinks) retireOlder(dialled time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retireIdle(func(c *conn) bool { return !c.dialled.After(dialled) })
}

// retireIdle closes the idle connections that match. h.mu must be held.
func (h *hostLinks) retireIdle(match func(*conn) bool) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if match(c) {
			h.retire(c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}
