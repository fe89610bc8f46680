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
		p.list = append(p.list, place{worker: w, free: w.free()})
	}
	return p
}

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

// displacedTasks returns the long-running tasks of a pool that need another
// place: those without a run, and those whose run is being stopped or is on a
// worker that has left or does not answer. Large tasks come first.
func (p *pool) displacedTasks() []*task {
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
		for _, r := range w.runs {
			if r.displaced() {
				list = append(list, r.task)
			}
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		x, y := a.step.Requests(), b.step.Requests()
		return cmp.Or(-cmp.Compare(x.Processors, y.Processors), -cmp.Compare(x.MemoryMB, y.MemoryMB), a.compare(b))
	})
	return list
}

// displaced reports whether the run is the only one of a long-running task and
// will not last.
func (r *run) displaced() bool {
	t := r.task
	if !t.step.LongRunning || t.done || t.step.job.ended() || len(t.runs) > 1 {
		return false
	}
	return r.phase == runStopping || !r.worker.listed || r.worker.failedPolls > 0
}
