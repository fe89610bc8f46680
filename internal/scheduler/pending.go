package scheduler

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// begin records that a task of the job has started. An order alone is no
// evidence of that: it may be refused, late or lost.
func (e *Engine) begin(j *job, now time.Duration) {
	if j.started || j.ended() {
		return
	}
	j.started = true
	j.progress.State = workload.Running
	e.markDirty(j, false, now)
}

// Pending returns, for each queue, the number of jobs of which no task has
// started.
func (e *Engine) Pending() map[string]int {
	pending := map[string]int{}
	for _, j := range e.jobs {
		if !j.started && !j.ended() {
			pending[j.Queue]++
		}
	}
	return pending
}

// WorkerCount returns the number of known workers.
func (e *Engine) WorkerCount() int { return len(e.workers) }

// Listed returns the ids of the workers that discovery lists.
func (e *Engine) Listed() []string {
	var ids []string
	for id, w := range e.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	return ids
}
