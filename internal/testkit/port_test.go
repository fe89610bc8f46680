package testkit

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Guards against a port that another process takes while a test restarts its node.
func TestFreePortIsNotGivenToOthers(t *testing.T) {
	address := FreePort(t)
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if first, err := strconv.Atoi(strings.Fields(string(data))[0]); err != nil || port >= first {
			t.Errorf("port %d is among those from %d on that the kernel gives out (%v)", port, first, err)
		}
	}
	if reservation, err := net.ListenPacket("udp", address); err == nil {
		_ = reservation.Close()
		t.Errorf("port %d is not reserved", port)
	}
}
