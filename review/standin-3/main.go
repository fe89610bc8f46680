package main

import (
	"fmt"
	"os"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// Results of a case, which are the exit codes of its script.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

// world is a deployment with its clients.
type world struct {
	*platformStandin
	nodes   []*node
	trouble bool
	queue   map[string]any
	// links puts a link that can be cut before each machine.
	links bool
}

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
)

func main() {
	cases := map[string]func(*world) int{"advice": advisedJobs, "requirements": requiredLabel, "unread": unreadEnds}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) int, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer os.RemoveAll(folder)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", platformStandin: &platformStandin{
		record: r, store: &store{standin.NewRows()}, tickets: map[string]ticket{}, starts: map[string]int{}, done: map[string]int{},
		failed: map[string]int{}, crashes: map[string]int{},
	}}
	r.line("with the disruption: %v", w.trouble)
	defer w.stop()
	result := run(w)
	r.line("result %d", result)
	fmt.Printf("result %d, see %s\n", result, path)
	return result
}

// servingPool is the pool that runs the jobs.
const servingPool = "kano-orders"

// start starts nine workers of one pool, four a rack, a number of machines that are off
// and a number of nodes, and waits until the nodes are ready.
func (w *world) start(nodes, spare int, folder string) bool {
	for i := range 9 + spare {
		m := &machine{platformStandin: w.platformStandin, name: fmt.Sprintf("m-%02d", i), pool: servingPool, rack: fmt.Sprintf("r%d", 1+i/4), cpu: 64000, mem: 131072, address: "127.0.0.1:0"}
		if w.links {
			k, err := newLink()
			if err != nil {
				w.record.line("link: %v", err)
				return false
			}
			m.link = k
		}
		if i >= 9 {
			m.pool, m.rack = standbyPool, fmt.Sprintf("r%d", 4+(i-9)/4)
		} else if err := m.boot(); err != nil {
			w.record.line("worker: %v", err)
			return false
		}
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		go m.beat()
	}
	route := map[string]any{
		"name": "r-5xwyhks", "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "latency_target_ms": 600,
		"priority": 0, "service": servingPool, "max_attempts": 2, "stretch": 1.6,
	}
	for name, value := range w.queue {
		route[name] = value
	}
	services := []any{map[string]any{"name": servingPool, "rejects_overload": true, "max_connections": 64}}
	if spare > 0 {
		services = append(services, map[string]any{"name": standbyPool, "rejects_overload": true, "max_connections": 64, "standby": true})
	}
	w.store.put("op", "config", map[string]any{
		"version": 7, "routes": []any{route}, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	storeAddress, fleetAddress, adviceAddress := serve(w.store.handler()), serve(w.fleet()), serve(w.advice())
	for i := range nodes {
		n := newNode(i, folder, storeAddress, fleetAddress, adviceAddress, w.record)
		if err := n.start(); err != nil {
			w.record.line("node: %v", err)
			return false
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		ready := false
		for began := time.Now(); !ready && time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
			status, _ := call("GET", n.ready, "", "/api/readiness", nil, time.Second)
			ready = status == 200
		}
		if !ready {
			w.record.line("%s is not ready", n.name)
			return false
		}
	}
	time.Sleep(2 * time.Second) // the workers are known by then
	return true
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.stop()
	}
}

// submit hands a job in until it is accepted, as clients do, and reports whether it
// was.
func (w *world) submit(id string, job map[string]any) bool {
	for try := range 5 {
		n := w.nodes[try%len(w.nodes)]
		status, _ := call("POST", n.front, host, prefix+id, job, 3*time.Second)
		w.record.line("job %s is sent to %s: %d", id, n.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at one node after the other until one answers.
func (w *world) state(id string) string {
	for _, n := range w.nodes {
		if status, body := call("GET", n.front, host, prefix+id, nil, 3*time.Second); status == 200 {
			state, _ := body["state"].(string)
			w.record.line("%s gives job %s as %s", n.name, id, state)
			return state
		} else {
			w.record.line("%s answers %d about job %s", n.name, status, id)
		}
	}
	return ""
}

// runs reports whether a worker has a run of a job now.
func (w *world) runs(id string) bool {
	for _, m := range w.machines {
		m.mu.Lock()
		m.tick(time.Now())
		for key := range m.running {
			if key.task[:16] == id {
				m.mu.Unlock()
				return true
			}
		}
		m.mu.Unlock()
	}
	return false
}
