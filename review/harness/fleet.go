package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"time"
)

const (
	// migrationTime and maintenanceTime are how long a machine is away for a move
	// and for its upkeep: migration_s and maintenance_s.
	migrationTime   = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// machine is a machine of the estate. It runs one worker at a time, each life of
// which has an id of its own.
type machine struct {
	name, pool string
	// state is up, moving, upkeep or down.
	state string
	// worker is the id of the worker that runs, empty for none.
	worker string
	cmd    *exec.Cmd
	// waves holds the waves of which the machine has begun its upkeep.
	waves map[int64]bool
	// upkeepOf is the wave for which the machine is away, 0 for none.
	upkeepOf int64
	// address is where the workers of the machine listen.
	address string
}

// wave is an operator's request for upkeep.
type wave struct {
	Wave      int64    `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS float64  `json:"duration_s"`
	MaxCount  int      `json:"max_count"`
}

// machineOrder is an order about a machine as the fleet service received it.
type machineOrder struct {
	at                    time.Time
	call, machine, holder string
	token                 int64
	// carriedOut is set if the order took the machine away, and awayBefore counts
	// the machines of its wave that were away for their upkeep then.
	carriedOut bool
	wave       int64
	awayBefore int
}

// standbyPools are pools whose machines are off.
var standbyPools = map[string]bool{"backoffice": true}

// addMachines adds machines to a pool and starts their workers.
func (w *world) addMachines(pool string, n int) error {
	for i := range n {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		m := &machine{name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, state: "up", waves: map[int64]bool{}, address: address}
		w.mu.Lock()
		w.machines = append(w.machines, m)
		w.mu.Unlock()
		if !standbyPools[pool] {
			if err := w.boot(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// boot starts a new worker on a machine.
func (w *world) boot(m *machine) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lives++
	id := fmt.Sprintf("i-%04d", w.lives)
	c := exec.Command(self, "worker", id, m.pool, m.address, w.store)
	w.mu.Unlock()
	if err := w.spawn(c, w.workerLine); err != nil {
		return err
	}
	w.mu.Lock()
	m.worker, m.cmd, m.state = id, c, "up"
	w.mu.Unlock()
	w.note("machine", "%s runs %s in %s", m.name, id, m.pool)
	return nil
}

// workerLine handles a report of a worker process.
func (w *world) workerLine(line string) {
	var e workerEvent
	if json.Unmarshal([]byte(line), &e) != nil {
		w.note("worker", "%s", line)
		return
	}
	e.At = time.Now()
	w.mu.Lock()
	w.events = append(w.events, e)
	w.mu.Unlock()
	w.note("run", "%s %s %s run %d %s", e.Worker, e.Event, e.Task, e.Run, e.How)
}

// takeAway ends the worker of a machine for a move or an upkeep. The caller holds
// w.mu.
func (w *world) takeAway(m *machine, state string, away time.Duration) {
	id, c := m.worker, m.cmd
	m.worker, m.cmd, m.state = "", nil, state
	go func() {
		if c != nil {
			_ = c.Process.Kill()
			w.remove(id)
		}
		time.Sleep(away)
		w.mu.Lock()
		m.upkeepOf = 0
		if standbyPools[m.pool] {
			m.state = "up"
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_ = w.boot(m) // it stays away otherwise
	}()
}

// cloudHandler serves the fleet service. It does not check fences.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		list := []map[string]any{}
		for _, m := range w.machines {
			entry := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "pnw-a", "labels": []string{"a", "r1"}, "id": nil,
				"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0},
			}
			if m.worker != "" {
				entry["id"] = m.worker
			}
			list = append(list, entry)
		}
		w.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
	})
	mux.HandleFunc("POST /api/machine-move", w.orderMachine)
	mux.HandleFunc("POST /api/machine-upkeep", w.orderMachine)
	return mux
}

// orderMachine carries out an order about a machine.
func (w *world) orderMachine(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("Egretpitch-Fencing-Token"), 10, 64) // a missing one counts as 0
	o := machineOrder{at: time.Now(), call: r.URL.Path, machine: body.Machine, holder: r.Header.Get("Egretpitch-Duty-Holder"), token: token, wave: body.Wave}
	w.mu.Lock()
	status, reason := w.carryOut(&o, body.Pool)
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.note("order", "%s %s pool=%s wave=%d holder=%s token=%d: %d %s carried out=%t", o.call, o.machine, body.Pool, o.wave, o.holder, o.token, status, reason, o.carriedOut)
	answer := map[string]any{}
	if reason != "" {
		answer["reason"] = reason
	}
	reply(rw, status, answer)
}

// carryOut carries out an order and returns its answer. The caller holds w.mu.
func (w *world) carryOut(o *machineOrder, pool string) (status int, reason string) {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == o.machine })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m := w.machines[i]
	if o.call == "/api/machine-move" {
		switch {
		case m.pool == pool:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		m.pool, o.carriedOut = pool, true
		w.takeAway(m, "moving", migrationTime)
		return http.StatusOK, ""
	}
	switch {
	case !slices.Contains(w.waves[o.wave].Machines, m.name):
		return http.StatusConflict, "wave"
	case m.waves[o.wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	for _, other := range w.machines {
		if other.upkeepOf == o.wave {
			o.awayBefore++
		}
	}
	m.waves[o.wave], m.upkeepOf, o.carriedOut = true, o.wave, true
	w.takeAway(m, "upkeep", maintenanceTime)
	return http.StatusOK, ""
}

// requestWave requests the upkeep of machines.
func (w *world) requestWave(v wave) error {
	w.mu.Lock()
	w.waves[v.Wave] = v
	w.mu.Unlock()
	w.note("operator", "wave %d of %d machines, %d at once", v.Wave, len(v.Machines), v.MaxCount)
	return w.write("op", "wave/"+strconv.FormatInt(v.Wave, 10), v)
}
