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
	// maxHold is the longest lease, and stopGrace how long a stop takes.
	maxHold   = 6 * time.Second
	stopGrace = 300 * time.Millisecond
	// beat is the interval between two writes of a worker's entry.
	beat = 1500 * time.Millisecond
	// startup is how long a task that lasts takes to be at work.
	startup = 500 * time.Millisecond
	// tick is the step of the simulation of runs.
	tick = 5 * time.Millisecond
)

// spec is what a task does. Clients send it as the task_spec of a job.
type spec struct {
	MS    int64 `json:"ms"`
	Lasts bool  `json:"lasts"`
	CPU   int   `json:"cpu"`
	MemMB int   `json:"mem_mb"`
	Saves bool  `json:"saves"`
}

// runID names a run.
type runID struct {
	task string
	run  int
}

// running is a run that has not ended.
type running struct {
	runID
	spec  spec
	began time.Time
	// saved is the work that the run began with.
	saved  time.Duration
	stopAt time.Time
}

func (r *running) worked(now time.Time) time.Duration { return r.saved + now.Sub(r.began) }

// percent is the progress of a run; a task that lasts is at work at 100.
func (r *running) percent(now time.Time) int {
	if r.spec.Lasts {
		return int(min(100, 100*now.Sub(r.began)/startup))
	}
	return int(min(99, 100*r.worked(now).Milliseconds()/max(1, r.spec.MS)))
}

// checkpoint is the value from which the task resumes; whole seconds are saved.
func (r *running) checkpoint(now time.Time) string {
	if !r.spec.Saves {
		return ""
	}
	if s := int64(r.worked(now) / time.Second); s > 0 {
		return fmt.Sprintf("%016x", s)
	}
	return ""
}

// machine is a machine on which workers run, one after the other, at one address.
type machine struct {
	name, pool, kind, rack, address string
	cpu, memMB                      int
	// worker is the worker that runs, nil for none.
	worker *worker
}

// worker is one life of a machine.
type worker struct {
	id      string
	machine *machine
	kind    string
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	dead     bool
	token    int64
	leaseMS  int64
	runs     map[runID]*running
	ended    [][]any
	lastEnd  int64
	highest  map[string]int
	sequence int64
	world    *world
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.born).Milliseconds() + 1 }

// boot starts a worker on a machine. An empty id means a new one.
func (o *world) boot(m *machine, id string) error {
	if id == "" {
		id = o.newID()
	}
	l, err := listenAgain(m.address)
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	w := &worker{id: id, machine: m, kind: m.kind, born: time.Now(), runs: map[runID]*running{}, highest: map[string]int{}, world: o}
	w.server = &http.Server{Handler: w.handler()}
	o.mu.Lock()
	m.worker = w
	o.mu.Unlock()
	q := o.quietListener(l)
	go func() { _ = w.server.Serve(q) }() // ends with crash
	w.register()
	go w.live()
	o.note("worker %s (%s, kind %s, rack %s) starts on %s", id, m.pool, m.kind, m.rack, m.name)
	return nil
}

