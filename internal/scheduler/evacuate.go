package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// Evacuate requests that the long-running tasks of a worker move to other
// workers, until the next SetReservations. Sweeps stop those for which another
// worker has free capacity, as far as the MaxUnavailable of their steps allows.
func (e *Engine) Evacuate(id string) {
	if w := e.workers[id]; w != nil {
		w.evacuating = true
	}
}

// HandOver ends the evacuations: the ownership is about to be released, and a
// task that is stopped now would wait for the successor.
func (e *Engine) HandOver() { e.handingOver = true }

// Moving reports whether a long-running task has been stopped, or has become
// ready to start, within the given time, and no start of it has been answered
// yet.
func (e *Engine) Moving(within, now time.Duration) bool {
	for _, p := range e.pools {
		for _, w := range p.workers {
			if slices.ContainsFunc(w.longRunning, func(r *run) bool { return r.phase == runSent || (r.phase == runStopping && w.failedPolls == 0) }) {
				return true
			}
		}
		for s := range p.ready {
			if s.LongRunning && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.startable() && now-t.listedAt < within }) {
				return true
			}
		}
	}
	return false
}

// leaveMargin is the remaining time of a worker that leaves from which the
// MaxUnavailable of their steps no longer keeps its long-running tasks there:
// they would all end with the worker.
const leaveMargin = 2 * time.Second

// evacuate holds capacity for the long-running tasks that need a worker or
// another one, and stops those of workers that leave or are being evacuated once
// the capacity is free: other tasks that use it are not replaced when they end.
func (e *Engine) evacuate(now time.Duration) {
	for _, p := range e.pools {
		e.evacuatePool(p, now)
		if !e.handingOver {
			e.moveCheckpointed(p, now)
		}
	}
}

// evacuatePool is evacuate for one pool.
func (e *Engine) evacuatePool(p *pool, now time.Duration) {
	for _, r := range e.holdCapacity(p, now) {
		if !e.handingOver && e.mayStop(r, now) { // its step may have had another run stopped
			reason := evacuationStop
			if r.worker.leaving() {
				reason = "worker leaves"
			}
			e.stop(r, reason, now)
		}
	}
}

// holdCapacity computes the capacity that is held on the workers of a pool. It
// returns the runs to move for which it is free. Tasks that need a place already
// come first.
func (e *Engine) holdCapacity(p *pool, now time.Duration) []*run {
	waiting, moving := p.tasksToPlace((*run).displaced), e.runsToMove(p, now)
	var free []*run
	var held map[*worker]placement.Resources
	if len(waiting)+len(moving) > 0 {
		v := newEvacuation(e, p, now)
		for _, t := range waiting {
			v.assign(t)
		}
		for _, r := range moving {
			if v.assign(r.task) || (r.worker.endsSoon(now) && v.assignLastResort(r.task)) {
				free = append(free, r)
			}
		}
		held = make(map[*worker]placement.Resources, len(v.places.list))
		for _, at := range v.places.list {
			held[at.worker] = at.held
		}
	}
	for _, w := range p.workers {
		w.held = held[w]
	}
	return withoutPartialGangs(free, now)
}

// withoutPartialGangs leaves out the runs of gangs of which another run is on a
// worker that leaves or is being evacuated and has no place yet: a gang ends with
// each of its runs.
func withoutPartialGangs(free []*run, now time.Duration) []*run {
	return slices.DeleteFunc(slices.Clone(free), func(r *run) bool {
		return r.task.step.Gang && !r.worker.endsSoon(now) && slices.ContainsFunc(r.task.step.tasks, func(t *task) bool {
			return slices.ContainsFunc(t.runs, func(other *run) bool {
				return (other.worker.leaving() || other.worker.evacuating) && !slices.Contains(free, other)
			})
		})
	})
}

// losesRuns reports whether a worker of the pool has long-running tasks that are
// to move or may be lost.
func (p *pool) losesRuns() bool {
	return slices.ContainsFunc(p.workers, func(w *worker) bool {
		return len(w.longRunning) > 0 && (w.leaving() || w.evacuating || !w.listed || w.failedPolls > 0)
	})
}

