package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
	wire "github.com/egretpitch/egretpitch/platform"
	"github.com/egretpitch/egretpitch/platform/standin"
)

const (
	nodes          = 4
	workersPerPool = 4
)

// world is a platform in this process and nodes as processes of their own, with
// a proxy on each way between them.
type world struct {
	t        testing.TB
	seed     uint64
	platform *standin.Platform
	checker  *checker
	nodes    []*node
	mu       sync.Mutex
	// ways are the proxies to workers, and the nodes' ways to store and fleet.
	workers []*proxy
}

// node is a process of egretpitch-node.
type node struct {
	name, callers, admin string
	settings, log        string
	store, fleet         *proxy
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	ended                chan struct{}
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, seed: seed, checker: newChecker()}
	size := placement.Resources{Processors: 1, MemoryMB: 64}
	p := standin.New(standin.Estate{
		Pools: []standin.Pool{
			{Name: "pool", Workers: workersPerPool, Capacity: placement.Resources{Processors: 8, MemoryMB: 4096}},
			{Name: "spare", Workers: 2, Standby: true, Capacity: placement.Resources{Processors: 8, MemoryMB: 4096}},
		},
		Queues: []standin.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePrefix, Pool: "pool", MaxAttempts: maxAttempts}},
	})
	p.Size = func(workload.TaskID) placement.Resources { return size }
	p.RunOutcome = w.length
	p.Observe = w.checker.observe
	p.WorkerAddress = func(listen string) string {
		way := newProxy(t, listen)
		w.mu.Lock()
		w.workers = append(w.workers, way)
		w.mu.Unlock()
		return way.address()
	}
	w.platform = p
	addresses, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	dir := os.Getenv("EGRETPITCH_SOAK_LOGS")
	if dir == "" {
		dir = t.TempDir()
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("front-%d", i), store: newProxy(t, addresses.Store), fleet: newProxy(t, addresses.Fleet)}
		n.configure(t, dir)
		w.nodes = append(w.nodes, n)
		n.start(t)
	}
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.kill()
		}
	})
	return w
}

// length is drawn from a task's name: the same in each run. A poison job's first
// task fails each time.
func (w *world) length(task workload.TaskID) (time.Duration, platform.RunEnd) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.String())) // never fails
	took := time.Duration(50+h.Sum32()%400) * time.Millisecond
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	j := w.checker.jobs[task.Job]
	switch {
	case j != nil && j.lasting:
		return time.Hour, platform.EndDone
	case j != nil && j.poison && task.Step == 0 && task.Index == 0:
		return took, platform.EndFailed
	}
	return took, platform.EndDone
}

func freePort(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configure writes the settings file of the platform for a node.
func (n *node) configure(t testing.TB, dir string) {
	n.callers, n.admin = freePort(t), freePort(t)
	n.settings, n.log = filepath.Join(dir, n.name+".conf"), filepath.Join(dir, n.name+".log")
	lines := []string{
		"node=" + n.name, "listen.front=" + n.callers, "listen.ready=" + freePort(t), "listen.control=" + n.admin,
		"platform.address=" + n.store.address(), "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"cloud.address=" + n.fleet.address(), "cloud.rate_per_s=64", "cloud.duty_per_s=64",
		"bounds.max_hold_ms=6000", "bounds.stop_grace_ms=200", "bounds.lease_ms=3000", "bounds.migration_s=1.5", "bounds.grace_s=3",
	}
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start runs the process; one that ends is not started again by itself.
func (n *node) start(t testing.TB) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{wire.SettingsVariable + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // killed as often as not
		_ = out.Close()
		close(ended)
	}()
}

// signal sends a signal to the process, if it lives.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
	default:
		_ = n.cmd.Process.Signal(s) // it may end at this moment
	}
}

// kill ends the process and waits for that.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// anyNode returns the address of one of the nodes.
func (w *world) anyNode(rng *rand.Rand) string { return w.nodes[rng.IntN(nodes)].callers }

// anyWay returns one of the proxies.
func (w *world) anyWay(rng *rand.Rand) *proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	ways := append([]*proxy(nil), w.workers...)
	for _, n := range w.nodes {
		ways = append(ways, n.store, n.fleet)
	}
	return ways[rng.IntN(len(ways))]
}
