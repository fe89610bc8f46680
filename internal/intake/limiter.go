// Package intake bounds what the clients of an HTTP listener can make a process
// hold: connections, and the memory of headers, bodies and the jobs in them. When a
// bound is reached, the connection that has waited longest for its client gives way.
// The serving of a request is never cut short.
package intake

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// tick is the time between two searches for overdue connections.
	tick = 250 * time.Millisecond
	// quietTime is how long nothing is refused until that is logged.
	quietTime = 5 * time.Second
)

// reason says why a connection was closed or a request refused.
type reason string

const (
	closedIdle        reason = "closed_idle"
	closedHeader      reason = "closed_header_timeout"
	closedAnswer      reason = "closed_answer_unread"
	closedConnections reason = "closed_connections"
	closedBytes       reason = "closed_bytes"
	refusedHeader     reason = "refused_header_size"
	refusedBody       reason = "refused_body_size"
	refusedSlow       reason = "refused_body_timeout"
	refusedBytes      reason = "refused_bytes"
)

// Options configures a Limiter.
type Options struct {
	// Listener names the listener in metrics and the log.
	Listener string
	Bounds   Bounds
	// Limits returns the limits that are in force. It is called often.
	Limits func() Limits
	// StallTimeout is the longest time for a part of a body to arrive and for a part
	// of an answer to be read, IdleTimeout if 0. A whole body may take four times
	// that.
	StallTimeout time.Duration
	// HoldFactor is how many times its size a body takes until its request is
	// answered, 3 if 0: the body, a job decoded from it, and its rows.
	HoldFactor int64
	// RefusalHeader returns headers of the answers that the limiter sends itself,
	// with a status. It may be nil.
	RefusalHeader func(status int) http.Header
	Log           *zap.Logger
}

// Limiter bounds what the clients of one listener hold. It is safe for concurrent
// use.
type Limiter struct {
	Options
	mu sync.Mutex
	// changed is signalled when a connection ends, releases bytes or begins to wait
	// for its client.
	changed *sync.Cond
	budget  *budget
	// now is the time of the last tick, as the time since the first one. After a
	// suspension of the process it goes on by two ticks, since bytes that have
	// arrived meanwhile are unread.
	now    time.Duration
	closed bool
	// admitting is set while a connection waits to be admitted.
	admitting bool
	counts    map[reason]int64
	limiting  limiting
}

