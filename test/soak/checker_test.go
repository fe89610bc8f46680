package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
	"github.com/egretpitch/egretpitch/platform/standin"
)

// cancelGrace is how long after the confirmed cancellation of a job the
// platform's specification still allows its tasks to be started.
const cancelGrace = 3 * time.Second

// runGrace is how long after that a task may run on a worker that cannot be reached:
// the longest lease.
const runGrace = 6 * time.Second

// checker checks what callers and workers observe against the platform's rules,
// and collects the violations.
type checker struct {
	mu         sync.Mutex
	jobs       map[string]*jobRecord
	violations []string
	// closed counts the connections that ended with a request, by how.
	closed map[string]int
	// unauthorized counts the requests with a wrong key that were answered 401.
	unauthorized int
	// roomSince is since when the long-running tasks without a run have capacity
	// twice over, and longestIdle the longest time of any without a run.
	roomSince   time.Time
	longestIdle time.Duration
	// quotas are those that count for starts now, and startsAtQuota the number of
	// starts with which a team reached its quota, by team.
	quotas        [2]int
	startsAtQuota [2]int
}

// jobRecord holds a submitted job and what callers and workers observed of it.
type jobRecord struct {
	steps []step
	// poison is set for a job with a task whose every run fails.
	poison bool
	// givenUp is set once two workers have crashed under one of its tasks: then the
	// job may be shown as failed.
	givenUp bool
	// longRunning is set for a job that runs until it is cancelled.
	longRunning bool
	// accepted is set once a submission is confirmed. allRefused is set while
	// every submission so far was refused, which means that no task may run.
	accepted, allRefused bool
	cancelSent           bool
	cancelConfirmed      time.Time // zero until a cancellation is confirmed
	tasks                map[workload.TaskID]*taskRecord
	state                string // the state last reported to a caller
}

// step is a step of a submitted job.
type step struct {
	count, after int // after is the index of the step that must end first, -1 for none
}

// taskRecord holds what workers observed of a task.
type taskRecord struct {
	running map[string]bool // the runs in progress, by worker and run number
	done    bool            // a run succeeded
	// successAcknowledged is when a node first acknowledged a successful run,
	// zero before that.
	successAcknowledged time.Time
	// acknowledgedFailures counts the failed runs that a node acknowledged.
	acknowledgedFailures int
	// crashes counts the workers that crashed under it.
	crashes int
	// lastWorker is where it ran last, startedAt when that run began, and idleSince when
	// it ended. stoppedAtWork is set if it had survived its start and was stopped.
	lastWorker           string
	startedAt, idleSince time.Time
	stoppedAtWork        bool
}

func newChecker() *checker {
	return &checker{jobs: map[string]*jobRecord{}, closed: map[string]int{}, quotas: startQuotas}
}

// addViolation records a violation of a rule. The caller holds c.mu.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addJob registers a job, before its first submission.
func (c *checker) addJob(id string, j *jobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.tasks, j.allRefused = map[workload.TaskID]*taskRecord{}, true
	c.jobs[id] = j
}

// update calls fn with the record of a job while it holds c.mu.
func (c *checker) update(id string, fn func(*jobRecord)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.jobs[id])
}

// task returns the record of a task, and creates it if there is none.
func (j *jobRecord) task(id workload.TaskID) *taskRecord {
	t := j.tasks[id]
	if t == nil {
		t = &taskRecord{running: map[string]bool{}}
		j.tasks[id] = t
	}
	return t
}

// observe records an event on a worker, and checks it if it is the start of a run.
func (c *checker) observe(o standin.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[o.Task.Job]
	if j == nil {
		c.addViolation("UNASKED: %v run %d on %s belongs to a job that was not submitted", o.Task, o.Run, o.Worker)
		return
	}
	t := j.task(o.Task)
	key := fmt.Sprintf("%s run %d", o.Worker, o.Run)
	switch o.Kind {
	case standin.CapacityExceeded:
		c.addViolation("LIMIT: %v run %d starts on %s beyond the capacity of the worker", o.Task, o.Run, o.Worker)
	case standin.RunStarted:
		c.checkStart(j, t, o)
		t.running[key], t.lastWorker = true, o.Worker
		t.startedAt, t.stoppedAtWork = o.At, false
	case standin.RunLost:
		delete(t.running, key)
		t.idleSince = o.At
		if o.Crashed {
			t.crashes++
			j.givenUp = j.givenUp || t.crashes >= 2
		}
	case standin.RunEnded:
		delete(t.running, key)
		t.idleSince = o.At
		t.done = t.done || o.End == platform.EndDone
		t.stoppedAtWork = o.End == platform.EndStopped && o.At.Sub(t.startedAt) > surviveTime
	case standin.EndAcknowledged:
		switch {
		case o.End == platform.EndDone && t.successAcknowledged.IsZero():
			t.successAcknowledged = o.At
		case o.End == platform.EndFailed:
			t.acknowledgedFailures++
		}
	}
}

