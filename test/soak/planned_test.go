package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"syscall"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// plannedPeriod is long enough to find a task lost whose worker crashes in the
	// first unplannedPeriod.
	plannedPeriod   = 17 * time.Second
	unplannedPeriod = 4 * time.Second
	// entryTimeout is how long the platform keeps the entry of a silent worker: three
	// heartbeats of 1.3 s.
	entryTimeout = 3900 * time.Millisecond
)

// injectPlannedWork restarts nodes, most often the owner of the control work, with
// further signals while they shut down, and changes the configuration. In the
// first unplannedPeriod workers crash for good, and for every second seed owners
// are killed.
func (w *world) injectPlannedWork(ctx context.Context, rng *rand.Rand) {
	for begin := time.Now(); ctx.Err() == nil; {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		n := w.nodes[rng.IntN(len(w.nodes))]
		if owner := w.owner(); owner != nil && rng.IntN(4) > 0 {
			n = owner
		}
		kind := rng.IntN(8)
		if time.Since(begin) > unplannedPeriod {
			kind %= 4
		}
		switch {
		case kind == 3:
			n.signal(syscall.SIGHUP)
			_ = w.platform.Configure() // may fail as a worker crashes
		case kind == 4 && w.seed%2 == 1:
			end := w.beginFault()
			n.kill()
			n.start(w.t)
			end()
		case kind >= 4:
			w.loseWorker(rng)
		default:
			n.mu.Lock()
			process := n.cmd.Process
			n.mu.Unlock()
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
				after := time.Duration(rng.IntN(4000)) * time.Millisecond
				time.AfterFunc(after, func() { _ = process.Signal(s) }) // it may have ended
			}
			w.restart(n)
		}
	}
}

// loseWorker crashes for good the worker of a long-running task that has not lost
// one before, unless half of the workers have crashed. Mostly its entry stays for
// entryTimeout.
func (w *world) loseWorker(rng *rand.Rand) {
	defer w.beginFault()()
	w.crashing.Lock()
	defer w.crashing.Unlock()
	job, id := jobID(w.seed, firstLongJob+rng.IntN(longJobs)), ""
	w.checker.update(job, func(j *jobRecord) {
		if t := j.task(workload.TaskID{Job: job}); len(t.running) > 0 && t.crashes == 0 {
			id = t.lastWorker
		}
	})
	crashed, number, hosts := 0, -1, w.hosts()
	for i, h := range hosts {
		if h["state"] == "down" {
			crashed++
		} else if h["id"] == id {
			number = i
		}
	}
	if number < 0 || crashed >= workersPerPool/2 {
		return
	}
	if rng.IntN(4) > 0 {
		w.silent.Store(hosts[number]["machine"], id)
		time.AfterFunc(entryTimeout, func() { w.silent.Delete(hosts[number]["machine"]) })
		// The stand-in removes the entry by a call that takes this long, and so do the
		// calls of nodes that begin meanwhile: the store is disturbed until they end.
		endSlowCalls := w.beginFault()
		defer func() { time.AfterFunc(entryTimeout, endSlowCalls) }()
		w.platform.Rows.SetFaults(standin.Faults{Latency: entryTimeout})
		defer w.platform.Rows.SetFaults(standin.Faults{})
	}
	w.platform.Crash(number, time.Hour)
	time.Sleep(2 * time.Millisecond) // the removal begins
}

// owner returns the node that the owner record names, nil for none.
func (w *world) owner() *node {
	rows, _, _ := w.platform.Rows.ReadRows(context.Background(), "egretpitch-control", "control", "owner", "owner~")
	for _, n := range w.nodes {
		if len(rows) > 0 && bytes.Contains(rows[0].Value, []byte(`"owner":"`+n.name+`"`)) {
			return n
		}
	}
	return nil
}

// hosts reads the list of hosts.
func (w *world) hosts() []map[string]any {
	var list struct{ Machines []map[string]any }
	if resp, err := http.Get("http://" + w.fleetAddress + "/api/machines"); err == nil {
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&list) // a failed read shows no hosts
	}
	return list.Machines
}

// handleFleet serves the fleet service to the nodes. Its list shows a host as up
// with its crashed worker while the entry of the worker stays.
func (w *world) handleFleet() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.fleetAddress}))
	mux.HandleFunc("GET /api/machines", func(rw http.ResponseWriter, _ *http.Request) {
		hosts := w.hosts()
		for _, h := range hosts {
			if id, ok := w.silent.Load(h["machine"]); ok {
				h["state"], h["id"] = "up", id
			}
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"machines": hosts, "next_page_token": nil}) // fails if the caller is gone
	})
	return mux
}
