package link

import (
	"time"
)

// reapPart is the part of MaxIdle after which idle connections are looked at.
const reapPart = 4

// resize sets the share of the host's connections.
func (h *hostLinks) resize(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = false
	h.limit = limit
	excess := h.open - limit
	h.retireIdle(func(*conn) bool {
		excess--
		return excess >= 0
	})
	if limit <= 0 {
		h.failWaiters(errNoShare)
	}
	h.grantDials()
}

// leave ends all new work at the host: idle connections are closed at once,
// busy ones when their answer is whole.
func (h *hostLinks) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.limit = 0
	h.failWaiters(errLeaving)
	h.retireIdle(func(*conn) bool { return true })
	if h.reaper != nil {
		h.reaper.Stop()
		h.reaper = nil
	}
}

// failWaiters ends all waiting, under the lock.
func (h *hostLinks) failWaiters(err error) {
	for len(h.waiters) > 0 {
		h.popWaiter().ready <- grant{err: err}
	}
}

// scheduleReaper sees to it that idle connections are looked at, under the
// lock.
func (h *hostLinks) scheduleReaper() {
	if h.reaper == nil {
		h.reaper = time.AfterFunc(h.set.opts.MaxIdle/reapPart, h.reap)
	}
}

// reap closes idle connections that are too old or that the upstream closed.
func (h *hostLinks) reap() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reaper = nil
	now := time.Now()
	h.retireIdle(func(c *conn) bool { return !h.usable(c, now, false) })
	if len(h.idle) > 0 {
		h.scheduleReaper()
	}
}

// note keeps a sign that the host leaves.
func (h *hostLinks) note(s ShutdownSignal) {
	h.mu.Lock()
	h.signal = s
	h.mu.Unlock()
	h.tell(s)
}

// tell tells the set's owner of a sign that the host leaves.
func (h *hostLinks) tell(s ShutdownSignal) {
	if s.Kind != SignalNone && h.set.opts.OnShutdownSignal != nil {
		h.set.opts.OnShutdownSignal(h.name, s)
	}
}

// observe adds a sample to the host's latency.
func (h *hostLinks) observe(sample time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = h.latency.add(sample)
}

// answered notes an answer's sign and how long it took to begin.
func (h *hostLinks) answered(s ShutdownSignal, quiet time.Duration) {
	h.mu.Lock()
	h.latency = h.latency.add(quiet)
	h.signal = s
	h.mu.Unlock()
	h.tell(s)
}

// beforeWrite returns the host's latency, or an error if the host began to
// leave since the request got its connection.
func (h *hostLinks) beforeWrite() (latency, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return latency{}, errLeaving
	}
	return h.latency, nil
}

// use returns what is in use at the host.
func (h *hostLinks) use() HostUse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostUse{Host: h.name, InFlight: h.inFlight, Open: h.open, Waiting: len(h.waiters), ShutdownSignal: h.signal}
}
