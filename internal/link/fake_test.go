package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// testTimeout is the deadline of requests that are expected to end well before
// it.
const testTimeout = 20 * time.Second

// upstream is a fake upstream on raw TCP. Its answer function writes the
// answer to the nth request of a connection and returns whether the connection
// stays open.
type upstream struct {
	listener net.Listener
	answer   func(c net.Conn, nth int, r *http.Request) bool

	mu            sync.Mutex
	open, maxOpen int
	seen          map[string]int
}

// newUpstream returns a fake upstream that serves until the test ends.
func newUpstream(t testing.TB, answer func(c net.Conn, nth int, r *http.Request) bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &upstream{listener: l, answer: answer, seen: map[string]int{}}
	go u.accept()
	return u
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.open++
		u.maxOpen = max(u.maxOpen, u.open)
		u.mu.Unlock()
		go u.serve(c)
	}
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.open--
	}()
	r := bufio.NewReader(c)
	for nth := 0; ; nth++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if req.RequestURI == "*" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		u.mu.Lock()
		u.seen[req.RequestURI]++
		u.mu.Unlock()
		if !u.answer(c, nth, req) {
			return
		}
	}
}

// count returns how many requests with the URI were received.
func (u *upstream) count(uri string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen[uri]
}

// maxOpenCount returns the maximum number of connections that were open at the
// same time.
func (u *upstream) maxOpenCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxOpen
}

// share returns a share of n connections to the fake upstream.
func (u *upstream) share(n int) []Share {
	return []Share{{Host: host.Host{Name: "kano-01", Address: u.listener.Addr().String()}, Connections: n}}
}

// newSet returns a set with a share of n connections to the fake upstream. It
// is closed when the test ends.
func (u *upstream) newSet(t testing.TB, n int, opts Options) *Set {
	s := NewSet(opts)
	s.Resize(u.share(n))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := s.Close(ctx); err != nil {
			t.Errorf("connections are still open: %v %+v", err, s.Use())
		}
	})
	return s
}

// echo answers with the request's URI as the body.
func echo(c net.Conn, r *http.Request) bool {
	_, err := io.WriteString(c, answerTo(r, ""))
	return err == nil
}

// answerTo returns an answer with the request's URI as the body.
func answerTo(r *http.Request, headers string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(r.RequestURI), r.RequestURI)
}

// get returns a POST request for the URI.
func get(uri string, mayRepeat bool) *Request {
	return &Request{
		Method: http.MethodPost, URI: uri, Body: []byte("order"), MayRepeat: mayRepeat, HeldAnswerBytes: 1 << 10,
	}
}

// deadline returns a context that ends after the given time.
func deadline(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}
