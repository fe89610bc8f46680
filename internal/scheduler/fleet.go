package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// Pools describes the pools and their load for the fleet planner.
func (e *Engine) Pools(now time.Duration) []fleetplan.Pool {
	names := make([]string, 0, len(e.pools))
	for name := range e.catalog.Pools {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]fleetplan.Pool, 0, len(names))
	e.countShares(func(s *step) bool { return s.LongRunning || s.job.timeliness(s.occ, now) == onTime })
	for _, name := range names {
		p := e.pool(name)
		p.arrivals = slices.DeleteFunc(p.arrivals, func(a fleetplan.Arrival) bool { return now-a.At > fleetplan.ArrivalMemory })
		out := fleetplan.Pool{Name: name, Standby: e.standby(name), Arrivals: p.arrivals}
		var needed map[*worker]bool
		if !out.Standby {
			out.LongRunningShortfall, needed = e.longRunningShortfall(p, now)
		}
		lackingToEmpty := e.lackingToEmpty(p, now)
		for _, w := range p.workers {
			out.LongRunningCores += w.longRunningRequests().Processors
			if !w.listed {
				continue
			}
			out.Workers = append(out.Workers, fleetplan.Worker{
				ID: w.ID, Cores: w.Capacity.Processors, Used: w.used.Processors, Late: e.lateCores(w, now), LongRunningTasks: len(w.longRunning),
				Idle: !w.inherited && !w.occupied() && len(w.pendingEnds) == 0 && !w.Draining && w.failedPolls == 0,
				Open: w.usable(now), Needed: needed[w], LackingToEmpty: lackingToEmpty[w],
			})
		}
		for s := range p.ready {
			cores := s.countedCores()
			switch {
			case s.LongRunning:
				out.Waiting += cores
				out.LongRunningCores += cores
			case s.job.timeliness(s.occ, now) == onTime:
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
		if s := r.task.step; !s.LongRunning && r.finishAge(now) > s.job.objective() {
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

// longRunningRequests returns what the long-running tasks on a worker request.
func (w *worker) longRunningRequests() placement.Resources {
	var sum placement.Resources
	for _, r := range w.longRunning {
		sum = sum.Add(r.task.step.Requests())
	}
	return sum
}

// SetReservations replaces the reservations of workers, by id. Reserved workers
// get no new tasks, except that emptying ones get long-running tasks that fit on
// no usable worker. Evacuations that were requested before end.
func (e *Engine) SetReservations(reservations map[string]fleetplan.Reservation) {
	for id, w := range e.workers {
		w.evacuating = false
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
	e.hostEnded(id, "host removed", true, now)
}

func (e *Engine) hostEnded(id, reason string, planned bool, now time.Duration) {
	w := e.workers[id]
	if w == nil {
		e.settlePresumed(id, !planned, now)
		return
	}
	w.plannedEnd = planned
	e.incarnationEnded(w, reason, now)
}

// HostEnded handles a host list, requested at the given time, that shows the end
// of a worker; planned is set if its host was moved or is maintained. A worker that
// has answered a later poll is another incarnation, and one that was not known then
// may be. HostEnded reports whether the worker is known no more.
func (e *Engine) HostEnded(id string, planned bool, requested, now time.Duration) bool {
	if w := e.workers[id]; w != nil && max(w.answeredSentAt, w.knownSince) > requested {
		return false
	}
	reason := "host has crashed"
	if planned {
		reason = "host removed"
	}
	e.hostEnded(id, reason, planned, now)
	return true
}

// HostLeft handles that the fleet service no longer lists the host of a worker.
// The worker has ended with it if it has no discovery entry either and does not
// answer. HostLeft reports whether the worker is known no more.
func (e *Engine) HostLeft(id string, now time.Duration) bool {
	w := e.workers[id]
	if w == nil {
		e.settlePresumed(id, true, now)
		return true
	}
	if w.listed || w.failedPolls == 0 {
		return false
	}
	e.incarnationEnded(w, "host has left", now)
	return true
}
