package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// task is what a worker has to know of a task's step.
type task struct {
	cpu, mem int
	work     time.Duration
	// advised tasks start with a ticket only.
	advised bool
	// label is the label that the worker must have, empty for none.
	label string
}

type runKey struct {
	task string
	run  int
}

type run struct {
	runKey
	task
	started, stopAt time.Time
}

type end struct {
	number int64
	runKey
	how string
}

// machine is a machine with its present worker, one life of it.
type machine struct {
	*platformStandin
	name, pool, rack string
	cpu, mem         int
	address          string
	// link is the path to the machine, nil if clients reach it directly.
	link *link

	mu       sync.Mutex
	server   *http.Server
	up       bool
	moving   bool
	id       string
	lives    int
	booted   time.Time
	token    int64
	leaseMS  int64
	running  map[runKey]*run
	ends     []end
	lastEnd  int64
	highest  map[string]int
	sequence int
}

// platformStandin is the simulated platform.
type platformStandin struct {
	record   *record
	store    *store
	machines []*machine
	// tasks returns what is known of a task by its name.
	tasks func(name string) (task, bool)
	// permits is the policy of the advice service: whether a machine may run advised steps.
	permits  func(*machine) bool
	validity time.Duration

	mu      sync.Mutex
	tickets map[string]ticket // by ticket
	starts  map[string]int
	done    map[string]int
	failed  map[string]int
	// crashes counts the workers that have crashed under a task.
	crashes map[string]int
	next    int
}

type ticket struct {
	step, worker string
	until        time.Time
}

func (m *machine) clockMS(now time.Time) int64 { return now.Sub(m.booted).Milliseconds() + 1 }

// boot begins the next life of the machine's worker.
func (m *machine) boot() error {
	address := m.address
	if m.link != nil {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	m.id = fmt.Sprintf("i-%s-%d", m.name, m.lives)
	m.address, m.up, m.booted = l.Addr().String(), true, time.Now()
	if m.link != nil {
		m.link.lead(m.address)
		m.address = m.link.listener.Addr().String()
	}
	m.token, m.leaseMS, m.lastEnd, m.ends, m.sequence = 0, 0, 0, nil, 0
	m.running, m.highest = map[runKey]*run{}, map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.start)
	mux.HandleFunc("POST /api/run-stop", m.stop)
	mux.HandleFunc("POST /api/hold", m.hold)
	mux.HandleFunc("POST /api/pace", func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMS(time.Now())})
	})
	id := m.id
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Egretpitch-Expected-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server) // ends with crash
	m.record.line("worker %s starts on %s, rack %s", m.id, m.name, m.rack)
	return nil
}

// crash ends the worker and all that it runs.
func (m *machine) crash() {
	m.mu.Lock()
	m.up = false
	m.tick(time.Now())
	s, id, runs := m.server, m.id, len(m.running)
	m.platformStandin.mu.Lock()
	for key := range m.running {
		m.crashes[key.task]++
	}
	m.platformStandin.mu.Unlock()
	m.running = map[runKey]*run{}
	m.mu.Unlock()
	_ = s.Close()
	m.record.line("worker %s has ended with %d runs", id, runs)
}

// beat writes the worker's entry until the process ends, and ends runs.
func (m *machine) beat() {
	var last string
	var silent time.Time
	next := time.Now()
	for {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		m.mu.Lock()
		m.tick(now)
		up, id, left := m.up, m.id, !m.up && (m.moving || m.pool == standbyPool)
		m.sequence++
		entry := map[string]any{
			"service": m.pool, "address": m.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": []string{"a", m.rack},
			"clock_ms": m.clockMS(now), "sequence": m.sequence, "born": m.booted.UnixMilli(),
		}
		m.mu.Unlock()
		if last != "" && (left || up && last != id) {
			m.store.remove("servers", last)
			last = ""
		}
		if !up {
			if silent.IsZero() {
				silent = now
			}
			if last != "" && now.Sub(silent) > 3*heartbeat {
				m.store.remove("servers", last)
				last = ""
			}
			next = now
			continue
		}
		silent = time.Time{}
		if !now.Before(next) {
			m.store.put("servers", id, entry)
			last, next = id, now.Add(heartbeat)
		}
	}
}

