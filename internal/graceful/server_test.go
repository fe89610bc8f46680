package graceful

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// slowListener accepts connections that hold up what they have read until
// released, from the second request on.
type slowListener struct {
	net.Listener
	received, release chan struct{}
}

type slowConn struct {
	net.Conn
	listener *slowListener
	reads    int
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, listener: l}, err
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 {
		if c.reads++; c.reads == 2 {
			close(c.listener.received)
			<-c.listener.release
		}
	}
	return n, err
}

// serve starts a server whose answer to each request is its path.
func serve(t *testing.T, l net.Listener, arrivalTime time.Duration) *Server {
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})}, arrivalTime)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, l net.Listener) *caller {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) send(path string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	return err
}

func (c *caller) receive() (string, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// exchange sends a request and checks its answer.
func (c *caller) exchange(t *testing.T, path string) {
	t.Helper()
	err := c.send(path)
	if err == nil {
		var got string
		if got, err = c.receive(); err == nil && got != path {
			t.Fatalf("answer %q, want %q", got, path)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestShutdownAnswersARequestThatWasReadAsItClosedIdleConnections(t *testing.T) {
	l := &slowListener{Listener: listen(t), received: make(chan struct{}), release: make(chan struct{})}
	s := serve(t, l, 50*time.Millisecond)
	c := dial(t, l)
	c.exchange(t, "/1")
	if err := c.send("/2"); err != nil {
		t.Fatal(err)
	}
	<-l.received
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(t.Context()) }()
	time.Sleep(100 * time.Millisecond) // longer than the arrival time
	close(l.release)
	if got, err := c.receive(); err != nil || got != "/2" {
		t.Errorf("answer %q, %v; want /2", got, err)
	}
	if err := <-shutdown; err != nil {
		t.Error(err)
	}
}

func TestShutdownAnswersARequestOnAConnectionWithoutOneSoFar(t *testing.T) {
	l := listen(t)
	s := serve(t, l, 2*time.Second)
	opened, kept := dial(t, l), dial(t, l)
	kept.exchange(t, "/1") // both are accepted
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	opened.exchange(t, "/2")
	kept.exchange(t, "/3")
	if err := <-shutdown; err != nil {
		t.Error(err)
	}
}

// lateListener does not accept before Shutdown has begun to end its Accept, as in a
// process that had no processor for a while.
type lateListener struct {
	*net.TCPListener
	once sync.Once
	// serving is sent to by Accept, which waits until open is closed.
	serving, open chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	select {
	case l.serving <- struct{}{}:
	default:
	}
	<-l.open
	return l.TCPListener.Accept()
}

func (l *lateListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.open) })
	return l.TCPListener.SetDeadline(t)
}

func (l *lateListener) Close() error {
	defer l.once.Do(func() { close(l.open) })
	return l.TCPListener.Close()
}

// Guards against connections that are reset, with the requests on them, because the
// process closes its listener before it has accepted them.
func TestShutdownAcceptsTheConnectionsThatWait(t *testing.T) {
	l := &lateListener{TCPListener: listen(t).(*net.TCPListener), serving: make(chan struct{}, 1), open: make(chan struct{})}
	s := serve(t, l, 300*time.Millisecond)
	var callers []*caller
	for range 16 {
		c := dial(t, l)
		if err := c.send("/a"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	<-l.serving
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(context.Background()) }()
	for i, c := range callers {
		if path, err := c.receive(); err != nil || path != "/a" {
			t.Errorf("connection %d: answer %q, %v", i, path, err)
		}
	}
	if err := <-shutdown; err != nil {
		t.Error(err)
	}
}

func TestShutdownEndsConnectionsWithoutARequest(t *testing.T) {
	l := listen(t)
	s := serve(t, l, 100*time.Millisecond)
	kept, partial := dial(t, l), dial(t, l)
	kept.exchange(t, "/1")
	partial.exchange(t, "/1")
	if _, err := io.WriteString(partial, "GE"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	for _, c := range []*caller{kept, partial} {
		if _, err := c.receive(); err == nil {
			t.Error("an answer without a request")
		}
	}
}

// countingListener counts the requests that its connections have read: callers send
// each in one piece and wait for its answer.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 { // net/http reads one byte to notice that a caller is gone
		c.listener.read.Add(1)
	}
	return n, err
}

func TestShutdownAnswersEachRequestThatWasReadAtAnyMoment(t *testing.T) {
	for range 50 {
		l := &countingListener{Listener: listen(t)}
		s := serve(t, l, 0)
		var callers sync.WaitGroup
		var answered atomic.Int64
		for range 8 {
			c := dial(t, l)
			callers.Go(func() {
				for c.send("/") == nil {
					if _, err := c.receive(); err != nil {
						return
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if err := s.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		callers.Wait()
		if read := l.read.Load(); read != answered.Load() {
			t.Fatalf("%d requests were read and %d answered", read, answered.Load())
		}
	}
}
