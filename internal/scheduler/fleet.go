package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
)

// Pools describes the pools and their load for the fleet planner.
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
		var needed map[*worker]bool
		if !out.Standby {
			out.LongRunningShortfall, needed = e.longRunningShortfall(p, now)
		}
		for _, w := range p.workers {
			out.LongRunningCores += w.longRunningCores()
			if !w.listed {
				continue
			}
			out.Workers = append(out.Workers, fleetplan.Worker{
				ID: w.ID, Cores: w.Capacity.Processors, Used: w.used.Processors, Late: e.lateCores(w, now), LongRunningTasks: w.longRunningTasks(),
				Idle: !w.inherited && !w.occupied() && len(w.pendingEnds) == 0 && !w.Draining && w.failedPolls == 0,
				Open: w.usable(now), Needed: needed[w],
			})
		}
		for s := range p.ready {
			cores := float64(s.idle) * s.Requests().Processors
			switch {
			case s.LongRunning:
				out.Waiting += cores
				out.LongRunningCores += cores
			case e.timeliness(s.job, s.occ, now) == onTime:
				out.Waiting += cores
			}
		}
		list = append(list, out)
	}
	return list
}

// lateCores returns how many cores of a worker are held by tasks whose jobs
// cannot meet their objective any more.
func (e *Engine) lateCores(w *worker, now time.Duration) float64 {
	sum := 0.0
	for _, r := range w.runs {
		if s := r.task.step; !s.LongRunning && r.finishAge(now) > e.objective(s.job) {
			sum += s.Requests().Processors
		}
	}
	return sum
}

// finishAge returns the expected age of the run's occurrence at its end, as far
// as it depends on this run.
func (r *run) finishAge(now time.Duration) time.Duration {
	s := r.task.step
	left := max(0, s.Estimate-(now-r.sentAt))
	return now - s.occ.releaseTime(s.job) + left + s.criticalPath - s.Estimate
}

// longRunningCores returns how many cores the long-running tasks on a worker
// request.
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

// SetReservations replaces the reservations of workers, by id. Reserved workers
// get no new tasks, except that emptying ones get long-running tasks that fit on
// no usable worker.
func (e *Engine) SetReservations(reservations map[string]fleetplan.Reservation) {
	for id, w := range e.workers {
		if r := reservations[id]; r != w.reservation {
			event.WorkerReserved.Log(e.opts.Log, zap.String("worker", id), zap.String("pool", w.pool.name),
				zap.Stringer("reservation", r), zap.Stringer("before", w.reservation), zap.Int("runs", len(w.runs)))
			w.reservation = r
			w.pool.needsPass = true
		}
	}
}

// SetPendingRemoval sets the workers whose hosts are to be maintained or moved
// soon. Long-running tasks are placed there only if no other worker is
// suitable.
func (e *Engine) SetPendingRemoval(ids map[string]bool) {
	for id, w := range e.workers {
		w.pendingRemoval = ids[id]
	}
}

// IsIdle reports whether a worker is reserved for an order and has no runs, so
// that its host may be moved or maintained. An unknown worker is idle.
func (e *Engine) IsIdle(id string) bool {
	w := e.workers[id]
	return w == nil || (!w.inherited && w.reservation == fleetplan.Ordered && !w.occupied())
}

// HostRemoved handles the move or maintenance of a worker's host, which ended
// the worker.
func (e *Engine) HostRemoved(id string, now time.Duration) {
	if w := e.workers[id]; w != nil {
		e.incarnationEnded(w, "host removed", now)
	}
}

// HostLeft handles that the fleet service no longer lists the host of a worker.
// The worker has ended with it if it has no discovery entry either and does not
// answer. HostLeft reports whether the worker is known no more.
func (e *Engine) HostLeft(id string, now time.Duration) bool {
	w := e.workers[id]
	if w == nil {
		return true
	}
	if w.listed || w.failedPolls == 0 {
		return false
	}
	e.incarnationEnded(w, "host has left", now)
	return true
}

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