// tick ends the runs that are over. m.mu is held.
func (m *machine) tick(now time.Time) {
	for _, r := range m.running {
		switch {
		case m.clockMS(now) > m.leaseMS:
			m.finish(r, "lapsed")
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				m.finish(r, "stopped")
			}
		case r.work > 0 && now.Sub(r.started) >= r.work:
			m.finish(r, "done")
		}
	}
}

func (m *machine) finish(r *run, how string) {
	delete(m.running, r.runKey)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, r.runKey, how})
	m.platformStandin.mu.Lock()
	switch how {
	case "done":
		m.done[r.runKey.task]++
	case "failed":
		m.failed[r.runKey.task]++
	}
	m.platformStandin.mu.Unlock()
	m.record.line("run %s %d on %s ends %s", r.runKey.task, r.run, m.id, how)
}

func (m *machine) free() (cpu, mem int) {
	cpu, mem = m.cpu, m.mem
	for _, r := range m.running {
		cpu, mem = cpu-r.cpu, mem-r.mem
	}
	return cpu, mem
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Ticket     string `json:"ticket"`
	Cursor     int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (m *machine) start(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	reason := m.startTask(&o, now)
	m.record.line("worker %s is told to start %s %d: %q", m.id, o.Task, o.Run, reason)
	if reason == "" {
		reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMS(now)})
		return
	}
	reply(w, http.StatusConflict, map[string]any{"clock_ms": m.clockMS(now), "reason": reason})
}

func (m *machine) startTask(o *order, now time.Time) string {
	m.tick(now)
	switch {
	case o.Token < m.token:
		return "fence"
	case o.DeadlineMS < m.clockMS(now):
		return "late"
	}
	m.token = o.Token
	m.extend(o.DeadlineMS, now)
	key := runKey{o.Task, o.Run}
	if m.running[key] != nil {
		return ""
	}
	if o.Run <= m.highest[o.Task] {
		return "old"
	}
	t, ok := m.tasks(o.Task)
	if !ok {
		return "room"
	}
	if t.advised && !m.validTicket(o, now) {
		return "ticket"
	}
	if cpu, mem := m.free(); t.cpu > cpu || t.mem > mem {
		return "room"
	}
	m.highest[o.Task] = o.Run
	m.running[key] = &run{runKey: key, task: t, started: now}
	m.platformStandin.mu.Lock()
	m.starts[o.Task]++
	m.platformStandin.mu.Unlock()
	return ""
}

func (m *machine) extend(deadlineMS int64, now time.Time) {
	m.leaseMS = max(m.leaseMS, min(deadlineMS, m.clockMS(now)+maxHold.Milliseconds()))
}

func (m *machine) stop(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.tick(now)
	if o.Token < m.token {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": m.clockMS(now), "reason": "fence"})
		return
	}
	m.token = o.Token
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.running[runKey{o.Task, o.Run}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = now.Add(50 * time.Millisecond)
	}
	m.record.line("worker %s is told to stop %s %d", m.id, o.Task, o.Run)
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMS(now)})
}

func (m *machine) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.tick(now)
	if o.Token < m.token {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": m.clockMS(now), "reason": "fence"})
		return
	}
	m.token = o.Token
	m.extend(o.DeadlineMS, now)
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.number > o.Cursor {
			kept = append(kept, e)
		}
	}
	m.ends = kept
	for until := now.Add(time.Duration(o.WaitMS) * time.Millisecond); len(m.ends) == 0 && time.Now().Before(until) && m.up; {
		m.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		m.tick(time.Now())
	}
	now = time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := 100
		if r.work > 0 {
			percent = min(100, int(100*now.Sub(r.started)/r.work))
		}
		running = append(running, []any{r.runKey.task, r.run, "", percent, 0})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMS(now), "born": m.booted.UnixMilli(), "running": running, "finished": finished})
}

