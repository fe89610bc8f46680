package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/graceful"
	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout is the time in which a request's header must arrive.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle before it is
	// closed.
	idleTimeout = 2 * time.Minute
	// shutdownDelay is how long an entry that shuts down still accepts
	// connections, so that the load balancer sees that it is not ready before it
	// stops listening.
	shutdownDelay = 500 * time.Millisecond
	// arrivalTime is how long requests may arrive on open connections after that.
	arrivalTime = 300 * time.Millisecond
)

// Server is the HTTP server for callers' requests.
type Server struct {
	entry *Entry
	http  *graceful.Server
}

// NewServer returns the server for callers' requests, over HTTP/1.1 and
// cleartext HTTP/2.
func (e *Entry) NewServer() *Server {
	router := echo.New()
	router.HideBanner = true
	// Runs before echo's routing, since serve answers requests of any path and
	// method.
	router.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return e.serve })
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{entry: e, http: graceful.New(&http.Server{
		Handler:           router,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         &protocols,
		ConnContext:       withCallerConn,
		ConnState:         clearHandledOnIdle,
		// "OPTIONS *" names no service and is refused like any other bad target.
		DisableGeneralOptionsHandler: true,
	}, arrivalTime)}
}

// Serve accepts callers' connections on the listener until Shutdown is called,
// and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(callerListener{l}); !errors.Is(err, http.ErrServerClosed) {
		return operr.Wrap(err, "entry: serve callers", l.Addr().String())
	}
	return nil
}

// endConnection makes the response the last one of its connection if the entry
// is draining: net/http closes an HTTP/1.1 connection after it and sends
// GOAWAY on an HTTP/2 connection, whose open streams continue.
func (e *Entry) endConnection(header http.Header) {
	if e.draining.Load() {
		header.Set("Connection", "close")
	}
}

// Shutdown marks the entry as not ready, waits shutdownDelay so that the load
// balancer notices, stops accepting connections and waits for the requests in
// progress until ctx ends. It then closes the connections to the hosts and
// removes the entry's registration.
func (s *Server) Shutdown(ctx context.Context) error {
	s.entry.draining.Store(true)
	event.ProcessDraining.Log(s.entry.log)
	// From now on every response ends its connection (see endConnection). Idle
	// connections stay open during the delay, since a caller may be sending a
	// request on one.
	_ = ctxtime.Sleep(ctx, shutdownDelay)
	if err := s.http.Shutdown(ctx); err != nil {
		return operr.Wrap(err, "entry: shut down", "")
	}
	if err := s.entry.links.Close(ctx); err != nil {
		return err
	}
	return s.entry.Deregister(ctx)
}
