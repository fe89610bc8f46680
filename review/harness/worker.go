package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// workerCPU and workerMemory are the capacity of a worker, in thousandths of a
	// core and in MB, and taskCPU and taskMemory what each task requests.
	workerCPU, workerMemory = 16000, 32768
	taskCPU, taskMemory     = 2000, 1000
	// heartbeatInterval is the interval at which a worker writes its entry.
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold is the longest lease, stopTime how long a stop takes.
	maxHold  = 6 * time.Second
	stopTime = 100 * time.Millisecond
	// startupTime is how long a task that lasts takes to be at work.
	startupTime = 300 * time.Millisecond
)

// workerRun is a run on a worker.
type workerRun struct {
	task    string
	run     int
	started time.Time
	// work is how long the run works, 0 if it lasts.
	work   time.Duration
	stopAt time.Time
}

// workerProcess is a worker: one life of a machine.
type workerProcess struct {
	id, service, address, store string
	born                        time.Time
	mu                          sync.Mutex
	sequence                    int64
	token, leaseMS, lastEnd     int64
	runs                        []*workerRun
	highest                     map[string]int
	ends                        [][]any
}

// runWorker runs a worker process until it is killed.
func runWorker(args []string) error {
	if len(args) != 4 {
		return fmt.Errorf("worker needs an id, a service, an address and the store's address")
	}
	w := &workerProcess{id: args[0], service: args[1], address: args[2], store: args[3], born: time.Now(), highest: map[string]int{}}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.mu.Lock()
			w.tick()
			w.mu.Unlock()
		}
	}()
	go func() {
		for ; ; time.Sleep(heartbeatInterval) {
			w.heartbeat()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serve(w.start))
	mux.HandleFunc("POST /api/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /api/pace", w.serve(func(o workerOrder) (int, string) { return w.fence(o.Token) }))
	mux.HandleFunc("POST /api/hold", w.hold)
	return http.ListenAndServe(w.address, mux)
}

// workerOrder is the body of a call to a worker.
type workerOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *workerProcess) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *workerProcess) report(event string, r *workerRun, how string) {
	data, err := json.Marshal(workerEvent{Event: event, Worker: w.id, Task: r.task, Run: r.run, How: how})
	if err == nil {
		_, _ = os.Stdout.Write(append(data, '\n')) // the case has ended otherwise
	}
}

func (w *workerProcess) heartbeat() {
	w.mu.Lock()
	w.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "pnw-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": w.sequence, "capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "labels": []string{"a", "r1"},
		"clock_ms": w.clock(), "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	if err != nil {
		return
	}
	body, err := json.Marshal(map[string]any{"expected_revision": []any{}, "writes": []wireRow{{Table: "servers", Key: w.id, Value: entry}}, "remove": []any{}})
	if err != nil {
		return
	}
	resp, err := http.Post("http://"+w.store+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// serve decodes an order, carries it out and answers.
func (w *workerProcess) serve(carryOut func(workerOrder) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o workerOrder
		if !w.decode(rw, r, &o) {
			return
		}
		w.mu.Lock()
		w.tick()
		status, reason := carryOut(o)
		answer := map[string]any{"clock_ms": w.clock()}
		w.mu.Unlock()
		if reason != "" {
			answer["reason"] = reason
		}
		reply(rw, status, answer)
	}
}

// decode decodes a call. One that is meant for another worker is refused.
func (w *workerProcess) decode(rw http.ResponseWriter, r *http.Request, o *workerOrder) bool {
	if id := r.Header.Get("Egretpitch-Expected-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return false
	}
	return true
}

// fence refuses a token below the highest one.
func (w *workerProcess) fence(token int64) (int, string) {
	if token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = token
	return http.StatusOK, ""
}

func (w *workerProcess) start(o workerOrder) (int, string) {
	if status, reason := w.fence(o.Token); reason != "" {
		return status, reason
	}
	if o.DeadlineMS < w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o.DeadlineMS)
	if slices.ContainsFunc(w.runs, func(r *workerRun) bool { return r.task == o.Task && r.run == o.Run }) {
		return http.StatusOK, ""
	}
	if o.Run <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if (len(w.runs)+1)*taskCPU > workerCPU {
		return http.StatusConflict, "room"
	}
	r := &workerRun{task: o.Task, run: o.Run, started: time.Now()}
	if text, ok := strings.CutPrefix(o.Spec, "work "); ok {
		ms, _ := strconv.Atoi(strings.Fields(text)[0]) // the case's own specification
		r.work = time.Duration(ms) * time.Millisecond
	}
	w.highest[o.Task] = o.Run
	w.runs = append(w.runs, r)
	w.report("start", r, "")
	return http.StatusOK, ""
}

func (w *workerProcess) stop(o workerOrder) (int, string) {
	if status, reason := w.fence(o.Token); reason != "" {
		return status, reason
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	for _, r := range w.runs {
		if r.task == o.Task && r.run == o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	}
	return http.StatusOK, ""
}

func (w *workerProcess) extend(deadlineMS int64) {
	w.leaseMS = max(w.leaseMS, min(deadlineMS, w.clock()+maxHold.Milliseconds()))
}

// tick ends the runs that are over.
func (w *workerProcess) tick() {
	lapsed := w.clock() > w.leaseMS
	w.runs = slices.DeleteFunc(w.runs, func(r *workerRun) bool {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			how = "stopped"
		case r.work > 0 && time.Since(r.started) >= r.work:
			how = "done"
		default:
			return false
		}
		w.lastEnd++
		w.ends = append(w.ends, []any{w.lastEnd, r.task, r.run, how, ""})
		w.report("end", r, how)
		return true
	})
}

// hold answers a poll.
func (w *workerProcess) hold(rw http.ResponseWriter, r *http.Request) {
	var o workerOrder
	if !w.decode(rw, r, &o) {
		return
	}
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		w.mu.Lock()
		w.tick()
		if status, reason := w.fence(o.Token); reason != "" {
			answer := map[string]any{"clock_ms": w.clock(), "reason": reason}
			w.mu.Unlock()
			reply(rw, status, answer)
			return
		}
		if first {
			w.extend(o.DeadlineMS)
			w.ends = slices.DeleteFunc(w.ends, func(e []any) bool { return e[0].(int64) <= o.AckCursor })
		}
		if len(w.ends) > 0 || !time.Now().Before(until) {
			answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": w.list(), "finished": slices.Clone(w.ends[:min(len(w.ends), 500)])}
			w.mu.Unlock()
			reply(rw, http.StatusOK, answer)
			return
		}
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// list returns the rows of the runs.
func (w *workerProcess) list() [][]any {
	list := [][]any{}
	for _, r := range w.runs {
		whole := startupTime
		if r.work > 0 {
			whole = r.work
		}
		list = append(list, []any{r.task, r.run, "", min(100, int(100*time.Since(r.started)/whole)), taskCPU})
	}
	return list
}
