package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// minRestartPause is the least time from a start under which the second worker in a
	// row has crashed to the next one, if the job is not given up. It doubles with each
	// further crash, up to maxRestartPause: a long-running task has to start again some
	// seconds after its last run.
	minRestartPause = 500 * time.Millisecond
	maxRestartPause = 4 * time.Second
)

// mayBeGivenUp reports whether the job may fail because workers crash under one of
// its tasks, after the end of the worker with the given id, if it is not empty. Its
// long-running tasks that are at work on others, or that may be, would be stopped for
// that, and one that has survived its start is to start again however it ends.
func (e *Engine) mayBeGivenUp(j *job, ended string) bool {
	if j.survived {
		return false
	}
	mayRun := func(t *task) bool { return t.runsBesides(ended) || e.blockedByRecovery(t) }
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.LongRunning && slices.ContainsFunc(s.tasks, mayRun) {
				return false
			}
		}
	}
	return true
}

// runsBesides reports whether a worker other than the one with the given id has
// certainly begun a run of the task that is not being stopped.
func (t *task) runsBesides(id string) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.begun() && r.phase != runStopping && r.worker.ID != id })
}

// exclusive reports whether the task starts only on a worker without other runs: so
// many workers have crashed under it that its job would be given up, were it permitted.
func (e *Engine) exclusive(t *task) bool {
	return t.step.hasSuspects && len(t.unitCrashes()) >= maxCrashes && !e.mayBeGivenUp(t.step.job, "")
}

// pauseRestart delays the next start of a task under which workers crash in a row and
// whose job is not given up for that.
func (e *Engine) pauseRestart(r *run, now time.Duration) {
	t := r.task
	s := t.step
	n := len(t.unitCrashes())
	if n < strictAfter || s.job.ended() || e.mayBeGivenUp(s.job, r.worker.ID) {
		return
	}
	until := r.sentAt + min(minRestartPause<<min(n-strictAfter, 8), maxRestartPause)
	if s.Gang {
		s.gangRetry = max(s.gangRetry, until)
	} else {
		t.notBefore = max(t.notBefore, until)
	}
	s.apartSince = 0 // the next start is kept apart as long again
	if until > now {
		event.RestartPaused.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("run", r.number), zap.Int("crashes", n), zap.Duration("pause", until-now))
	}
}
