package link

import (
	"time"
)

// reapsPerMaxIdle is how often idle connections are checked within MaxIdle.
const reapsPerMaxIdle = 4

// resize sets the entry's share of the host's connections and ends draining.
func (h *hostLinks) resize(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = false
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

// drain stops new requests to the host: idle connections are closed at once,
// busy ones when their answer was received completely.
func (h *hostLinks) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.limit = 0
	h.failWaiters(errNotAssigned)
	h.retireIdle(func(*conn) bool { return true })
	if h.reaper != nil {
		h.reaper.Stop()
		h.reaper = nil
	}
}

// failWaiters sends the error to all waiters. h.mu must be held.
func (h *hostLinks) failWaiters(err error) {
	for len(h.waiters) > 0 {
		h.popWaiter().ready <- grant{err: err}
	}
}

// scheduleReaper starts the timer of the next reap unless it is running. h.mu
// must be held.
func (h *hostLinks) scheduleReaper() {
	if h.reaper == nil {
		h.reaper = time.AfterFunc(h.set.opts.MaxIdle/reapsPerMaxIdle, h.reap)
	}
}

// reap closes the idle connections that are too old or were closed by the
// upstream.
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

// recordSignal stores and reports a shutdown signal of the host.
func (h *hostLinks) recordSignal(s ShutdownSignal) {
	h.mu.Lock()
	h.signal = s
	h.mu.Unlock()
	h.reportSignal(s)
}

// reportSignal calls OnShutdownSignal if the signal is not SignalNone.
func (h *hostLinks) reportSignal(s ShutdownSignal) {
	if s.Kind != SignalNone && h.set.opts.OnShutdownSignal != nil {
		h.set.opts.OnShutdownSignal(h.name, s)
	}
}

// recordLatency adds a sample to the host's latency.
func (h *hostLinks) recordLatency(sample time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = h.latency.add(sample)
}

// recordAnswer records an answer's shutdown signal and the latency of its
// first byte.
func (h *hostLinks) recordAnswer(s ShutdownSignal, firstByteLatency time.Duration) {
	h.mu.Lock()
	h.latency = h.latency.add(firstByteLatency)
	h.signal = s
	h.mu.Unlock()
	h.reportSignal(s)
}

// beforeWrite returns the host's latency, or an error if the host started to
// drain since the request got its connection.
func (h *hostLinks) beforeWrite() (latency, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return latency{}, errNotAssigned
	}
	return h.latency, nil
}

// usage returns the current usage of the host.
func (h *hostLinks) usage() HostUse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostUse{Host: h.name, InFlight: h.inFlight, Open: h.open, Waiting: len(h.waiters), ShutdownSignal: h.signal}
}
