package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// maxInformational is the maximum number of 1xx answers before the final one.
const maxInformational = 8

// Errors of answers that are rejected.
var (
	errSwitchedProtocols    = errors.New("upstream switched protocols without being asked to")
	errTooManyInformational = errors.New("too many 1xx answers")
	errUndelimitedBody      = errors.New("answer has neither Content-Length nor chunked encoding, so truncation cannot be detected")
	errRequestIDMismatch    = errors.New("answer has the ID of another request")
	errSilent               = errors.New("connection is silent while a new one to the upstream works")
)

// What is waiting for the bytes of an exchange.
const (
	// readerDo means that Do is reading the answer.
	readerDo int32 = iota
	// readerPaused means that the answer is streamed and no read of its body is
	// in progress.
	readerPaused
	// readerWaiting means that a read of the streamed body is in progress.
	readerWaiting
)

// exchange is one request and its answer on one connection.
type exchange struct {
	host *hostLinks
	conn *conn
	req  *Request
	// stop cancels the interruption of the connection at the end of the request's
	// context. It returns false if the interruption already started, see
	// context.AfterFunc.
	stop func() bool
	// id is the value of RequestIDHeader.
	id string
	// number is the sequence number of the exchange on its connection.
	number uint64
	sent   time.Time
	// silenceTimeouts has the times after which the connection is probed and
	// given up.
	silenceTimeouts silenceTimeouts
	// probeTimer runs probeIfSilent.
	probeTimer *time.Timer
	// firstByteLatency is the time from sending the request to the first byte of
	// the answer.
	firstByteLatency time.Duration

	// ioCount is the connection's ioCount at the last check for silence.
	ioCount int64
	// reader is one of the reader constants.
	reader atomic.Int32

	// Parts of the request message, embedded here to save allocations.
	message http.Request
	url     url.URL
	body    bytes.Reader
}

// newExchange returns the exchange of req on the connection c.
func newExchange(h *hostLinks, c *conn, req *Request) *exchange {
	x := &exchange{host: h, conn: c, req: req, id: h.set.newID()}
	x.url.Opaque = req.URI
	x.message = http.Request{Method: req.Method, URL: &x.url, Host: req.Host, Header: requestHeader(req.Header, x.id)}
	if req.Host == "" {
		x.message.Host = h.address
	}
	switch {
	case req.Reader != nil && req.Length > 0:
		x.message.Body, x.message.ContentLength = io.NopCloser(req.Reader), req.Length
	case len(req.Body) > 0:
		x.body.Reset(req.Body)
		x.message.Body, x.message.ContentLength = io.NopCloser(&x.body), int64(len(req.Body))
	}
	return x
}

// run sends the request and returns the answer. The connection is released
// when the answer was read completely, failed or was closed.
func (x *exchange) run(ctx context.Context) (*Answer, error) {
	x.number = x.conn.begin()
	x.stop = context.AfterFunc(ctx, x.conn.interrupt)
	if err := x.send(ctx); err != nil {
		return nil, x.fail(ctx, "link: send request", err)
	}
	if err := x.awaitFirstByte(); err != nil {
		return nil, x.fail(ctx, "link: await answer", err)
	}
	resp, err := x.readHead()
	if err != nil {
		return nil, x.fail(ctx, "link: read head of answer", err)
	}
	signal := signalOfAnswer(resp, time.Now())
	x.host.recordAnswer(signal, x.firstByteLatency)
	answer, err := x.readBody(ctx, resp)
	if err != nil {
		return nil, x.fail(ctx, "link: read answer", err)
	}
	answer.ShutdownSignal = signal
	return answer, nil
}

// send writes the request. It checks the host's state immediately before the
// first byte, so that a host that was unassigned while this request waited
// gets no request.
func (x *exchange) send(ctx context.Context) error {
	hostLatency, err := x.host.beforeWrite()
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	x.sent = time.Now()
	x.watch(ctx, hostLatency)
	if err := x.message.Write(x.conn.w); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// watch starts the timer that probes the upstream when no bytes of the request
// or its answer are transferred within silenceTimeouts.
func (x *exchange) watch(ctx context.Context, hostLatency latency) {
	remaining := noDeadline
	if deadline, ok := ctx.Deadline(); ok {
		remaining = deadline.Sub(x.sent)
	}
	x.silenceTimeouts = silenceTimeoutsFor(x.host.set.opts, remaining, hostLatency)
	x.ioCount = x.conn.ioCount.Load()
	// probeTimer must be assigned before it fires, since probeIfSilent resets it.
	x.probeTimer = time.AfterFunc(noDeadline, func() { x.probeIfSilent(ctx) })
	x.probeTimer.Reset(x.silenceTimeouts.probe)
}

// unwatch stops watching the exchange for silence.
func (x *exchange) unwatch() {
	x.conn.end()
	if x.probeTimer != nil {
		x.probeTimer.Stop()
	}
}

// awaitFirstByte waits until the first byte of the answer is available.
func (x *exchange) awaitFirstByte() error {
	_, err := x.conn.r.Peek(1)
	x.firstByteLatency = time.Since(x.sent)
	if err != nil && x.conn.isSilent() {
		// The latency is at least this long. Recording it delays later probes of a
		// host that is only slow.
		x.host.recordLatency(x.firstByteLatency)
	}
	return err
}

// readHead reads the header of the final answer and skips 1xx answers.
func (x *exchange) readHead() (*http.Response, error) {
	defer func() { x.conn.headBytesLeft = -1 }()
	for range maxInformational {
		x.conn.headBytesLeft = x.host.set.opts.MaxHeaderBytes
		resp, err := http.ReadResponse(x.conn.r, &x.message)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitchedProtocols
		}
		if x.hasOtherRequestID(resp) {
			crossedAnswers.Add(1)
			return nil, errRequestIDMismatch
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// hasOtherRequestID reports whether the answer has the ID of another request.
// This detects what no check of the connection can: a surplus answer that
// arrives after the next request was sent.
func (x *exchange) hasOtherRequestID(resp *http.Response) bool {
	id := resp.Header.Get(RequestIDHeader)
	return id != "" && id != x.id
}

// fail closes the connection and returns the error of the exchange. Its
// outcome is NotRun only if the kernel accepted no byte of the request.
func (x *exchange) fail(ctx context.Context, step string, err error) *Error {
	x.finish(false)
	e := &Error{Step: step, Peer: x.host.peer, Outcome: outcome.Unknown, Err: err}
	if x.conn.written == 0 {
		e.Outcome = outcome.NotRun
	}
	if ctxErr := ctx.Err(); ctxErr != nil {
		e.Err = errors.Wrap(ctxErr, err.Error())
	} else if x.conn.timedOut && x.conn.isSilent() {
		e.Silent, e.Err = true, errSilent
	}
	return e
}

// finish releases the connection. It is reused only if the answer was received
// completely, nothing followed it and it was not interrupted.
func (x *exchange) finish(whole bool) {
	// stop must always be called, since it releases the context's reference to
	// this exchange.
	untouched := x.stop()
	x.unwatch()
	x.conn.lastAnswer = time.Now()
	x.host.release(x.conn, whole && untouched && x.conn.nothingBuffered())
}
