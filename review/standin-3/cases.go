package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// finishTime is finish_s of a small deployment, and idleTime how long a job may have
	// nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// advisedJobs hands in jobs of a queue with a recommendation, whose steps only the
// workers of one rack may run, while that rack is without power.
func advisedJobs(w *world) int {
	const outage = 7700 * time.Millisecond
	w.validity = 30 * time.Second
	w.permits = func(m *machine) bool { return m.rack == "r1" }
	w.tasks = func(string) (task, bool) {
		return task{cpu: 3500, mem: 3600, work: 800 * time.Millisecond, advised: true}, true
	}
	w.queue = map[string]any{"recommendation": map[string]any{"decision_ms": 20, "per_item_ms": 1, "validity_ms": w.validity.Milliseconds()}}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil || !w.start(3, 0, folder) {
		return couldNotRun
	}
	defer os.RemoveAll(folder)
	if w.trouble {
		for _, m := range w.machines {
			if m.rack == "r1" {
				m.crash()
			}
		}
		time.AfterFunc(outage, func() {
			for _, m := range w.machines {
				if m.rack == "r1" {
					if err := m.boot(); err != nil {
						w.record.line("worker: %v", err)
					}
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("%016x", 0x5c0e7a21d94b3600+i)
		if !w.submit(id, map[string]any{"task_spec": "quote", "steps": []any{map[string]any{"count": 2, "cpu": 3500, "mem_mb": 3600, "estimated_ms": 800}}}) {
			return couldNotRun
		}
		ids = append(ids, id)
		time.Sleep(300 * time.Millisecond)
	}
	w.record.line("the traffic ends")
	time.Sleep(finishTime)
	w.record.line("finish_s after the end of the traffic")
	broken := false
	for _, id := range ids {
		if state := w.state(id); state != "completed" && !w.runsWithin(id, idleTime) {
			w.record.line("LOST: job %s is %s and has had nothing running for %s, though the four workers that may run it run nothing", id, state, idleTime)
			broken = true
		}
	}
	if broken {
		return ruleBroken
	}
	return ruleHeld
}

// runsWithin reports whether a worker has a run of the job within a time.
func (w *world) runsWithin(id string, within time.Duration) bool {
	for began := time.Now(); time.Since(began) < within; time.Sleep(10 * time.Millisecond) {
		if w.runs(id) {
			return true
		}
	}
	return false
}

// requiredLabel hands in a job whose task requires the label of one rack, after a burst
// of jobs has made the pool of its queue grow and shrink again. One worker has the
// label. It serves its pool all the time and is nearly idle.
func requiredLabel(w *world) int {
	const (
		longWork = 40 * time.Second
		// traffic is how long the jobs of order-quote come, 8.9 a second and 2.6 times as
		// many in a burst.
		traffic    = 4 * time.Second
		usualGap   = time.Second * 10 / 89
		burstGap   = usualGap * 10 / 26
		pause      = 5 * time.Second
		remainTime = 30 * time.Second
	)
	w.tasks = func(name string) (task, bool) {
		t := task{cpu: 3500, mem: 3600, work: 800 * time.Millisecond}
		switch name[:2] {
		case "a1":
			t.cpu, t.work = 3000, longWork
		case "a2":
			t.cpu, t.work, t.label = 2000, longWork, "r3"
		case "a3":
			t.cpu, t.label = 2000, "r3"
		}
		return t, true
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil || !w.start(3, 8, folder) {
		return couldNotRun
	}
	defer os.RemoveAll(folder)
	step := func(count, cpu, estimate int, more map[string]any) map[string]any {
		s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 3600, "estimated_ms": estimate}
		for name, value := range more {
			s[name] = value
		}
		return map[string]any{"task_spec": "quote", "steps": []any{s}}
	}
	if !w.submit("a100000000000000", step(4, 3000, int(longWork.Milliseconds()), map[string]any{"anti_affinity": 1})) {
		return couldNotRun
	}
	time.Sleep(time.Second)
	if !w.submit("a200000000000000", step(1, 2000, int(longWork.Milliseconds()), map[string]any{"requirements": "r3"})) {
		return couldNotRun
	}
	time.Sleep(time.Second)
	gap := usualGap
	if w.trouble {
		gap = burstGap
	}
	w.record.line("jobs come, one each %s", gap)
	for i, began := 0, time.Now(); time.Since(began) < traffic; i++ {
		go w.submit(fmt.Sprintf("b%015x", i), step(6, 3500, 800, nil))
		time.Sleep(gap)
	}
	w.record.line("they come no more")
	time.Sleep(pause)
	const id = "a300000000000000"
	if !w.submit(id, step(1, 2000, 800, map[string]any{"requirements": "r3"})) {
		return couldNotRun
	}
	w.record.line("the traffic ends")
	time.Sleep(finishTime)
	w.record.line("finish_s after the end of the traffic")
	state := w.state(id)
	free, used, all := w.room("r3")
	w.record.line("the workers with the label that are up have %d thousandths of a core free; %d of %d of the service are in use", free, used, all)
	if state == "completed" || w.runsWithin(id, idleTime) || free < 2*2000 || 2*used > all {
		return ruleHeld
	}
	w.record.line("LOST: job %s is %s and has had nothing running for %s", id, state, idleTime)
	for began := time.Now(); time.Since(began) < remainTime; time.Sleep(5 * time.Second) {
		w.state(id)
	}
	return ruleBroken
}

// room returns the processors that are free on the workers of the serving pool with a
// label, and those of all its workers that are in use and that they have.
func (w *world) room(label string) (free, used, all int) {
	for _, m := range w.machines {
		m.mu.Lock()
		if m.up && m.pool == servingPool {
			cpu, _ := m.free()
			used, all = used+m.cpu-cpu, all+m.cpu
			if m.rack == label {
				free += cpu
			}
			w.record.line("worker %s in rack %s has %d of %d free", m.id, m.rack, cpu, m.cpu)
		}
		m.mu.Unlock()
	}
	return free, used, all
}
