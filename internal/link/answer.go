package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// heldBody is a whole body in memory.
type heldBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*heldBody) Close() error { return nil }

// readBody returns the answer, held if it is whole within HeldAnswerBytes,
// else as a stream that keeps the connection until it ends.
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
		// From here on the reader of the stream sets the pace.
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

// readHeld reads up to HeldAnswerBytes of the body. It reports whether that is the
// whole of it; a body that ends too early is an error.
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

// wrapTruncated turns an end that came too early into an error that says so.
func wrapTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(io.ErrUnexpectedEOF, "answer is cut off")
	}
	return err
}

// streamBody is the body of an answer that is too long to be held.
type streamBody struct {
	x        *exchange
	ctx      context.Context
	held     []byte
	body     io.Reader
	reusable bool
	closed   bool
	finish   sync.Once
}

// Read implements io.Reader. A body that is cut off ends in an *Error.
func (s *streamBody) Read(p []byte) (int, error) {
	if s.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if len(s.held) > 0 {
		n := copy(p, s.held)
		s.held = s.held[n:]
		return n, nil
	}
	s.x.conn.ioCount.Add(1) // silence counts from here
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

// fail closes the connection after a read failed.
func (s *streamBody) fail(err error) error {
	failure := error(&Error{Step: "link: read answer", Peer: s.x.host.peer, Err: wrapTruncated(err)})
	s.finish.Do(func() { failure = s.x.fail(s.ctx, "link: read answer", wrapTruncated(err)) })
	return failure
}

// Close implements io.Closer. A body that was not read to its end takes the
// connection with it.
func (s *streamBody) Close() error {
	s.closed = true
	s.finish.Do(func() { s.x.finish(false) })
	return nil
}
