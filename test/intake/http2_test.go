//go:build intake

package intake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// http2Clients is the number of connections that carry several requests each.
var http2Clients = clients / 10

// stallingBody gives its bytes in pieces and then nothing more until it is closed.
type stallingBody struct {
	data  []byte
	piece int
	// stalled is called when all has been sent.
	stalled func()
	closing sync.Once
	closed  chan struct{}
}

func newStallingBody(data []byte, piece int, stalled func()) *stallingBody {
	return &stallingBody{data: data, piece: piece, stalled: stalled, closed: make(chan struct{})}
}

func (b *stallingBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		b.stalled()
		<-b.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p[:min(len(p), b.piece)], b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *stallingBody) Close() error {
	b.closing.Do(func() { close(b.closed) })
	return nil
}

// requestsOn sends requests at once on one HTTP/2 connection. Their bodies stop just
// short of their declared size, which is unknown if it is below 0. It returns once all
// have stopped or ended.
func requestsOn(t *testing.T, c net.Conn, count, declared, piece int, data []byte) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:   &protocols,
		DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
	}
	conn, err := transport.NewClientConn(ctx, "http", "h:80")
	if err != nil {
		return err
	}
	var sending sync.WaitGroup
	for range count {
		sending.Add(1)
		var once sync.Once
		done := func() { once.Do(sending.Done) }
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/orders/1", newStallingBody(data, piece, done))
		if err != nil {
			return err
		}
		r.ContentLength = int64(declared)
		go func() { // ends with the test at the latest
			defer done()
			if resp, err := conn.RoundTrip(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
	}
	sending.Wait()
	return nil
}

// Guards against bodies over HTTP/2 that are kept without a bound over all requests.
func TestEntryHTTP2BodiesThatStopShort(t *testing.T) {
	for _, size := range []int{declared, -1} {
		for _, piece := range []int{1000, declared} {
			t.Run(fmt.Sprint(size, "/", piece), func(t *testing.T) {
				floodEntry(t, http2Clients, func(c net.Conn) error { return requestsOn(t, c, 20, size, piece, filler) })
			})
		}
	}
}

// Guards against one connection that holds all of the memory.
func TestEntryHTTP2BodiesOfOneConnection(t *testing.T) {
	data := bytes.Repeat([]byte("x"), entryBody-1)
	floodEntry(t, 1, func(c net.Conn) error { return requestsOn(t, c, 240, entryBody, len(data), data) })
}

// Guards against the memory of requests whose bodies are small.
func TestEntryHTTP2RequestsThatStopShort(t *testing.T) {
	floodEntry(t, 2*http2Clients, func(c net.Conn) error { return requestsOn(t, c, 240, 10, 9, []byte("123456789")) })
}

// Guards against requests whose answers fill no window of their client, and which hold
// their headers until it leaves.
func TestEntryHTTP2AnswersThatNobodyReads(t *testing.T) {
	for _, size := range []int{10, 55_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			var out, block bytes.Buffer
			out.WriteString(http2.ClientPreface)
			framer := http2.NewFramer(&out, nil)
			_ = framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}) // a Buffer returns no error
			encoder := hpack.NewEncoder(&block)
			for i := range 240 {
				for _, f := range []string{":method GET", ":scheme http", ":path /orders/" + strings.Repeat("x", size), ":authority h"} {
					name, value, _ := strings.Cut(f, " ")
					_ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true})
				}
				id := uint32(2*i + 1)
				first := block.Next(16 << 10)
				_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndStream: true, EndHeaders: block.Len() == 0})
				for block.Len() > 0 {
					part := block.Next(16 << 10)
					_ = framer.WriteContinuation(id, block.Len() == 0, part)
				}
			}
			floodEntry(t, 2*http2Clients, func(c net.Conn) error {
				go func() { _, _ = io.Copy(io.Discard, c) }() // ends with the connection
				return write(c, out.Bytes(), 64_000)
			})
		})
	}
}

// http2Headers returns the beginning of an HTTP/2 connection with a header of a size
// that does not end.
func http2Headers(size int) []byte {
	var out, block bytes.Buffer
	out.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&out, nil)
	_ = framer.WriteSettings() // a Buffer returns no error
	encoder := hpack.NewEncoder(&block)
	for _, f := range []string{":method POST", ":scheme http", ":path /orders/1", ":authority h"} {
		name, value, _ := strings.Cut(f, " ")
		_ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
	}
	for i := 0; block.Len() < size; i++ {
		_ = encoder.WriteField(hpack.HeaderField{Name: fmt.Sprint("x-filler-", i), Value: strings.Repeat("\x7f", 300)})
	}
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Next(16 << 10)})
	for block.Len() > 0 {
		_ = framer.WriteContinuation(1, false, block.Next(16<<10))
	}
	return out.Bytes()
}

// Guards against HTTP/2 headers that nobody completes: up to 64 KB each.
func TestEntryHTTP2HeadersWithoutEnd(t *testing.T) {
	for _, size := range []int{40 << 10, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			header := http2Headers(size)
			floodEntry(t, 4*clients, func(c net.Conn) error { return write(c, header, 4000) })
		})
	}
}

// Guards against HTTP/2 connections without a bound.
func TestEntryHTTP2IdleConnections(t *testing.T) {
	var opening bytes.Buffer
	opening.WriteString(http2.ClientPreface)
	_ = http2.NewFramer(&opening, nil).WriteSettings() // a Buffer returns no error
	floodEntry(t, 4*clients, func(c net.Conn) error { return write(c, opening.Bytes(), opening.Len()) })
}

// Guards against limits that refuse a single request over HTTP/2 that they allow.
func TestEntryHTTP2ServesRequestsUpToTheLimits(t *testing.T) {
	e := startEntry(t)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := http.Client{Transport: &http.Transport{Protocols: &protocols}, Timeout: 10 * time.Second}
	for size, want := range map[int]int{entryBody: http.StatusOK, entryBody + 1: http.StatusRequestEntityTooLarge} {
		req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/orders/1", bytes.NewReader(bytes.Repeat([]byte("x"), size)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Filler", strings.Repeat("h", entryHeader-1000))
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want || resp.ProtoMajor != 2 {
			t.Errorf("a body of %d bytes is answered %d over HTTP/%d, want %d", size, resp.StatusCode, resp.ProtoMajor, want)
		}
	}
}
