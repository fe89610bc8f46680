package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fairshare"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// job is a job that has not ended, or whose end is not recorded yet.
type job struct {
	*workload.Job
	// team is the team of the job, nil for none.
	team *team
	// share is the share of the team in the pool, nil without a team, and excess is
	// set if the team has submitted more jobs than its weight.
	share    *fairshare.Member
	excess   bool
	progress workload.Progress
	// version is the version of the progress row.
	version int64
	// accepted is when the job was accepted, in the engine's time.
	accepted time.Duration
	// inherited is set if a previous owner may have started runs of the job.
	inherited bool
	cancelled bool
	// cancellation is set if the job is cancelled.
	cancellation cancellation
	// queue holds the latest known settings of the job's queue, nil if none are
	// known.
	queue *estate.Queue
	// started is set once a worker has confirmed, listed or ended a run, also
	// under a previous owner.
	started bool
	// survived is set once a long-running task of the job has survived its start.
	survived bool
	// seq numbers the newest change and durable the newest recorded one.
	seq, durable uint64
	urgent       bool
	occurrences  map[int]*occurrence
	// nextOccurrence is the number of the next occurrence to create.
	nextOccurrence  int
	doneOccurrences int
	// liveRuns counts runs that are not known to have ended.
	liveRuns int
	// criticalPath is the estimated length of an occurrence's critical path.
	criticalPath time.Duration
}

// AddJob adds an accepted job with its recorded progress, whose row has the
// given version. inherited is set if a previous owner may have started its
// tasks. A job that was added before or that has ended is ignored, and one whose
// cancellation is known already is cancelled.
func (e *Engine) AddJob(spec *workload.Job, progress *workload.Progress, version int64, accepted time.Duration, inherited bool, now time.Duration) {
	if _, ok := e.knownJobs[spec.ID]; ok {
		return
	}
	team := e.observeTeam(spec, progress, inherited)
	e.knownJobs[spec.ID] = team
	if progress.State.Over() {
		e.submitted(team, spec.ID, accepted, nil)
		return
	}
	j := &job{
		Job: spec, team: team, progress: *progress, version: version, accepted: accepted, inherited: inherited,
		started: progress.State != workload.Queued, occurrences: map[int]*occurrence{}, queue: spec.Terms,
	}
	e.jobs[spec.ID] = j
	e.submitted(team, spec.ID, accepted, j)
	e.updateQueue(j)
	p := e.pool(spec.Pool)
	p.observeJob(spec, accepted)
	if spec.Schedule == nil {
		e.createOccurrence(j, now, now)
	} else {
		e.createJobOccurrences(j, now)
	}
	p.needsPass = true
	if _, ok := e.cancelledFirst[spec.ID]; ok {
		delete(e.cancelledFirst, spec.ID)
		e.cancel(spec.ID, now)
	}
}

// updateQueue applies the current settings of the job's queue. A job of a queue
// that the configuration has no more keeps the last ones.
func (e *Engine) updateQueue(j *job) {
	if e.catalog == nil {
		return
	}
	if q := e.catalog.Queues[j.Queue]; q != nil {
		j.queue = q
	}
}

// ended reports whether the job is cancelled or over, so that none of its tasks
// may start any more.
func (j *job) ended() bool { return j.cancelled || j.progress.State.Over() }

// markDirty marks the record of a job to be written. An urgent change is
// written without delay, because something waits for it.
func (e *Engine) markDirty(j *job, urgent bool, now time.Duration) {
	e.seq++
	j.seq = e.seq
	j.urgent = j.urgent || urgent
	if len(e.dirty) == 0 {
		e.dirtySince = now
	}
	e.dirty[j] = struct{}{}
}

// endJob moves a job to a final state and stops its runs.
func (e *Engine) endJob(j *job, state workload.State, now time.Duration) {
	j.cancelled = state == workload.Cancelled
	j.progress.State = state
	switch state {
	case workload.Completed:
		e.stats.JobsCompleted++
	case workload.Failed:
		e.stats.JobsFailed++
	case workload.Cancelled:
		e.stats.JobsCancelled++
		j.cancellation = e.newCancellation(j, now)
	}
	event.JobChanged.Log(e.opts.Log, zap.String("job", j.ID), zap.String("queue", j.Queue), zap.String("state", string(state)),
		zap.Duration("age", now-j.accepted), zap.Int("runs", j.liveRuns))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			e.dequeue(s)
			for _, t := range s.tasks {
				for _, r := range slices.Clone(t.runs) {
					e.stop(r, "job "+string(state), now)
				}
			}
		}
	}
	e.markDirty(j, true, now)
}

// forget removes a job whose end is recorded and that has no runs left.
func (e *Engine) forget(j *job) {
	if j.progress.State.Over() && j.durable >= j.seq && j.liveRuns == 0 {
		delete(e.jobs, j.ID)
		delete(e.dirty, j)
	}
}
