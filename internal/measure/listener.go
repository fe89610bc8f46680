package measure

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	ioBytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, ioBytes: &l.ioBytes}, nil
}

// countingConn adds the bytes read and written on one connection to the count
// of its listener.
type countingConn struct {
	net.Conn
	ioBytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.ioBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.ioBytes.Add(int64(n))
	return n, err
}
