package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// world is a small deployment: the platform, its workers, the processes of the
// system and their clients, all on loopback addresses.
type world struct {
	began     time.Time
	store     *store
	storeAddr string
	cloudAddr string
	dir       string
	logDir    string

	mu       sync.Mutex
	machines []*machine
	nodes    []*node
	record   []string
	// starts and ends hold what workers began and how it ended, by task.
	starts map[string][]started
	ends   map[string][]string
	// lapses holds when the lease of each task last lapsed.
	lapses map[string]time.Time
	// listed is signalled after each answer with the list of machines.
	listed chan struct{}
	// listeners are those of the platform and its workers.
	listeners []*quietListener
	// workers counts the workers that were started.
	workers atomic.Int64
}

// started is a run that a worker has begun.
type started struct {
	run    int
	worker *worker
	at     time.Time
}

// node is a process of the system.
type node struct {
	name, ip   string
	front      string
	cmd        *exec.Cmd
	configPath string
}

func newWorld(dir string) (*world, error) {
	logDir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	o := &world{
		began: time.Now(), store: newStore(), dir: dir, logDir: logDir, starts: map[string][]started{}, ends: map[string][]string{}, lapses: map[string]time.Time{},
		listed: make(chan struct{}, 1),
	}
	if o.storeAddr, err = o.serve(o.store.handler()); err != nil {
		return nil, err
	}
	o.cloudAddr, err = o.serve(o.cloud())
	return o, err
}

// serve serves a handler on a free port and returns the address.
func (o *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	q := o.quietListener(l)
	go func() { _ = (&http.Server{Handler: h}).Serve(q) }() // ends with the process
	return l.Addr().String(), nil
}

// quietListener returns a listener of the platform whose connections silence makes
// silent.
func (o *world) quietListener(l net.Listener) net.Listener {
	q := newQuietListener(l)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listeners = append(o.listeners, q)
	return q
}

// silence makes all open connections to the platform and its workers silent.
func (o *world) silence() {
	o.mu.Lock()
	listeners := append([]*quietListener{}, o.listeners...)
	o.mu.Unlock()
	n := 0
	for _, l := range listeners {
		n += l.silence()
	}
	o.note("%d open connections to the store, the fleet service and the workers go silent", n)
}

// note adds a line to the record.
func (o *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", time.Since(o.began).Seconds(), fmt.Sprintf(format, args...))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record = append(o.record, line)
}

func (o *world) runBegan(id runID, w *worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts[id.task] = append(o.starts[id.task], started{id.run, w, time.Now()})
}

func (o *world) runEnded(id runID, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends[id.task] = append(o.ends[id.task], how)
	if how == "lapsed" {
		o.lapses[id.task] = time.Now()
	}
}

// endsOf counts the ends of the tasks of a job by how they ended.
func (o *world) endsOf(job string) map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := map[string]int{}
	for task, list := range o.ends {
		if strings.HasPrefix(task, job+".") {
			for _, how := range list {
				count[how]++
			}
		}
	}
	return count
}

// startsOf counts the runs of a job that workers have begun.
func (o *world) startsOf(job string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for task, list := range o.starts {
		if strings.HasPrefix(task, job+".") {
			n += len(list)
		}
	}
	return n
}

// isUp reports whether a worker with the id is up.
func (o *world) isUp(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.machines {
		if m.worker != nil && m.worker.id == id {
			return true
		}
	}
	return false
}

// newID returns a new id of a worker.
func (o *world) newID() string { return fmt.Sprintf("i-%010x", 0x5a00000000+o.workers.Add(1)) }

// addMachine adds a machine with a worker.
func (o *world) addMachine(pool, rack string, cpu, memMB int) (*machine, error) {
	m := &machine{name: fmt.Sprintf("m-%05x", rand.Uint64N(1<<20)), pool: pool, kind: "a", rack: rack, address: "127.0.0.1:0", cpu: cpu, memMB: memMB}
	o.mu.Lock()
	o.machines = append(o.machines, m)
	o.mu.Unlock()
	return m, o.boot(m, "")
}

// cloud serves the list of machines. Orders about machines are refused: no case
// needs any.
func (o *world) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		o.mu.Lock()
		list := []map[string]any{}
		for _, m := range o.machines {
			entry := map[string]any{
				"machine": m.name, "pool": m.pool, "state": "down", "zone": "zone-a", "labels": []string{m.kind, m.rack},
				"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0}, "id": nil,
			}
			if m.worker != nil {
				entry["state"], entry["id"] = "up", m.worker.id
			}
			list = append(list, entry)
		}
		o.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
		select {
		case o.listed <- struct{}{}:
		default:
		}
	})
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /api/machine-move", refuse)
	mux.HandleFunc("POST /api/machine-upkeep", refuse)
	return mux
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	maxAttempts           int
}

const callersHost = "callers.example"

// configure writes the configuration.
func (o *world) configure(version int, routes []route, services []string) {
	var list, pools []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": callersHost, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000, "latency_target_ms": 600,
			"priority": 0, "service": r.service, "max_attempts": r.maxAttempts, "stretch": 1.6,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "rejects_overload": true, "max_connections": 64})
	}
	o.store.put("op", "config", map[string]any{
		"version": version, "routes": list, "services": pools,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 60000},
	})
}

