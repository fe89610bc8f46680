package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// watchedConn is a connection of a caller to a node, for one request after the
// other. It checks that the node answers or refuses each request that it has read,
// unless it is killed or paused.
type watchedConn struct {
	*net.TCPConn
	world    *world
	node     *node
	awaiting atomic.Bool // set until the answer to the last request begins
	mu       sync.Mutex  // held while a request is sent
	// begun and sent are when the first and the last byte of the last request were
	// sent. They are guarded by mu.
	begun, sent time.Time
}

// Write sends a request, one in four in two parts.
func (c *watchedConn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = time.Now()
	c.awaiting.Store(true)
	if rand.IntN(4) == 0 {
		n, err = c.TCPConn.Write(p[:len(p)/2])
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	if err == nil {
		k, writeErr := c.TCPConn.Write(p[n:])
		n, err = n+k, writeErr
	}
	c.sent = time.Now()
	return n, err
}

// Read reads an answer. The kernel resets a connection that a node closes before
// it has read everything, so only one whose stream just ends was read.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	ended := time.Now()
	if n > 0 {
		c.awaiting.Store(false)
	} else if err == io.EOF && c.awaiting.Load() {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.resetAfterEnd():
			c.world.checker.countClosed("unread", "", 0)
		case c.node.disturbedSince(c.begun):
			c.world.checker.countClosed("killed or paused", "", 0)
		default:
			c.world.checker.countClosed("read", c.node.name, ended.Sub(c.sent))
		}
	}
	return n, err
}

// resetAfterEnd reports whether the connection was reset because data was sent
// after the node had closed it. The kernel reports that as a pending error.
func (c *watchedConn) resetAfterEnd() bool {
	time.Sleep(5 * time.Millisecond) // a local reset arrives at once
	pending := 0
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	}
	return err != nil || pending != 0
}

// countClosed counts a connection that ended without the complete answer to a
// request, by how. One that the node has read is lost.
func (c *checker) countClosed(how, node string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[how]++
	if how == "read" {
		c.addViolation("LOST: %s has read a request and closed the connection without a complete answer %v after it was sent, at %s",
			node, after, time.Now().Format("15:04:05.000"))
	}
}