// New returns a limiter for one listener. Its metrics are published under the
// listener's name, those of the first of a name.
func New(o Options) *Limiter {
	l := &Limiter{Options: o, budget: newBudget(o.Bounds, func(c *client) bool { return c.phase != phaseAnswer && c.conn.unread() }), counts: map[reason]int64{}}
	l.changed = sync.NewCond(&l.mu)
	publish(l)
	return l
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Configure sets the hooks of a server that serves the limiter's listener, and bounds
// the requests that its handler serves over HTTP/2. The limiter applies the time-outs.
// Those of the server are 0, or end connections more gently before those of the
// limiter.
func (l *Limiter) Configure(s *http.Server) {
	s.Handler = l.boundStreams(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) { c.(*conn).observe(state) }
}

// Listen listens on a TCP address (IP:port) and bounds what its connections hold.
func (l *Limiter) Listen(address string) (net.Listener, error) {
	inner, err := listenTCP(address, l.backlog())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return l.Wrap(inner), nil
}

// Wrap bounds what the connections of a listener hold. It leaves the buffers of the
// kernel as they are.
func (l *Limiter) Wrap(inner net.Listener) net.Listener {
	go l.run()
	return &listener{Listener: inner, limiter: l}
}

// BoundBuffers bounds what the kernel holds for the connections of a TCP listener:
// the buffers of each, and the number of those that are not accepted yet.
func (l *Limiter) BoundBuffers(inner net.Listener) error {
	return boundBuffers(inner, l.backlog())
}

// backlog is the number of connections that the kernel keeps until they are accepted.
func (l *Limiter) backlog() int { return min(max(l.Bounds.Connections, minBacklog), maxBacklog) }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits until a connection may be served. Others are ended for it, or it is
// closed itself.
func (a *listener) Accept() (net.Conn, error) {
	for {
		inner, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := a.limiter.admit(inner); c != nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (a *listener) Close() error {
	a.limiter.mu.Lock()
	a.limiter.closed = true
	a.limiter.changed.Broadcast()
	a.limiter.mu.Unlock()
	return a.Listener.Close()
}

// SetDeadline ends Accept by a time, as that of *net.TCPListener does.
func (a *listener) SetDeadline(t time.Time) error {
	if d, ok := a.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return os.ErrNoDeadline
}

// admit waits until an accepted connection may be served and returns it, nil if it
// was closed. Once the listener is closed, it is admitted at once.
func (l *Limiter) admit(inner net.Conn) net.Conn {
	c := &conn{Conn: inner, limiter: l}
	c.client.conn = c
	l.mu.Lock()
	defer l.mu.Unlock()
	var address netip.Addr
	if a, ok := inner.RemoteAddr().(*net.TCPAddr); ok {
		address = a.AddrPort().Addr().Unmap()
	}
	l.budget.open(&c.client, address, l.now)
	l.budget.serve(&c.client)
	for !l.closed {
		d, victim := l.budget.admit(&c.client, l.now)
		if victim != nil {
			l.end(victim, closedConnections)
		}
		switch {
		case d == granted:
			l.budget.wait(&c.client, phaseNew, l.now)
			return c
		case d == refused:
			l.count(closedConnections)
			l.budget.close(&c.client)
			_ = inner.Close()
			return nil
		case victim == nil:
			l.admitting = true
			l.changed.Wait()
			l.admitting = false
		}
	}
	l.budget.wait(&c.client, phaseNew, l.now)
	return c
}

// take lets a client hold n bytes more. It waits for others that are ended for that,
// and returns false if there are none or the client is ended itself.
func (l *Limiter) take(c *client, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c.failure == nil {
		d, victim := l.budget.take(c, n, l.now)
		switch {
		case d == granted:
			return true
		case d == refused:
			return false
		case victim != nil:
			l.end(victim, closedBytes)
		default:
			l.changed.Wait()
		}
	}
	return false
}

// end ends a connection that waits for its client. A request whose body is
// incomplete is still answered. l.mu is held.
func (l *Limiter) end(v *client, why reason) {
	c := v.conn
	defer l.changed.Broadcast() // it may wait in take
	if v.phase == phaseBody {
		v.failure = ErrOverloaded
		switch why {
		case closedBytes:
			why = refusedBytes
		case refusedSlow:
			v.failure = ErrSlow
		}
		l.count(why)
		l.budget.tellToEnd(v)
		if v.stream != nil {
			v.stream.interrupt()
			return
		}
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if it is closed
		return
	}
	l.count(why)
	l.budget.tellToEnd(v)
	v.failure = errEnded
	if v.stream != nil {
		go v.stream.reset() // waits for the goroutine of the connection, which may wait for l.mu
		return
	}
	if v.phase == phaseAnswer {
		c.discardUnsent()
	}
	_ = c.Conn.Close()
}

// run ends overdue connections until the listener is closed and all connections have
// ended.
func (l *Limiter) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	for now := range ticker.C {
		if !l.advance(now.Sub(last)) {
			return
		}
		last = now
	}
}

// advance ends overdue connections after a time has passed. It returns false once
// there is nothing left to do.
func (l *Limiter) advance(passed time.Duration) bool {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now += min(passed, 2*tick)
	for {
		v := l.budget.overdue(limits, l.stallTimeout(limits), l.now)
		if v == nil {
			break
		}
		switch v.phase {
		case phaseBody:
			l.end(v, refusedSlow)
		case phaseAnswer:
			l.end(v, closedAnswer)
		case phaseHeader:
			l.end(v, closedHeader)
		default:
			l.end(v, closedIdle)
		}
	}
	l.report()
	l.changed.Broadcast() // an answer may have become evictable
	return !l.closed || l.budget.connections > 0
}

func (l *Limiter) limits() Limits { return l.Limits().orDefaults() }

// stallTimeout returns the longest time for a part of a body or of an answer.
func (l *Limiter) stallTimeout(limits Limits) time.Duration {
	return cmp.Or(l.StallTimeout, limits.IdleTimeout)
}

// refusal returns an answer of the limiter's own that ends an HTTP/1.1 connection.
func (l *Limiter) refusal(status int) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	_ = l.refusalHeader(status).Write(&b) // a Builder returns no error
	b.WriteString("\r\n")
	return b.String()
}

// refusalHeader returns the headers of an answer of the limiter's own.
func (l *Limiter) refusalHeader(status int) http.Header {
	header := http.Header{}
	if l.RefusalHeader != nil {
		header = l.RefusalHeader(status)
	}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", "1")
	}
	return header
}

// count counts a closed connection or a refused request. l.mu is held.
func (l *Limiter) count(why reason) {
	l.counts[why]++
	if why != closedIdle {
		l.limiting.count++
		l.limiting.last, l.limiting.reason = l.now, why
	}
}

// limiting is the state that changes of are logged.
type limiting struct {
	active       bool
	since, last  time.Duration
	count, shown int64
	reason       reason
}

// report logs when clients begin to be limited, and when none has been for a while.
// l.mu is held.
func (l *Limiter) report() {
	s := &l.limiting
	switch {
	case !s.active && s.count > s.shown:
		s.active, s.since = true, l.now
		event.IntakeLimits.Log(l.Log, zap.String("listener", l.Listener), zap.String("reason", string(s.reason)),
			zap.Int("connections", l.budget.connections), zap.Int64("bytes", l.budget.bytes), zap.Int64("count", s.count-s.shown))
	case s.active && l.now-s.last > quietTime:
		s.active = false
		event.IntakeNormal.Log(l.Log, zap.String("listener", l.Listener), zap.Duration("after", l.now-s.since), zap.Int64("count", s.count-s.shown))
		s.shown = s.count
	}
}
