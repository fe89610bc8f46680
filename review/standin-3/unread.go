package main

import (
	"fmt"
	"os"
	"time"
)

// unreadEnds cuts off the worker of a job's only task, which ends by itself behind the
// cut. Then the worker crashes and starts again, still behind it. The worker of the next
// run has the same fate.
func unreadEnds(w *world) int {
	const (
		jobs     = 5
		work     = 250 * time.Millisecond
		cutAfter = 100 * time.Millisecond
		crashes  = 300 * time.Millisecond // after the begin of the cut
		restarts = 400 * time.Millisecond
		cutTime  = 500 * time.Millisecond
		patience = 10 * time.Second
	)
	w.links = true
	w.tasks = func(string) (task, bool) { return task{cpu: 3500, mem: 3600, work: work}, true }
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil || !w.start(3, 0, folder) {
		return couldNotRun
	}
	defer os.RemoveAll(folder)
	broken := false
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0x71d3ba44f0026600+i)
		if !w.submit(id, map[string]any{"task_spec": "quote", "steps": []any{map[string]any{"count": 1, "cpu": 3500, "mem_mb": 3600, "estimated_ms": work.Milliseconds()}}}) {
			return couldNotRun
		}
		for range 2 {
			m := w.runner(id, patience)
			if m == nil || !w.trouble {
				break
			}
			time.Sleep(cutAfter)
			w.record.line("machine %s is cut off", m.name)
			m.link.cut()
			time.Sleep(crashes)
			m.crash()
			time.Sleep(restarts - crashes)
			if err := m.boot(); err != nil {
				w.record.line("worker: %v", err)
				return couldNotRun
			}
			time.Sleep(cutTime - restarts)
			m.link.heal()
			w.record.line("the cut of machine %s heals", m.name)
		}
		state := ""
		for began := time.Now(); state != "completed" && state != "failed" && time.Since(began) < patience; time.Sleep(200 * time.Millisecond) {
			state = w.state(id)
		}
		name := id + ".0.0.0"
		w.platformStandin.mu.Lock()
		done, failed, crashed := w.done[name], w.failed[name], w.crashes[name]
		w.platformStandin.mu.Unlock()
		w.record.line("job %s: %d runs have ended done and %d failed, %d workers have crashed under the task", id, done, failed, crashed)
		if state == "failed" && failed == 0 && crashed < 2 {
			w.record.line("LOST: job %s is shown as failed", id)
			broken = true
		}
		time.Sleep(2 * time.Second)
	}
	if broken {
		return ruleBroken
	}
	return ruleHeld
}

// runner waits for a machine to have a run of the job, and returns nil if none has.
func (w *world) runner(id string, within time.Duration) *machine {
	for began := time.Now(); time.Since(began) < within; time.Sleep(5 * time.Millisecond) {
		for _, m := range w.machines {
			m.mu.Lock()
			m.tick(time.Now())
			for key := range m.running {
				if key.task[:16] == id {
					m.mu.Unlock()
					return m
				}
			}
			m.mu.Unlock()
		}
	}
	return nil
}
