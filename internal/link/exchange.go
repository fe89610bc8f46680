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

// maxInformational is how many 1xx answers may precede the final one.
const maxInformational = 8

// Reasons for which an answer is not accepted.
var (
	errSwitchedProtocols    = errors.New("upstream switched protocols unasked")
	errTooManyInformational = errors.New("too many 1xx answers")
	errUndelimitedBody      = errors.New("answer has neither Content-Length nor chunks, so that its end cannot be told from a cut")
	errRequestIDMismatch    = errors.New("answer carries the id of another request")
	errSilent               = errors.New("connection silent while new ones work")
)

// Who waits for the bytes of an exchange.
const (
	// readerDo means that Do waits.
	readerDo int32 = iota
	// readerPaused means that the answer streams and nobody reads it just now.
	readerPaused
	// readerWaiting means that the reader of a stream waits.
	readerWaiting
)

// exchange is one request and its answer on one connection.
type exchange struct {
	host *hostLinks
	conn *conn
	req  *Request
	// stop ends the watch on the request's context. It reports whether the
	// connection was left alone by it.
	stop func() bool
	// id is the value of RequestIDHeader.
	id string
	// number is the request's number on its connection.
	number uint64
	sent   time.Time
	// silenceTimeouts are the times after which a silent connection is doubted.
	silenceTimeouts silenceTimeouts
	// probeTimer looks whether bytes moved, and probes the upstream if none did.
	probeTimer *time.Timer
	// firstByteLatency is how long the answer took to begin.
	firstByteLatency time.Duration

	// ioCount is the connection's count at the last look.
	ioCount int64
	// reader is one of the reader constants.
	reader atomic.Int32

	// Parts of the message, held here to allocate them at once.
	message http.Request
	url     url.URL
	body    bytes.Reader
}

// newExchange returns the exchange of req on a connection that it holds.
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
// when the answer is whole, failed or closed.
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

// send writes the request. The last look at the host's state comes before the
// first byte, so that a host that left while this request waited gets none.
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

// watch probes the upstream when no bytes of the request or its answer move
// within the bounds of silence.
func (x *exchange) watch(ctx context.Context, hostLatency latency) {
	remaining := noDeadline
	if deadline, ok := ctx.Deadline(); ok {
		remaining = deadline.Sub(x.sent)
	}
	x.silenceTimeouts = silenceTimeoutsFor(x.host.set.opts, remaining, hostLatency)
	x.ioCount = x.conn.ioCount.Load()
	// The timer must be known before it fires, since doubt sets it again.
	x.probeTimer = time.AfterFunc(noDeadline, func() { x.probeIfSilent(ctx) })
	x.probeTimer.Reset(x.silenceTimeouts.probe)
}

// unwatch ends the watch for silence.
func (x *exchange) unwatch() {
	x.conn.end()
	if x.probeTimer != nil {
		x.probeTimer.Stop()
	}
}

// awaitFirstByte waits until the answer begins.
func (x *exchange) awaitFirstByte() error {
	_, err := x.conn.r.Peek(1)
	x.firstByteLatency = time.Since(x.sent)
	if err != nil && x.conn.isSilent() {
		// At least that slow: a host that is merely slow is probed later from
		// now on.
		x.host.recordLatency(x.firstByteLatency)
	}
	return err
}

// readHead returns the head of the final answer.
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

// hasOtherRequestID reports whether the answer names another request. It finds what no
// look at the connection can: an answer too many that arrives after the next
// request was sent.
func (x *exchange) hasOtherRequestID(resp *http.Response) bool {
	id := resp.Header.Get(RequestIDHeader)
	return id != "" && id != x.id
}

// fail closes the connection and returns the error of the exchange. The
// request certainly did not run only if the kernel took no byte of it.
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

// finish gives the connection back. It is used again only if the answer was
// whole, nothing came after it and nobody interrupted it.
func (x *exchange) finish(whole bool) {
	// stop must be called in any case: it frees the context of this watch.
	untouched := x.stop()
	x.unwatch()
	x.conn.lastAnswer = time.Now()
	x.host.release(x.conn, whole && untouched && x.conn.nothingBuffered())
}
