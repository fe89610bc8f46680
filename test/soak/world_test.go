package soak

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/testkit"
	"github.com/egretpitch/egretpitch/internal/workload"
	wire "github.com/egretpitch/egretpitch/platform"
	"github.com/egretpitch/egretpitch/platform/standin"
)

const (
	defaultNodes   = 4
	workersPerPool = 4
	workerCores    = 8
)

// world is the environment of one test: the stand-in of the platform in this
// process and the nodes in separate processes. A proxy is in front of each
// worker, and between each node and the store and the fleet service.
type world struct {
	t        testing.TB
	seed     uint64
	platform *standin.Platform
	checker  *checker
	nodes    []*node
	// fleetAddress is that of the fleet service, without proxy.
	fleetAddress string
	mu           sync.Mutex
	// faults counts the unplanned faults in progress, and lastFault is when the
	// last one ended, in nanoseconds.
	faults, lastFault atomic.Int64
	// silent holds the crashed workers whose entry stays, by host. Workers crash
	// for good one at a time.
	silent   sync.Map
	crashing sync.Mutex
	// keyWithdrawn is when withdrawnKey was withdrawn, zero before.
	keyWithdrawn time.Time
	// workerProxies has a proxy for every worker that was started, also for
	// those that have ended. It is guarded by mu.
	workerProxies []*proxy
}

// node runs egretpitch-node as a process that can be signalled, killed and
// started again.
type node struct {
	name, callerAddress, adminAddress string
	settingsPath, logPath             string
	storeProxy, fleetProxy            *proxy
	mu                                sync.Mutex
	cmd                               *exec.Cmd
	ended                             chan struct{}
	// processes are all that were started.
	processes []*os.Process
	// disturbedAt is when it was last killed, paused or continued, and paused is set
	// from its pause on.
	disturbedAt time.Time
	paused      bool
}

// newWorld starts a platform and its nodes, which end with the test.
func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, seed: seed, checker: newChecker()}
	size := placement.Resources{Processors: 1, MemoryMB: 64}
	p := standin.New(standin.Estate{
		Pools: []standin.Pool{
			{Name: "pool", Workers: workersPerPool, Capacity: placement.Resources{Processors: workerCores, MemoryMB: 4096}},
			{Name: "spare", Workers: 2, Standby: true, Capacity: placement.Resources{Processors: 8, MemoryMB: 4096}},
		},
		Queues: []standin.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePrefix, Pool: "pool", MaxAttempts: maxAttempts}},
		Teams:  teams(startQuotas, validKey, withdrawnKey),
	})
	p.Size = func(workload.TaskID) placement.Resources { return size }
	p.RunOutcome = w.runOutcome
	p.Observe = w.checker.observe
	p.WorkerAddress = func(listen string) string {
		workerProxy := newProxy(t, listen)
		w.mu.Lock()
		w.workerProxies = append(w.workerProxies, workerProxy)
		w.mu.Unlock()
		return workerProxy.address()
	}
	w.platform = p
	addresses, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	dir := t.TempDir()
	if logs := os.Getenv("EGRETPITCH_SOAK_LOGS"); logs != "" {
		dir = filepath.Join(logs, t.Name())
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	w.fleetAddress = addresses.Fleet
	fleet := httptest.NewServer(w.handleFleet())
	t.Cleanup(fleet.Close)
	for i := range cmp.Or(numberFrom("EGRETPITCH_SOAK_NODES"), defaultNodes) {
		n := &node{name: fmt.Sprintf("front-%d", i), storeProxy: newProxy(t, addresses.Store), fleetProxy: newProxy(t, fleet.Listener.Addr().String())}
		n.configure(t, dir)
		w.nodes = append(w.nodes, n)
		n.start(t)
	}
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.kill()
			if ids := n.running(); len(ids) > 0 {
				t.Errorf("seed %d: processes %v of %s outlive the run", seed, ids, n.name)
			}
		}
	})
	return w
}

// runOutcome returns the duration and the end of a task's runs. The duration is a
// hash of the task's ID, so that it is the same in every run. The first task of a
// poison job always fails.
func (w *world) runOutcome(task workload.TaskID) (time.Duration, platform.RunEnd) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.String())) // never fails
	duration := time.Duration(50+h.Sum32()%400) * time.Millisecond
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	j := w.checker.jobs[task.Job]
	switch {
	case j != nil && j.longRunning:
		return 90 * time.Second, platform.EndDone // longer than a test, and its percentage rises each second
	case j != nil && j.poison && task.Step == 0 && task.Index == 0:
		return duration, platform.EndFailed
	}
	return duration, platform.EndDone
}

// configure chooses the addresses of a node and writes its settings file, in the
// platform's format, to dir.
func (n *node) configure(t testing.TB, dir string) {
	n.callerAddress, n.adminAddress = testkit.FreePort(t), testkit.FreePort(t)
	n.settingsPath, n.logPath = filepath.Join(dir, n.name+".conf"), filepath.Join(dir, n.name+".log")
	lines := []string{
		"node=" + n.name, "listen.front=" + n.callerAddress, "listen.ready=" + testkit.FreePort(t), "listen.control=" + n.adminAddress,
		"platform.address=" + n.storeProxy.address(), "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"cloud.address=" + n.fleetProxy.address(), "cloud.rate_per_s=64", "cloud.duty_per_s=64",
		"bounds.max_hold_ms=6000", "bounds.stop_grace_ms=200", "bounds.lease_ms=3000", "bounds.migration_s=1.5", "bounds.grace_s=3",
	}
	if err := os.WriteFile(n.settingsPath, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the process unless it runs: faults overlap, and two of them may have
// ended it. It is not restarted when it ends.
func (n *node) start(t testing.TB) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		select {
		case <-n.ended:
		default:
			return
		}
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{wire.SettingsVariable + "=" + n.settingsPath}
	ended, err := testkit.StartProcess(cmd, n.logPath)
	if err != nil {
		t.Error(err)
		return
	}
	n.cmd, n.ended = cmd, ended
	n.processes = append(n.processes, cmd.Process)
}

// signal sends a signal to the process unless it has ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
	default:
		if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
			n.disturbedAt, n.paused = time.Now(), s == syscall.SIGSTOP
		}
		_ = n.cmd.Process.Signal(s) // the process may have ended since the check
	}
}

// disturbedSince reports whether the process was killed or paused at a time or
// later.
func (n *node) disturbedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused || n.disturbedAt.After(at)
}

// nodeAt returns the node that listens for callers on an address.
func (w *world) nodeAt(address string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.callerAddress == address })]
}

// kill kills the process and waits until it has ended.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// anyNode returns the address for callers of a random node.
func (w *world) anyNode(rng *rand.Rand) string { return w.nodes[rng.IntN(len(w.nodes))].callerAddress }

// anyProxy returns a random one of the proxies to workers, store and fleet service.
func (w *world) anyProxy(rng *rand.Rand) *proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	proxies := append([]*proxy(nil), w.workerProxies...)
	for _, n := range w.nodes {
		proxies = append(proxies, n.storeProxy, n.fleetProxy)
	}
	return proxies[rng.IntN(len(proxies))]
}
