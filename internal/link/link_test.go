package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// body reads and closes the body and returns it.
func body(a *Answer) (string, error) {
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// wantError returns the *Error of a request that is expected to fail.
func wantError(t *testing.T, a *Answer, err error) *Error {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("got answer %+v and error %v, want an *Error", a, err)
	}
	return e
}

// TestSilentConnectionIsCondemnedWhileNewOnesWork guards against a request that
// waits for its whole deadline on a connection that is silent, while the
// upstream answers on new connections.
func TestSilentConnectionIsCondemnedWhileNewOnesWork(t *testing.T) {
	const longerThanSocketBuffers = 32 << 20
	for _, mayRepeat := range []bool{true, false} {
		for name, silence := range map[string]silence{
			"request not read":  {body: longerThanSocketBuffers},
			"no answer":         {body: 1},
			"half of a stream":  {body: 1, answer: "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n1234"},
			"half of an answer": {body: 1, answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1234"},
		} {
			t.Run(fmt.Sprintf("%s,mayRepeat=%v", name, mayRepeat), func(t *testing.T) {
				testSilentConnection(t, mayRepeat, silence)
			})
		}
	}
}

// silence is the point at which a connection becomes silent after its first
// answer.
type silence struct {
	// body is the length of the request's body in bytes.
	body int
	// answer is the part of its answer that the upstream sends.
	answer string
}

// testSilentConnection sends a request over a connection that becomes silent.
func testSilentConnection(t *testing.T, mayRepeat bool, how silence) {
	var connections atomic.Int32
	u := newUpstream(t, func(c net.Conn, nth int, r *http.Request) bool {
		if nth == 0 && connections.Add(1) > 1 {
			return echo(c, r)
		}
		if nth == 0 {
			echo(c, r)
		}
		if nth == 0 && how.body == 1 {
			return true // so that serve reads the next request
		}
		io.WriteString(c, how.answer)
		<-t.Context().Done()
		return false
	})
	s := u.newSet(t, 2, Options{ProbeFraction: 0.01, GiveUpFraction: 0.02, ProbeTimeout: testTimeout, UserTimeout: testTimeout})
	ctx := deadline(t, testTimeout)
	if _, err := s.Do(ctx, "kano-01", get("/first", mayRepeat)); err != nil {
		t.Fatal(err)
	}
	req := get("/silent", mayRepeat)
	req.Body = make([]byte, how.body)
	a, err := s.Do(ctx, "kano-01", req)
	if err == nil {
		_, err = body(a)
	}
	e := wantError(t, a, err)
	if !e.Silent || e.Outcome != outcome.Unknown || ctx.Err() != nil {
		t.Errorf("got %v (silent %v) with %v, want a silent connection found before the deadline", e, e.Silent, ctx.Err())
	}
	a, err = s.Do(ctx, "kano-01", get("/next", mayRepeat))
	if err != nil {
		t.Fatalf("no request reaches the host after its connection was found silent: %v", err)
	}
	if got, _ := body(a); got != "/next" {
		t.Errorf("got %q", got)
	}
}

func TestRequestThatCannotBeSentAgainWaitsForItsLateAnswer(t *testing.T) {
	abandonChecked := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
		if r.RequestURI == "/late" {
			<-abandonChecked
		}
		return echo(c, r)
	})
	s := u.newSet(t, 2, Options{ProbeFraction: 0.001, ProbeTimeout: testTimeout})
	req := get("/late", true)
	req.ShouldAbandon = func() bool {
		time.AfterFunc(0, func() { close(abandonChecked) })
		return false
	}
	a, err := s.Do(deadline(t, testTimeout), "kano-01", req)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := body(a); got != "/late" {
		t.Errorf("got %q", got)
	}
	if use := s.Use()[0]; use.InFlight != 0 || len((*s.hosts.Load())["kano-01"].idle) != 0 {
		t.Errorf("the silent connection may be used again: %+v", use)
	}
}

