package scheduler

import (
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
	placed := p.tasksToPlace(func(r *run) bool {
		return r.displaced() || r.worker.Draining || r.worker.reservation == fleetplan.Ordered
	})
	further := e.furtherWorker(p)
	lacking := map[*worker]int{}
	for i, w := range append(emptying, pending...) {
		free := &places{cursors: map[*step]*placeCursor{}}
		for _, other := range serving {
			if other != w {
				free.add(other)
			}
		}
		for _, t := range placed {
			free.assignUsed(t.step, anyWorker)
		}
		var moving []*task
		for _, r := range w.sortedRuns() {
			if r.task.step.LongRunning && !r.displaced() {
				moving = append(moving, r.task)
			}
		}
		lacking[w] = free.lacking(moving, further)
		if i < len(emptying) && lacking[w] == 0 {
			placed = append(placed, moving...)
		}
	}
	return lacking
}

// lacking assigns tasks and returns how many workers like the given one it lacks,
// fleetplan.NoNumber if one of them cannot hold a task.
func (p *places) lacking(tasks []*task, further *worker) int {
	n := 0
	for _, t := range tasks {
		if p.assignUsed(t.step, anyWorker) {
			continue
		}
		if !t.step.fitsOn(further) {
			return fleetplan.NoNumber
		}
		n++
		p.add(further)
		p.assignUsed(t.step, anyWorker)
	}
	return n
}
