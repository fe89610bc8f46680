package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newClients returns an HTTP client for each protocol, by name.
func newClients(t *testing.T) map[string]*http.Client {
	clients := map[string]*http.Client{}
	for _, name := range []string{"HTTP/1.1", "h2"} {
		var protocols http.Protocols
		protocols.SetHTTP1(name == "HTTP/1.1")
		protocols.SetUnencryptedHTTP2(name == "h2")
		transport := &http.Transport{Protocols: &protocols, DisableCompression: true}
		t.Cleanup(transport.CloseIdleConnections)
		clients[name] = &http.Client{Transport: transport, Timeout: testTimeout}
	}
	return clients
}

func (f *fixture) url(path string) string { return "http://" + f.address + path }

// answerByPath is an upstream handler that selects the form of its answer by
// the path.
func answerByPath(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	switch r.URL.Path {
	case "/orders/long":
		for i := range 64 {
			fmt.Fprintf(w, "%01023d\n", i)
		}
	case "/orders/broken":
		h.Set("Content-Length", "65536")
		_, _ = io.WriteString(w, strings.Repeat("x", 3*testHeldAnswer))
		panic(http.ErrAbortHandler)
	case "/orders/broken-chunks":
		_, _ = io.WriteString(w, strings.Repeat("x", 3*testHeldAnswer))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/orders/204":
		w.WriteHeader(http.StatusNoContent)
	case "/orders/304":
		h.Set("Etag", `"v1"`)
		w.WriteHeader(http.StatusNotModified)
	case "/orders/headers":
		h.Set("X-Large", strings.Repeat("h", 100<<10))
		h.Set("Connection", "X-Hop")
		h.Set("X-Hop", "1")
		h.Set("Keep-Alive", "timeout=5")
		h.Set("Egretpitch-Reason", "queue-full")
		for _, name := range []string{"X-Caller-Hop", "Te", "Upgrade", "Proxy-Authorization", "Keep-Alive", "Expect"} {
			if value := r.Header.Get(name); value != "" {
				h.Add("X-Leaked", name)
			}
		}
		_, _ = w.Write(body)
	default:
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, body)
	}
}