func TestSlowAnswerIsNotTakenForSilence(t *testing.T) {
	// A busy upstream answers neither on this connection nor on a new one, so the
	// connection must not be marked as silent.
	release := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
		<-release
		return echo(c, r)
	})
	s := u.newSet(t, 1, Options{ProbeFraction: 0.001, ProbeTimeout: testTimeout / 100})
	done := make(chan error)
	go func() {
		_, err := s.Do(deadline(t, testTimeout), "kano-01", get("/slow", true))
		done <- err
	}()
	for s.Use()[0].Waiting == 0 { // the probe waits for a connection
		runtime.Gosched()
	}
	for range 2 { // later probes fail, too
		(*s.hosts.Load())["kano-01"].probe(deadline(t, testTimeout))
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("slow answer was lost: %v", err)
	}
}

// TestLateProbeDoesNotCondemnTheNextRequest guards against a probe that ends
// late: it must not mark the connection as silent in the next exchange, or after
// bytes were transferred.
func TestLateProbeDoesNotCondemnTheNextRequest(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool { return echo(c, r) })
	s := u.newSet(t, 1, Options{})
	if _, err := s.Do(deadline(t, testTimeout), "kano-01", get("/1", false)); err != nil {
		t.Fatal(err)
	}
	c := (*s.hosts.Load())["kano-01"].idle[0]
	previous := c.begin()
	next := c.begin()
	if c.markSilent(previous, c.ioCount.Load(), aLongTimeAgo) {
		t.Error("the connection was marked as silent during the next exchange")
	}
	if c.markSilent(next, c.ioCount.Load()-1, aLongTimeAgo) {
		t.Error("a connection with progress was marked as silent")
	}
	if !c.markSilent(next, c.ioCount.Load(), aLongTimeAgo) {
		t.Error("the connection was not marked as silent during the probed exchange")
	}
}

func TestTruncatedAnswerIsNeverWhole(t *testing.T) {
	long := strings.Repeat("x", 4<<10)
	answers := map[string]string{
		"length": "Content-Length: 10\r\n\r\n12345", "no length": "\r\n12345",
		"chunk": "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "head": "Content-Le",
		"long":        "Content-Length: 9999\r\n\r\n" + long,
		"long chunks": "Transfer-Encoding: chunked\r\n\r\n1000\r\n" + long + "\r\n",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+text)
				return false
			})
			s := u.newSet(t, 1, Options{})
			a, err := s.Do(deadline(t, testTimeout), "kano-01", get("/cut", true))
			if err == nil {
				if a.Whole() {
					t.Error("Whole is true for a truncated answer")
				}
				_, err = body(a)
			}
			if e := wantError(t, a, err); e.Outcome != outcome.Unknown {
				t.Errorf("outcome is %v", e.Outcome)
			}
		})
	}
}

func TestLeavingHostFinishesWhatItHasAndGetsNothingNew(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	release := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", len(long))
		<-release
		_, err := io.WriteString(c, long[1:])
		return err == nil
	})
	s := u.newSet(t, 1, Options{})
	ctx := deadline(t, testTimeout)
	a, err := s.Do(ctx, "kano-01", get("/busy", false))
	if err != nil {
		t.Fatal(err)
	}
	waiting := make(chan error)
	go func() {
		_, err := s.Do(ctx, "kano-01", get("/waiting", false))
		waiting <- err
	}()
	for s.Use()[0].Waiting == 0 {
		runtime.Gosched()
	}
	s.Resize(nil)
	if e := wantError(t, nil, <-waiting); e.Outcome != outcome.NotRun {
		t.Errorf("waiting request: %v", e)
	}
	if use := s.Use(); len(use) != 1 || use[0].InFlight != 1 {
		t.Errorf("usage is %+v, want one request in flight", use)
	}
	if n := s.Open("kano-01"); n != 1 {
		t.Errorf("%d connections are open to the draining host, want 1", n)
	}
	close(release)
	if got, err := body(a); err != nil || got != long {
		t.Errorf("busy request lost its answer: %d bytes, %v", len(got), err)
	}
	if u.count("/waiting") != 0 {
		t.Error("the draining host got a new request")
	}
}

