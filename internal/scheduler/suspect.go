package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// holdTime is how long a worker that is to become free for a suspect takes no
	// other tasks. Each pass in which the suspect still waits renews it.
	holdTime = 3 * passInterval
	// maxHeldFraction is the fraction of a pool's workers that may be held for
	// suspects at a time; one always may.
	maxHeldFraction = 0.25
	// maxApart is how long tasks wait for a worker of their own, or beside no
	// suspect, though there is free capacity. After that they start anywhere.
	maxApart = 1500 * time.Millisecond
	// silenceBeforeCopy is how long a worker must be silent before a task that it
	// had just started gets a copy: a host list shows a crash sooner.
	silenceBeforeCopy = 1500 * time.Millisecond
)

// suspect reports whether workers may have crashed because of the task. Such a
// task is kept apart from tasks of other jobs until its worker has survived the
// start.
func (t *task) suspect() bool {
	if !t.step.hasSuspects {
		return false
	}
	crashes := t.unitCrashes()
	return countCrashes(crashes, workload.CrashPresumed) > 0 || len(crashes) >= strictAfter
}

// strict reports whether the task is kept apart for the whole of its run.
func (t *task) strict() bool {
	return t.step.hasSuspects && !t.step.LongRunning && len(t.unitCrashes()) >= strictAfter
}

// underTest reports whether the run has to show yet that its worker survives it.
func (r *run) underTest() bool { return r.task.suspect() && (!r.proven() || r.task.strict()) }

// testedJob returns the job of which the worker runs suspects, nil if there is
// none.
func (w *worker) testedJob() *job {
	for _, r := range w.suspects {
		if r.underTest() {
			return r.task.step.job
		}
	}
	return nil
}

// heldForSuspects reports whether the worker is to become free for a suspect.
func (w *worker) heldForSuspects(now time.Duration) bool { return now < w.heldUntil }

// testedElsewhere reports whether a worker other than w runs suspects of the job:
// one worker at a time is enough to find out whether it crashes.
func (j *job) testedElsewhere(w *worker) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.hasSuspects {
				continue
			}
			for _, t := range s.tasks {
				if slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker != w && r.underTest() }) {
					return true
				}
			}
		}
	}
	return false
}

// separate reports whether the worker may take the task without bringing a
// suspect together with other tasks that have just started, so that a crash of
// the worker has one cause. An exclusive task needs an empty worker.
func (e *Engine) separate(t *task, w *worker, now time.Duration) bool {
	j := t.step.job
	if e.exclusive(t) {
		return len(w.runs) == 0 && !j.testedElsewhere(w)
	}
	if tested := w.testedJob(); tested != nil {
		return tested == j
	}
	if !t.suspect() {
		return !w.heldForSuspects(now)
	}
	for _, r := range w.runs {
		if r.task.step.job != j && (!r.proven() || (t.strict() && !r.task.step.LongRunning)) {
			return false
		}
	}
	return !j.testedElsewhere(w)
}

// apartForLong reports whether tasks of the step have been kept apart for too long.
func (s *step) apartForLong(now time.Duration) bool {
	return s.apartSince > 0 && now-s.apartSince > maxApart
}

// keepApart records whether a task of the step waits only to keep tasks apart. Once
// that has taken too long, its other tasks need not wait as well.
func (s *step) keepApart(waits bool, now time.Duration) {
	switch {
	case waits && s.apartSince == 0:
		s.apartSince = now
	case !waits && !s.apartForLong(now):
		s.apartSince = 0
	}
}

// waitsForRecord reports whether the task must not start yet: a crash is not
// recorded, or too many workers ended under it that may not count, or fell silent
// and may still live.
func (e *Engine) waitsForRecord(t *task) bool {
	crashes, open := t.unitCrashes(), 0
	unit := t.crashUnit()
	for _, u := range unit {
		open = max(open, u.openCrashes)
	}
	if open > 0 && len(crashes)+open >= maxCrashes && e.mayBeGivenUp(t.step.job, "") {
		return true
	}
	if len(crashes) == 0 {
		return false
	}
	if slices.ContainsFunc(unit, func(u *task) bool { return t.step.job.durable < u.crashSeq }) {
		return true
	}
	return len(crashes) >= maxCrashes && e.mayBeGivenUp(t.step.job, "") && slices.ContainsFunc(unit, e.hasPresumed)
}

// hasPresumed reports whether a crash under the task is still presumed.
func (e *Engine) hasPresumed(t *task) bool {
	for _, list := range e.presumed {
		if slices.ContainsFunc(list, func(p presumedCrash) bool { return p.task == t }) {
			return true
		}
	}
	return false
}

// holdForSuspect keeps other tasks from a worker that a suspect is to run on, as
// none is free for it.
func (e *Engine) holdForSuspect(t *task, open []*worker, now time.Duration) {
	if t.step.job.testedElsewhere(nil) {
		return
	}
	var best *worker
	held, exclusive := 0, e.exclusive(t)
	for _, w := range open {
		if w.heldForSuspects(now) {
			held++
		}
		if !t.step.hasLabel(w) || w.testedJob() != nil || w.heldAt == now || (exclusive && len(w.longRunning) > 0) {
			continue
		}
		if free := w.Capacity.Sub(w.longRunningRequests()); !t.step.Requests().Fits(free) {
			continue
		}
		switch {
		case best == nil, w.heldForSuspects(now) && !best.heldForSuspects(now):
			best = w
		case w.heldForSuspects(now) == best.heldForSuspects(now) && len(w.runs) < len(best.runs):
			best = w
		}
	}
	if best == nil {
		return
	}
	if !best.heldForSuspects(now) && held >= max(1, int(maxHeldFraction*float64(len(best.pool.workers)))) {
		return
	}
	best.heldAt, best.heldUntil = now, now+holdTime
}

// isolated logs the start of a suspect.
func (e *Engine) isolated(r *run) {
	if !r.task.suspect() {
		return
	}
	e.stats.SuspectsIsolated++
	event.SuspectIsolated.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.Int("crashes", len(r.task.unitCrashes())), zap.Int("others", len(r.worker.runs)-1))
}

// separated returns the workers that may take the task without bringing a suspect
// together with others.
func (e *Engine) separated(t *task, open []*worker, now time.Duration) []*worker {
	return slices.DeleteFunc(slices.Clone(open), func(w *worker) bool { return !e.separate(t, w, now) })
}

// besideNoSuspect returns the workers that run no suspect of another job: a
// suspect gang needs several workers at a time, and others may run there.
func (t *task) besideNoSuspect(open []*worker) []*worker {
	return slices.DeleteFunc(slices.Clone(open), func(w *worker) bool {
		tested := w.testedJob()
		return tested != nil && tested != t.step.job
	})
}
