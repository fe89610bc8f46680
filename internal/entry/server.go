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
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/outcome"
)

const (
	// maxHeaderBytes is the maximum size of a request's header. net/http allows
	// headerSlop more.
	maxHeaderBytes = 64 << 10
	headerSlop     = 4 << 10
	// readHeaderTimeout is the time in which a request's header must arrive.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle before it is
	// closed.
	idleTimeout = 2 * time.Minute
	// limiterDelay is how much later than net/http the limiter ends a connection, so
	// that HTTP/2 connections are ended with a GOAWAY.
	limiterDelay = time.Second
	// stallTimeout is the longest wait for a part of a body, and for a caller to read
	// a part of an answer. It is the longest deadline that settings allow.
	stallTimeout = 10 * time.Minute
	// minStreams and maxStreams bound the number of requests that an HTTP/2 connection
	// may have in progress. maxStreams is the default of net/http. streamBytes is what
	// net/http keeps of an answer that its handler has written and the caller does not
	// read.
	minStreams, maxStreams = 16, 250
	streamBytes            = 16 << 10
	// frameBytes is the size of the largest HTTP/2 frame, the smallest one that the
	// protocol allows: the buffer for it is kept with its connection.
	frameBytes = 16 << 10
	// minWindow and maxWindow bound what an HTTP/2 connection may have received that
	// no handler has read. maxWindow is the default of net/http.
	minWindow, maxWindow = 64 << 10, 1 << 20
	// shutdownDelay is how long an entry that shuts down still accepts
	// connections, so that the load balancer sees that it is not ready before it
	// stops listening.
	shutdownDelay = 500 * time.Millisecond
	// arrivalTime is how long requests may arrive on open connections after that.
	arrivalTime = 300 * time.Millisecond
)

// Server is the HTTP server for callers' requests.
type Server struct {
	entry   *Entry
	http    *graceful.Server
	limiter *intake.Limiter
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
	inner := &http.Server{
		Handler:           router,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         &protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          e.streams(),
			MaxReadFrameSize:              frameBytes,
			MaxReceiveBufferPerConnection: e.window(),
			MaxReceiveBufferPerStream:     e.window(),
		},
		// "OPTIONS *" names no service and is refused like any other bad target.
		DisableGeneralOptionsHandler: true,
	}
	limiter := intake.New(intake.Options{
		Listener: "callers", Bounds: e.bounds, Limits: limits, StallTimeout: stallTimeout, HoldFactor: 1,
		RefusalHeader: refusalHeader, Log: e.log,
	})
	limiter.Configure(inner)
	observeCallers(inner)
	return &Server{entry: e, http: graceful.New(inner, arrivalTime), limiter: limiter}
}

// streams returns the number of requests that an HTTP/2 connection may have in
// progress.
func (e *Entry) streams() int {
	if !e.memoryLimited {
		return maxStreams
	}
	return int(min(max(e.bounds.Bytes/int64(e.bounds.Connections)/streamBytes, minStreams), maxStreams))
}

// window returns the flow control window of an HTTP/2 connection. Where the memory of
// the process is limited, the windows of all connections fit into the memory for
// bodies.
func (e *Entry) window() int {
	if !e.memoryLimited {
		return maxWindow
	}
	return int(min(max(e.bounds.Bytes/int64(e.bounds.Connections), minWindow), maxWindow))
}

// limits returns the limits that the limiter applies. They are above those of
// net/http, which answers headers that are too large and ends idle connections.
func limits() intake.Limits {
	return intake.Limits{
		MaxHeaderBytes: maxHeaderBytes + headerSlop,
		HeaderTimeout:  readHeaderTimeout + limiterDelay, IdleTimeout: idleTimeout + limiterDelay,
	}
}

// refusalHeader returns the headers of an answer that the limiter sends.
func refusalHeader(status int) http.Header {
	reason := reasonBadRequest
	if status == http.StatusServiceUnavailable {
		reason = reasonOverloaded
	}
	return http.Header{outcome.Header: {outcome.NotRun.String()}, ReasonHeader: {reason}}
}

// Listen listens for callers on a TCP address (IP:port). Where the memory of the
// process is limited, so are the kernel's buffers of the connections.
func (s *Server) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err == nil && s.entry.memoryLimited {
		err = s.limiter.BoundBuffers(l)
	}
	return l, operr.Wrap(err, "entry: listen for callers", address)
}

// Serve accepts callers' connections on the listener until Shutdown is called,
// and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(callerListener{s.limiter.Wrap(l)}); !errors.Is(err, http.ErrServerClosed) {
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
