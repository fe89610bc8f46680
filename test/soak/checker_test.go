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
	mu    sync.Mutex
	jobs  map[string]*jobSeen
	found []string
}

// jobSeen is what was seen of a job.
type jobSeen struct {
	steps []step
	// poison jobs have a task that fails each time.
	poison bool
	// lasting jobs run until they are cancelled.
	lasting               bool
	accepted, refusedOnly bool
	cancelSent            bool
	cancelled             time.Time
	tasks                 map[workload.TaskID]*taskSeen
	state                 string
}

// step is a step as it was submitted.
type step struct {
	count, after int // after is the step before it, -1 for none
}

// taskSeen is what was seen of a task.
type taskSeen struct {
	running map[string]bool
	done    bool
	noted   time.Time
	// failures counts failed runs that were noted.
	failures int
}

func newChecker() *checker { return &checker{jobs: map[string]*jobSeen{}} }

func (c *checker) fault(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

func (c *checker) add(id string, j *jobSeen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.tasks, j.refusedOnly = map[workload.TaskID]*taskSeen{}, true
	c.jobs[id] = j
}

func (c *checker) update(id string, fn func(*jobSeen)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.jobs[id])
}

func (j *jobSeen) task(id workload.TaskID) *taskSeen {
	t := j.tasks[id]
	if t == nil {
		t = &taskSeen{running: map[string]bool{}}
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
		c.fault("UNASKED: %v run %d on %s, which nobody submitted", o.Task, o.Run, o.Worker)
		return
	}
	t := j.task(o.Task)
	key := fmt.Sprintf("%s run %d", o.Worker, o.Run)
	switch o.Kind {
	case standin.RunStarted:
		c.started(j, t, o)
		t.running[key] = true
	case standin.RunLost:
		delete(t.running, key)
	case standin.RunEnded:
		delete(t.running, key)
		t.done = t.done || o.End == platform.EndDone
	case standin.EndAcknowledged:
		switch {
		case o.End == platform.EndDone && t.noted.IsZero():
			t.noted = o.At
		case o.End == platform.EndFailed:
			t.failures++
		}
	}
}

// started holds a start against the rules.
func (c *checker) started(j *jobSeen, t *taskSeen, o standin.Observation) {
	for other := range t.running {
		c.fault("TWICE: %v run %d starts on %s while it runs on %s", o.Task, o.Run, o.Worker, other)
	}
	if !t.noted.IsZero() && !j.lasting {
		c.fault("TWICE: %v run %d starts on %s, %v after its end was noted", o.Task, o.Run, o.Worker, o.At.Sub(t.noted))
	}
	if after := j.steps[o.Task.Step].after; after >= 0 {
		for i := range j.steps[after].count {
			if !j.task(workload.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: after, Index: i}).done {
				c.fault("ORDER: %v starts before task %d of step %d is done", o.Task, i, after)
				break
			}
		}
	}
	if t.failures >= maxAttempts {
		c.fault("BUDGET: %v run %d starts after %d failures", o.Task, o.Run, t.failures)
	}
	if !j.cancelled.IsZero() && o.At.Sub(j.cancelled) > cancelGrace {
		c.fault("UNASKED: %v starts %v after its cancellation", o.Task, o.At.Sub(j.cancelled))
	}
	if o.Spec != spec {
		c.fault("UNASKED: %v starts with specification %q", o.Task, o.Spec)
	}
}

// shown takes in the state that a caller was told.
func (c *checker) shown(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.state = state
	switch state {
	case "completed":
		for i, s := range j.steps {
			for k := range s.count {
				if !j.task(workload.TaskID{Job: id, Step: i, Index: k}).done {
					c.fault("MIXED: job %s is shown as completed, task %d of step %d is not done", id, k, i)
				}
			}
		}
	case "failed":
		if !j.poison {
			c.fault("LOST: job %s is shown as failed without cause", id)
		}
	case "cancelled":
		if !j.cancelSent {
			c.fault("LOST: job %s is shown as cancelled, nobody did that", id)
		}
	}
}

// finish checks what must hold when all is over.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		over := j.state == "completed" || j.state == "failed" || j.state == "cancelled"
		if j.accepted && !over {
			c.fault("LOST: job %s was accepted and is %q at the end", id, j.state)
		}
		if j.refusedOnly && len(j.tasks) > 0 {
			c.fault("REFUSED: a task of job %s ran, though every try was refused", id)
		}
	}
	return c.found
}
