package intake

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// http2Preface is what an HTTP/2 connection begins with, and no HTTP/1.1 request.
	http2Preface = "PRI * HTTP/2.0"
	// http2Bytes is what an HTTP/2 connection may take beside its requests: a header
	// that is not complete, two more goroutines, frames of 16 KB and the tables of
	// header compression.
	http2Bytes = 96 << 10
	// streamBytes is what a request takes beside its header and body.
	streamBytes = 8 << 10
)

// stream is a request of an HTTP/2 connection.
type stream struct {
	client client
	writer http.ResponseWriter
	// mu guards done, which is set once the handler has returned.
	mu   sync.Mutex
	done bool
}

// streamKey is the key of a stream in the context of its request.
type streamKey struct{}

// clientOf returns the client of a request, nil if its listener has no limiter.
func clientOf(r *http.Request) *client {
	if r.ProtoMajor == 2 {
		if s, ok := r.Context().Value(streamKey{}).(*stream); ok {
			return &s.client
		}
		return nil
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return &c.client
}

// boundStreams returns a handler that holds the memory of requests over HTTP/2 in the
// budget while h serves them.
func (l *Limiter) boundStreams(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			h.ServeHTTP(w, r)
			return
		}
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		s := &stream{writer: w}
		s.client.conn, s.client.stream = c, s
		l.openStream(s)
		defer l.closeStream(s)
		if !l.take(&s.client, streamBytes+headerBytes(r)) {
			_ = s.client.reject(refusedBytes, ErrOverloaded)
			for name, values := range l.refusalHeader(http.StatusServiceUnavailable) {
				w.Header()[name] = values
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), streamKey{}, s)))
	})
}

// headerBytes returns what the header of a request takes, 0 if it is part of
// streamBytes.
func headerBytes(r *http.Request) int64 {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size <= freeHeader {
		return 0
	}
	return headerFactor * int64(size)
}

func (l *Limiter) openStream(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := s.client.conn
	l.budget.openStream(&s.client, &c.client)
	c.streams++
	c.updatePhase()
}

func (l *Limiter) closeStream(s *stream) {
	s.mu.Lock()
	s.done = true
	s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := s.client.conn
	l.budget.closeStream(&s.client)
	c.streams--
	c.updatePhase()
	l.changed.Broadcast()
}

// interrupt ends the reading of the body. l.mu is held, and the stream waits for its
// client, so that its request is in progress.
func (s *stream) interrupt() {
	_ = http.NewResponseController(s.writer).SetReadDeadline(time.Unix(1, 0)) // fails only if it is closed
}

// reset ends the writing of the answer.
func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		_ = http.NewResponseController(s.writer).SetWriteDeadline(time.Unix(1, 0)) // fails only if it is closed
	}
}

// answerPart is the size of the parts in which an answer is written over HTTP/2, in
// bytes. The wait for the client counts for each of them.
const answerPart = 16 << 10

// answerWriter writes an answer over HTTP/2.
type answerWriter struct {
	io.Writer
	client *client
}

// AnswerWriter returns a writer of the answer to a request, which is w over HTTP/1.1.
// Over HTTP/2 it records that the request waits until its client reads.
func AnswerWriter(w io.Writer, r *http.Request) io.Writer {
	if c := clientOf(r); c != nil && c.stream != nil {
		return &answerWriter{w, c}
	}
	return w
}

// Write implements io.Writer.
func (a *answerWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), answerPart)]
		var n int
		a.client.beginWait(phaseAnswer)
		n, err = a.Writer.Write(part)
		a.client.endWait()
		written += n
		p = p[n:]
	}
	return written, err
}

// beginRead records that a request over HTTP/2 waits for the rest of its body. Over
// HTTP/1.1, the connection records it.
func (c *client) beginRead() {
	if c != nil && c.stream != nil {
		c.beginWait(phaseBody)
	}
}

// endRead records that the wait of beginRead has ended.
func (c *client) endRead() {
	if c != nil && c.stream != nil {
		c.endWait()
	}
}

// beginWait records that a request over HTTP/2 waits for its client.
func (c *client) beginWait(p phase) {
	l := c.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.failure != nil {
		return // it ends at once
	}
	l.budget.wait(c, p, l.now)
	c.conn.waitingStreams++
	c.conn.updatePhase()
}

// endWait records that the wait of beginWait has ended.
func (c *client) endWait() {
	l := c.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseServing {
		return
	}
	l.budget.serve(c)
	c.conn.waitingStreams--
	c.conn.updatePhase()
}

// updatePhase sets the phase of an HTTP/2 connection. limiter.mu is held.
func (c *conn) updatePhase() {
	b := c.limiter.budget
	p := phaseServing
	switch {
	case c.released || c.client.failure != nil:
		return
	case c.writing:
		return // phaseAnswer was set when the write began
	case c.streams == 0:
		p = phaseIdle
	case c.waitingStreams == c.streams:
		p = phaseStreams
	}
	switch {
	case p == phaseServing:
		b.serve(&c.client)
	case p != c.client.phase:
		b.wait(&c.client, p, c.limiter.now)
	}
}
