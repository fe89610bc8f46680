package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"golang.org/x/net/http2"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// recordingConn records what is read from a connection.
type recordingConn struct {
	net.Conn
	mu  sync.Mutex
	got bytes.Buffer
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got.Write(p[:n])
	return n, err
}

// receivedGoAway reports whether a GOAWAY frame was read from the connection.
func (c *recordingConn) receivedGoAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	framer := http2.NewFramer(io.Discard, bytes.NewReader(c.got.Bytes()))
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return false
		}
		if _, ok := frame.(*http2.GoAwayFrame); ok {
			return true
		}
	}
}

// TestStopFinishesRequestsAndEndsConnections shuts an entry down while a
// request is in progress on a connection of each protocol: both must be
// answered, and their connections closed.
func TestStopFinishesRequestsAndEndsConnections(t *testing.T) {
	started, proceed := make(chan struct{}, 2), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-proceed
		fmt.Fprint(w, "done")
	})
	var conns sync.Map
	var wg sync.WaitGroup
	for name, client := range newClients(t) {
		transport := client.Transport.(*http.Transport)
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			recording := &recordingConn{Conn: c}
			conns.Store(name, recording)
			return recording, err
		}
		wg.Go(func() {
			resp, err := client.Get(f.url("/orders/1"))
			if err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "done" {
				t.Errorf("%s: got %q, %v", name, body, err)
			}
			if name == "HTTP/1.1" && !resp.Close {
				t.Errorf("%s: the response does not close the connection", name)
			}
		})
		<-started
	}
	stopped := make(chan error, 1)
	ready := f.entry.Ready()
	go func() { stopped <- f.server.Shutdown(t.Context()) }()
	for !f.entry.draining.Load() {
		runtime.Gosched()
	}
	if !ready || f.entry.Ready() {
		t.Errorf("ready before the shutdown: %v, after: %v", ready, f.entry.Ready())
	}
	// The load balancer may not have noticed yet: a new request is answered, and
	// its connection ends.
	if resp, _ := f.raw(t, get("/nothing")); summarize(resp) != "404 not-run unknown-service" || !resp.Close {
		t.Errorf("an entry that has just become not ready answers %s", summarize(resp))
	}
	// The requests end only after the entry has stopped listening.
	for refused := false; !refused; {
		c, err := net.Dial("tcp", f.address)
		if refused = err != nil; !refused {
			c.Close()
		}
	}
	close(proceed)
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("shutdown failed: %v", err)
	}
	if c, _ := conns.Load("h2"); !c.(*recordingConn).receivedGoAway() {
		t.Error("h2: no GOAWAY")
	}
}

func TestStopAnswersARequestOnAConnectionWithoutOneSoFar(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	f.raw(t, get("/orders/1")) // the connection before it is accepted
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(t.Context()) }()
	for refused := false; !refused; {
		probe, err := net.Dial("tcp", f.address)
		if refused = err != nil; !refused {
			probe.Close()
		}
	}
	if _, err := io.WriteString(c, get("/orders/2")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("a request that was read is not answered: %v", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "done" {
		t.Errorf("got %q, %v", body, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown failed: %v", err)
	}
}

// slowTable blocks its first commit until release is closed.
type slowTable struct {
	platform.Table
	started, release chan struct{}
	once             sync.Once
}

func (s *slowTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	s.once.Do(func() {
		close(s.started)
		<-s.release
	})
	return s.Table.Commit(ctx, txn)
}

func TestRegistrationUnderWayDoesNotOutliveDeregister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform().Interfaces()
		table := &slowTable{Table: p.Table, started: make(chan struct{}), release: make(chan struct{})}
		p.Table = table
		e := New(Options{Name: "entry-1", Platform: p, Log: zap.NewNop()})
		confirmed, removed := make(chan error, 1), make(chan error, 1)
		go func() { confirmed <- e.confirm(t.Context()) }()
		<-table.started
		go func() { removed <- e.Deregister(t.Context()) }()
		synctest.Wait()
		close(table.release)
		if err := <-confirmed; err != nil {
			t.Error(err)
		}
		if err := <-removed; err != nil {
			t.Error(err)
		}
		if err := e.confirm(t.Context()); err != nil {
			t.Error(err)
		}
		rows, err := membership.NewRegistry(p.Table, nil).Entries(t.Context())
		if err != nil || len(rows) != 0 {
			t.Errorf("rows left in the table: %v, %v", rows, err)
		}
	})
}