func TestWholeAnswerReachesCallerOverBothProtocols(t *testing.T) {
	f := newFixture(t, answerByPath)
	for name, client := range newClients(t) {
		for _, c := range []struct {
			method, path string
			status       int
			length       int
		}{
			{"GET", "/orders/long", 200, 64 << 10},
			{"HEAD", "/orders/1", 200, 0},
			{"GET", "/orders/204", 204, 0},
			{"GET", "/orders/304", 304, 0},
			{"DELETE", "/orders/1", 200, len("DELETE ")},
			{"PURGE", "/orders/1", 200, len("PURGE ")},
		} {
			r, _ := http.NewRequest(c.method, f.url(c.path), nil)
			resp, err := client.Do(r)
			if err != nil {
				t.Fatalf("%s %s %s: %v", name, c.method, c.path, err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != c.status || len(body) != c.length || resp.Header.Get("Egretpitch-Outcome") != "ran" {
				t.Errorf("%s %s %s: %s, %d bytes, %v", name, c.method, c.path, summarize(resp), len(body), err)
			}
		}
	}
}

func TestAnswerThatBreaksIsNeverACleanEnd(t *testing.T) {
	f := newFixture(t, answerByPath)
	for name, client := range newClients(t) {
		for _, path := range []string{"/orders/broken", "/orders/broken-chunks"} {
			resp, err := client.Get(f.url(path))
			if err != nil {
				continue
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("%s %s: a clean end after %d bytes: %s", name, path, n, summarize(resp))
			}
		}
	}
}

func TestHeadersOfOneConnectionPassNeitherWay(t *testing.T) {
	f := newFixture(t, answerByPath)
	for name, client := range newClients(t) {
		r, _ := http.NewRequest("POST", f.url("/orders/headers"), strings.NewReader("body"))
		r.Header.Set("Expect", "100-continue")
		if name == "HTTP/1.1" {
			r.Header.Set("Connection", "X-Caller-Hop")
			r.Header.Set("Te", "gzip")
			r.Header.Set("Upgrade", "foo")
			r.Header.Set("Keep-Alive", "timeout=5")
		}
		r.Header.Set("X-Caller-Hop", "")
		if name == "HTTP/1.1" {
			r.Header.Set("X-Caller-Hop", "1")
		}
		r.Header.Set("Proxy-Authorization", "secret")
		resp, err := client.Do(r)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		body, _ := io.ReadAll(resp.Body)
		got := []string{summarize(resp), resp.Header.Get("X-Leaked"), resp.Header.Get("X-Hop"), resp.Header.Get("Keep-Alive"), string(body)}
		if diff := cmp.Diff([]string{"200 ran ", "", "", "", "body"}, got); diff != "" || len(resp.Header.Get("X-Large")) != 100<<10 {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestCallerThatLeavesGetsItsAnswerByRepeating disconnects while an order is
// running and repeats it with the same key: the order must run once, and the
// repetition must get its answer.
func TestCallerThatLeavesGetsItsAnswerByRepeating(t *testing.T) {
	started, proceed := make(chan struct{}, 4), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		started <- struct{}{}
		<-proceed
		_, _ = fmt.Fprintf(w, "done %s", body)
	})
	for name, client := range newClients(t) {
		order := func(ctx context.Context) (*http.Response, error) {
			r, _ := http.NewRequestWithContext(ctx, "POST", f.url("/orders"), strings.NewReader(name))
			r.Header.Set("Idempotency-Key", "key-of-"+name[:2])
			return client.Do(r)
		}
		ctx, leave := context.WithCancel(t.Context())
		left := make(chan struct{})
		go func() { defer close(left); _, _ = order(ctx) }()
		<-started
		leave()
		<-left
		go func() { proceed <- struct{}{} }()
		resp, err := order(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); summarize(resp) != "200 ran " || string(body) != "done "+name {
			t.Errorf("%s: the repeated request got %s %q", name, summarize(resp), body)
		}
		if got := f.received(); len(got) != 1 {
			t.Errorf("%s: the upstream received %q", name, got)
		}
	}
}

// TestConnectionOfACallerThatLeftIsNotUsedAgain disconnects in the middle of
// an answer. The upstream connection must be closed: the rest of the answer on
// it must not reach the next caller.
func TestConnectionOfACallerThatLeftIsNotUsedAgain(t *testing.T) {
	var first string
	stopped := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/orders/next" {
			fmt.Fprint(w, r.RemoteAddr != first)
			return
		}
		first = r.RemoteAddr
		defer close(stopped)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, get("/orders/endless"))
	if _, err := bufio.NewReader(c).Peek(1); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("the upstream still sends its answer after the caller disconnected")
	}
	// An order is not retried, so it would be lost on the old connection.
	if resp, body := f.raw(t, post("/orders/next", "Content-Length: 2", "ab")); summarize(resp) != "200 ran " || body != "true" {
		t.Errorf("next caller got %s %q", summarize(resp), body)
	}
}

func TestExpectContinueIsAnsweredBeforeTheBody(t *testing.T) {
	f := newFixture(t, answerByPath)
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	_, _ = io.WriteString(c, post("/orders", "Expect: 100-continue\r\nContent-Length: 2", ""))
	if line, _ := r.ReadString('\n'); !strings.Contains(line, " 100 ") {
		t.Fatalf("got %q instead of 100 Continue", line)
	}
	_, _ = io.WriteString(c, "ab")
	_, _ = r.ReadString('\n')
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); summarize(resp) != "200 ran " || string(body) != "POST ab" {
		t.Errorf("got %s %q", summarize(resp), body)
	}
}
