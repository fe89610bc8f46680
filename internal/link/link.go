// Package link holds an entry's connections to its upstreams: HTTP/1.1 over
// TCP, one request at a time on each connection.
//
// A Set never opens more connections to a host than the host's share, never
// uses a connection again whose last exchange did not end cleanly, and says of
// each failed request whether it is certain that no byte of it left this
// process.
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
	// DefaultDialTimeout bounds the opening of one connection.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdle is how long a connection may be idle before it is closed.
	DefaultMaxIdle = 30 * time.Second
	// DefaultMaxAge is how old a connection may be when a request goes onto it.
	DefaultMaxAge = 10 * time.Minute
	// DefaultMaxIdleNoRepeat is how long after its last answer an idle connection
	// counts as proved for a request that must not be repeated.
	DefaultMaxIdleNoRepeat = time.Second
	// DefaultProbeFraction is the share of a request's remaining time for which
	// no byte may move before the upstream is probed (0..1).
	DefaultProbeFraction = 0.3
	// DefaultGiveUpFraction is the share of a request's remaining time after
	// which a request that is not sent again is given up on a connection that
	// was found silent (0..1).
	DefaultGiveUpFraction = 0.8
	// DefaultProbeTimeout bounds a probe, its dial included.
	DefaultProbeTimeout = time.Second
	// DefaultUserTimeout is the TCP_USER_TIMEOUT of every connection. It also
	// ends one whose upstream takes no more bytes of a request for that long.
	DefaultUserTimeout = 3 * time.Second
	// DefaultCloseTimeout is how long a closed connection counts as open
	// while the upstream has not closed its end.
	DefaultCloseTimeout = 250 * time.Millisecond
	// DefaultMaxHeaderBytes bounds the head of an answer.
	DefaultMaxHeaderBytes = 256 << 10
)

// Options configure a Set. A zero field takes its default.
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
	// OnShutdownSignal is told of each sign that an upstream leaves. It is called from
	// the goroutine of a request, must not block, and may be nil.
	OnShutdownSignal func(hostName string, signal ShutdownSignal)
}

// withDefaults returns the options with every zero field set.
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

// setDuration sets a zero duration to its default.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// RequestIDHeader is the request header in which a Set gives each try its
// unique id. An upstream may repeat it in its answer; an answer with another id
// is then known to belong to another request and is not accepted.
const RequestIDHeader = "Egretpitch-Request-Id"

// Share is this entry's part of a host's connections.
type Share struct {
	Host host.Host
	// Connections is how many connections the entry may have open.
	Connections int
}

// Request is a caller's request as it goes to an upstream.
type Request struct {
	Method string
	// URI is the path and query, starting with one slash.
	URI string
	// Host is the value of the Host header; empty for the upstream's address.
	Host string
	// Header is not changed. Hop-by-hop headers are left out.
	Header http.Header
	// Body is the whole body, used when Reader is nil.
	Body []byte
	// Reader is a body of Length bytes. A request with a Reader can go once.
	Reader io.Reader
	// Length is the length of Reader in bytes.
	Length int64
	// MayRepeat says that the request may run more than once.
	MayRepeat bool
	// ShouldAbandon is asked once a connection was found silent under a request that
	// may be repeated, from another goroutine: true gives the request up at
	// once, false waits for an answer that is late, like for one that must not
	// be repeated. Nil stands for true.
	ShouldAbandon func() bool
	// HeldAnswerBytes is how much of an answer is held until it is whole.
	HeldAnswerBytes int64
}

// Answer is an upstream's answer. Its Body is closed by the caller.
type Answer struct {
	Status int
	// Header is without hop-by-hop headers.
	Header http.Header
	// Body is the rest of the answer. A truncated one ends in an error that
	// is not io.EOF.
	Body io.ReadCloser
	// ShutdownSignal is the sign of leaving that the answer gave, if any.
	ShutdownSignal ShutdownSignal
	// ContentLength is the length of the body in bytes, -1 when not known.
	ContentLength int64
	whole         bool
}

// Whole reports whether the whole body had arrived before Do returned.
func (a *Answer) Whole() bool { return a.whole }

// Error is a request that got no answer.
type Error struct {
	// Step names what was being done, such as "link: read answer".
	Step string
	// Peer is the address and name of the upstream.
	Peer string
	// Outcome is NotRun only if no byte of the request was handed to the
	// kernel, else Unknown.
	Outcome outcome.Outcome
	// Silent says that the connection was found silent while new ones work.
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

// SignalKind is how an upstream shows that it leaves.
type SignalKind int

const (
	// SignalNone means that the upstream's last answer kept its connection open.
	SignalNone SignalKind = iota
	// SignalClose is an answer with "Connection: close".
	SignalClose
	// SignalUnavailable is a 503 with Retry-After.
	SignalUnavailable
	// SignalRefused is a refused dial.
	SignalRefused
)

// String returns the name of the kind, for logs.
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

// ShutdownSignal is an upstream's own sign that it leaves.
type ShutdownSignal struct {
	Kind SignalKind
	// At is when it was seen.
	At time.Time
	// RetryAfter is how long the upstream asks to be left alone, 0 if it
	// does not say.
	RetryAfter time.Duration
}

// HostUse is what the set has at one host.
type HostUse struct {
	Host string
	// InFlight counts requests that hold a connection or are opening one.
	InFlight int
	// Open counts connections that are open, opening or not yet closed by
	// the upstream.
	Open int
	// Waiting counts requests that wait for a connection.
	Waiting int
	// ShutdownSignal is the last sign, of kind SignalNone once it answered normally.
	ShutdownSignal ShutdownSignal
}
