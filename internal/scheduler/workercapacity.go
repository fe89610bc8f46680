package scheduler

import (
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Duration) bool { return w.unusable(now) == "" }

// unusable returns why the worker gets no new tasks, "" if it does. A worker
// that is only being emptied or set aside is the last resort of long-running
// tasks.
func (w *worker) unusable(now time.Duration) string {
	if reason := w.closed(now); reason != "" {
		return reason
	}
	switch {
	case w.reservation != fleetplan.Unreserved:
		return w.reservation.String()
	case w.setAside(now):
		return "set aside"
	}
	return ""
}

// closed returns why the worker may not get any task, "" if it is usable or a
// last resort.
func (w *worker) closed(now time.Duration) string {
	switch {
	case !w.listed:
		return "not listed"
	case w.pool.overcommits && !w.ownEntry:
		return "capacity unknown"
	case w.Draining:
		return "draining"
	case w.failedPolls > 0:
		return "does not answer"
	case !w.fenced:
		return "not fenced"
	case w.otherEntry != nil:
		return "may have restarted"
	case !w.recorded:
		return "not recorded"
	case w.reservation == fleetplan.Ordered:
		return w.reservation.String()
	case w.paused(now):
		return "paused"
	case w.capacityOutdated(now):
		return "capacity outdated"
	}
	return ""
}

// free returns the resources that the worker has left.
func (w *worker) free() placement.Resources {
	if w.runsUnknown() {
		return placement.Resources{}
	}
	return w.Capacity.Sub(w.used)
}

// holds reports whether the worker holds capacity for long-running tasks.
func (w *worker) holds() bool { return w.held != placement.Resources{} }

// unheld returns the resources that tasks other than long-running ones may take.
func (w *worker) unheld() placement.Resources {
	if !w.holds() {
		return w.free()
	}
	return w.free().Sub(w.held).Max(placement.Resources{}) // held capacity may be in use
}

// freeFor returns the resources that a task of the step may take.
func (w *worker) freeFor(s *step) placement.Resources {
	if s.LongRunning {
		return w.free()
	}
	return w.unheld()
}

// addRun adds a run to the worker and its requests to the used resources.
// removeRun undoes it.
func (w *worker) addRun(r *run) {
	w.runs[runKey{r.task.id(), r.number}] = r
	w.neighboursKnown = false
	w.used = w.used.Add(r.task.step.Requests())
	r.task.step.job.team.held().AddRun(r.task.step.Size, r.task.step.LongRunning)
	r.task.step.job.share.Add(r.task.step.Requests())
	if r.task.step.LongRunning {
		w.longRunning = append(w.longRunning, r)
	}
	if r.task.step.Speculative {
		w.speculative++
	}
	if r.task.suspect() {
		w.suspects = append(w.suspects, r)
	}
}

func (w *worker) removeRun(r *run) {
	key := runKey{r.task.id(), r.number}
	if _, ok := w.runs[key]; !ok {
		return
	}
	delete(w.runs, key)
	w.neighboursKnown = false
	w.longRunning = slices.DeleteFunc(w.longRunning, func(other *run) bool { return other == r })
	w.suspects = slices.DeleteFunc(w.suspects, func(other *run) bool { return other == r })
	w.releaseResources(r.task.step.Requests())
	r.task.step.job.team.held().RemoveRun(r.task.step.Size, r.task.step.LongRunning)
	r.task.step.job.team.quotaReleased()
	r.task.step.job.share.Remove(r.task.step.Requests())
	if r.task.step.Speculative {
		w.speculative--
	}
}

func (w *worker) releaseResources(resources placement.Resources) {
	w.used = w.used.Sub(resources)
	if !w.occupied() {
		w.used = placement.Resources{} // sums of fractions of a core leave rounding errors
	}
}
