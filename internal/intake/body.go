package intake

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of ReadBody.
var (
	// ErrOverloaded means that the memory for bodies is used up.
	ErrOverloaded = errors.New("too many bodies at once")
	// ErrSlow means that the client did not send its body in time.
	ErrSlow = errors.New("body did not arrive in time")
	// ErrTooLarge means that the body is larger than the limit.
	ErrTooLarge = errors.New("body is too large")
)

const (
	// firstBuffer is the size of the first buffer for a body of unknown size, and
	// firstDeclared that for one whose size is declared, in bytes.
	firstBuffer   = 512
	firstDeclared = 4 << 10
	// decodedFactor is how many times its size a body takes until its job is
	// stored: the body, the job, and its rows.
	decodedFactor = 3
	// bodyTimeFactor is how many time-outs for a part of it a body may take as a whole. With the
	// defaults that is 60 s, or 4.4 KB/s for the largest body.
	bodyTimeFactor = 4
)

// Status returns the HTTP status for an error of ReadBody.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrOverloaded):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// ReadBody reads a body of at most limit bytes. Its memory, and that of the job
// decoded from it, is held in the budget of the request's listener until the request
// is answered. After an error the rest of the body is not read, except after
// ErrTooLarge.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	c := clientOf(r)
	if r.ContentLength > limit {
		return nil, c.reject(refusedBody, ErrTooLarge)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := bodyReader{client: c, most: limit + 1, declared: r.ContentLength}
	err := body.read(r.Body)
	if err == nil && int64(len(body.data)) > limit {
		err = c.reject(refusedBody, ErrTooLarge)
	}
	if err == nil {
		err = body.hold(c.holdFactor() * int64(len(body.data)))
	}
	if err != nil {
		c.drop(body.held, err)
		return nil, err
	}
	return body.data, nil
}

// bodyReader reads a body into a buffer that grows with what has arrived.
type bodyReader struct {
	client         *client
	data           []byte
	held           int64
	most, declared int64
}

// read reads until the end of a body, or until it is longer than most allows.
func (b *bodyReader) read(from io.Reader) error {
	began := b.client.time()
	for int64(len(b.data)) < b.most {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		b.client.beginRead()
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.client.endRead()
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return b.client.cause(err)
		}
		if b.client.late(began) {
			return b.client.reject(refusedSlow, ErrSlow)
		}
	}
	return nil
}

// grow doubles the buffer, up to the declared size of the body. The bytes held are
// those of the new buffer.
func (b *bodyReader) grow() error {
	size := max(2*int64(cap(b.data)), firstBuffer)
	if b.declared > 0 {
		size = min(max(size, firstDeclared), b.declared)
	}
	size = min(size, b.most)
	if err := b.hold(size); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}

// hold raises what the client holds for the body to a number of bytes.
func (b *bodyReader) hold(size int64) error {
	if b.client == nil || size <= b.held {
		return nil
	}
	if !b.client.conn.limiter.take(b.client, size-b.held) {
		return b.client.reject(refusedBytes, ErrOverloaded)
	}
	b.held = size
	return nil
}

// reject counts a refused request and returns the error.
func (c *client) reject(why reason, err error) error {
	if c != nil {
		l := c.conn.limiter
		l.mu.Lock()
		l.count(why)
		c.conn.bodyRefused = c.conn.bodyRefused || (why == refusedBody && c.stream == nil)
		l.mu.Unlock()
	}
	return err
}

// drop gives back what a client holds for a refused body. The rest of the body is not
// read.
func (c *client) drop(held int64, err error) {
	if c == nil {
		return
	}
	l := c.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.failure == nil && !errors.Is(err, ErrTooLarge) {
		c.failure = err
	}
	l.budget.release(c, held)
	l.budget.settle(c)
	l.changed.Broadcast()
}

// cause returns why a read failed.
func (c *client) cause(err error) error {
	if c == nil {
		return err
	}
	c.conn.limiter.mu.Lock()
	defer c.conn.limiter.mu.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return err
}

// time returns the limiter's time.
func (c *client) time() time.Duration {
	if c == nil {
		return 0
	}
	l := c.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// late reports whether a body that began to arrive at a time takes too long.
func (c *client) late(began time.Duration) bool {
	if c == nil {
		return false
	}
	l := c.conn.limiter
	return c.time()-began > bodyTimeFactor*l.stallTimeout(l.limits())
}

// holdFactor returns how many times its size a body takes.
func (c *client) holdFactor() int64 {
	if c == nil {
		return decodedFactor
	}
	return cmp.Or(c.conn.limiter.HoldFactor, decodedFactor)
}

// BodyBounds bound the bodies of an operators' listener.
type BodyBounds struct {
	// MaxBytes is the size of the largest body.
	MaxBytes int64
	// Tokens are strings of which each may stand for a value that takes ValueBytes
	// when it is decoded, however few bytes it has.
	Tokens     []string
	ValueBytes int64
	// MaxValues is the number of such values in a body.
	MaxValues int64
}

// JobBodies are the bounds of bodies of jobs in JSON: 100 jobs of 200 steps and their
// own objects.
func JobBodies(maxBytes int64) BodyBounds {
	return BodyBounds{MaxBytes: maxBytes, Tokens: []string{"{", "null"}, ValueBytes: 800, MaxValues: 24_000}
}

const (
	// treeBytes is what a node of a settings tree may take: its node in the YAML
	// document and the value decoded from it.
	treeBytes = 256
	// adminMemoryPart is the inverse of the part of the memory for the values of one
	// body, and adminBodyPart that for the body itself.
	adminMemoryPart = 8
	adminBodyPart   = 16
	// maxAdminBody is the size of the largest body where memory allows it: 500 jobs
	// with commands of 32 KB.
	maxAdminBody = 16 << 20
)

// TreeBodies are the bounds of bodies of the administration API of a process with a
// limit on its memory, in bytes: settings trees, which are YAML in a JSON string, and
// jobs.
func TreeBodies(memory int64) BodyBounds {
	return BodyBounds{
		MaxBytes:   min(memory/adminBodyPart, maxAdminBody),
		Tokens:     []string{"{", "[", ",", ":", "-", "?", "null", `\n`, `\u`},
		ValueBytes: treeBytes,
		MaxValues:  memory / adminMemoryPart / treeBytes,
	}
}

// BufferBodies returns a handler for an operators' listener that reads each body, in
// JSON, before it calls h. A body that is not read is answered with its status.
func BufferBodies(h http.Handler, bounds BodyBounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			body, err := ReadBody(r, bounds.MaxBytes)
			if err == nil {
				err = bounds.holdValues(r, body)
			}
			if err != nil {
				w.Header().Set("Retry-After", "1")
				http.Error(w, err.Error(), Status(err))
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		h.ServeHTTP(w, r)
	})
}

// holdValues holds what the values of a body take.
func (b *BodyBounds) holdValues(r *http.Request, body []byte) error {
	c := clientOf(r)
	values := int64(0)
	for _, token := range b.Tokens {
		values += int64(bytes.Count(body, []byte(token)))
	}
	if values > b.MaxValues {
		return c.reject(refusedBody, ErrTooLarge)
	}
	if c != nil && !c.conn.limiter.take(c, values*b.ValueBytes) {
		return c.reject(refusedBytes, ErrOverloaded)
	}
	return nil
}
