//go:build intake

package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// sent and declared are the sizes of a body that stops just short of its end,
	// in bytes.
	sent, declared = 249_000, 250_000
	// clientPatience is how long a client waits for one of its writes.
	clientPatience = 10 * time.Second
	// loadTime is how long the clients stay open before the process is checked. It
	// reads and answers meanwhile.
	loadTime = time.Second
)

var (
	filler  = bytes.Repeat([]byte("x"), sent)
	request = fmt.Sprintf("POST %s00000000000000bb HTTP/1.1\r\nHost: %s\r\n", queuePrefix, queueHost)
	// shortBody is a request whose body stops just short of its end.
	shortBody = fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", request, declared, filler)
)

// overload lets clients send at once to an address and stay open, then checks the
// process. Clients that are refused or cut off send no more.
func overload(t *testing.T, address func(*node) string, count int, send func(net.Conn) error) {
	overloadNode(t, start(t), address, count, send)
}

func overloadNode(t *testing.T, n *node, address func(*node) string, count int, send func(net.Conn) error) {
	flood(t, n.process, address(n), count, send)
}

// flood lets clients send at once to an address of a process, then checks that.
func flood(t *testing.T, p *process, address string, count int, send func(net.Conn) error) {
	var sending sync.WaitGroup
	for range count {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp", address, clientPatience)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(clientPatience))
			_ = send(c) // an error is expected: clients are cut off
		})
	}
	sending.Wait()
	time.Sleep(loadTime)
	p.check(t)
}

func callers(n *node) string { return n.callers }

// listeners are all that a process has.
var listeners = map[string]func(*node) string{
	"callers": callers,
	"ready":   func(n *node) string { return n.ready },
	"metrics": func(n *node) string { return n.metrics },
}

func each(t *testing.T, count int, send func(net.Conn) error) {
	for name, address := range listeners {
		t.Run(name, func(t *testing.T) { overload(t, address, count, send) })
	}
}

// write sends data in pieces.
func write(c net.Conn, data []byte, piece int) error {
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := c.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// Guards against headers that are kept however many there are: 1 MB a connection.
func TestHeadersWithoutEnd(t *testing.T) {
	lines := []byte(request + strings.Repeat("X-Filler: "+strings.Repeat("h", 988)+"\r\n", 990))
	each(t, clients, func(c net.Conn) error { return write(c, lines, 4000) })
}

// Guards against a limit of the configuration on headers that is not applied.
func TestHeadersJustUnderTheLimit(t *testing.T) {
	lines := []byte(request + strings.Repeat("X-Filler: "+strings.Repeat("h", 988)+"\r\n", 16))
	each(t, 4*clients, func(c net.Conn) error { return write(c, lines, len(lines)) })
}

// Guards against buffering empty lines while a request line is awaited.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	lines := bytes.Repeat([]byte("\r\n"), 500_000)
	each(t, clients, func(c net.Conn) error { return write(c, lines, 4000) })
}

// Guards against bodies that are kept without a bound over all requests.
func TestBodiesThatStopShort(t *testing.T) {
	overload(t, callers, clients, func(c net.Conn) error { return write(c, shortBody, declared) })
}

// Guards against bodies that are accounted for only once they are complete.
func TestBodiesPieceByPiece(t *testing.T) {
	overload(t, callers, clients, func(c net.Conn) error { return write(c, shortBody, 1000) })
}

// Guards against what the kernel receives for a process with little processor time.
func TestBodiesToASuspendedProcess(t *testing.T) {
	n := start(t)
	_ = syscall.Kill(n.pid, syscall.SIGSTOP) // the cleanup kills it in any case
	time.AfterFunc(loadTime, func() { _ = syscall.Kill(n.pid, syscall.SIGCONT) })
	overloadNode(t, n, callers, 4*clients, func(c net.Conn) error { return write(c, shortBody, declared) })
}

// Guards against the same for bodies of the administration API.
func TestBodiesOfTheAdministrationAPI(t *testing.T) {
	head := []byte("POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 4000000\r\n\r\n[")
	body := append(head, bytes.Repeat([]byte("{},"), 1_000_000)...)
	overload(t, listeners["metrics"], clients/5, func(c net.Conn) error { return write(c, body, 64_000) })
}

