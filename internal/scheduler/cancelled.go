package scheduler

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// overdueInterval is the time between two checks for runs that should have been
// stopped long ago.
const overdueInterval = time.Second

// unknownAge is the age of a cancellation of which nothing tells when it was
// stored.
const unknownAge time.Duration = -1

// CancelledRunsEnd describes the end of the last run of a cancelled job.
type CancelledRunsEnd struct {
	Job string
	// Runs is how many runs the job had when this owner learned of its
	// cancellation, and Worker the one whose run was the last.
	Runs   int
	Worker string
	// Took is the time from when this owner learned of the cancellation until it
	// learned of the end of the last run.
	Took time.Duration
	// Age is the longest time that the cancellation can have been stored when this
	// owner learned of it, or negative if nothing tells.
	Age time.Duration
}

// cancellation is what is known of the cancellation of a job.
type cancellation struct {
	// knownAt is when this owner learned of it, and age and runs are those of
	// CancelledRunsEnd.
	knownAt, age time.Duration
	runs         int
}

// newCancellation describes a cancellation that no earlier read has told of: it was
// stored after the time up to which all are known.
func (e *Engine) newCancellation(j *job, now time.Duration) cancellation {
	c := cancellation{knownAt: now, age: unknownAge, runs: j.liveRuns}
	if e.cancelsAsOf > 0 {
		c.age = e.cancelsAge(now)
	}
	return c
}

// Cancel ends a job at the request of its caller. version is that of the
// cancellation's row, and above that of the job's. A job that has not been added yet
// ends when it is.
func (e *Engine) Cancel(id string, version int64, now time.Duration) {
	if _, ok := e.knownJobs[id]; !ok {
		if version > e.jobsVersion {
			e.cancelledFirst[id] = version
		}
		return
	}
	e.cancel(id, now)
}

// cancel ends a job that was added, unless it has ended already.
func (e *Engine) cancel(id string, now time.Duration) {
	j := e.jobs[id]
	if j == nil || j.ended() {
		return
	}
	e.endJob(j, workload.Cancelled, now)
}

// JobsRead reports that all jobs whose rows have at most the given version were
// added. A cancellation up to that version is of none that is still to come: no job
// is stored after its cancellation.
func (e *Engine) JobsRead(version int64) {
	e.jobsVersion = max(e.jobsVersion, version)
	maps.DeleteFunc(e.cancelledFirst, func(_ string, cancelled int64) bool { return cancelled <= e.jobsVersion })
}

// reportCancelledRunsEnd reports the end of a run if it was the last one of a
// cancelled job.
func (e *Engine) reportCancelledRunsEnd(r *run, now time.Duration) {
	j := r.task.step.job
	if !j.cancelled || j.liveRuns > 0 {
		return
	}
	end := CancelledRunsEnd{Job: j.ID, Runs: j.cancellation.runs, Worker: r.worker.ID, Took: now - j.cancellation.knownAt, Age: j.cancellation.age}
	event.CancelledRunsEnded.Log(e.opts.Log, zap.String("job", end.Job), zap.Int("runs", end.Runs), zap.String("worker", end.Worker),
		zap.Duration("took", end.Took), zap.Duration("age", end.Age))
	if e.opts.CancelledRunsEnded != nil {
		e.opts.CancelledRunsEnded(end)
	}
}

// overdueStop is a run that should have been stopped long ago.
type overdueStop struct {
	key    runKey
	since  time.Duration
	stop   *stopState
	orphan bool
}

// reportOverdueStops logs the runs of cancelled jobs and the orphans that are still
// there after the bound on cancellations and a stop, at most one a worker.
func (e *Engine) reportOverdueStops(now time.Duration) {
	if now < e.nextOverdueCheck {
		return
	}
	e.nextOverdueCheck = now + overdueInterval
	dueBefore := now - e.opts.CancelWithin - e.opts.StopGrace
	e.stats.OverdueStops = 0
	for _, w := range e.workers {
		var oldest overdueStop
		overdue := 0
		add := func(o overdueStop) {
			if o.since >= dueBefore {
				return
			}
			if overdue++; overdue == 1 || o.since < oldest.since {
				oldest = o
			}
		}
		for key, r := range w.runs {
			if j := r.task.step.job; j.cancelled {
				add(overdueStop{key, j.cancellation.knownAt, &r.stop, false})
			}
		}
		for key, o := range w.orphans {
			add(overdueStop{key, o.foundAt, &o.stop, true})
		}
		if overdue == 0 {
			continue
		}
		e.stats.OverdueStops += int64(overdue)
		event.StopOverdue.Log(e.opts.Log, zap.Stringer("task", oldest.key.task), zap.Int("run", oldest.key.run), zap.String("worker", w.ID),
			zap.Bool("orphan", oldest.orphan), zap.String("waits_for", oldest.stop.waitsFor(w)), zap.Int("stops", oldest.stop.sent),
			zap.Duration("since", now-oldest.since), zap.Duration("silent", now-w.lastContact), zap.Int("runs", overdue))
	}
}
