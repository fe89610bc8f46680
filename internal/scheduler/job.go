package scheduler

import (
	"cmp"
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

// occurrence is one execution of a job's steps. A job without a schedule has
// one.
type occurrence struct {
	number int
	// due is when the occurrence became due, in the engine's time.
	due   time.Duration
	steps []*step
	// left counts the steps that are not done.
	left int
}

// step is a step of an occurrence.
type step struct {
	*workload.Step
	job   *job
	occ   *occurrence
	index int
	// waitsFor counts the steps that must be done first.
	waitsFor int
	// tasks holds all tasks of the step. idle counts those that could be
	// started, left those that are not done.
	tasks []*task
	idle  int
	left  int
	// criticalPath is the estimated length of the critical path from the start
	// of this step.
	criticalPath time.Duration
	tickets      *tickets
	reserved     reservation
	// verdicts holds, by worker, what the recommendation service said last. Only
	// long-running steps have them.
	verdicts map[string]verdict
	// requesting is set while a request for tickets is in flight. nextRequest
	// is the earliest time of the next one, and requestOffset counts the
	// workers that earlier requests were about.
	requesting    bool
	nextRequest   time.Duration
	requestOffset int
	// held is set once recovery has kept a task from starting.
	held bool
	// hasSuspects is set once a worker has ended under a task of the step, and
	// apartSince while tasks have only been kept from workers with free capacity to
	// keep suspects apart.
	hasSuspects bool
	apartSince  time.Duration
	// groups holds the results of group.
	groups [4]string
	// gangRetry is the earliest time of the next start of a gang.
	gangRetry time.Duration
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// listedAt is when a worker last listed a run of the task that is not being
	// stopped, or when the task could first be started.
	listedAt time.Duration
	// found is set once a worker has listed a run that a previous owner started.
	found bool
	// lostOn is the worker of the last run that was given up, and lostReason why,
	// empty since the task has started again.
	lostOn, lostReason string
	// lastRun is the highest known run number.
	lastRun  int
	failures int
	runs     []*run
	// settledRuns are the numbers of the runs that have ended or were given up.
	settledRuns []int
	checkpoint  string
	// moved is set once the task was stopped to move to another worker, and
	// movedPercent was its progress then.
	moved        bool
	movedPercent float64
	// notBefore is the earliest time of the next start.
	notBefore time.Duration
	// crashes are the workers that ended under the task, and crashSeq numbers the
	// change of the record that holds the latest one. A gang's are with its first
	// task.
	crashes  []crash
	crashSeq uint64
	// failedOn holds the ids of the workers on which runs failed or stalled.
	failedOn []string
}

// runPhase is the state of a run as far as the engine knows it.
type runPhase int

const (
	// runSent means that the start was sent and its answer is awaited.
	runSent runPhase = iota
	// runUncertain means that the start got no answer: its outcome is unknown.
	runUncertain
	// runConfirmed means that the worker has the run.
	runConfirmed
	// runStopping means that the worker was ordered to stop the run.
	runStopping
)

func (p runPhase) String() string {
	return [...]string{"sent", "uncertain", "confirmed", "stopping"}[p]
}

// run is an execution of a task on a worker.
type run struct {
	task   *task
	number int
	worker *worker
	// order is the order that started the run, nil for an adopted run.
	order *StartOrder
	phase runPhase
	// sentAt is when the start was sent. It is reset when the start turns out
	// to be unanswered. confirmedAt is when the worker last confirmed the run,
	// -1 if it never did.
	sentAt, confirmedAt time.Duration
	deadlineMS          int64
	// stop is the state of its stop orders, and stopReason why it is stopped.
	stop       stopState
	stopReason string
	// startedHere is set once the start was answered by this incarnation of the
	// worker: the clock of a later one starts anew.
	startedHere bool
	// listed is set once a poll has shown the run.
	listed  bool
	percent float64
	// firstPercent is the first progress that was listed, at firstAt, of a run that may
	// have begun with progress.
	firstPercent float64
	firstAt      time.Duration
	// progressAt is when percent last rose.
	progressAt       time.Duration
	load             float64
	throttledPercent int
	throttling       bool
	throttledAt      time.Duration
	sampled          runSample
}

// withdraw keeps the start of the run from being sent, if it was not yet.
func (r *run) withdraw() {
	if r.order != nil {
		r.order.withdrawn.Store(true)
	}
}

// sentToPrevious reports whether the start was sent to a previous incarnation
// of the worker. The current one refuses it once it has answered a poll.
func (r *run) sentToPrevious() bool { return r.order != nil && r.order.Token < r.worker.token }

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}
}

