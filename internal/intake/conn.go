package intake

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// socketBuffer is the size of the kernel's buffers of a connection, in bytes. It
	// bounds what arrives faster than the process reads, and what clients do not
	// read.
	socketBuffer = 16 << 10
	// minBacklog and maxBacklog bound the number of connections that the kernel keeps
	// until they are accepted. It is the bound on connections in between, since what
	// they have sent takes memory too.
	minBacklog, maxBacklog = 256, 512
	// requestLine is what a header may have beside its fields, in bytes.
	requestLine = 1 << 10
	// freeHeader is the size up to which a header is part of connectionBytes: it
	// fits the buffer of net/http.
	freeHeader = 4 << 10
	// headerFactor is how many times its size a header takes: as read, and as
	// strings in a map.
	headerFactor = 2
	// refusalTime bounds the writing of a refusal and the wait for its reader.
	refusalTime = 200 * time.Millisecond
	// refusalBytes bounds what is read from a client that still sends a refused body.
	refusalBytes = 256 << 10
)

// errEnded is the error of a connection that was closed or whose header was refused.
// net/http answers nothing after an error of this type.
var errEnded error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("ended by the limits on clients")}

// conn is a connection of a listener. Its fields are guarded by limiter.mu.
type conn struct {
	net.Conn
	limiter *Limiter
	client  client
	// header is the number of bytes of the header that have been read.
	header int
	// first holds the first bytes of the connection, of which firstRead were read.
	first     [len(http2Preface)]byte
	firstRead int
	// http2 is set once the connection turns out to be HTTP/2. The phase of the
	// connection then follows from the fields below.
	http2 bool
	// writing is set while bytes are written to the connection.
	writing bool
	// streams is the number of requests in progress, of which waitingStreams wait
	// for the rest of their bodies.
	streams, waitingStreams int
	// bodyRefused is set while the client may still send a body that is too large.
	bodyRefused bool
	// released is set once the connection was taken out of the budget.
	released bool
}

// listenTCP listens with small buffers, which the connections inherit.
func listenTCP(address string, backlog int) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := boundBuffers(l, backlog); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// boundBuffers sets the kernel's buffers of a TCP listener.
func boundBuffers(l net.Listener, backlog int) error {
	tcp, ok := l.(syscall.Conn)
	if !ok {
		return errors.Errorf("bound the kernel's buffers: %T is no TCP listener", l)
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) {
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				if failed == nil {
					failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, socketBuffer)
				}
			}
			if failed == nil {
				failed = syscall.Listen(int(fd), backlog)
			}
		})
		if err == nil {
			err = failed
		}
	}
	return errors.Wrap(err, "bound the kernel's buffers")
}

