package intake

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// http2Client returns a client that uses one HTTP/2 connection.
func http2Client(t *testing.T) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// openBody sends the beginning of a body of 60,000 bytes over HTTP/2. The status of
// its answer is sent on the channel, 0 if there is none.
func openBody(t *testing.T, client *http.Client, address string, sent int) <-chan int {
	read, write := io.Pipe()
	t.Cleanup(func() { _ = write.Close() })
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", read)
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = 60_000
	answered := make(chan int, 1)
	go func() {
		resp, err := client.Do(r)
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	if _, err := write.Write(make([]byte, sent)); err != nil {
		t.Error(err)
	}
	return answered
}

// countedBody counts the bytes that are read of a body.
type countedBody struct {
	io.ReadCloser
	read *atomic.Int64
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// Guards against a budget that does not see the bodies of an HTTP/2 connection, and
// against ending all requests of a connection for one of them.
func TestIncompleteBodyOfAStreamGivesWay(t *testing.T) {
	var read atomic.Int64
	l, address, _ := serveHTTP2(t, Bounds{Connections: 10, Bytes: 380 << 10}, func(w http.ResponseWriter, r *http.Request) {
		r.Body = countedBody{r.Body, &read}
		readBody(w, r)
	})
	client := http2Client(t)
	waiting := func() (streams int) {
		for c := l.budget.first; c != nil; c = c.next {
			if c.stream != nil && c.phase == phaseBody && c.bytes >= 40_000 {
				streams++
			}
		}
		return streams
	}
	first := openBody(t, client, address, 50_000)
	l.waitFor(t, "the first body is awaited", func() bool { return read.Load() == 50_000 && waiting() == 1 })
	second := openBody(t, client, address, 50_000)
	l.waitFor(t, "the second body is awaited", func() bool { return read.Load() == 100_000 && waiting() == 2 })
	third := openBody(t, client, address, 50_000)
	if got := <-first; got != http.StatusServiceUnavailable {
		t.Errorf("the body that has waited longest is answered %d", got)
	}
	select {
	case got := <-second:
		t.Errorf("the second body is answered %d", got)
	case got := <-third:
		t.Errorf("the third body is answered %d", got)
	case <-time.After(50 * time.Millisecond):
	}
	l.waitFor(t, "the first request is released", func() bool { return l.budget.endingBytes == 0 && waiting() == 2 })
}

// Guards against connections that are kept because their requests are never complete.
func TestConnectionOfIncompleteStreamsGivesWay(t *testing.T) {
	l, address, _ := serveHTTP2(t, Bounds{Connections: 2, Bytes: 10 << 20}, readBody)
	oldest := openBody(t, http2Client(t), address, 100)
	l.waitFor(t, "the requests of the connection wait", func() bool {
		return l.budget.first != nil && l.budget.last.phase == phaseStreams
	})
	for range 2 {
		resp, err := http2Client(t).Get("http://" + address + "/")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	if got := <-oldest; got != 0 {
		t.Errorf("the incomplete request is answered %d", got)
	}
}

// Guards against a single request that does not fit beside what its own connection
// holds.
func TestSingleStreamFits(t *testing.T) {
	l, address, _ := serveHTTP2(t, Bounds{Connections: 10, Bytes: 1}, readBody)
	resp, err := http2Client(t).Post("http://"+address+"/", "", io.LimitReader(zeros{}, 64<<10))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
	l.waitFor(t, "the request is released", func() bool { return l.budget.bytes == http2Bytes })
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
