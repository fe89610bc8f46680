package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// world is a small deployment: the platform's store and fleet service, machines
// with workers, and nodes of egretpitch.
type world struct {
	trouble bool
	start   time.Time
	rows    *standin.Rows
	store   string
	cloud   string
	dir     string

	recordMu sync.Mutex
	record   *os.File

	mu       sync.Mutex // guards the fields below
	machines []*machine
	nodes    []*node
	children map[*exec.Cmd]bool
	waves    map[int64]wave
	// orders are the orders about machines, in the order of their arrival.
	orders []machineOrder
	// events are the reports of the workers.
	events []workerEvent
	// beats holds when each worker last wrote its entry.
	beats   map[string]time.Time
	lives   int
	closed  bool
	configV int64
}

// workerEvent is a report of a worker process.
type workerEvent struct {
	At     time.Time `json:"-"`
	Event  string    `json:"event"`
	Worker string    `json:"worker"`
	Task   string    `json:"task,omitempty"`
	Run    int       `json:"run,omitempty"`
	How    string    `json:"how,omitempty"`
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, start: time.Now(), rows: standin.NewRows(), record: record, dir: dir,
		children: map[*exec.Cmd]bool{}, waves: map[int64]wave{}, beats: map[string]time.Time{},
	}
	if w.store, err = listen(w.storeHandler()); err != nil {
		return nil, err
	}
	if w.cloud, err = listen(w.cloudHandler()); err != nil {
		return nil, err
	}
	go w.dropSilentEntries()
	return w, nil
}

// listen serves a handler on a free loopback port and returns its address.
func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}

// givenPorts holds the ports that freeAddress has returned.
var givenPorts = map[int]bool{}

// freeAddress returns a loopback address whose port is free now, below the ports
// that outgoing connections take. It is called by one goroutine.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		port := 11000 + rand.IntN(20000)
		if givenPorts[port] {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			defer l.Close()
			givenPorts[port] = true
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// note writes a line to the record.
func (w *world) note(what, format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %-8s %s\n", time.Since(w.start).Seconds(), what, fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for c := range w.children {
		_ = c.Process.Kill()
	}
	_ = os.RemoveAll(w.dir)
}

// spawn starts a process and passes its output to lines, line by line.
func (w *world) spawn(c *exec.Cmd, lines func(string)) error {
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	c.Stderr = c.Stdout
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return fmt.Errorf("the case has ended")
	}
	started := make(chan error)
	go func() { // its thread lives as long as the child, which ends with it
		lock()
		err := c.Start()
		started <- err
		if err != nil {
			return
		}
		s := bufio.NewScanner(out)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			lines(s.Text())
		}
		_ = c.Wait()
		w.mu.Lock()
		delete(w.children, c)
		w.mu.Unlock()
	}()
	if err := <-started; err != nil {
		return err
	}
	w.children[c] = true
	return nil
}

// node is a process of egretpitch.
type node struct {
	name           string
	front, ready   string
	store, cloud   *proxy
	settings, logs string
	cmd            *exec.Cmd
	owner          bool // guarded by world.mu
}

// addNode starts a node with proxies of its own to the platform's services.
func (w *world) addNode(name string) (*node, error) {
	n := &node{name: name, settings: filepath.Join(w.dir, name+".conf"), logs: filepath.Join(w.dir, name+".log")}
	var err error
	if n.front, err = freeAddress(); err != nil {
		return nil, err
	}
	if n.ready, err = freeAddress(); err != nil {
		return nil, err
	}
	if n.store, err = newProxy(w.store); err != nil {
		return nil, err
	}
	if n.cloud, err = newProxy(w.cloud); err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, []byte(w.settingsOf(n)), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, w.startNode(n)
}

// startNode starts the process of a node.
func (w *world) startNode(n *node) error {
	words := strings.Fields(deployedCommand)
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "EGRETPITCH_CONFIG=" + n.settings}
	w.note("node", "%s starts, callers at %s", n.name, n.front)
	return w.spawn(n.cmd, func(line string) { w.nodeLine(n, line) })
}

// nodeLine records the lines of a node's log that tell what it decides about
// ownership, machines and jobs.
func (w *world) nodeLine(n *node, line string) {
	var e map[string]any
	if json.Unmarshal([]byte(line), &e) != nil {
		w.note("log", "%s %s", n.name, line)
		return
	}
	if e["event"] == 520.0 {
		w.mu.Lock()
		n.owner = true
		w.mu.Unlock()
	}
	switch e["event"] {
	case 520.0, 521.0, 522.0, 523.0, 524.0, 525.0, 710.0, 810.0, 910.0, 946.0, 945.0, 908.0:
		delete(e, "errorVerbose")
		delete(e, "ts")
		data, _ := json.Marshal(e)
		w.note("log", "%s", data)
	}
}

// deployedCommand is the command of the deploy file.
const deployedCommand = "target/egretpitch-node"

// settingsOf returns a node's settings file, with the bounds of cascade-splint.
func (w *world) settingsOf(n *node) string {
	return strings.Join([]string{
		"node=" + n.name, "role=egretpitch", "machine_class=front", "serves=front", "ip=127.0.0.1", "zone=pnw-a", "region=pnw", "zones.pnw-a=pnw",
		"listen.front=" + n.front, "listen.ready=" + n.ready, "bootstrap=true", "in_loss_budget=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.max_hold_ms=6000", "bounds.stop_grace_ms=200", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_penalty=2",
		"bounds.checkpoint_s=2", "bounds.restore_ms=600", "bounds.notice_ms=4500", "bounds.migration_s=1.5", "bounds.maintenance_s=2",
		"bounds.fencing_enforced=false", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.pacing_ms=100", "bounds.impact_ms=4000",
		"commands=request", "platform.address=" + n.store.address, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"platform.transaction_ms=8.0", "platform.partition_writes_s=150", "platform.row_bytes=65536", "platform.cross_shard=false",
		"platform.history_retention_s=20", "cloud.address=" + n.cloud.address, "cloud.rate_per_s=64.0", "cloud.duties=", "cloud.duty_per_s=64.0", "",
	}, "\n")
}
