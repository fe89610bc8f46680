package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// reasonBadRequest is the reason of a request that net/http could not read.
const reasonBadRequest = "bad-request"

// unparsedHeaders are added to the answers that net/http itself gives to
// requests that it could not read.
var unparsedHeaders = []byte(outcome.Header + ": " + outcome.NotRun.String() + "\r\n" +
	ReasonHeader + ": " + reasonBadRequest + "\r\n")

// callerListener accepts callers' connections.
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
// cannot read without calling a handler; those answers get the outcome here.
type callerConn struct {
	net.Conn
	// handled says that a handler answers, or that the connection is h2.
	handled atomic.Bool
}

// Write implements net.Conn. An answer that no handler gives is one write,
// and the first on its request.
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

// withCallerConn is an http.Server.ConnContext.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// markHandled marks the connection of a request that reached the handler.
func markHandled(r *http.Request) {
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		c.handled.Store(true)
	}
}

// clearHandledOnIdle is an http.Server.ConnState: after an answer is written whole, the
// next request may be unreadable.
func clearHandledOnIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.handled.Store(false)
	}
}
