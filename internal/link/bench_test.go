package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// answerBytes is the size of the benchmarks' answers in bytes.
const answerBytes = 1 << 10

// newPlainServer returns a server that answers each request with answerBytes
// bytes.
func newPlainServer(b *testing.B) *httptest.Server {
	answer := bytes.Repeat([]byte("x"), answerBytes)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(answer) }))
	b.Cleanup(s.Close)
	return s
}

// processorTime returns the user and system CPU time of this process, which
// includes the server's.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure reports the allocations and the CPU time of each call of do.
func measure(b *testing.B, do func() error) {
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		if err := do(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkRequest compares a request through a Set with one of a plain
// net/http client to the same server. Both results include the server's work.
func BenchmarkRequest(b *testing.B) {
	order := []byte("one gross of mantles")
	header := http.Header{"User-Agent": {"bench"}, "Content-Type": {"text/plain"}}
	b.Run("link", func(b *testing.B) {
		server := newPlainServer(b)
		s := NewSet(Options{})
		s.Resize((&upstream{listener: server.Listener}).share(4))
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		measure(b, func() error {
			a, err := s.Do(ctx, "kano-01", &Request{Method: "POST", URI: "/order", Header: header, Body: order, HeldAnswerBytes: 64 << 10})
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, a.Body)
			return err
		})
	})
	b.Run("net-http", func(b *testing.B) {
		server := newPlainServer(b)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		measure(b, func() error {
			r, err := http.NewRequestWithContext(ctx, "POST", server.URL+"/order", bytes.NewReader(order))
			if err != nil {
				return err
			}
			r.Header = header
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	})
}
