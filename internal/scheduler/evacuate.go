package scheduler

import (
	"slices"
	"time"
)

// Evacuate requests that the long-running tasks of a worker move to other
// workers. The next sweep stops those that another worker can take, as far as
// the MaxUnavailable of their steps allows.
func (e *Engine) Evacuate(id string, _ time.Duration) {
	if w := e.workers[id]; w != nil {
		w.evacuating = true
	}
}

// leaveMargin is the remaining time of a worker that leaves from which the
// MaxUnavailable of their steps no longer keeps its long-running tasks there:
// they would all end with the worker.
const leaveMargin = 2 * time.Second

// evacuate stops the long-running tasks of the workers that leave or are to be
// evacuated.
func (e *Engine) evacuate(now time.Duration) {
	for _, p := range e.pools {
		e.evacuatePool(p, now)
		for _, w := range p.workers {
			w.evacuating = false
		}
	}
}

// evacuatePool stops the long-running tasks of the pool's workers that leave or
// are to be evacuated, as far as other workers can take them and the
// MaxUnavailable of their steps allows. Workers that leave come first.
func (e *Engine) evacuatePool(p *pool, now time.Duration) {
	v := evacuation{Engine: e, pool: p, now: now}
	for _, w := range p.workers {
		if w.leaving() {
			v.stopRuns(w, "worker leaves")
		}
	}
	for _, w := range p.workers {
		if w.evacuating && !w.leaving() {
			v.stopRuns(w, "worker is being evacuated")
		}
	}
}

// evacuation is one call of evacuatePool.
type evacuation struct {
	*Engine
	pool *pool
	now  time.Duration
	// open are the workers that can take tasks, and free is their capacity. It
	// is nil until the first run that may be stopped.
	open []*worker
	free *places
}

// stopRuns stops the long-running tasks of a worker that another worker can
// take.
func (v *evacuation) stopRuns(w *worker, reason string) {
	if w.failedPolls > 0 {
		return // the outcome of a stop would be unknown
	}
	for _, r := range w.sortedRuns() {
		s := r.task.step
		if !s.LongRunning || r.phase != runConfirmed || v.blockedByRecovery(s.job) {
			continue
		}
		if (v.mayInterrupt(r) || w.endsSoon(v.now)) && v.assign(s) {
			v.stop(r, reason, v.now)
		}
	}
}

// assign gives a task of a step a place on another worker. Tasks that need a
// place already come first.
func (v *evacuation) assign(s *step) bool {
	if v.free == nil {
		v.open, _ = v.pool.openWorkers(v.now)
		v.open = slices.DeleteFunc(v.open, func(w *worker) bool { return w.evacuating })
		v.free = newPlaces(v.open)
		for _, t := range v.pool.tasksToPlace((*run).displaced) {
			v.free.assign(t.step, anyWorker)
		}
	}
	if !v.ensureTickets(s, v.open, v.now) {
		return false
	}
	return v.free.assign(s, func(w *worker) bool {
		_, ok := v.ticket(s, w, v.now)
		return ok
	})
}

// leaving reports whether the worker has announced that it ends.
func (w *worker) leaving() bool { return w.listed && w.Draining }

// endsSoon reports whether the time for which the worker announced to stay is
// nearly over.
func (w *worker) endsSoon(now time.Duration) bool {
	return w.leavesAt > 0 && w.leavesAt-now <= leaveMargin
}

// mayInterrupt reports whether the engine may end a run. The other tasks of its
// step that are not ready must be fewer than MaxUnavailable.
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

// ready reports whether a run of the task has completed its startup on a worker
// that answers.
func (t *task) ready() bool {
	for _, r := range t.runs {
		if r.phase == runConfirmed && r.percent >= 100 && r.worker.failedPolls == 0 {
			return true
		}
	}
	return false
}
