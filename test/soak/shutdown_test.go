package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	store "github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
	"github.com/egretpitch/egretpitch/platform/standin"
)

// lossSlack is the time after a request's last byte within which the rules let its
// connection end without an answer.
const lossSlack = 200 * time.Millisecond

// startNode starts a platform and one node, which accepts jobs and owns the
// control work. Both end with the test.
func startNode(t *testing.T) (*standin.Platform, *node) {
	p := standin.New(standin.Estate{
		Pools:  []standin.Pool{{Name: "pool", Workers: 2, Capacity: placement.Resources{Processors: 8, MemoryMB: 4096}}},
		Queues: []standin.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePrefix, Pool: "pool", MaxAttempts: maxAttempts}},
	})
	p.Size = func(workload.TaskID) placement.Resources { return placement.Resources{Processors: 1, MemoryMB: 64} }
	p.RunOutcome = func(workload.TaskID) (time.Duration, platform.RunEnd) {
		return 100 * time.Millisecond, platform.EndDone
	}
	addresses, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	n := &node{name: "front-0", storeProxy: newProxy(t, addresses.Store), fleetProxy: newProxy(t, addresses.Fleet)}
	for {
		n.configure(t, t.TempDir())
		n.start(t)
		t.Cleanup(n.kill)
		if n.listens() {
			break
		}
		if log := n.log(t); !strings.Contains(log, "address already in use") {
			t.Fatalf("the process does not listen:\n%s", log)
		} // a port that was free when it was chosen
	}
	t.Cleanup(func() {
		if t.Failed() {
			log := n.log(t)
			t.Logf("log of the process:\n%s", log[:min(len(log), 4000)])
		}
	})
	answers := func(method, want string) func() bool {
		return func() bool {
			c, err := dialCaller(n.callerAddress)
			if err != nil {
				return false
			}
			defer c.Close()
			a, err := c.exchange(method, jobID(1, 0))
			return err == nil && strings.Contains(a.body, want)
		}
	}
	w := &world{t: t}
	w.eventually("a job is accepted", answers(http.MethodPost, "queued"))
	w.eventually("the job has run", answers(http.MethodGet, "completed"))
	return p, n
}

