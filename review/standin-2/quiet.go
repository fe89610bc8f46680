package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// quietListener can make its open connections silent for good: what arrives on them
// is not read, and what is written to them is dropped. New ones work.
type quietListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*quietConn]struct{}
}

func newQuietListener(l net.Listener) *quietListener {
	return &quietListener{Listener: l, conns: map[*quietConn]struct{}{}}
}

func (l *quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	q := &quietConn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[q] = struct{}{}
	l.mu.Unlock()
	return q, nil
}

// silence makes the open connections silent, and returns how many they are.
func (l *quietListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

type quietConn struct {
	net.Conn
	listener *quietListener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *quietConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *quietConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *quietConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	if c.silent.Load() {
		return nil // stays open and silent for the peer
	}
	return c.Conn.Close()
}