// checkStart checks the start of a run. The caller holds c.mu.
func (c *checker) checkStart(j *jobRecord, t *taskRecord, o standin.Observation) {
	for other := range t.running {
		c.addViolation("TWICE: %v run %d starts on %s while the task runs on %s", o.Task, o.Run, o.Worker, other)
	}
	if !t.successAcknowledged.IsZero() && !j.longRunning {
		c.addViolation("TWICE: %v run %d starts on %s, %v after a successful run was acknowledged", o.Task, o.Run, o.Worker, o.At.Sub(t.successAcknowledged))
	}
	if after := j.steps[o.Task.Step].after; after >= 0 {
		for i := range j.steps[after].count {
			if !j.task(workload.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: after, Index: i}).done {
				c.addViolation("ORDER: %v starts before task %d of step %d is done", o.Task, i, after)
				break
			}
		}
	}
	if t.acknowledgedFailures >= maxAttempts {
		c.addViolation("BUDGET: %v run %d starts after %d acknowledged failures", o.Task, o.Run, t.acknowledgedFailures)
	}
	if !j.cancelConfirmed.IsZero() && o.At.Sub(j.cancelConfirmed) > cancelGrace {
		c.addViolation("UNASKED: %v starts %v after the cancellation of its job was confirmed", o.Task, o.At.Sub(j.cancelConfirmed))
	}
	if o.Spec != spec {
		c.addViolation("UNASKED: %v starts with specification %q", o.Task, o.Spec)
	}
	c.checkQuota(o)
}

// observeState records and checks the state of a job that was reported to a
// caller.
func (c *checker) observeState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.state = state
	switch state {
	case "completed":
		for i, s := range j.steps {
			for k := range s.count {
				if !j.task(workload.TaskID{Job: id, Step: i, Index: k}).done {
					c.addViolation("MIXED: job %s is reported as completed, but task %d of step %d is not done", id, k, i)
				}
			}
		}
	case "failed":
		if !j.poison && !j.givenUp {
			c.addViolation("LOST: job %s is reported as failed, but none of its tasks is made to fail or has lost two workers", id)
		}
		for task, t := range j.tasks {
			if j.longRunning && !j.cancelSent && t.stoppedAtWork {
				c.addViolation("AVAIL: job %s is reported as failed, and task %v was stopped while it was at work", id, task)
			}
		}
	case "cancelled":
		if !j.cancelSent {
			c.addViolation("LOST: job %s is reported as cancelled, but no cancellation was sent", id)
		}
	}
}

// confirmCancellation records that a cancellation was answered with the given status.
func (c *checker) confirmCancellation(id string, status int) {
	c.update(id, func(j *jobRecord) {
		j.cancelConfirmed = time.Now()
		if j.accepted && status == http.StatusGone {
			c.addViolation("LOST: accepted job %s is unknown to its cancellation", id)
		}
	})
}

// finish checks that every accepted job ended, that no refused job ran and that no
// cancelled one runs on, and returns all violations of the test.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		ended := j.state == "completed" || j.state == "failed" || j.state == "cancelled"
		if cancelled := time.Since(j.cancelConfirmed); !j.cancelConfirmed.IsZero() && cancelled > cancelGrace+runGrace {
			for task, t := range j.tasks {
				if len(t.running) > 0 {
					c.addViolation("UNASKED: %v runs on, %v after the cancellation of its job was confirmed", task, cancelled)
				}
			}
		}
		if j.accepted && !ended {
			c.addViolation("LOST: job %s was accepted and is %q at the end", id, j.state)
		}
		if j.allRefused && len(j.tasks) > 0 {
			c.addViolation("REFUSED: a task of job %s ran, though every submission was refused", id)
		}
	}
	return c.violations
}
