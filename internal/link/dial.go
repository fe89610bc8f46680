package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/egretpitch/egretpitch/internal/tcpopt"
)

// keepAliveProbes is the number of unanswered keep-alive probes that fit into
// the TCP_USER_TIMEOUT, after which the connection ends.
const keepAliveProbes = 3

// newDialer returns a dialer whose connections fail by themselves when the
// network path to the upstream is lost: TCP_USER_TIMEOUT limits the wait for
// the acknowledgement of sent data, and keep-alive probes check an idle
// connection.
func newDialer(o Options) *net.Dialer {
	interval := max(o.UserTimeout/keepAliveProbes, time.Second)
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     interval,
			Interval: interval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return tcpopt.SetUserTimeout(raw, o.UserTimeout)
		},
	}
}

// dial opens a connection to the address.
func dial(ctx context.Context, d *net.Dialer, address string) (*conn, error) {
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		nc.Close()
		return nil, errors.Errorf("dialled connection is a %T, not a *net.TCPConn", nc)
	}
	return newConn(tcp, time.Now()), nil
}

// nothingPending reports, without blocking, whether the socket has neither
// bytes to read nor an end of stream or an error pending.
func nothingPending(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pendingNone := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pendingNone = err == unix.EAGAIN
		return true
	})
	return err == nil && pendingNone
}