// Guards against whole bodies whose decoded jobs are far larger than they are.
func TestBodiesOfManySteps(t *testing.T) {
	body := `{"steps":[` + strings.Repeat("{},", 83_000) + `{}]}`
	whole := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", request, len(body), body)
	overload(t, callers, clients, func(c net.Conn) error { return write(c, whole, len(whole)) })
}

// Guards against memory that a whole body takes while its job is stored.
func TestWholeBodies(t *testing.T) {
	body := job(maxBody)
	whole := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", request, len(body), body)
	overload(t, callers, clients, func(c net.Conn) error { return write(c, whole, len(whole)) })
}

// chunked returns a chunked request of sent bytes without its last chunk.
func chunked(chunk, total int) []byte {
	out := []byte(request + "Transfer-Encoding: chunked\r\n\r\n")
	for total > 0 {
		n := min(chunk, total)
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, filler[:n])
		total -= n
	}
	return out
}

// Guards against chunked bodies, which declare no size, without a bound.
func TestChunkedBodies(t *testing.T) {
	for _, chunk := range []int{1000, 64_000} {
		t.Run(fmt.Sprint(chunk), func(t *testing.T) {
			body := chunked(chunk, sent)
			overload(t, callers, clients, func(c net.Conn) error { return write(c, body, 64_000) })
		})
	}
}

// Guards against a cost for each chunk.
func TestChunksOfOneByte(t *testing.T) {
	body := chunked(1, 60_000)
	overload(t, callers, clients, func(c net.Conn) error { return write(c, body, 64_000) })
}

// Guards against answers that fill the kernel's buffers.
func TestAnswersThatNobodyReads(t *testing.T) {
	requests := []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 400))
	overload(t, listeners["metrics"], clients, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		return write(c, requests, len(requests))
	})
}

// Guards against pipelined requests that are served although nobody reads.
func TestPipelinedRequestsWhoseAnswersNobodyReads(t *testing.T) {
	requests := []byte(strings.Repeat("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 3000))
	overload(t, callers, clients, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		return write(c, requests, len(requests))
	})
}

// Guards against connections without a bound.
func TestIdleConnections(t *testing.T) {
	each(t, 4*clients, func(c net.Conn) error {
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return err
	})
}

// Guards against connections that are not given back when their peers reset them.
func TestPeersThatReset(t *testing.T) {
	overload(t, callers, 4*clients, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetLinger(0)
		err := write(c, shortBody, declared)
		_ = c.Close()
		return err
	})
}

// exchange sends a request on a connection and returns the status of its answer, 0
// if there is none.
func exchange(c net.Conn, r *bufio.Reader, header, body string) int {
	_, _ = fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", request, header, len(body), body)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against limits that refuse what they allow, or need a restart to change.
func TestRequestsUpToTheLimitsAreServed(t *testing.T) {
	n := start(t)
	if got := post(n.callers, "00000000000000cc", job(maxBody)); got != http.StatusOK {
		t.Errorf("a body of the maximum size is answered %d", got)
	}
	if got := post(n.callers, "00000000000000cc", job(maxBody+1)); got != http.StatusRequestEntityTooLarge {
		t.Errorf("a body above the maximum size is answered %d", got)
	}
	c, err := net.Dial("tcp", n.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	header := "X-Filler: " + strings.Repeat("h", maxHeader-300) + "\r\n"
	if got := exchange(c, r, header, job(0)); got != http.StatusOK {
		t.Errorf("a header near the maximum size is answered %d", got)
	}
	n.platform.Limits = map[string]any{"max_body_bytes": 1000, "max_header_bytes": 4000}
	if err := n.platform.Configure(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(answerTimeout); exchange(c, r, "", job(1001)) != http.StatusRequestEntityTooLarge; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a smaller limit on bodies does not take effect on an open connection")
		}
	}
	if got := exchange(c, r, header, job(0)); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header above a smaller maximum size is answered %d on an open connection", got)
	}
}

// Guards against a shutdown that waits for clients beyond the grace.
func TestShutdownBesideIncompleteBodies(t *testing.T) {
	n := start(t)
	for range clients {
		c, err := net.Dial("tcp", n.callers)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		go func() { _ = write(c, shortBody, declared) }() // ends with the connection
	}
	_ = syscall.Kill(n.pid, syscall.SIGTERM) // the test fails if the process does not end
	select {
	case <-n.ended:
	case <-time.After(answerTimeout):
		t.Fatal("the process does not end")
	}
	if !n.cmd.ProcessState.Success() {
		t.Errorf("the process ended with %v", n.cmd.ProcessState)
	}
}
