package scheduler

import (
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
)

// Pools describes the pools and their load for the plan of the fleet.
func (e *Engine) Pools(now time.Duration) []fleetplan.Pool {
	names := make([]string, 0, len(e.pools))
	for name := range e.catalog.Pools {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]fleetplan.Pool, 0, len(names))
	for _, name := range names {
		p := e.pool(name)
		out := fleetplan.Pool{Name: name, Standby: e.standby(name), Arrived: p.arrived, Jobs: p.arrivedJobs}
		for _, w := range p.workers {
			if !w.listed {
				continue
			}
			out.LongRunningCores += w.longRunningCores()
			out.Workers = append(out.Workers, fleetplan.Worker{
				ID: w.ID, Cores: w.Capacity.Processors, Used: w.used.Processors, Late: e.lateCores(w, now), LongRunningTasks: w.longRunningTasks(),
				Idle: !w.inherited && !w.occupied() && len(w.pendingEnds) == 0 && !w.Draining && w.failedPolls == 0,
				Open: w.usable(now),
			})
		}
		for s := range p.ready {
			cores := float64(s.idle) * s.Requests().Processors
			switch {
			case s.LongRunning:
				out.Waiting += cores
				out.LongRunningCores += cores
				out.Spread = max(out.Spread, s.minWorkers())
			case e.timeliness(s.job, s.occ, now) == onTime:
				out.Waiting += cores
			}
		}
		list = append(list, out)
	}
	return list
}

// minWorkers is how many workers the step's bound on tasks a worker asks for, 0 if
// it has none.
func (s *step) minWorkers() int {
	if s.MaxPerWorker == 0 {
		return 0
	}
	return (s.Count + s.MaxPerWorker - 1) / s.MaxPerWorker
}

// lateCores is how many cores tasks hold on a worker whose jobs cannot be in time
// any more.
func (e *Engine) lateCores(w *worker, now time.Duration) float64 {
	sum := 0.0
	for _, r := range w.runs {
		if s := r.task.step; !s.LongRunning && r.finishAge(now) > e.objective(s.job) {
			sum += s.Requests().Processors
		}
	}
	return sum
}

// finishAge is the age at which the run's occurrence can be over, as far as this
// run decides that.
func (r *run) finishAge(now time.Duration) time.Duration {
	s := r.task.step
	left := max(0, s.Estimate-(now-r.sentAt))
	return now - s.occ.releaseTime(s.job) + left + s.criticalPath - s.Estimate
}

// longRunningCores is how many cores the long-running tasks on a worker hold.
func (w *worker) longRunningCores() float64 {
	sum := 0.0
	for _, r := range w.runs {
		if r.task.step.LongRunning {
			sum += r.task.step.Requests().Processors
		}
	}
	return sum
}

// longRunningTasks counts the long-running tasks on a worker.
func (w *worker) longRunningTasks() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.LongRunning {
			n++
		}
	}
	return n
}

// Reserve gives a worker no new tasks, or lets it get them again.
func (e *Engine) Reserve(id string, reserved bool) {
	if w := e.workers[id]; w != nil && w.reserved != reserved {
		w.reserved = reserved
		w.pool.needsPass = true
	}
}

// Reserved reports whether a worker gets no new tasks.
func (e *Engine) Reserved(id string) bool {
	w := e.workers[id]
	return w != nil && w.reserved
}

// SetPendingRemoval tells which workers are to be taken down soon. Long-running tasks are
// not started there while there are others.
func (e *Engine) SetPendingRemoval(ids map[string]bool) {
	for id, w := range e.workers {
		w.pendingRemoval = ids[id]
	}
}

// IsIdle reports whether nothing runs on a worker that gets no new tasks, so
// that its host may be taken away.
func (e *Engine) IsIdle(id string) bool {
	w := e.workers[id]
	return w == nil || (!w.inherited && w.reserved && !w.occupied())
}

// HostRemoved takes in that a worker's host was moved or taken down, which ended
// the worker.
func (e *Engine) HostRemoved(id string, now time.Duration) {
	if w := e.workers[id]; w != nil {
		e.incarnationEnded(w, "host taken", now)
	}
}

// Evacuate stops long-running tasks on a worker as far as their steps' bounds
// on unavailable tasks allow. They are started again elsewhere.
func (e *Engine) Evacuate(id string, now time.Duration) {
	w := e.workers[id]
	if w == nil {
		return
	}
	for _, r := range w.runs {
		s := r.task.step
		if s.LongRunning && r.phase == runConfirmed && e.mayInterrupt(r) {
			e.stop(r, "worker is emptied", now)
		}
	}
}

// mayInterrupt reports whether a run may be ended by our own doing: the other
// tasks of its step that are not at work must be fewer than its bound.
func (e *Engine) mayInterrupt(r *run) bool {
	s := r.task.step
	if s.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, t := range s.tasks {
		if t != r.task && !t.ready() {
			unavailable++
		}
	}
	return unavailable < s.MaxUnavailable
}

// ready reports whether a run of the task is known to be at work.
func (t *task) ready() bool {
	for _, r := range t.runs {
		if r.phase == runConfirmed && r.percent >= 100 && r.worker.failedPolls == 0 {
			return true
		}
	}
	return false
}