// runsToMove returns the long-running runs of the workers that leave or are
// being evacuated. Workers that leave come first, and on either kind the runs
// that may be stopped at once, so that the others do not take their places.
func (e *Engine) runsToMove(p *pool, now time.Duration) []*run {
	var list []*run
	for _, w := range p.workers {
		if !w.leaving() && !w.evacuating {
			continue
		}
		for _, r := range w.sortedLongRunning() {
			if e.mayStop(r, now) || r.task.step.recovers(r.task, now) {
				list = append(list, r)
			}
		}
	}
	class := func(r *run) int {
		n := 0
		if !r.worker.leaving() {
			n += 2
		}
		if !e.mayStop(r, now) {
			n++
		}
		return n
	}
	slices.SortStableFunc(list, func(a, b *run) int { return cmp.Compare(class(a), class(b)) })
	return list
}

// maxRestart is how long after its last run or the latest start a task may take to
// be ready before no capacity is held any more for the other tasks of its step.
const maxRestart = 5 * time.Second

// recovers reports whether the tasks of the step other than t that are not ready
// have started a short while ago, or are about to.
func (s *step) recovers(t *task, now time.Duration) bool {
	return !slices.ContainsFunc(s.tasks, func(other *task) bool {
		since := other.listedAt
		if n := len(other.runs); n > 0 {
			since = other.runs[n-1].sentAt
		}
		return other != t && !other.ready() && now-since > maxRestart
	})
}

// mayStop reports whether a run may be stopped now to move its task.
func (e *Engine) mayStop(r *run, now time.Duration) bool {
	return r.phase == runConfirmed && !e.blockedByRecovery(r.task) && (e.mayInterrupt(r) || r.worker.endsSoon(now))
}

// evacuation is one call of holdCapacity.
type evacuation struct {
	*Engine
	now time.Duration
	// open are the workers that can take tasks, and lastResort those that
	// long-running tasks without a run may start on if they fit on no other.
	open, lastResort []*worker
	places           *places
	// lastResortPlaces are the places on the workers of lastResort, nil before
	// the first task that needs one.
	lastResortPlaces *places
}

func newEvacuation(e *Engine, p *pool, now time.Duration) *evacuation {
	v := &evacuation{Engine: e, now: now}
	v.open, v.lastResort = p.openWorkers(now)
	v.open = slices.DeleteFunc(v.open, func(w *worker) bool { return w.evacuating })
	v.places = newPlaces(v.open)
	return v
}

// assign gives a task a place on another worker, if there is one, and reports
// whether the place is free and the task may start there.
func (v *evacuation) assign(t *task) bool {
	s := t.step
	ticketsValid := v.requestTickets(t)
	if v.places.assign(s, s.permitted) {
		return ticketsValid
	}
	if !s.Gang {
		v.places.assignUsed(s, s.permitted)
	}
	return false
}

// assignLastResort gives a task that would end with its worker a free place on a
// worker of the last resort, if there is one.
func (v *evacuation) assignLastResort(t *task) bool {
	s := t.step
	if !s.hasLastResort() || !v.ensureTickets(s, v.lastResort, v.now) {
		return false
	}
	if v.lastResortPlaces == nil {
		v.lastResortPlaces = newPlaces(v.lastResort)
	}
	return v.lastResortPlaces.assign(s, func(w *worker) bool {
		return s.permitted(w) && len(t.lastResort([]*worker{w}, v.now)) > 0
	})
}

// requestTickets is ensureTickets for a task. The tickets of one that can start
// on a worker of the last resort are requested when it is placed.
func (v *evacuation) requestTickets(t *task) bool {
	s := t.step
	if s.recommendation() == nil {
		return true
	}
	if t.startable() && s.hasLastResort() && slices.ContainsFunc(v.lastResort, s.fitsOn) {
		return false
	}
	return v.ensureTickets(s, v.open, v.now)
}

// permitted reports whether the latest tickets of a step permit the worker, also
// after they have expired: a place is held until there are new ones.
func (s *step) permitted(w *worker) bool {
	if s.recommendation() == nil {
		return true
	}
	if s.tickets == nil {
		return false
	}
	_, ok := s.tickets.byWorker[w.ID]
	return ok
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
