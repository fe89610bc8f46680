package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// reasonBadRequest is the reason for a request that net/http could not parse.
const reasonBadRequest = "bad-request"

// reasonOverloaded is the reason for a request for which the entry has no memory.
const reasonOverloaded = "overloaded"

// unparsedHeaders are added to the responses that net/http itself sends to
// requests that it could not parse.
var unparsedHeaders = []byte(outcome.Header + ": " + outcome.NotRun.String() + "\r\n" +
	ReasonHeader + ": " + reasonBadRequest + "\r\n")

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// callerConn is a caller's connection. net/http answers requests that it
// cannot parse without calling a handler; callerConn adds the outcome headers
// to those responses.
type callerConn struct {
	net.Conn
	// handled is true while a handler answers a request, or if the connection is
	// HTTP/2.
	handled atomic.Bool
}

// Write implements net.Conn. A response that net/http sends without a handler
// is a single write, and the first one after its request.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.handled.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return c.Conn.Write(p)
	}
	end := bytes.Index(p, []byte("\r\n")) + len("\r\n")
	withOutcome := make([]byte, 0, len(p)+len(unparsedHeaders))
	withOutcome = append(withOutcome, p[:end]...)
	withOutcome = append(withOutcome, unparsedHeaders...)
	withOutcome = append(withOutcome, p[end:]...)
	if _, err := c.Conn.Write(withOutcome); err != nil {
		return 0, err
	}
	return len(p), nil
}

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// observeCallers sets the hooks of a server that serves a callerListener, before
// those which it has for the connections of the inner listener.
func observeCallers(s *http.Server) {
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		caller := c.(*callerConn)
		return context.WithValue(connContext(ctx, caller.Conn), callerConnKey{}, caller)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		caller := c.(*callerConn)
		caller.clearHandledOnIdle(state)
		connState(caller.Conn, state)
	}
}

// markHandled marks the connection of a request that has reached the handler.
func markHandled(r *http.Request) {
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		c.handled.Store(true)
	}
}

// clearHandledOnIdle resets handled after a response is completely written,
// since the next request may be one that net/http cannot parse.
func (c *callerConn) clearHandledOnIdle(state http.ConnState) {
	if state == http.StateIdle {
		c.handled.Store(false)
	}
}

// CloseWrite lets net/http end an answer before it closes a connection on which the
// caller still sends.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