// standbyPool is the pool of the machines that are off.
const standbyPool = "shared-admin"

// migration is how long a machine is away while it moves.
const migration = 1500 * time.Millisecond

// fleet serves the list of machines and moves them.
func (p *platformStandin) fleet() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		for _, m := range p.machines {
			list = append(list, m.listed())
		}
		reply(w, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
	})
	mux.HandleFunc("POST /api/machine-move", func(w http.ResponseWriter, r *http.Request) {
		var o struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil || (o.Pool != standbyPool && o.Pool != servingPool) {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		for _, m := range p.machines {
			if m.name == o.Machine {
				status, reason := m.move(o.Pool)
				p.record.line("machine %s is told to move to %s: %d %s", m.name, o.Pool, status, reason)
				reply(w, status, map[string]any{"reason": reason})
				return
			}
		}
		reply(w, http.StatusBadRequest, map[string]any{})
	})
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]any{"reason": "wave"}) // there is no wave
	})
	return mux
}

// listed returns the machine as the list shows it.
func (m *machine) listed() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := map[string]any{
		"machine": m.name, "pool": m.pool, "state": "up", "zone": "z1", "labels": []string{"a", m.rack},
		"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "id": nil,
	}
	switch {
	case m.up:
		entry["id"] = m.id
	case m.moving:
		entry["state"] = "moving"
	case m.pool != standbyPool:
		entry["state"] = "down"
	}
	return entry
}

// move moves the machine to a pool, which ends all that runs on it.
func (m *machine) move(pool string) (status int, reason string) {
	m.mu.Lock()
	switch {
	case m.pool == pool:
		m.mu.Unlock()
		return http.StatusOK, ""
	case m.moving || (!m.up && m.pool != standbyPool):
		m.mu.Unlock()
		return http.StatusConflict, "busy"
	}
	up := m.up
	m.pool, m.moving = pool, true
	m.mu.Unlock()
	if up {
		m.crash()
	}
	time.AfterFunc(migration, func() {
		m.mu.Lock()
		m.moving = false
		m.address = "127.0.0.1:0"
		m.mu.Unlock()
		if pool != standbyPool {
			if err := m.boot(); err != nil {
				m.record.line("worker: %v", err)
			}
		}
	})
	return http.StatusOK, ""
}

const (
	decisionTime = 20 * time.Millisecond
	perItemTime  = time.Millisecond
)

// advice serves the advice service.
func (p *platformStandin) advice() http.Handler {
	mux := http.NewServeMux()
	var turn sync.Mutex // all calls come from one machine
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		turn.Lock()
		time.Sleep(decisionTime + time.Duration(len(in.Workers))*perItemTime)
		turn.Unlock()
		permitted := map[string]bool{}
		for _, m := range p.machines {
			if id := m.currentID(); id != "" && p.permits(m) {
				permitted[id] = true
			}
		}
		good := [][2]string{}
		p.mu.Lock()
		for _, id := range in.Workers {
			if permitted[id] {
				p.next++
				name := "t-" + strconv.Itoa(p.next)
				p.tickets[name] = ticket{in.Step, id, time.Now().Add(p.validity)}
				good = append(good, [2]string{id, name})
			}
		}
		p.mu.Unlock()
		p.record.line("advice for step %s: asked about %d workers, %d may run it", in.Step, len(in.Workers), len(good))
		reply(w, http.StatusOK, map[string]any{"good": good, "validity_ms": p.validity.Milliseconds()})
	})
	return mux
}

func (m *machine) currentID() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return ""
	}
	return m.id
}

func (m *machine) validTicket(o *order, now time.Time) bool {
	m.platformStandin.mu.Lock()
	defer m.platformStandin.mu.Unlock()
	t, ok := m.tickets[o.Ticket]
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	return ok && t.step == step && t.worker == m.id && now.Before(t.until)
}

// serve serves a handler on a free loopback port until the process ends.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
