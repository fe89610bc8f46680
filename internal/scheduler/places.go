package scheduler

import (
	"cmp"
	"slices"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// places assigns free capacity to the long-running tasks of a pool, first fit.
// It starts no task.
type places struct {
	list    []place
	cursors map[*step]*placeCursor
}

// place is the capacity that is left on a worker after the assignments so far.
type place struct {
	worker *worker
	free   placement.Resources
}

// placeCursor is where the search for the next task of a step begins: earlier
// places have rejected the step, and their free capacity only shrinks.
type placeCursor struct {
	index int
	// assigned counts the step's tasks at the place with this index.
	assigned int
}

func newPlaces(workers []*worker) *places {
	p := &places{list: make([]place, 0, len(workers)), cursors: map[*step]*placeCursor{}}
	for _, w := range workers {
		p.add(w)
	}
	return p
}

// add appends the free capacity of a worker.
func (p *places) add(w *worker) { p.list = append(p.list, place{worker: w, free: w.free()}) }

// anyWorker permits every worker.
func anyWorker(*worker) bool { return true }

// assign gives one more task of a step a place on a permitted worker. It
// reports false if there is none.
func (p *places) assign(s *step, permitted func(*worker) bool) bool {
	c := p.cursors[s]
	if c == nil {
		c = &placeCursor{}
		p.cursors[s] = c
	}
	for ; c.index < len(p.list); c.index, c.assigned = c.index+1, 0 {
		at := &p.list[c.index]
		if at.accepts(s, c.assigned) && permitted(at.worker) {
			at.free = at.free.Sub(s.Requests())
			c.assigned++
			return true
		}
	}
	return false
}

// accepts reports whether a place can hold one more task of a step, of which it
// was assigned some already.
func (at *place) accepts(s *step, assigned int) bool {
	if !s.Requests().Fits(at.free) || !s.hasLabel(at.worker) {
		return false
	}
	return s.MaxPerWorker == 0 || s.runsOn(at.worker)+assigned < s.MaxPerWorker
}

// tasksToPlace returns the long-running tasks of a pool that need a place: those
// without a run, and those whose only run is displaced. Large tasks come first.
func (p *pool) tasksToPlace(displaced func(*run) bool) []*task {
	var list []*task
	for s := range p.ready {
		if !s.LongRunning {
			continue
		}
		for _, t := range s.tasks {
			if t.startable() {
				list = append(list, t)
			}
		}
	}
	for _, w := range p.workers {
		for _, r := range w.longRunning {
			t := r.task
			if !t.done && !t.step.job.ended() && len(t.runs) == 1 && displaced(r) {
				list = append(list, t)
			}
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		x, y := a.step.Requests(), b.step.Requests()
		return cmp.Or(-cmp.Compare(x.Processors, y.Processors), -cmp.Compare(x.MemoryMB, y.MemoryMB), a.compare(b))
	})
	return list
}

// displaced reports whether the run is being stopped or its worker has left or
// does not answer.
func (r *run) displaced() bool {
	return r.phase == runStopping || !r.worker.listed || r.worker.failedPolls > 0
}
