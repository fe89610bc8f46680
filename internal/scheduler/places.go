package scheduler

import (
	"cmp"
	"slices"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// places assigns the capacity of workers to the long-running tasks of a pool,
// first fit. It starts no task.
type places struct {
	list    []place
	cursors map[*step]*placeCursor
}

// place is a worker with what was assigned there so far.
type place struct {
	worker *worker
	// free is the free capacity that is not assigned. It is negative if capacity
	// in use is assigned.
	free placement.Resources
	// unclaimed is the capacity that long-running tasks neither use nor were
	// assigned.
	unclaimed placement.Resources
	// held is the assigned capacity that no other task may take.
	held placement.Resources
	// counts holds, by step, the number of tasks that were assigned.
	counts map[*step]int
}

// placeCursor holds the indices at which the searches for the next task of a
// step begin: earlier places have rejected the step, and their capacity only
// shrinks.
type placeCursor struct{ free, unclaimed, unknown int }

func newPlaces(workers []*worker) *places {
	p := &places{list: make([]place, 0, len(workers)), cursors: map[*step]*placeCursor{}}
	for _, w := range workers {
		p.add(w)
	}
	return p
}

// add appends a worker.
func (p *places) add(w *worker) {
	p.list = append(p.list, place{worker: w, free: w.free(), unclaimed: w.Capacity.Sub(w.longRunningRequests())})
}

// assign gives one more task of a step free capacity on a permitted worker. It
// reports false if there is none.
func (p *places) assign(s *step, permitted func(*worker) bool) bool {
	return p.search(s, &p.cursor(s).free, permitted, func(at *place) placement.Resources { return at.free })
}

// assignUsed is assign for capacity that other tasks than long-running ones may
// use now.
func (p *places) assignUsed(s *step, permitted func(*worker) bool) bool {
	return p.search(s, &p.cursor(s).unclaimed, permitted, func(at *place) placement.Resources { return at.unclaimed })
}

// assignUnknown is assign for workers that may be permitted, after assign has found
// none that is.
func (p *places) assignUnknown(s *step, possible func(*worker) bool) bool {
	return p.search(s, &p.cursor(s).unknown, possible, func(at *place) placement.Resources { return at.free })
}

func (p *places) cursor(s *step) *placeCursor {
	c := p.cursors[s]
	if c == nil {
		c = &placeCursor{}
		p.cursors[s] = c
	}
	return c
}

// search assigns the first place that accepts a task of the step, beginning at
// index.
func (p *places) search(s *step, index *int, permitted func(*worker) bool, capacity func(*place) placement.Resources) bool {
	size := s.Requests()
	for ; *index < len(p.list); *index++ {
		at := &p.list[*index]
		if size.Fits(capacity(at)) && at.accepts(s) && permitted(at.worker) {
			at.assign(s, size)
			return true
		}
	}
	return false
}

// accepts reports whether the placement constraints permit one more task of a
// step.
func (at *place) accepts(s *step) bool {
	return s.hasLabel(at.worker) && (s.MaxPerWorker == 0 || s.runsOn(at.worker)+at.counts[s] < s.MaxPerWorker)
}

func (at *place) assign(s *step, size placement.Resources) {
	at.free = at.free.Sub(size)
	at.unclaimed = at.unclaimed.Sub(size)
	if !s.Gang { // all tasks of a gang need places at the same time
		at.held = at.held.Add(size)
	}
	if s.MaxPerWorker > 0 {
		if at.counts == nil {
			at.counts = map[*step]int{}
		}
		at.counts[s]++
	}
}

// tasksToPlace returns the long-running tasks of a pool that need a place: those
// without a run that fit the quotas of their teams, and those whose only run is
// displaced. Large tasks come first.
func (p *pool) tasksToPlace(displaced func(*run) bool) []*task {
	var list []*task
	if p.readyLongRunning > 0 { // sweeps come often, and in a surge a thousand steps are ready
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
	return withinQuotas(list)
}

// displaced reports whether the run is being stopped or its worker has left or
// does not answer.
func (r *run) displaced() bool {
	return r.phase == runStopping || !r.worker.listed || r.worker.failedPolls > 0
}
