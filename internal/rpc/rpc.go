// Package rpc provides the client of drpc calls between egretpitch's processes.
// It reuses connections.
package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// dialTimeout is the longest time to establish a connection.
	dialTimeout = time.Second
	// maxIdle is the largest number of idle connections to one peer.
	maxIdle = 2
	// maxIdleAge is the idle time after which a connection is closed instead of
	// reused.
	maxIdleAge = 30 * time.Second
)

// Client makes calls and keeps idle connections to peers. It closes a
// connection whose call failed or timed out, so that one whose peer stopped
// answering fails no more than one call. Its methods may be called
// concurrently.
type Client struct {
	mu   sync.Mutex
	idle map[string][]idleConn
}

// idleConn is a connection without a call, and the time since which it is idle.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{idle: map[string][]idleConn{}} }

// Call runs fn on a connection to address and wraps its error with step and
// address. The caller must set a deadline on ctx. Errors of dialing and of fn
// are both returned as an *operr.Error.
func (c *Client) Call(ctx context.Context, address, step string, fn func(drpc.Conn) error) error {
	conn, err := c.take(ctx, address)
	if err != nil {
		return operr.Wrap(err, step, address)
	}
	if err := fn(conn); err != nil {
		_ = conn.Close()
		return operr.Wrap(err, step, address)
	}
	c.put(address, conn)
	return nil
}

// take returns an idle connection, or a new one if there is none.
func (c *Client) take(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.takeIdle(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// takeIdle removes and returns the newest usable idle connection, or nil if
// there is none. It closes the unusable ones that it finds.
func (c *Client) takeIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		if time.Since(last.since) < maxIdleAge && !closed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// closed reports whether the connection is closed.
func closed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// put keeps a connection for a later call, or closes it if enough are idle.
func (c *Client) put(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, since: time.Now()})
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, i := range list {
			_ = i.conn.Close()
		}
	}
	c.idle = map[string][]idleConn{}
}