// Read implements net.Conn. It bounds the header, and records whether the connection
// waits for its client.
func (c *conn) Read(b []byte) (int, error) {
	b, err := c.beginRead(b)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if c.endRead(b[:n]) {
		return n, err
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return 0, c.client.failure
}

// beginRead returns the part of b that may be read into.
func (c *conn) beginRead(b []byte) ([]byte, error) {
	l := c.limiter
	l.mu.Lock()
	if c.client.failure != nil {
		defer l.mu.Unlock()
		return nil, c.client.failure
	}
	if c.http2 {
		l.mu.Unlock()
		return b, nil
	}
	switch c.client.phase {
	case phaseServing:
		// net/http reads one byte during a request to notice that a client is gone.
		if len(b) > 1 {
			l.budget.wait(&c.client, phaseBody, l.now)
		}
	case phaseHeader:
		left := l.limits().MaxHeaderBytes + requestLine - c.header
		if left <= 0 {
			l.mu.Unlock()
			c.refuse(refusedHeader, http.StatusRequestHeaderFieldsTooLarge)
			return nil, errEnded
		}
		b = b[:min(len(b), left)]
	case phaseNew, phaseIdle:
		b = b[:min(len(b), l.limits().MaxHeaderBytes+requestLine)]
	}
	if l.admitting {
		l.changed.Broadcast()
	}
	l.mu.Unlock()
	return b, nil
}

// endRead records bytes that were read and reports whether they may be used.
func (c *conn) endRead(read []byte) bool {
	l := c.limiter
	n, demand := len(read), 0
	l.mu.Lock()
	switch c.client.phase {
	case phaseBody:
		l.budget.serve(&c.client)
	case phaseNew, phaseIdle:
		if n > 0 && !c.http2 {
			c.header = n
			l.budget.wait(&c.client, phaseHeader, l.now)
		}
	case phaseHeader:
		if c.header += n; c.header > freeHeader && !c.http2 {
			demand = headerFactor * min(n, c.header-freeHeader)
		}
	}
	if c.firstRead < len(c.first) && n > 0 {
		c.firstRead += copy(c.first[c.firstRead:], read)
		if string(c.first[:]) == http2Preface {
			c.http2 = true
			demand = http2Bytes
		}
	}
	ok := c.client.failure == nil
	if l.admitting {
		l.changed.Broadcast()
	}
	l.mu.Unlock()
	if !ok || demand == 0 {
		return ok
	}
	if l.take(&c.client, int64(demand)) {
		return true
	}
	c.refuse(refusedBytes, http.StatusServiceUnavailable)
	return false
}

// refuse answers a request whose header is incomplete, and ends its connection,
// unless that was told to end.
func (c *conn) refuse(why reason, status int) {
	l := c.limiter
	l.mu.Lock()
	ended := c.client.failure != nil
	if !ended {
		c.client.failure = errEnded
		l.count(why)
		l.budget.serve(&c.client)
	}
	l.mu.Unlock()
	if !ended && !c.http2 && c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) == nil {
		_, _ = io.WriteString(c.Conn, l.refusal(status)) // the client may be gone
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	l := c.limiter
	l.mu.Lock()
	c.writing = true
	l.budget.wait(&c.client, phaseAnswer, l.now)
	l.mu.Unlock()
	n, err := c.Conn.Write(b)
	l.mu.Lock()
	c.writing = false
	if c.http2 {
		c.updatePhase()
	} else {
		l.budget.serve(&c.client)
	}
	l.mu.Unlock()
	return n, err
}

// observe records a new state of the connection.
func (c *conn) observe(state http.ConnState) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.http2 {
		c.updatePhase()
		return
	}
	switch state {
	case http.StateActive:
		l.budget.serve(&c.client)
	case http.StateIdle:
		c.header, c.bodyRefused = 0, false
		if c.client.bytes > 0 {
			l.budget.release(&c.client, c.client.bytes)
		}
		if c.client.failure == nil {
			l.budget.wait(&c.client, phaseIdle, l.now)
		}
		l.changed.Broadcast()
	}
}

// SetReadDeadline implements net.Conn. A connection that fails keeps the deadline by
// which it was ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.client.failure != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http end an answer before it closes a connection on which the
// client still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// unread reports whether the kernel has received bytes that were not read.
func (c *conn) unread() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	n := 0
	if err == nil {
		err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) // 0 if it fails
	}
	return err == nil && n > 0
}

// discardUnsent lets the close of the connection discard what the client has not
// read, which the kernel would keep for minutes.
func (c *conn) discardUnsent() {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if it is closed
	}
}

// awaitClient waits until the client has ended the connection, for refusalTime at most.
// What it still sends beyond refusalBytes stays unread.
func (c *conn) awaitClient() {
	until := time.Now().Add(refusalTime)
	if c.Conn.SetReadDeadline(until) != nil {
		return
	}
	if n, _ := io.CopyN(io.Discard, c.Conn, refusalBytes); n == refusalBytes {
		time.Sleep(time.Until(until))
	}
}

// Close implements net.Conn. A client whose request was refused gets some time to
// read the answer, since unread bytes would reset the connection.
func (c *conn) Close() error {
	l := c.limiter
	l.mu.Lock()
	refused := (c.client.failure != nil || c.bodyRefused) && !c.released
	if !c.released {
		l.budget.release(&c.client, c.client.bytes)
		l.budget.settle(&c.client)
		l.budget.serve(&c.client)
		l.changed.Broadcast()
	}
	l.mu.Unlock()
	if refused && c.CloseWrite() == nil {
		c.awaitClient()
	}
	l.mu.Lock()
	if !c.released {
		c.released = true
		l.budget.close(&c.client)
		l.changed.Broadcast()
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
