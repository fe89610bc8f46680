// Package tcpopt sets options of TCP sockets that package net does not know.
package tcpopt

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT: the kernel ends the connection once bytes
// have been unacknowledged, or have waited for the peer's window, for this long,
// in whole milliseconds and at least one.
func SetUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	ms := int(max(timeout.Milliseconds(), 1)) // 0 is the system's default
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if controlErr != nil {
		err = controlErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}