// freePorts returns three free ports of an address.
func freePorts(ip string) ([3]int, error) {
	var ports [3]int
	for i := range ports {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// addNode starts a process of the system with the command of the deploy file.
func (o *world) addNode(number int) error {
	n := &node{name: fmt.Sprintf("front-zone-a-%d", number), ip: fmt.Sprintf("127.0.1.%d", number)}
	ports, err := freePorts(n.ip)
	if err != nil {
		return err
	}
	n.front = fmt.Sprintf("%s:%d", n.ip, ports[0])
	n.configPath = filepath.Join(o.logDir, n.name+".conf")
	settings := fmt.Sprintf(settingsFormat, n.name, n.ip, n.front, n.ip, ports[1], n.ip, ports[2], o.storeAddr, o.cloudAddr)
	if err := os.WriteFile(n.configPath, []byte(settings), 0o600); err != nil {
		return err
	}
	o.mu.Lock()
	o.nodes = append(o.nodes, n)
	o.mu.Unlock()
	return o.run(n)
}

// run starts the process of a node.
func (o *world) run(n *node) error {
	log, err := os.OpenFile(filepath.Join(o.logDir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/egretpitch-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EGRETPITCH_CONFIG=" + n.configPath}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	o.note("process %s starts", n.name)
	return nil
}

// end ends all processes and writes the record.
func (o *world) end() error {
	for _, n := range o.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill() // it may have ended
			_ = n.cmd.Wait()
		}
	}
	o.mu.Lock()
	text := strings.Join(o.record, "\n") + "\n"
	o.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(o.logDir)
	} else {
		fmt.Println("logs:", o.logDir)
	}
	return os.WriteFile(filepath.Join(o.dir, "record.txt"), []byte(text), 0o644)
}

// settingsFormat is the settings file of a process, with the figures of a small
// deployment.
const settingsFormat = `node=%s
role=egretpitch
machine_class=front
serves=front
ip=%s
zone=zone-a
region=region-1
zones.zone-a=region-1
listen.front=%s
listen.ready=%s:%d
listen.control=%s:%d
bootstrap=true
in_loss_budget=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=6000
bounds.stop_grace_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_penalty=2
bounds.checkpoint_s=1
bounds.restore_ms=100
bounds.notice_ms=4500
bounds.migration_s=1.5
bounds.maintenance_s=2
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.pacing_ms=100
bounds.impact_ms=4000
commands=request
platform.address=%s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.transaction_ms=8.0
platform.partition_writes_s=150
platform.row_bytes=65536
platform.cross_shard=false
platform.history_retention_s=20
cloud.address=%s
cloud.rate_per_s=64.0
cloud.duties=
cloud.duty_per_s=64.0
`

// answer is the response to a client.
type answer struct {
	status int
	state  string
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends one request of a client to a node.
func (o *world) call(n *node, method, path string, body any) (answer, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return answer{}, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+n.front+path, reader)
	if err != nil {
		return answer{}, err
	}
	req.Host = callersHost
	req.Header.Set("Egretpitch-Deadline-Remaining", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		o.note("%s %s at %s: %v", method, path, n.name, err)
		return answer{}, err
	}
	defer resp.Body.Close()
	var out struct {
		State string `json:"state"`
	}
	data, err := io.ReadAll(resp.Body)
	if err == nil && len(data) > 0 {
		err = json.Unmarshal(data, &out)
	}
	o.note("%s %s at %s: %d %s", method, path, n.name, resp.StatusCode, out.State)
	return answer{resp.StatusCode, out.State}, err
}

// newJobID returns the id of a new job.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with the retries of a client, and reports whether it was
// accepted.
func (o *world) submit(prefix, id string, body any) bool { return o.submitAt(0, prefix, id, body) }

// submitAt is submit, which begins at the node with the given number, modulo the
// number of nodes.
func (o *world) submitAt(first int, prefix, id string, body any) bool {
	for attempt := first; attempt < first+5; attempt++ {
		a, err := o.call(o.nodes[attempt%len(o.nodes)], http.MethodPost, prefix+id, body)
		if err == nil && a.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at one process after the other until one
// answers.
func (o *world) state(prefix, id string) string {
	for _, n := range o.nodes {
		if a, err := o.call(n, http.MethodGet, prefix+id, nil); err == nil && a.status == http.StatusOK {
			return a.state
		}
	}
	return ""
}

// atWork lists the tasks that run on workers that are up, by name.
func (o *world) atWork(job string) []string {
	o.mu.Lock()
	machines := append([]*machine{}, o.machines...)
	o.mu.Unlock()
	var list []string
	for _, m := range machines {
		o.mu.Lock()
		w := m.worker
		o.mu.Unlock()
		if w == nil {
			continue
		}
		w.mu.Lock()
		for id, r := range w.runs {
			if strings.HasPrefix(id.task, job+".") && r.stopAt.IsZero() {
				list = append(list, id.task)
			}
		}
		w.mu.Unlock()
	}
	sort.Strings(list)
	return list
}

// waitFor waits until done and reports whether that came in time.
func waitFor(within time.Duration, done func() bool) bool {
	for until := time.Now().Add(within); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

// residentMB returns the resident memory of the process of a node, 0 if it has ended.
func (n *node) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// memoryLimitMB is limits.memory_mb of the settings.
const memoryLimitMB = 284

// guardMemory does what the platform does: it kills a process that takes more memory
// than its machine has, and starts it again. The returned function ends that, and
// returns the number of kills and the largest figure.
func (o *world) guardMemory() func() (kills, peakMB int) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	kills, peak := 0, 0
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, n := range o.nodes {
				mb := n.residentMB()
				peak = max(peak, mb)
				if mb <= memoryLimitMB {
					continue
				}
				o.note("process %s takes %d MB of %d and is killed", n.name, mb, memoryLimitMB)
				kills++
				_ = n.cmd.Process.Kill() // it may have ended
				_ = n.cmd.Wait()
				time.Sleep(time.Second)
				if err := o.run(n); err != nil {
					o.note("process %s does not start again: %v", n.name, err)
				}
			}
		}
	}()
	return func() (int, int) {
		close(stop)
		<-stopped
		return kills, peak
	}
}
