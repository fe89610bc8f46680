package intake

import (
	"cmp"
	"net/netip"
	"time"
)

// phase is what a connection is doing.
type phase uint8

const (
	// phaseNew and phaseIdle wait for the first byte of a request, the first one of
	// the connection or a later one.
	phaseNew phase = iota
	phaseIdle
	// phaseHeader and phaseBody wait for the rest of a header or a body.
	phaseHeader
	phaseBody
	// phaseAnswer waits until the client reads.
	phaseAnswer
	// phaseStreams is an HTTP/2 connection all of whose requests wait for the rest
	// of their bodies.
	phaseStreams
	// phaseServing does not wait for the client.
	phaseServing
)

const (
	// minAnswerWait is how long an answer is written before its connection may be
	// closed for another one. A write that does not block takes microseconds; a
	// process with little processor time may be suspended meanwhile.
	minAnswerWait = time.Second
	// smallBytes is what a request may hold to draw on the part of the budget that
	// is kept for small ones, largePart the part for the others.
	smallBytes = 16 << 10
	largePart  = 0.75
	// headroom is the inverse of the part of the connections that is kept free.
	headroom = 8
	// maxChecked bounds the connections of which one search looks for unread bytes, a
	// system call each.
	maxChecked = 32
	// peerPart is the part of the budget that one address may hold.
	peerPart = 0.875
)

// peer is what the connections from one address hold.
type peer struct {
	address netip.Addr
	// connections and streams are the numbers of its clients.
	connections, streams int
	bytes, endingBytes   int64
}

// client is a connection in a budget, or a request of an HTTP/2 connection.
type client struct {
	conn *conn
	// stream is the request of an HTTP/2 connection, nil for a connection.
	stream *stream
	// failure is the error of all reads, nil while the client is read from. The
	// budget does not use it.
	failure error
	peer    *peer
	phase   phase
	// since is when the connection began to wait for its client.
	since time.Duration
	bytes int64
	// ending is set once the connection was told to end. It holds what it held
	// until its goroutine has released that.
	ending     bool
	prev, next *client
	waiting    bool
}

// budget decides which connections may hold what, and which is ended for another
// one. It handles connection floods and more bodies than fit into memory. It has no
// lock and no clock.
type budget struct {
	Bounds
	peers       map[netip.Addr]*peer
	connections int
	ending      int
	bytes       int64
	endingBytes int64
	// first and last are those that wait for their clients, the longest wait first.
	first, last *client
	// heavyConnections and heavyBytes are the last peers that held more than half of
	// a bound.
	heavyConnections, heavyBytes *peer
	// unread reports whether a connection has received bytes that were not read.
	unread func(*client) bool
}

func newBudget(b Bounds, unread func(*client) bool) *budget {
	return &budget{Bounds: b, peers: map[netip.Addr]*peer{}, unread: unread}
}

// open adds a connection.
func (b *budget) open(c *client, address netip.Addr, now time.Duration) {
	p := b.peers[address]
	if p == nil {
		p = &peer{address: address}
		b.peers[address] = p
	}
	c.peer = p
	p.connections++
	b.connections++
	if 2*p.connections > b.Connections {
		b.heavyConnections = p
	}
	b.wait(c, phaseNew, now)
}

// close removes a connection with all that it holds.
func (b *budget) close(c *client) {
	b.leave(c)
	b.release(c, c.bytes)
	b.settle(c)
	b.connections--
	c.peer.connections--
	b.forget(c.peer)
}

// openStream adds a request of a connection.
func (b *budget) openStream(c *client, of *client) {
	c.peer = of.peer
	c.peer.streams++
	b.serve(c)
}

// closeStream removes a request with all that it holds.
func (b *budget) closeStream(c *client) {
	b.leave(c)
	b.release(c, c.bytes)
	b.settle(c)
	c.peer.streams--
	b.forget(c.peer)
}

// forget removes a peer without clients.
func (b *budget) forget(p *peer) {
	if p.connections == 0 && p.streams == 0 {
		delete(b.peers, p.address)
	}
}

// wait lets a connection wait for its client from now on.
func (b *budget) wait(c *client, p phase, now time.Duration) {
	b.leave(c)
	b.settle(c)
	c.phase, c.since, c.waiting = p, now, true
	if c.prev = b.last; c.prev != nil {
		c.prev.next = c
	} else {
		b.first = c
	}
	b.last = c
}

// serve records that a connection does not wait for its client.
func (b *budget) serve(c *client) {
	b.leave(c)
	c.phase = phaseServing
}

// leave takes a connection out of the list of those that wait.
func (b *budget) leave(c *client) {
	if !c.waiting {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		b.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		b.last = c.prev
	}
	c.prev, c.next, c.waiting = nil, nil, false
}

// tellToEnd records that a connection was told to end.
func (b *budget) tellToEnd(c *client) {
	if !c.ending {
		c.ending = true
		b.ending++
		b.endingBytes += c.bytes
		c.peer.endingBytes += c.bytes
	}
	b.leave(c)
}

// settle records that a connection that was told to end goes on for a while, to
// answer.
func (b *budget) settle(c *client) {
	if c.ending {
		c.ending = false
		b.ending--
		b.endingBytes -= c.bytes
		c.peer.endingBytes -= c.bytes
	}
}

