package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// frozenAfter is how long a worker must not have answered before its lease is
// recorded as no longer renewed. A worker that answers again gets no lease before
// it is recorded anew.
const frozenAfter = 500 * time.Millisecond

// InUse returns the workers that a successor has to fence before it may start a
// task again. A worker that has not answered this owner has no task of it: it may
// have ended long before its entry lapses. One that is left out, or whose lease is
// stated to end, gets no task and no lease before it is recorded again.
func (e *Engine) InUse(now time.Duration) []UsedWorker {
	var list []UsedWorker
	for _, w := range e.workers {
		w.leaseFrozen = w.toFreeze(now) || (w.leaseFrozen && w.inherited)
		inUse := w.inherited || w.occupied() || len(w.pendingEnds) > 0 || w.toRecord(e)
		if inUse {
			u := UsedWorker{Worker: w.Worker}
			if w.inherited {
				u.Pool = w.inheritedPool.name
			}
			if w.leaseFrozen {
				u.LeaseEnd = w.leaseEnd()
				u.Tasks, u.TasksKnown = w.possibleTasks()
			}
			list = append(list, u)
		}
		w.recorded = w.recorded && inUse && !w.leaseFrozen
	}
	slices.SortFunc(list, func(a, b UsedWorker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// toFreeze reports whether the end of the worker's lease is to be recorded.
func (w *worker) toFreeze(now time.Duration) bool {
	return w.failedPolls > 0 && (w.inherited || now-w.silentSince >= frozenAfter)
}

// possibleTasks returns the tasks that the worker may run or list the ends of, and
// whether all of them are known. They are if this owner has read the worker's runs,
// and every end that it listed is recorded.
func (w *worker) possibleTasks() (tasks []workload.TaskID, known bool) {
	switch {
	case w.inherited:
		return w.inheritedTasks, w.inheritedTasksKnown
	case w.lastRecordedEnd() < w.lastSeenEnd:
		return nil, false
	}
	for key := range w.runs {
		tasks = append(tasks, key.task)
	}
	for key := range w.orphans {
		tasks = append(tasks, key.task)
	}
	slices.SortFunc(tasks, workload.TaskID.Compare)
	return tasks, true
}

// toRecord reports whether the worker is to be used as soon as it is recorded.
func (w *worker) toRecord(e *Engine) bool { return w.listed && w.fenced && !e.standby(w.Pool) }

func (e *Engine) standby(poolName string) bool {
	if e.catalog == nil {
		return false
	}
	p := e.catalog.Pools[poolName]
	return p != nil && p.Standby
}

// Recorded marks workers as stored in the record of workers in use, where a
// successor finds them. Tasks may be started on them from then on.
func (e *Engine) Recorded(list []UsedWorker) {
	for _, u := range list {
		if w := e.workers[u.ID]; w != nil && u.LeaseEnd == 0 && !w.leaseFrozen && !w.otherIncarnation(u.StartedMS) && !w.recorded {
			w.recorded = true
			w.pool.needsPass = true
		}
	}
}

// Unrecorded reports whether the record of workers is to be written at once: a
// worker has to be recorded before it can be used, or a successor would wait longer
// than necessary for one that does not answer.
func (e *Engine) Unrecorded(now time.Duration) bool {
	for _, w := range e.workers {
		switch {
		case !w.recorded && w.fenced && w.failedPolls == 0 && (w.occupied() || w.toRecord(e)):
			return true
		case !w.leaseFrozen && w.toFreeze(now) && (w.inherited || w.occupied()):
			return true
		}
	}
	return false
}
