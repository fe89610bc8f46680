package link

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestUpstreamsOwnSignsOfLeavingAreTold checks that each kind of shutdown signal
// of an upstream is reported once, and that a normal answer clears the last one.
func TestUpstreamsOwnSignsOfLeavingAreTold(t *testing.T) {
	answers := []string{
		"200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"503 Service Unavailable\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n",
		"204 No Content\r\n\r\n",
	}
	u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 "+answers[int(r.RequestURI[1]-'0')])
		return true
	})
	var reported []ShutdownSignal
	s := u.newSet(t, 1, Options{OnShutdownSignal: func(_ string, signal ShutdownSignal) { reported = append(reported, signal) }})
	for _, uri := range []string{"/0", "/1", "/2"} {
		if _, err := s.Do(deadline(t, testTimeout), "kano-01", get(uri, false)); err != nil {
			t.Fatal(err)
		}
	}
	if last := s.Use()[0].ShutdownSignal; last.Kind != SignalNone {
		t.Errorf("the shutdown signal remains after a normal answer: %+v", last)
	}
	u.listener.Close()
	s.Resize(nil) // closes the idle connection
	s.Resize(u.share(1))
	_, err := s.Do(deadline(t, testTimeout), "kano-01", get("/2", false))
	wantError(t, nil, err)
	want := []ShutdownSignal{{Kind: SignalClose}, {Kind: SignalUnavailable, RetryAfter: 7 * time.Second}, {Kind: SignalRefused}}
	if diff := cmp.Diff(want, reported, cmpopts.IgnoreFields(ShutdownSignal{}, "At")); diff != "" {
		t.Error(diff)
	}
}

func TestHeadersOfOneConnectionStayOnIt(t *testing.T) {
	got := make(chan *http.Request, 1)
	u := newUpstream(t, func(c net.Conn, _ int, r *http.Request) bool {
		got <- r
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: 5\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-End: 1\r\n\r\n")
		return err == nil
	})
	s := u.newSet(t, 1, Options{})
	req := &Request{Method: http.MethodHead, URI: "/a%2Fb?c=%20", Header: http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-End": {"1"}, "Expect": {"100-continue"},
	}}
	a, err := s.Do(deadline(t, testTimeout), "kano-01", req)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(http.Header{"Content-Length": {"5"}, "X-End": {"1"}}, a.Header); diff != "" {
		t.Error(diff)
	}
	r := <-got
	r.Header.Del(RequestIDHeader)
	if diff := cmp.Diff(http.Header{"X-End": {"1"}}, r.Header); diff != "" || r.RequestURI != req.URI {
		t.Errorf("%q: %s", r.RequestURI, diff)
	}
	for _, bad := range []*Request{
		{Method: "GET", URI: "/a b"}, {Method: "GET", URI: "//host/"}, {Method: "G T", URI: "/"}, {Method: "CONNECT", URI: "/"},
		{Method: "GET", URI: "/", Header: http.Header{"A": {"b\r\nc: d"}}}, {Method: "GET", URI: "/", Header: http.Header{"A:": {"b"}}},
	} {
		if _, err := s.Do(deadline(t, testTimeout), "kano-01", bad); err == nil {
			t.Errorf("%+v was sent", bad)
		}
	}
}