// release gives back a number of bytes.
func (b *budget) release(c *client, n int64) {
	c.bytes -= n
	b.bytes -= n
	c.peer.bytes -= n
	if c.ending {
		b.endingBytes -= n
		c.peer.endingBytes -= n
	}
}

// decision is the answer to a demand.
type decision uint8

const (
	granted decision = iota
	// later: what is needed is held by connections that were told to end.
	later
	// refused: nothing can be ended for it.
	refused
)

// admit decides whether a connection that has been opened may be served: at once, or
// later. The returned connection, if any, is to be ended for it. That begins before
// the bound is reached, so that newcomers seldom wait for the end of another one.
func (b *budget) admit(c *client, now time.Duration) (decision, *client) {
	d := granted
	if b.connections > b.Connections {
		d = later
	}
	if b.connections-b.ending <= b.Connections-b.Connections/headroom {
		return d, nil
	}
	heavy := b.heavyConnections
	if heavy != nil && (2*heavy.connections <= b.Connections || b.peers[heavy.address] != heavy) {
		heavy = nil
	}
	of := func(p *peer) *client {
		v, _ := b.longestWait(func(v *client) bool {
			return v != c && v.stream == nil && (p == nil || v.peer == p) && v.evictable(now)
		})
		return v
	}
	if heavy != nil {
		if v := of(heavy); v != nil {
			return d, v
		}
		if d == later && c.peer == heavy && len(b.peers) > 1 {
			return refused, nil
		}
	}
	return d, of(nil)
}

// take decides whether a connection may hold n bytes more: at once, later, or once
// the returned connection has ended.
func (b *budget) take(c *client, n int64, now time.Duration) (decision, *client) {
	if b.fits(c, n, false) {
		b.add(c, n)
		return granted, nil
	}
	if b.fits(c, n, true) {
		return later, nil
	}
	of := func(p *peer) *client {
		v, unread := b.longestWait(func(v *client) bool {
			return v != c && v.bytes > 0 && (p == nil || v.peer == p) && v.yieldsBytes(now)
		})
		return cmp.Or(v, unread)
	}
	if b.peerFull(c, n, true) {
		if v := of(c.peer); v != nil {
			return later, v
		}
		return refused, nil
	}
	if heavy := b.heavyBytes; heavy != nil && 2*heavy.bytes > b.Bytes {
		if v := of(heavy); v != nil {
			return later, v
		}
	}
	if v := of(nil); v != nil {
		return later, v
	}
	return refused, nil
}

// add lets a connection hold n bytes more.
func (b *budget) add(c *client, n int64) {
	b.bytes += n
	c.bytes += n
	c.peer.bytes += n
	if 2*c.peer.bytes > b.Bytes {
		b.heavyBytes = c.peer
	}
}

// fits reports whether a connection may hold n bytes more, now or once those that
// were told to end have ended. A request always fits if no other holds anything.
func (b *budget) fits(c *client, n int64, ended bool) bool {
	used := b.bytes
	if ended {
		used -= b.endingBytes
	}
	own := c.bytes
	if c.stream != nil {
		own += c.conn.client.bytes
	}
	if used == own {
		return true
	}
	limit := b.Bytes
	if c.bytes+n > smallBytes {
		limit = int64(largePart * float64(limit))
	}
	return used+n <= limit && !b.peerFull(c, n, ended)
}

// peerFull reports whether the address of a connection may not hold n bytes more.
func (b *budget) peerFull(c *client, n int64, ended bool) bool {
	used := c.peer.bytes
	if ended {
		used -= c.peer.endingBytes
	}
	return used+n > int64(peerPart*float64(b.Bytes))
}

// longestWait returns the connection that has waited longest for its client among
// those that match, nil if none does. A connection that has received bytes which the
// process has not read does not wait for its client: it is passed over and returned
// second.
func (b *budget) longestWait(match func(*client) bool) (v, unread *client) {
	checked := 0
	for c := b.first; c != nil && checked < maxChecked; c = c.next {
		if !match(c) {
			continue
		}
		if !b.unread(c) {
			return c, unread
		}
		if checked++; unread == nil {
			unread = c
		}
	}
	return nil, unread
}

// evictable reports whether a connection may be closed for another one.
func (c *client) evictable(now time.Duration) bool {
	return c.phase != phaseAnswer || now-c.since >= minAnswerWait
}

// yieldsBytes reports whether a client that waits may be ended for the bytes that it
// holds. An idle connection holds some only over HTTP/2. The requests of a connection
// in phaseStreams are ended one by one.
func (c *client) yieldsBytes(now time.Duration) bool {
	return c.phase != phaseStreams && c.evictable(now)
}

// overdue returns a client that has waited longer than the limits allow, nil if there
// is none. stall is the longest wait for a part of a body or the reading of an answer.
func (b *budget) overdue(l Limits, stall, now time.Duration) *client {
	shortest := min(l.HeaderTimeout, l.IdleTimeout, stall)
	for c := b.first; c != nil && now-c.since > shortest; c = c.next {
		timeout := l.IdleTimeout
		switch c.phase {
		case phaseNew, phaseHeader:
			timeout = l.HeaderTimeout
		case phaseBody, phaseAnswer:
			timeout = stall
		case phaseStreams:
			continue // its requests have time-outs of their own
		}
		if now-c.since > timeout {
			return c
		}
	}
	return nil
}
