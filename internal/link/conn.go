package link

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// aLongTimeAgo is a deadline that has passed: it ends every read and write.
var aLongTimeAgo = time.Unix(1, 0)

// errHeadTooLong is an answer whose head is above Options.MaxHeaderBytes.
var errHeadTooLong = errors.New("head of answer too long")

// conn is one connection to an upstream. One goroutine at a time uses it;
// interrupt and condemn may come from others.
type conn struct {
	tcp     *net.TCPConn
	r       *bufio.Reader
	w       *bufio.Writer
	dialled time.Time
	// lastAnswer is when the last answer was whole, or dialled.
	lastAnswer time.Time
	// written counts the bytes of the current request that the kernel took.
	written int64
	// headBytesLeft is how many bytes may still be read, -1 for no bound.
	headBytesLeft int64
	// timedOut says that a read or write ended by its deadline. The errors of
	// http.Request.Write do not tell.
	timedOut bool
	// ioCount counts the reads and writes that ioCount bytes.
	ioCount atomic.Int64

	mu sync.Mutex
	// interrupted ends all reads and writes for good.
	interrupted bool
	// exchange numbers the exchanges on the connection, and the times between
	// them.
	exchange uint64
	// silent says that the connection was found silent. It is never used
	// again, but may still bring its answer.
	silent bool
	// deadlineSet says that condemn bounds the reads and writes.
	deadlineSet bool
}

// newConn returns the connection over a fresh TCP connection.
func newConn(tcp *net.TCPConn, now time.Time) *conn {
	c := &conn{tcp: tcp, dialled: now, lastAnswer: now, headBytesLeft: -1}
	c.r = bufio.NewReader(connReader{c})
	c.w = bufio.NewWriter(connWriter{c})
	return c
}

// connReader reads from the socket within the bound of headLeft.
type connReader struct{ c *conn }

// Read implements io.Reader.
func (cr connReader) Read(p []byte) (int, error) {
	c := cr.c
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headBytesLeft > 0 && int64(len(p)) > c.headBytesLeft {
		p = p[:c.headBytesLeft]
	}
	n, err := c.tcp.Read(p)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= int64(n)
	}
	c.recordIO(n, err)
	return n, err
}

// maxWriteBytes bounds one write, so that a long body shows that it moves.
const maxWriteBytes = 64 << 10

// connWriter writes to the socket and counts what the kernel took.
type connWriter struct{ c *conn }

// Write implements io.Writer.
func (cw connWriter) Write(p []byte) (int, error) {
	total := 0
	for total < len(p) {
		part := p[total:min(total+maxWriteBytes, len(p))]
		n, err := cw.c.tcp.Write(part)
		total += n
		cw.c.written += int64(n)
		cw.c.recordIO(n, err)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// recordIO notes a read or write of n bytes. Bytes lift the bound that condemn set:
// an answer that comes after all is taken whole.
func (c *conn) recordIO(n int, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut = true
	}
	if n == 0 {
		return
	}
	c.ioCount.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlineSet && !c.interrupted {
		c.deadlineSet = false
		c.tcp.SetDeadline(time.Time{})
	}
}

// begin prepares the connection for the next exchange and returns its number.
func (c *conn) begin() uint64 {
	c.written = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange++
	return c.exchange
}

// end ends the exchange, or its part in which the upstream must not be silent.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange++
}

// isCurrent reports whether the numbered exchange still goes on.
func (c *conn) isCurrent(exchange uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == exchange && !c.interrupted
}

// interrupt ends all reads and writes, now and later.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.tcp.SetDeadline(aLongTimeAgo)
}

// markSilent marks a connection on which nothing moved since the given count in the
// numbered exchange, and bounds the wait for it. It reports whether it did. The
// number keeps a late probe from condemning the connection in its next exchange.
func (c *conn) markSilent(exchange uint64, ioCount int64, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != exchange || c.ioCount.Load() != ioCount || c.interrupted {
		return false
	}
	c.silent, c.deadlineSet = true, true
	c.tcp.SetDeadline(until)
	return true
}

// isSilent reports whether the connection was found silent.
func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// nothingBuffered reports whether nothing was read beyond the last answer.
func (c *conn) nothingBuffered() bool { return c.r.Buffered() == 0 }

// maxDiscard is how many bytes are read from a connection that is closing.
const maxDiscard = 64 << 10

// closeGracefully closes the connection. It waits at most timeout for the upstream to
// close its end first, so that the upstream never sees this connection beside
// the one that replaces it.
func (c *conn) closeGracefully(timeout time.Duration) {
	defer c.tcp.Close()
	if c.tcp.CloseWrite() == nil {
		c.tcp.SetReadDeadline(time.Now().Add(timeout))
		_, err := io.CopyN(io.Discard, c.tcp, maxDiscard)
		if errors.Is(err, io.EOF) {
			return
		}
	}
	// No orderly end: a reset frees the upstream's side at once.
	c.tcp.SetLinger(0)
}
