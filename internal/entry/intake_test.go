package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/intake"
)

// serveBounded serves callers on another address with bounds of its own.
func (f *fixture) serveBounded(t *testing.T, b intake.Bounds) {
	f.entry.bounds = b
	server := f.entry.NewServer()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.http.Close() })
}

// Guards against a request that is refused for lack of memory without saying that it
// did not run, whether the entry or the limiter answers.
func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	reached, release := make(chan struct{}, 1), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/orders/held" {
			reached <- struct{}{}
			<-release
		}
	})
	f.serveBounded(t, intake.Bounds{Connections: 10, Bytes: 1000})
	check := func(what string, resp *http.Response) {
		t.Helper()
		if got := summarize(resp); got != "503 not-run overloaded" || resp.Header.Get("Retry-After") != "1" {
			t.Errorf("%s is answered %q", what, got)
		}
	}

	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, post("/orders/incomplete", "Content-Length: 1000", strings.Repeat("x", 500)))
	incomplete := bufio.NewReader(c)
	// The first whole body may arrive before the incomplete one, and then does not end
	// it.
	for tries := 0; incomplete.Buffered() == 0 && tries < 100; tries++ {
		resp, _ := f.raw(t, post("/orders/whole", "Content-Length: 800", strings.Repeat("x", 800)))
		if got := summarize(resp); got != "200 ran " {
			t.Errorf("a whole body is answered %q", got)
		}
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = incomplete.Peek(1) // fails until the answer arrives
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(incomplete, nil)
	if err != nil {
		t.Fatal(err)
	}
	check("an incomplete body", resp)

	held := make(chan string, 1)
	go func() {
		resp, _ := f.raw(t, post("/orders/held", "Content-Length: 900", strings.Repeat("x", 900)))
		held <- summarize(resp)
	}()
	<-reached
	resp, _ = f.raw(t, get("/orders/1", "X: "+strings.Repeat("x", 20<<10)))
	check("a large header", resp)
	close(release)
	if got := <-held; got != "200 ran " {
		t.Errorf("the request that held the memory is answered %q", got)
	}
	if got := f.received(); slices.ContainsFunc(got, func(r string) bool { return strings.HasSuffix(r, "incomplete") || strings.HasSuffix(r, "1") }) {
		t.Errorf("the upstream received %v", got)
	}
}
