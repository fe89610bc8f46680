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

// aLongTimeAgo is a deadline in the past, which ends every read and write.
var aLongTimeAgo = time.Unix(1, 0)

// errHeadTooLong is returned for an answer whose header exceeds
// Options.MaxHeaderBytes.
var errHeadTooLong = errors.New("header of answer too long")

// conn is one connection to an upstream. It is used by one goroutine at a
// time; only interrupt and markSilent may be called from others.
type conn struct {
	tcp     *net.TCPConn
	r       *bufio.Reader
	w       *bufio.Writer
	dialled time.Time
	// lastAnswer is when the last answer was completely received, or the time of
	// the dial.
	lastAnswer time.Time
	// written counts the bytes of the current request that the kernel accepted.
	written int64
	// headBytesLeft is how many bytes may still be read, -1 for no limit.
	headBytesLeft int64
	// timedOut is true if a read or write ended by its deadline, which the errors
	// of http.Request.Write do not show.
	timedOut bool
	// ioCount counts the reads and writes that transferred bytes.
	ioCount atomic.Int64

	mu sync.Mutex
	// interrupted is true once interrupt has ended all reads and writes
	// permanently.
	interrupted bool
	// exchange is a sequence number that increases at the start and at the end of
	// each exchange.
	exchange uint64
	// silent is true once the connection was found silent. It is never used
	// again, but its answer may still arrive.
	silent bool
	// deadlineSet is true while a deadline that markSilent set applies to the
	// connection.
	deadlineSet bool
}

// newConn returns a conn for a new TCP connection.
func newConn(tcp *net.TCPConn, now time.Time) *conn {
	c := &conn{tcp: tcp, dialled: now, lastAnswer: now, headBytesLeft: -1}
	c.r = bufio.NewReader(connReader{c})
	c.w = bufio.NewWriter(connWriter{c})
	return c
}

// connReader reads from the socket, at most headBytesLeft bytes.
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

// maxWriteBytes is the maximum size of one write, so that progress of a long
// body is visible in ioCount.
const maxWriteBytes = 64 << 10

// connWriter writes to the socket and counts the bytes that the kernel
// accepted.
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

// recordIO records a read or write of n bytes. Any progress removes the
// deadline that markSilent set: an answer that arrives late is still read
// completely.
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

// begin prepares the connection for the next exchange and returns its sequence
// number.
func (c *conn) begin() uint64 {
	c.written = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange++
	return c.exchange
}

// end ends the exchange, or the part of it in which the connection is watched
// for silence.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange++
}

// isCurrent reports whether the exchange with the number is still in progress.
func (c *conn) isCurrent(exchange uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == exchange && !c.interrupted
}

// interrupt ends all current and future reads and writes.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.tcp.SetDeadline(aLongTimeAgo)
}

// markSilent marks the connection as silent and sets a deadline for its reads
// and writes, if exchange is still the current one and nothing was transferred
// since ioCount. It reports whether it did. The sequence number prevents a
// late probe from marking the connection during its next exchange.
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

// nothingBuffered reports whether no byte beyond the last answer was read.
func (c *conn) nothingBuffered() bool { return c.r.Buffered() == 0 }

// maxDiscard is the maximum number of bytes read from a connection that is
// being closed.
const maxDiscard = 64 << 10

// closeGracefully closes the connection. It waits at most timeout for the
// upstream to close its side first, so that the upstream never has this
// connection open together with the one that replaces it.
func (c *conn) closeGracefully(timeout time.Duration) {
	defer c.tcp.Close()
	if c.tcp.CloseWrite() == nil {
		c.tcp.SetReadDeadline(time.Now().Add(timeout))
		_, err := io.CopyN(io.Discard, c.tcp, maxDiscard)
		if errors.Is(err, io.EOF) {
			return
		}
	}
	// The upstream did not close in time: a reset releases its side at once.
	c.tcp.SetLinger(0)
}