// TestIdleConnectionIsProvedBeforeItIsUsed guards against sending a request on
// an idle connection that the upstream has closed, or on which it has sent an
// unsolicited answer.
func TestIdleConnectionIsProvedBeforeItIsUsed(t *testing.T) {
	for name, after := range map[string]func(net.Conn) bool{
		"closed":      func(net.Conn) bool { return false },
		"unsolicited": func(c net.Conn) bool { echo(c, &http.Request{RequestURI: "/stray"}); return true },
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{}, 2)
			u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
				echo(c, r)
				<-proceed
				defer func() { proceed <- struct{}{} }()
				return after(c)
			})
			s := u.newSet(t, 1, Options{MaxIdleNoRepeat: testTimeout})
			ctx := deadline(t, testTimeout)
			if _, err := s.Do(ctx, "kano-01", get("/1", false)); err != nil {
				t.Fatal(err)
			}
			proceed <- struct{}{}
			h := (*s.hosts.Load())["kano-01"]
			for nothingPending(h.idle[0].tcp) { // until the end of stream or the bytes have arrived
				runtime.Gosched()
			}
			a, err := s.Do(ctx, "kano-01", get("/2", false))
			if err != nil {
				t.Fatal(err)
			}
			if got, _ := body(a); got != "/2" {
				t.Errorf("got the answer %q", got)
			}
		})
	}
}

// misbehave returns an answer function that selects its fault by the last
// letter of the URI, and calls arrived with the URI.
func misbehave(arrived func(uri string)) func(c net.Conn, nth int, r *http.Request) bool {
	return func(c net.Conn, _ int, r *http.Request) bool {
		uri := r.RequestURI
		defer arrived(uri)
		switch uri[len(uri)-1] {
		case 'l': // late: the request is cancelled before the answer
			arrived(uri)
		case 'x': // extra bytes directly after the answer
			_, err := io.WriteString(c, answerTo(r, "")+answerTo(r, ""))
			return err == nil
		case 's': // surplus: a second answer later, possibly during the next request
			marked := answerTo(r, RequestIDHeader+": "+r.Header.Get(RequestIDHeader)+"\r\n")
			io.WriteString(c, marked)
			runtime.Gosched()
			_, err := io.WriteString(c, marked)
			return err == nil
		case 'c': // truncated
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", uri)
			return false
		case 'i': // informational answers first
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
		case 'h': // closed without an answer
			return false
		}
		return echo(c, r)
	}
}

func TestEachRequestGetsOnlyItsOwnWholeAnswer(t *testing.T) {
	const connections = 3
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"n", "n", "l", "x", "s", "c", "i", "h"}), 1, 40).Draw(rt, "kinds")
		leaveAt := rapid.IntRange(0, len(kinds)+10).Draw(rt, "leaveAt")
		var cancels sync.Map
		u := newUpstream(t, misbehave(func(uri string) {
			if cancel, ok := cancels.Load(uri); ok && strings.HasSuffix(uri, "l") {
				cancel.(context.CancelFunc)()
			}
		}))
		defer u.listener.Close()
		s := NewSet(Options{CloseTimeout: testTimeout})
		s.Resize(u.share(connections))
		var wg sync.WaitGroup
		for i, kind := range kinds {
			if i == leaveAt {
				s.Resize(nil)
			}
			uri := fmt.Sprintf("/%d%s", i, kind)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			cancels.Store(uri, cancel)
			wg.Go(func() {
				defer cancel()
				a, err := s.Do(ctx, "kano-01", get(uri, i%2 == 0))
				checkOwnAnswer(t, u, uri, a, err)
			})
		}
		wg.Wait()
		if err := s.Close(deadline(t, testTimeout)); err != nil {
			t.Error(err)
		}
		if most := u.maxOpenCount(); most > connections {
			t.Errorf("%d connections were open, allowed are %d", most, connections)
		}
	})
}

// checkOwnAnswer checks the result of one request against the number of times
// that the upstream received it.
func checkOwnAnswer(t *testing.T, u *upstream, uri string, a *Answer, err error) {
	if err != nil {
		e := wantError(t, a, err)
		if e.Outcome == outcome.NotRun && u.count(uri) > 0 {
			t.Errorf("%s ran, but: %v", uri, e)
		}
		return
	}
	got, err := body(a)
	if err != nil || got != uri || !a.Whole() || strings.HasSuffix(uri, "c") {
		t.Errorf("%s got the answer %q, %v", uri, got, err)
	}
	if u.count(uri) != 1 {
		t.Errorf("%s arrived %d times", uri, u.count(uri))
	}
}
