package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// heldBody is a whole body that is buffered in memory.
type heldBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*heldBody) Close() error { return nil }

// HeldBytes returns the size of a whole body, which is buffered in memory, and 0 for
// a stream.
func (a *Answer) HeldBytes() int64 {
	if body, ok := a.Body.(*heldBody); ok {
		return body.Size()
	}
	return 0
}

// readBody returns the answer. Its body is buffered if it has at most
// HeldAnswerBytes, and otherwise a stream that keeps the connection until it
// ends.
func (x *exchange) readBody(ctx context.Context, resp *http.Response) (*Answer, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return nil, errUndelimitedBody
	}
	removeHopByHop(resp.Header)
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength}
	held, whole, err := x.readHeld(resp)
	if err != nil {
		return nil, err
	}
	if !whole {
		// From here on, silence is only checked while the body is being read.
		x.reader.Store(readerPaused)
		answer.Body = &streamBody{x: x, ctx: ctx, held: held, body: resp.Body, reusable: !resp.Close}
		return answer, nil
	}
	x.finish(!resp.Close)
	answer.whole = true
	body := &heldBody{}
	body.Reset(held)
	answer.Body = body
	return answer, nil
}

// readHeld reads up to HeldAnswerBytes of the body and reports whether that is
// all of it. A truncated body is an error.
func (x *exchange) readHeld(resp *http.Response) (held []byte, whole bool, err error) {
	if resp.Body == http.NoBody || x.message.Method == http.MethodHead {
		return nil, true, nil
	}
	limit := x.req.HeldAnswerBytes
	if resp.ContentLength > limit {
		return nil, false, nil
	}
	if resp.ContentLength >= 0 {
		held = make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, held); err != nil {
			return nil, false, wrapTruncated(err)
		}
		return held, true, nil
	}
	held, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, false, wrapTruncated(err)
	}
	return held, int64(len(held)) <= limit, nil
}

// wrapTruncated replaces an unexpected end of the body by an error that says
// that it is truncated. Other errors are returned unchanged.
func wrapTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(io.ErrUnexpectedEOF, "answer is truncated")
	}
	return err
}

// streamBody is the body of an answer that is too long to be buffered.
type streamBody struct {
	x        *exchange
	ctx      context.Context
	held     []byte
	body     io.Reader
	reusable bool
	closed   bool
	finish   sync.Once
}

// Read implements io.Reader. A truncated body ends with an *Error.
func (s *streamBody) Read(p []byte) (int, error) {
	if s.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if len(s.held) > 0 {
		n := copy(p, s.held)
		s.held = s.held[n:]
		return n, nil
	}
	s.x.conn.ioCount.Add(1) // restarts the silence timeout
	s.x.reader.Store(readerWaiting)
	n, err := s.body.Read(p)
	s.x.reader.Store(readerPaused)
	switch {
	case err == io.EOF:
		s.finish.Do(func() { s.x.finish(s.reusable) })
	case err != nil:
		err = s.fail(err)
	}
	return n, err
}

// fail closes the connection after a failed read.
func (s *streamBody) fail(err error) error {
	failure := error(&Error{Step: "link: read answer", Peer: s.x.host.peer, Err: wrapTruncated(err)})
	s.finish.Do(func() { failure = s.x.fail(s.ctx, "link: read answer", wrapTruncated(err)) })
	return failure
}

// Close implements io.Closer. If the body was not read to its end, the
// connection is closed, too.
func (s *streamBody) Close() error {
	s.closed = true
	s.finish.Do(func() { s.x.finish(false) })
	return nil
}