// listenAgain listens on an address whose former listener was just closed.
func listenAgain(address string) (l net.Listener, err error) {
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(tick) {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// crash ends a worker without a word: its runs end and its connections are reset.
func (o *world) crash(m *machine) {
	o.mu.Lock()
	w := m.worker
	m.worker = nil
	o.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.dead = true
	lost := make([]string, 0, len(w.runs))
	for id := range w.runs {
		lost = append(lost, fmt.Sprintf("%s run %d", id.task, id.run))
		o.runEnded(id, "gone")
	}
	w.mu.Unlock()
	_ = w.server.Close() // its listener and connections
	o.note("worker %s on %s crashes, with %d runs: %s", w.id, m.name, len(lost), strings.Join(lost, ", "))
	// The store removes the entry after three heartbeats of silence.
	time.AfterFunc(3*beat, func() {
		if !o.isUp(w.id) {
			o.store.drop("servers", w.id)
		}
	})
}

// register writes the worker's entry.
func (w *worker) register() {
	m := w.machine
	w.sequence++
	w.world.store.put("servers", w.id, map[string]any{
		"service": m.pool, "address": m.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": w.capacity(), "labels": []string{w.kind, m.rack}, "clock_ms": w.clock(time.Now()),
		"sequence": w.sequence, "born": w.born.UnixMilli(),
	})
}

func (w *worker) capacity() map[string]any {
	return map[string]any{"cpu": w.machine.cpu, "mem_mb": w.machine.memMB, "gpu": 0}
}

// live ends runs and writes the entry until the worker is dead.
func (w *worker) live() {
	next := time.Now().Add(beat)
	for range time.Tick(tick) {
		now := time.Now()
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		for _, r := range w.runs {
			switch {
			case w.clock(now) > w.leaseMS:
				w.end(r, "lapsed", now)
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(r, "stopped", now)
			case r.stopAt.IsZero() && !r.spec.Lasts && r.worked(now).Milliseconds() >= r.spec.MS:
				w.end(r, "done", now)
			}
		}
		if now.After(next) {
			next = now.Add(beat)
			w.register()
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(r *running, how string, now time.Time) {
	delete(w.runs, r.runID)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.run, how, r.checkpoint(now)})
	w.world.runEnded(r.runID, how)
	w.world.note("%s run %d ends %s on %s", r.task, r.run, how, w.id)
}

// order is the body of any call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /api/run-start", w.serve(w.start))
	mux.HandleFunc("POST /api/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /api/pace", w.serve(func(order, time.Time) string { return "" }))
	mux.HandleFunc("POST /api/hold", w.hold)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Egretpitch-Expected-Instance"); want != "" && want != w.id {
			w.world.note("%s for %s is answered 421 by %s", r.URL.Path, want, w.id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

// serve decodes an order and carries it out; carryOut returns why it is refused.
func (w *worker) serve(carryOut func(order, time.Time) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			reply(rw, http.StatusBadRequest, map[string]any{})
			return
		}
		now := time.Now()
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, body := http.StatusOK, map[string]any{"clock_ms": w.clock(now), "born": w.born.UnixMilli()}
		if reason := w.fence(o); reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		} else if reason := carryOut(o, now); reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
		w.mu.Unlock()
		reply(rw, status, body)
	}
}

// fence takes note of a token. The caller holds mu.
func (w *worker) fence(o order) string {
	if o.Token < w.token {
		return "fence"
	}
	w.token = o.Token
	return ""
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(deadlineMS int64, now time.Time) {
	w.leaseMS = max(w.leaseMS, min(deadlineMS, w.clock(now)+maxHold.Milliseconds()))
}

func (w *worker) start(o order, now time.Time) string {
	id := runID{o.Task, o.Run}
	if w.runs[id] != nil {
		w.extend(o.DeadlineMS, now)
		return ""
	}
	if o.DeadlineMS < w.clock(now) {
		return "late"
	}
	w.extend(o.DeadlineMS, now)
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return "room"
	}
	cpu, mem := w.machine.cpu, w.machine.memMB
	for _, r := range w.runs {
		cpu, mem = cpu-r.spec.CPU, mem-r.spec.MemMB
	}
	if s.CPU > cpu || s.MemMB > mem {
		return "room"
	}
	r := &running{runID: id, spec: s, began: now}
	if saved, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
		r.saved = time.Duration(saved) * time.Second
	}
	w.runs[id] = r
	w.world.runBegan(id, w)
	w.world.note("%s run %d starts on %s", o.Task, o.Run, w.id)
	return ""
}

func (w *worker) stop(o order, now time.Time) string {
	id := runID{o.Task, o.Run}
	if r := w.runs[id]; r != nil {
		if r.stopAt.IsZero() {
			r.stopAt = now.Add(stopGrace)
			w.world.note("%s run %d is ordered to stop on %s", o.Task, o.Run, w.id)
		}
		return ""
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return ""
}

// hold extends the lease and answers with the runs and ends, once there is an end
// or the wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		now := time.Now()
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if first {
			if w.fence(o) != "" {
				clock := w.clock(now)
				w.mu.Unlock()
				reply(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
				return
			}
			w.extend(o.DeadlineMS, now)
			for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.AckCursor {
				w.ended = w.ended[1:]
			}
		}
		if len(w.ended) > 0 || !now.Before(until) {
			list := make([][]any, 0, len(w.runs))
			for id, x := range w.runs {
				list = append(list, []any{id.task, id.run, x.checkpoint(now), x.percent(now), x.spec.CPU})
			}
			body := map[string]any{
				"clock_ms": w.clock(now), "born": w.born.UnixMilli(), "running": list, "finished": append([][]any{}, w.ended[:min(len(w.ended), 500)]...),
			}
			w.mu.Unlock()
			reply(rw, http.StatusOK, body)
			return
		}
		w.mu.Unlock()
		select {
		case <-time.After(tick):
		case <-r.Context().Done():
			return
		}
	}
}
