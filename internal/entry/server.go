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
	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// maxHeaderBytes bounds the head of a caller's request.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout bounds the time in which a head must arrive.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes callers' connections without requests.
	idleTimeout = 2 * time.Minute
	// shutdownDelay is how long an entry that shuts down goes on accepting, so
	// that the balancer sees it unready before it stops listening.
	shutdownDelay = 500 * time.Millisecond
)

// Server serves callers.
type Server struct {
	entry *Entry
	http  *http.Server
}

// NewServer returns the server of callers' requests, over HTTP/1.1 and h2.
func (e *Entry) NewServer() *Server {
	router := echo.New()
	router.HideBanner = true
	// Before echo's routing, since requests of any form and method are answered
	// by serve.
	router.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return e.serve })
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{entry: e, http: &http.Server{
		Handler:           router,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         &protocols,
		ConnContext:       withCallerConn,
		ConnState:         clearHandledOnIdle,
		// "OPTIONS *" concerns no service.
		DisableGeneralOptionsHandler: true,
	}}
}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(callerListener{l}); !errors.Is(err, http.ErrServerClosed) {
		return operr.Wrap(err, "entry: serve callers", l.Addr().String())
	}
	return nil
}

// endConnection makes the answer with the header the last of its connection
// while the entry drains: net/http closes an HTTP/1.1 connection after it, and
// sends GOAWAY on an h2 one, whose streams go on.
func (e *Entry) endConnection(header http.Header) {
	if e.draining.Load() {
		header.Set("Connection", "close")
	}
}

// Shutdown makes the entry unready, waits until the balancer may have seen
// it, stops accepting and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.entry.draining.Store(true)
	event.ProcessDraining.Log(s.entry.log)
	// Answers from now on end their connections (see endConnection). Idle ones
	// stay for now, since a caller may just be sending a request on them.
	_ = ctxtime.Sleep(ctx, shutdownDelay)
	if err := s.http.Shutdown(ctx); err != nil {
		return operr.Wrap(err, "entry: shut down", "")
	}
	if err := s.entry.links.Close(ctx); err != nil {
		return err
	}
	return s.entry.Deregister(ctx)
}
