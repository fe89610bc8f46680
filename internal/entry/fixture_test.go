package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/assignment"
	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/settings"
	"github.com/egretpitch/egretpitch/internal/standin"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// testTimeout bounds each wait of a test. No test result depends on its value.
const testTimeout = 20 * time.Second

// Limits of the service "orders" in the tests, in bytes.
const (
	testMaxBody    = 1 << 10
	testHeldAnswer = 4 << 10
)

// fixture is an entry that serves "orders" from one upstream.
type fixture struct {
	entry    *Entry
	server   *Server
	platform *standin.Platform
	// address is the address on which the entry serves callers.
	address string

	mu sync.Mutex
	// got lists the method and URI of each request that the upstream received.
	got []string
}

// received returns the requests that the upstream received since the last
// call.
func (f *fixture) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := f.got
	f.got = nil
	return got
}

// newFixture starts an entry with one upstream that has the given handler.
func newFixture(t testing.TB, upstream http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{platform: standin.NewPlatform()}
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.got = append(f.got, r.Method+" "+r.RequestURI)
		f.mu.Unlock()
		upstream(w, r)
	}))
	t.Cleanup(func() {
		up.CloseClientConnections()
		up.Close()
	})
	f.entry = New(Options{Name: "entry-1", Platform: f.platform.Interfaces(), Log: zap.NewNop()})
	f.entry.catalog.Store(f.entry.newCatalog(1, testSettings()))
	f.assign(map[string]string{"kano-01": up.Listener.Addr().String()})
	f.start(t)
	return f
}

// testSettings returns settings with the service "orders" in the pool "kano".
func testSettings() *settings.Effective {
	return &settings.Effective{
		Pools: map[string]*settings.PoolValues{"kano": {RoutingLogSample: 1}},
		Services: map[string]*contract.Contract{"orders": {
			Service: "orders", Pool: "kano", Availability: 0.99, Deadline: testTimeout, Priority: 50,
			Outage: contract.OutageRefuse, RetryBudget: 0.1,
			MaxBodyBytes: testMaxBody, HeldAnswerBytes: testHeldAnswer,
		}},
	}
}

// assign registers the entry and assigns the hosts to it, given as address by
// name.
func (f *fixture) assign(hosts map[string]string) {
	e := f.entry
	e.registration.Registered(e.elapsed(), 0)
	e.registration.Confirmed(e.elapsed(), permit.Confirmation{Registered: true, Epochs: map[string]uint64{"kano": 1}})
	f.assignNext(hosts)
	e.warmUp()
}

// assignNext replaces the assigned hosts. It must run on the control
// goroutine.
func (f *fixture) assignNext(hosts map[string]string) {
	e := f.entry
	version := e.pool("kano").base.Version + 1
	set := &assignment.Set{Pool: "kano", Epoch: 1, Version: version, Reflects: version, Hosts: map[string]assignment.Host{}}
	for name, address := range hosts {
		set.Hosts[name] = assignment.Host{Name: name, Address: address, Slots: 8, Connections: 8}
	}
	e.useAssignment(e.pool("kano"), set, e.elapsed())
}

// start serves callers until the test ends.
func (f *fixture) start(t testing.TB) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	f.server = f.entry.NewServer()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go f.entry.exec.Run(ctx)
	go f.entry.tick(ctx)
	go func() {
		defer close(done)
		_ = f.entry.claims.Run(ctx)
	}()
	go func() { _ = f.server.Serve(l) }()
	t.Cleanup(func() {
		_ = f.server.http.Close()
		cancel()
		<-done
	})
}

// raw sends the bytes on a new connection and returns the response and its
// body. The response is nil if the connection ended without one.
func (f *fixture) raw(t testing.TB, request string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = io.WriteString(c, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

// summarize returns a response's status, outcome and reason.
func summarize(r *http.Response) string {
	if r == nil {
		return "no answer"
	}
	return fmt.Sprintf("%d %s %s", r.StatusCode, r.Header.Get(outcome.Header), r.Header.Get(ReasonHeader))
}
