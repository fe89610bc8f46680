package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

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
	// openCrashes counts the runs that were given up with their worker before their
	// starts were answered.
	openCrashes int
	// failedOn holds the ids of the workers on which runs failed or stalled.
	failedOn []string
}

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

// startedTask returns a task of the job that a worker has started, nil if there is
// none. Its occurrence was due by the clock of a previous owner, which may be ahead,
// and is created if it is not due yet.
func (e *Engine) startedTask(j *job, id workload.TaskID, now time.Duration) *task {
	for j.nextOccurrence <= id.Occurrence && id.Occurrence < j.Occurrences() {
		e.createOccurrence(j, now, now)
	}
	return j.find(id.Occurrence, id.Step, id.Index)
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
