package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
	"github.com/egretpitch/egretpitch/platform/standin"
)

// cancelGrace is how long after its cancellation was confirmed a job's tasks
// may still be started, by the platform's pages.
const cancelGrace = 3 * time.Second

// checker holds what callers and workers saw against the platform's rules.
type checker struct {
	mu         sync.Mutex
	jobs       map[string]*jobRecord
	violations []string
}

// jobRecord is what was seen of a job.
type jobRecord struct {
	steps []step
	// poison jobs have a task that fails each time.
	poison bool
	// longRunning jobs run until they are cancelled.
	longRunning          bool
	accepted, allRefused bool
	cancelSent           bool
	cancelConfirmed      time.Time
	tasks                map[workload.TaskID]*taskRecord
	state                string
}

// step is a step as it was submitted.
type step struct {
	count, after int // after is the step before it, -1 for none
}

// taskRecord is what was seen of a task.
type taskRecord struct {
	running             map[string]bool
	done                bool
	successAcknowledged time.Time
	// acknowledgedFailures counts failed runs that were noted.
	acknowledgedFailures int
}

func newChecker() *checker { return &checker{jobs: map[string]*jobRecord{}} }

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) addJob(id string, j *jobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.tasks, j.allRefused = map[workload.TaskID]*taskRecord{}, true
	c.jobs[id] = j
}

func (c *checker) update(id string, fn func(*jobRecord)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.jobs[id])
}

func (j *jobRecord) task(id workload.TaskID) *taskRecord {
	t := j.tasks[id]
	if t == nil {
		t = &taskRecord{running: map[string]bool{}}
		j.tasks[id] = t
	}
	return t
}

// observe takes in what a worker tells.
func (c *checker) observe(o standin.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[o.Task.Job]
	if j == nil {
		c.addViolation("UNASKED: %v run %d on %s, which nobody submitted", o.Task, o.Run, o.Worker)
		return
	}
	t := j.task(o.Task)
	key := fmt.Sprintf("%s run %d", o.Worker, o.Run)
	switch o.Kind {
	case standin.RunStarted:
		c.checkStart(j, t, o)
		t.running[key] = true
	case standin.RunLost:
		delete(t.running, key)
	case standin.RunEnded:
		delete(t.running, key)
		t.done = t.done || o.End == platform.EndDone
	case standin.EndNoted:
		switch {
		case o.End == platform.EndDone && t.successAcknowledged.IsZero():
			t.successAcknowledged = o.At
		case o.End == platform.EndFailed:
			t.acknowledgedFailures++
		}
	}
}

// checkStart holds a start against the rules.
func (c *checker) checkStart(j *jobRecord, t *taskRecord, o standin.Observation) {
	for other := range t.running {
		c.addViolation("TWICE: %v run %d starts on %s while it runs on %s", o.Task, o.Run, o.Worker, other)
	}
	if !t.successAcknowledged.IsZero() && !j.longRunning {
		c.addViolation("TWICE: %v run %d starts on %s, %v after its end was noted", o.Task, o.Run, o.Worker, o.At.Sub(t.successAcknowledged))
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
		c.addViolation("BUDGET: %v run %d starts after %d failures", o.Task, o.Run, t.acknowledgedFailures)
	}
	if !j.cancelConfirmed.IsZero() && o.At.Sub(j.cancelConfirmed) > cancelGrace {
		c.addViolation("UNASKED: %v starts %v after its cancellation", o.Task, o.At.Sub(j.cancelConfirmed))
	}
	if o.Spec != spec {
		c.addViolation("UNASKED: %v starts with specification %q", o.Task, o.Spec)
	}
}

// observeState takes in the state that a caller was told.
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
					c.addViolation("MIXED: job %s is shown as completed, task %d of step %d is not done", id, k, i)
				}
			}
		}
	case "failed":
		if !j.poison {
			c.addViolation("LOST: job %s is shown as failed without cause", id)
		}
	case "cancelled":
		if !j.cancelSent {
			c.addViolation("LOST: job %s is shown as cancelled, nobody did that", id)
		}
	}
}

// finish checks what must hold when all is over.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		ended := j.state == "completed" || j.state == "failed" || j.state == "cancelled"
		if j.accepted && !ended {
			c.addViolation("LOST: job %s was accepted and is %q at the end", id, j.state)
		}
		if j.allRefused && len(j.tasks) > 0 {
			c.addViolation("REFUSED: a task of job %s ran, though every try was refused", id)
		}
	}
	return c.violations
}