// listens waits until the process accepts callers' connections and reports whether
// it does. A process that ends does not.
func (n *node) listens() bool {
	for {
		select {
		case <-n.ended:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		if c, err := net.Dial("tcp", n.callerAddress); err == nil {
			_ = c.Close()
			// Another process may have the port.
			select {
			case <-n.ended:
				return false
			case <-time.After(100 * time.Millisecond):
				return true
			}
		}
	}
}

// log returns what the process has written.
func (n *node) log(t *testing.T) string {
	data, err := os.ReadFile(n.logPath)
	if err != nil {
		t.Error(err)
	}
	return string(data)
}

// callerConn is a caller's connection to a node. It shows when a request's last
// byte was sent, and whether the connection ended without an answer.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// answer is a complete answer. last is set if the node then closes the connection.
type answer struct {
	status int
	body   string
	last   bool
}

// lostRequest is the error of a request whose connection ended without a complete
// answer.
type lostRequest struct {
	after time.Duration
	cause error
}

func (e *lostRequest) Error() string { return fmt.Sprintf("no answer after %v: %v", e.after, e.cause) }

func dialCaller(address string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// exchange sends a request about a job and reads the answer.
func (c *callerConn) exchange(method, id string) (answer, error) {
	body := ""
	if method == http.MethodPost {
		body = `{"task_spec":"soak","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":100}]}`
	}
	if _, err := fmt.Fprintf(c, "%s %s%s HTTP/1.1\r\nHost: %s\r\nEgretpitch-Deadline-Remaining: 3000\r\nContent-Length: %d\r\n\r\n%s",
		method, queuePrefix, id, queueHost, len(body), body); err != nil {
		return answer{}, err
	}
	sent := time.Now()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, &lostRequest{time.Since(sent), err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, &lostRequest{time.Since(sent), err}
	}
	return answer{resp.StatusCode, string(data), resp.Close}, nil
}

// callUntilItEnds sends requests, one after the other on each of some connections,
// until the node's process has ended. It returns the requests that were lost and
// the number of answers.
func callUntilItEnds(n *node, connections int, pause time.Duration) (lost []string, answered int) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	var count atomic.Int64
	methods := []string{http.MethodPost, http.MethodGet, http.MethodDelete}
	for i := range connections {
		callers.Go(func() {
			var c *callerConn
			for k := i; ; k++ {
				select {
				case <-n.ended:
					return
				case <-time.After(pause):
				}
				if c == nil {
					var err error
					if c, err = dialCaller(n.callerAddress); err != nil {
						c = nil
						continue
					}
				}
				method := methods[k%len(methods)]
				a, err := c.exchange(method, jobID(uint64(2+i), k/len(methods)))
				if e, ok := err.(*lostRequest); ok && e.after > lossSlack {
					mu.Lock()
					lost = append(lost, fmt.Sprintf("%s: %v", method, e))
					mu.Unlock()
				}
				if err == nil {
					count.Add(1)
				}
				if err != nil || a.last {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	callers.Wait()
	return lost, int(count.Load())
}

func TestNoWholeRequestIsLeftWithoutAnAnswerAroundAShutdown(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// signals are sent 500 ms apart.
		signals []syscall.Signal
		store   fault
	}{
		{"stop", []syscall.Signal{syscall.SIGTERM}, pass},
		{"stopped twice", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, pass},
		{"settings change as it stops", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, pass},
		{"store does not answer", []syscall.Signal{syscall.SIGTERM}, oneWay},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, n := startNode(t)
			go func() {
				for _, s := range c.signals {
					n.signal(s)
					if s == syscall.SIGTERM {
						n.storeProxy.set(c.store)
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
			lost, answered := callUntilItEnds(n, 16, 5*time.Millisecond)
			if len(lost) > 0 {
				t.Errorf("%d requests without an answer, the first: %s", len(lost), lost[0])
			}
			if answered == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

func TestSignalDoesNotEndAProcessThatHasJustStartedToAccept(t *testing.T) {
	_, n := startNode(t)
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}
	for i := range 20 {
		s := signals[i%len(signals)]
		n.kill()
		n.start(t)
		for {
			c, err := net.Dial("tcp", n.callerAddress)
			if err == nil {
				n.signal(s)
				_ = c.Close()
				break
			}
			select {
			case <-n.ended:
				t.Fatalf("start %d: the process has ended before it accepted a connection", i)
			default:
			}
		}
		select {
		case <-n.ended:
			t.Fatalf("start %d: %v has ended the process at once", i, s)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestShutdownAnswersRequestsOfTheAdministrationAPI(t *testing.T) {
	t.Parallel()
	p, n := startNode(t)
	p.Rows.SetFaults(store.Faults{Latency: time.Second})
	n.signal(syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond)
	sent := time.Now()
	if _, err := adminapi.NewClient(n.adminAddress).Jobs(t.Context()); err != nil {
		t.Errorf("no answer after %v: %v", time.Since(sent), err)
	}
}

// A process that is late to read, as one with little processor time, is stopped over the end of its linger.
func TestRequestThatIsReadLateIsAnsweredThoughTheListenerCloses(t *testing.T) {
	t.Parallel()
	_, n := startNode(t)
	var conns []*callerConn
	dial := func() *callerConn {
		c, err := dialCaller(n.callerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
		return c
	}
	for i := range 16 {
		c := dial()
		if i%2 == 0 {
			if _, err := c.exchange(http.MethodGet, jobID(1, 0)); err != nil {
				t.Fatal(err)
			}
		}
	}
	const linger = 1350 * time.Millisecond // 0.45 of the grace
	n.signal(syscall.SIGTERM)
	time.Sleep(linger - 200*time.Millisecond)
	n.signal(syscall.SIGSTOP)
	time.AfterFunc(200*time.Millisecond+lossSlack, func() { n.signal(syscall.SIGCONT) })
	for range 8 {
		dial() // the process does not accept it before its listener closes
	}
	var callers sync.WaitGroup
	for i, c := range conns {
		callers.Go(func() {
			if _, err := c.exchange(http.MethodGet, jobID(1, 0)); err != nil {
				t.Errorf("connection %d (even ones were used before, from 16 on not accepted): %v", i, err)
			}
		})
	}
	callers.Wait()
}
