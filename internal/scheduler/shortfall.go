package scheduler

import (
	"cmp"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// longRunningShortfall returns how many further workers the pool needs for its
// long-running tasks that have no run or whose run will not last where it is,
// and the workers of the pool that have the capacity for the others. Tasks that
// a further worker cannot hold are left out. A worker that no ticket permits for a
// task is not needed for it, but a task that such a worker could hold asks for few
// further ones: they may be denied as well.
func (e *Engine) longRunningShortfall(p *pool, now time.Duration) (shortfall int, needed map[*worker]bool) {
	tasks := p.tasksToPlace(func(r *run) bool {
		w := r.worker
		return r.phase == runStopping || !w.listed || e.silentAlone(w) || w.Draining || w.reservation != fleetplan.Unreserved
	})
	if len(tasks) == 0 {
		return 0, nil
	}
	var serving []*worker
	for _, w := range p.workers {
		if w.serving(now) {
			serving = append(serving, w)
		}
	}
	free := newPlaces(serving)
	var onDenied *places
	further := e.furtherWorker(p)
	for _, t := range tasks {
		s := t.step
		permitted := func(w *worker) bool { ok, _ := s.verdict(w); return ok }
		possible := func(w *worker) bool { return !s.denied(w) }
		if free.assign(s, permitted) || free.assignUnknown(s, possible) || !s.fitsOn(further) {
			continue
		}
		if s.denials() >= maxDenials {
			if onDenied == nil {
				onDenied = newPlaces(serving)
			}
			if onDenied.assign(s, s.denied) {
				continue
			}
		}
		shortfall++
		free.add(further)
		free.assignUnknown(s, possible)
	}
	needed = map[*worker]bool{}
	for _, at := range free.list {
		needed[at.worker] = at.free != at.worker.free()
	}
	return shortfall, needed
}

// silentAlone reports whether the worker does not answer while this process reads
// answers of others: it is not this process that pauses.
func (e *Engine) silentAlone(w *worker) bool {
	return w.failedPolls > 0 && e.answeredAt > w.silentSince
}

// serving reports whether the worker is to get new tasks, now or as soon as it
// is fenced and recorded and its pause is over.
func (w *worker) serving(now time.Duration) bool {
	return w.listed && !w.Draining && w.failedPolls == 0 && w.reservation == fleetplan.Unreserved && !w.setAside(now)
}

// furtherWorker returns what can be expected of another worker of the pool: the
// mean full capacity of its workers, and the labels that at least half of them have.
// For a pool without workers it is the largest known worker, with the labels of
// at least half of all workers.
func (e *Engine) furtherWorker(p *pool) *worker {
	var capacity placement.Resources
	labels, count := map[string]int{}, 0
	for _, w := range p.workers {
		if w.listed {
			count++
			capacity = capacity.Add(w.full)
			countLabels(labels, w)
		}
	}
	if count > 0 {
		capacity = placement.Resources{Processors: capacity.Processors / float64(count), MemoryMB: capacity.MemoryMB / count, Accelerators: capacity.Accelerators / count}
	} else {
		count = len(e.workers)
		for _, w := range e.workers {
			countLabels(labels, w)
			if c := w.full; cmp.Or(cmp.Compare(c.Processors, capacity.Processors), cmp.Compare(c.MemoryMB, capacity.MemoryMB), cmp.Compare(c.Accelerators, capacity.Accelerators)) > 0 {
				capacity = c
			}
		}
	}
	further := &worker{Worker: estate.Worker{Capacity: capacity}}
	for label, n := range labels {
		if 2*n >= count {
			further.Labels = append(further.Labels, label)
		}
	}
	return further
}

func countLabels(counts map[string]int, w *worker) {
	for _, label := range w.Labels {
		counts[label]++
	}
}
