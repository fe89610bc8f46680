// Package graceful is an http.Server whose Shutdown answers every request that
// the process reads. That of net/http drops a request whose header it parses once
// the shutdown has begun, and closes a connection as idle until then.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is how often Shutdown looks for connections that are open.
	pollInterval = 5 * time.Millisecond
	// acceptTime is how long Shutdown waits for a connection that the kernel has and
	// the process has not accepted: closing the listener would reset it. One that is
	// there is accepted at once, and the time bounds only how late the process calls.
	acceptTime = 10 * time.Millisecond
)

// Server is an http.Server with another Shutdown. It serves one listener. HTTP/2
// connections end as in net/http, with a GOAWAY, once the others have ended.
type Server struct {
	*http.Server
	// arrivalTime is how long connections without a request are still read from
	// once Shutdown has closed the listener: requests may be on their way, or wait
	// for a process with little processor time.
	arrivalTime time.Duration
	mu          sync.Mutex // guards the fields below
	listener    net.Listener
	// served is closed when no more connections are accepted.
	served chan struct{}
	conns  map[*conn]bool
	// stopping is set once Shutdown has begun.
	stopping atomic.Bool
}

// New returns a server that serves as s does. Requests may arrive on open
// connections for arrivalTime after the listener is closed.
func New(s *http.Server, arrivalTime time.Duration) *Server {
	server := &Server{Server: s, arrivalTime: arrivalTime}
	connState, connContext, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		c.(*conn).observe(state)
		if connState != nil {
			connState(c.(*conn).Conn, state)
		}
	}
	if connContext != nil {
		s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return connContext(ctx, c.(*conn).Conn)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if server.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return server
}

// Serve accepts connections on a listener until Shutdown. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	if s.stopping.Load() {
		s.mu.Unlock()
		_ = l.Close()
		return http.ErrServerClosed
	}
	s.listener, s.served, s.conns = l, served, map[*conn]bool{}
	s.mu.Unlock()
	err := s.Server.Serve(&listener{Listener: l, server: s})
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listener and waits until every connection has ended or ctx
// is done. A connection ends with the answer to the request that is in progress
// or arrives within the arrival time.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping.Store(true)
	l, served := s.listener, s.served
	s.mu.Unlock()
	if l != nil {
		s.acceptWaiting(ctx, l, served)
		_ = l.Close()
		<-served
		if err := s.endConnections(ctx); err != nil {
			return err
		}
	}
	return s.Server.Shutdown(ctx)
}

// acceptWaiting lets Serve accept the connections that wait for it, for arrivalTime
// at most. They are many if the process had no processor for a while.
func (s *Server) acceptWaiting(ctx context.Context, l net.Listener, served <-chan struct{}) {
	d, ok := l.(deadlineListener)
	if !ok || d.SetDeadline(time.Now()) != nil {
		return
	}
	select {
	case <-served:
	case <-time.After(s.arrivalTime):
	case <-ctx.Done():
	}
}

// endConnections waits until every connection has ended or ctx is done.
func (s *Server) endConnections(ctx context.Context) error {
	arriveBy := time.Now().Add(s.arrivalTime)
	s.mu.Lock()
	for c := range s.conns {
		c.end(arriveBy)
	}
	s.mu.Unlock()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.open() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// open returns the number of open connections.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// forget leaves a connection to net/http.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = true
	_ = c.setReadDeadline()
}

// listener wraps and registers the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// deadlineListener is a listener whose Accept can be ended, such as *net.TCPListener.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if d, ok := l.Listener.(deadlineListener); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		// Shutdown has set the deadline. An Accept that begins after its deadline does
		// not look for connections, so another one does.
		if err = d.SetDeadline(time.Now().Add(acceptTime)); err == nil {
			accepted, err = l.Listener.Accept()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = http.ErrServerClosed // net/http would call Accept again after a time-out
		}
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, server: l.server, waiting: true}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = true
	return c, nil
}

// http2Preface is what an HTTP/2 connection begins with, and no HTTP/1 request.
const http2Preface = "PRI"

// conn is a connection that is ended by its read deadline while it waits for a
// request. The goroutine that serves it then has read either a request, and
// answers, or less, and closes it.
type conn struct {
	net.Conn
	server *Server
	mu     sync.Mutex
	// waiting is set until the header of the next request has been read.
	waiting bool
	// http2 is set once the connection turns out to be HTTP/2.
	http2 bool
	// deadline is the read deadline that net/http has set.
	deadline time.Time
	// arriveBy is when the connection ends if it still waits, zero before
	// Shutdown.
	arriveBy time.Time
	// first holds the first bytes that were read, up to len(http2Preface).
	first []byte
}

// Read reads from the connection, and recognizes HTTP/2.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if missing := len(http2Preface) - len(c.first); n > 0 && missing > 0 {
		c.first = append(c.first, b[:min(n, missing)]...)
		if string(c.first) == http2Preface {
			c.server.forget(c)
		}
	}
	return n, err
}

// observe records a new state of the connection.
func (c *conn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = state == http.StateNew || state == http.StateIdle
	if !c.arriveBy.IsZero() {
		_ = c.setReadDeadline()
	}
}

// end lets the connection end by a deadline if it waits for a request until then.
func (c *conn) end(arriveBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriveBy = arriveBy
	_ = c.setReadDeadline()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setReadDeadline()
}

// setReadDeadline sets the earlier one of the deadlines that apply. c.mu is held.
func (c *conn) setReadDeadline() error {
	t := c.deadline
	if c.waiting && !c.http2 && !c.arriveBy.IsZero() && (t.IsZero() || t.After(c.arriveBy)) {
		t = c.arriveBy
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http end an answer before it closes a connection on which
// the caller still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
