package testkit

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

// Ports of FreePort are below those that Linux gives to listeners on port 0 and to
// outgoing connections, 32768 and up by default: a process that is killed and started
// again would otherwise find its port taken by another test.
const (
	firstPort = 20000
	lastPort  = 32000
)

// FreePort returns a local address whose port no other caller of FreePort gets before
// the test ends, in this process or another one.
func FreePort(t testing.TB) string {
	for range 1000 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		// The UDP port of the same number marks the port as reserved.
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = l.Close()
		t.Cleanup(func() { _ = reservation.Close() })
		return address
	}
	t.Fatal("no free port")
	return ""
}