// compare orders the tasks of all jobs.
func (t *task) compare(o *task) int {
	a, b := t.id(), o.id()
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// startable reports whether the task is not done and has no run.
func (t *task) startable() bool { return !t.done && len(t.runs) == 0 }

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
	p.observeJob(spec)
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

// observeJob adds a job to the statistics of its pool and queue.
func (p *pool) observeJob(spec *workload.Job) {
	const memory = 50 // jobs over which the mean is taken
	q := p.queues[spec.Queue]
	if q == nil {
		q = &queueStats{}
		p.queues[spec.Queue] = q
	}
	if !spec.RunsUntilCancelled() {
		p.arrived += spec.Work()
		p.arrivedJobs++
	}
	q.count = min(q.count+1, memory)
	q.work += (spec.Work() - q.work) / q.count
}

// createDueOccurrences creates the occurrences of scheduled jobs that have
// become due.
func (e *Engine) createDueOccurrences(now time.Duration) {
	for _, j := range e.jobs {
		if j.Schedule != nil && j.nextOccurrence < j.Occurrences() {
			e.createJobOccurrences(j, now)
		}
	}
}

// createJobOccurrences creates the occurrences of one scheduled job that have
// become due.
func (e *Engine) createJobOccurrences(j *job, now time.Duration) {
	unix := e.opts.UnixMS(now)
	for j.nextOccurrence < j.Occurrences() {
		due := j.Schedule.StartMS + int64(j.nextOccurrence)*j.Schedule.Interval.Milliseconds()
		if unix < due {
			return
		}
		e.createOccurrence(j, now-time.Duration(unix-due)*time.Millisecond, now)
	}
}

// startedTask returns a task of the job that a worker has started, nil if there is
// none. Its occurrence was due by the clock of a previous owner, which may be ahead,
// and is created if it is not due yet.
func (e *Engine) startedTask(j *job, id workload.TaskID, now time.Duration) *task {
	for j.nextOccurrence <= id.Occurrence && id.Occurrence < j.Occurrences() {
		e.createOccurrence(j, now, now)
	}
	return j.find(id.Occurrence, id.Step, id.Index)
}

// createOccurrence creates the steps of the next occurrence and applies the
// recorded progress.
func (e *Engine) createOccurrence(j *job, due, now time.Duration) {
	o := j.newOccurrence(j.nextOccurrence, due, now)
	j.nextOccurrence++
	j.occurrences[o.number] = o
	j.criticalPath = o.estimateCriticalPaths()
	for _, d := range j.progress.Done {
		if t := j.find(d[0], d[1], d[2]); t != nil && d[0] == o.number {
			e.markDone(t)
		}
	}
	for _, f := range j.progress.Failures {
		if t := j.find(f[0], f[1], f[2]); t != nil && f[0] == o.number {
			t.failures++
			t.lastRun = max(t.lastRun, f[3])
		}
	}
	j.restoreCrashes(o)
	for _, s := range o.steps {
		e.enqueue(s)
	}
}

// newOccurrence returns an occurrence with its steps and tasks, none of them done.
func (j *job) newOccurrence(number int, due, now time.Duration) *occurrence {
	o := &occurrence{number: number, due: due, left: len(j.Steps)}
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &step{Step: spec, job: j, occ: o, index: i, waitsFor: len(slices.Compact(slices.Sorted(slices.Values(spec.After)))), left: spec.Count}
		for n := range spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: n, listedAt: now})
		}
		s.idle = spec.Count
		o.steps = append(o.steps, s)
	}
	return o
}

// estimateCriticalPaths sets the critical path of each step and returns the
// longest.
func (o *occurrence) estimateCriticalPaths() time.Duration {
	var longest time.Duration
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPath += s.Estimate
		for _, a := range s.After {
			o.steps[a].criticalPath = max(o.steps[a].criticalPath, s.criticalPath)
		}
		longest = max(longest, s.criticalPath)
	}
	return longest
}

// find returns a task, nil if there is none yet.
func (j *job) find(occurrence, stepIndex, index int) *task {
	o := j.occurrences[occurrence]
	if o == nil || stepIndex >= len(o.steps) || index >= len(o.steps[stepIndex].tasks) {
		return nil
	}
	return o.steps[stepIndex].tasks[index]
}

// enqueue adds a step to the ready steps of its pool if its dependencies are
// done and it has tasks to start.
func (e *Engine) enqueue(s *step) {
	if s.waitsFor > 0 || s.left == 0 || s.idle == 0 || s.job.ended() {
		return
	}
	p := e.pool(s.job.Pool)
	p.needsPass = true
	if _, ok := p.ready[s]; ok {
		return
	}
	p.ready[s] = struct{}{}
	if s.LongRunning {
		p.readyLongRunning++
	}
}

// dequeue removes a step from the ready steps of its pool.
func (e *Engine) dequeue(s *step) {
	p := e.pool(s.job.Pool)
	if _, ok := p.ready[s]; ok && s.LongRunning {
		p.readyLongRunning--
	}
	delete(p.ready, s)
}

// ended reports whether the job is cancelled or over, so that none of its tasks
// may start any more.
func (j *job) ended() bool { return j.cancelled || j.progress.State.Over() }

// markDone marks a task as finished. After the last task of a step it enqueues
// the steps that depend on it.
func (e *Engine) markDone(t *task) {
	if t.done {
		return
	}
	s := t.step
	if t.startable() {
		s.idle--
	}
	t.done = true
	s.left--
	if s.idle == 0 {
		e.dequeue(s)
	}
	if s.left > 0 {
		return
	}
	s.occ.left--
	for _, later := range s.occ.steps {
		if slices.Contains(later.After, s.index) {
			later.waitsFor--
			e.enqueue(later)
		}
	}
	if s.occ.left == 0 {
		s.job.doneOccurrences++
	}
}

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
