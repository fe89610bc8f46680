package scheduler

import (
	"maps"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
)

// lackingToEmpty returns how many further workers the pool needs before the
// long-running tasks of a worker have places on other ones, once other tasks there
// have ended: for each worker that is being emptied or pending removal. Workers
// that are being emptied come first.
func (e *Engine) lackingToEmpty(p *pool, now time.Duration) map[*worker]int {
	var serving, emptying, pending []*worker
	for _, w := range p.workers {
		switch {
		case w.serving(now):
			serving = append(serving, w)
			if w.pendingRemoval && len(w.longRunning) > 0 {
				pending = append(pending, w)
			}
		case w.reservation == fleetplan.Emptying && !w.leaving() && len(w.longRunning) > 0:
			emptying = append(emptying, w)
		}
	}
	if len(emptying)+len(pending) == 0 {
		return nil
	}
	v := &relocation{places: newPlaces(serving), first: map[*step]int{}, further: e.furtherWorker(p)}
	placedOn := map[*worker][]*task{}
	for _, t := range p.tasksToPlace(func(r *run) bool {
		return r.displaced() || r.worker.Draining || r.worker.reservation == fleetplan.Ordered
	}) {
		if w := v.place(t.step, nil); w != nil {
			placedOn[w] = append(placedOn[w], t)
		}
	}
	lacking := map[*worker]int{}
	for _, w := range emptying {
		lacking[w] = v.lacking(tasksToMove(w), nil, true)
	}
	for _, w := range pending {
		lacking[w] = v.lacking(append(tasksToMove(w), placedOn[w]...), w, false)
	}
	return lacking
}

// tasksToMove returns the long-running tasks of a worker that are not to be placed
// already.
func tasksToMove(w *worker) []*task {
	var list []*task
	for _, r := range w.sortedLongRunning() {
		list = append(list, r.task)
	}
	return list
}

// relocation places the tasks of one worker after the other.
type relocation struct {
	*places
	// first is, by step, the index of the first place that may accept a task.
	first map[*step]int
	// changed holds the places as they were before the tasks of a worker.
	changed map[int]place
	further *worker
}

// lacking places tasks on other workers than the given one, and returns how many
// further ones that takes. It keeps the places only if asked to and none lacks.
func (v *relocation) lacking(tasks []*task, except *worker, keep bool) int {
	v.changed = map[int]place{}
	first, places, n := maps.Clone(v.first), len(v.list), 0
	for _, t := range tasks {
		if v.place(t.step, except) != nil {
			continue
		}
		if !t.step.fitsOn(v.further) {
			n = fleetplan.NoNumber
			break
		}
		n++
		v.add(v.further)
		v.place(t.step, except)
	}
	if keep && n == 0 {
		return 0
	}
	v.list, v.first = v.list[:places], first
	for i, at := range v.changed {
		if i < places {
			v.list[i] = at
		}
	}
	return n
}

// place gives a task of a step a place on a worker other than the given one, and
// returns the worker, nil if there is none.
func (v *relocation) place(s *step, except *worker) *worker {
	size := s.Requests()
	rejected := true
	for i := v.first[s]; i < len(v.list); i++ {
		at := &v.list[i]
		if at.worker == except {
			rejected = false
			continue
		}
		if !size.Fits(at.unclaimed) || !at.accepts(s) {
			if rejected {
				v.first[s] = i + 1
			}
			continue
		}
		if _, ok := v.changed[i]; !ok && v.changed != nil {
			before := *at
			before.counts = maps.Clone(at.counts)
			v.changed[i] = before
		}
		at.assign(s, size)
		return at.worker
	}
	return nil
}
