// Package link manages an entry's connections to its upstreams: HTTP/1.1 over
// TCP, one request at a time on each connection, without pipelining.
//
// A Set never opens more connections to a host than the host's share and never
// reuses a connection whose last exchange did not end cleanly. The error of a
// failed request states whether it is certain that no byte of the request left
// this process.
package link

import (
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/outcome"
)

// Defaults of Options.
const (
	// DefaultDialTimeout is the timeout for opening one connection.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdle is how long a connection may be idle before it is closed.
	DefaultMaxIdle = 30 * time.Second
	// DefaultMaxAge is the age above which a connection gets no new request.
	DefaultMaxAge = 10 * time.Minute
	// DefaultMaxIdleNoRepeat is how long after its last answer an idle connection
	// may still be used for a request that must not be repeated.
	DefaultMaxIdleNoRepeat = time.Second
	// DefaultProbeFraction is the fraction of a request's remaining time without
	// any byte sent or received after which the upstream is probed (0..1).
	DefaultProbeFraction = 0.3
	// DefaultGiveUpFraction is the fraction of a request's remaining time after
	// which a request that will not be retried is given up if its connection was
	// found silent (0..1).
	DefaultGiveUpFraction = 0.8
	// DefaultProbeTimeout is the timeout of a probe, including its dial.
	DefaultProbeTimeout = time.Second
	// DefaultUserTimeout is the TCP_USER_TIMEOUT of every connection. It also
	// ends a connection whose upstream accepts no more bytes of a request for
	// that long.
	DefaultUserTimeout = 3 * time.Second
	// DefaultCloseTimeout is how long a closed connection counts as open while
	// the upstream has not closed its side.
	DefaultCloseTimeout = 250 * time.Millisecond
	// DefaultMaxHeaderBytes is the maximum size of an answer's header.
	DefaultMaxHeaderBytes = 256 << 10
)

// Options configures a Set. A zero field takes its default.
type Options struct {
	Log             *zap.Logger
	DialTimeout     time.Duration
	MaxIdle         time.Duration
	MaxAge          time.Duration
	MaxIdleNoRepeat time.Duration
	ProbeFraction   float64
	GiveUpFraction  float64
	ProbeTimeout    time.Duration
	UserTimeout     time.Duration
	CloseTimeout    time.Duration
	MaxHeaderBytes  int64
	// OnShutdownSignal is called for each shutdown signal of an upstream. It runs
	// on the goroutine of a request, must not block, and may be nil.
	OnShutdownSignal func(hostName string, signal ShutdownSignal)
}

// withDefaults returns the options with each zero field replaced by its
// default.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.MaxIdle, DefaultMaxIdle)
	setDuration(&o.MaxAge, DefaultMaxAge)
	setDuration(&o.MaxIdleNoRepeat, DefaultMaxIdleNoRepeat)
	setDuration(&o.ProbeTimeout, DefaultProbeTimeout)
	setDuration(&o.UserTimeout, DefaultUserTimeout)
	setDuration(&o.CloseTimeout, DefaultCloseTimeout)
	if o.ProbeFraction == 0 {
		o.ProbeFraction = DefaultProbeFraction
	}
	if o.GiveUpFraction == 0 {
		o.GiveUpFraction = DefaultGiveUpFraction
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	return o
}

// setDuration sets a duration that is zero to the default value.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// RequestIDHeader is the request header in which a Set sends the unique ID of
// each try. An upstream may return it in its answer; an answer with a
// different ID belongs to another request and is rejected.
const RequestIDHeader = "Egretpitch-Request-Id"

// Share is this entry's share of a host's connections.
type Share struct {
	Host host.Host
	// Connections is the maximum number of connections that the entry may have
	// open.
	Connections int
}

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the path and query, which start with exactly one slash.
	URI string
	// Host is the value of the Host header. Empty means the upstream's address.
	Host string
	// Header is not modified. Its hop-by-hop headers are not sent.
	Header http.Header
	// Body is the whole body. It is used if Reader is nil.
	Body []byte
	// Reader supplies a body of Length bytes. A request with a Reader can be sent
	// only once.
	Reader io.Reader
	// Length is the length of Reader in bytes.
	Length int64
	// MayRepeat is true if the request may run more than once.
	MayRepeat bool
	// ShouldAbandon is called from another goroutine when the connection of a
	// request that may be repeated was found silent. If it returns true, the
	// request is given up at once, so that it can be retried; if false, the
	// request waits for a late answer, like one that must not be repeated. Nil
	// means true.
	ShouldAbandon func() bool
	// HeldAnswerBytes is the maximum size of an answer that is buffered whole in
	// memory before Do returns. Longer answers are streamed.
	HeldAnswerBytes int64
}

// Answer is an upstream's answer. The caller must close its Body.
type Answer struct {
	Status int
	// Header does not contain hop-by-hop headers.
	Header http.Header
	// Body is the answer's body. If the answer is truncated, reading it ends with
	// an error other than io.EOF.
	Body io.ReadCloser
	// ShutdownSignal is the answer's shutdown signal, of kind SignalNone if there
	// is none.
	ShutdownSignal ShutdownSignal
	// ContentLength is the length of the body in bytes, or -1 if unknown.
	ContentLength int64
	whole         bool
}

// Whole reports whether the whole body had been received before Do returned.
func (a *Answer) Whole() bool { return a.whole }

// Error is the error of a request that got no whole answer.
type Error struct {
	// Step is the operation that failed, such as "link: read answer".
	Step string
	// Peer is the address and name of the upstream.
	Peer string
	// Outcome is NotRun only if no byte of the request was passed to the kernel,
	// and otherwise Unknown.
	Outcome outcome.Outcome
	// Silent is true if the connection was found silent while the upstream
	// answered a probe on a new connection.
	Silent bool
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return (&operr.Error{Step: e.Step, Peer: e.Peer, Err: e.Err}).Error() + " (" + e.Outcome.String() + ")"
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SignalKind is the form of an upstream's shutdown signal.
type SignalKind int

const (
	// SignalNone means that there is no signal: the upstream's last answer kept
	// its connection open.
	SignalNone SignalKind = iota
	// SignalClose is an answer with "Connection: close".
	SignalClose
	// SignalUnavailable is a 503 with Retry-After.
	SignalUnavailable
	// SignalRefused is a refused connection.
	SignalRefused
)

// String returns the name of the kind for logs.
func (k SignalKind) String() string {
	switch k {
	case SignalClose:
		return "close"
	case SignalUnavailable:
		return "unavailable"
	case SignalRefused:
		return "refused"
	}
	return "none"
}

// ShutdownSignal is an indication by an upstream that it is shutting down or
// unavailable.
type ShutdownSignal struct {
	Kind SignalKind
	// At is the time at which it was received.
	At time.Time
	// RetryAfter is the delay that the upstream requested, 0 if it requested
	// none.
	RetryAfter time.Duration
}

// HostUse is the set's current usage of one host.
type HostUse struct {
	Host string
	// InFlight counts requests that hold a connection or are opening one.
	InFlight int
	// Open counts connections that are open, being opened, or not yet closed by
	// the upstream.
	Open int
	// Waiting counts requests that are waiting for a connection.
	Waiting int
	// ShutdownSignal is the last shutdown signal, of kind SignalNone once the
	// host has answered normally.
	ShutdownSignal ShutdownSignal
}
