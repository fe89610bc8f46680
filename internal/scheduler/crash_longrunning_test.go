package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// mayMissRun is the longest time that a long-running task may have no run.
	mayMissRun = 6 * time.Second
	// pausedStarts bounds the starts of a task in pausedFor that crashes each worker:
	// a few at first, and one each longestPause.
	longestPause = 4 * time.Second
	pausedFor    = 40 * time.Second
	pausedStarts = 6 + int(pausedFor/longestPause)
	// sparedStarts bounds the starts of a task beside it, which may lose its worker
	// until the other one starts on empty workers only.
	sparedStarts = 1 + maxCrashes
)

// newLongRunningSimulation returns a simulation in which the tasks of long-running
// steps run until they are stopped.
func newLongRunningSimulation(t testingT, workers int) *crashSimulation {
	c := newCrashSimulation(t, workers)
	for _, f := range c.workers {
		f.duration = forever
	}
	return c
}

// spreadJob returns a long-running job whose tasks are on a worker each.
func spreadJob(n, count int) *workload.Job {
	job := longRunningJob(n, count, 2)
	job.Steps[0].MaxPerWorker, job.Steps[0].MaxUnavailable = 1, 1
	return job
}

// submitAndLoseWorkers submits a job of five tasks and, when they are at work, crashes
// the worker of the first one. Each worker that starts it crashes from then on, until
// the given number have.
func (c *crashSimulation) submitAndLoseWorkers(crashes int) (*workload.Job, workload.TaskID) {
	job := spreadJob(1, 5)
	task := workload.TaskID{Job: job.ID}
	c.submit(c.owner, job)
	c.play(3 * time.Second)
	c.crashUnder(task, 0)
	c.crashes = func(other workload.TaskID) bool { return other == task && c.crashed[task] < crashes }
	return job, task
}

// checkUndisturbed fails the test unless the job goes on and the tasks of its first
// step, from the given one on, have been started as often as permitted at most.
func (c *crashSimulation) checkUndisturbed(t *testing.T, job *workload.Job, from, starts int) {
	t.Helper()
	c.check()
	if got := c.state(job.ID); got.Over() {
		t.Errorf("the job is %q, though nobody has cancelled it", got)
	}
	for i := from; i < job.Steps[0].Count; i++ {
		task := workload.TaskID{Job: job.ID, Index: i}
		if got := len(c.records[job.ID].starts[task]); got == 0 || got > starts {
			t.Errorf("task %v has been started %d times, want %d at most", task, got, starts)
		}
	}
}

// The workers of one task crash one after the other, soon after its starts.
func TestOtherTasksOfALongRunningJobGoOnWhileOneLosesItsWorkers(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		for _, after := range crashDelays {
			for _, changes := range []bool{false, true} {
				t.Run(fmt.Sprintf("new ids %v, crash after %v, changes of owner %v", newIDs, after, changes), func(t *testing.T) {
					t.Parallel()
					c := newLongRunningSimulation(t, 9)
					c.newIDs, c.delay = newIDs, after
					job, task := c.submitAndLoseWorkers(5)
					last := c.crashed[task]
					for end := c.now + 40*time.Second; c.now < end; c.play(testTick) {
						if changes && c.crashed[task] > last {
							last = c.crashed[task]
							c.succeed()
						}
					}
					c.checkUndisturbed(t, job, 1, 1)
					if !c.hasRunOf(task) || c.crashed[task] != 5 {
						t.Errorf("the task has a run: %v, after %d crashes; want one after 5", c.hasRunOf(task), c.crashed[task])
					}
				})
			}
		}
	}
}

// hasRunOf reports whether a worker runs the task.
func (c *crashSimulation) hasRunOf(task workload.TaskID) bool {
	for _, f := range c.workers {
		for key := range f.running {
			if key.task == task {
				return true
			}
		}
	}
	return false
}

// Six workers in a row crash under a task.
func TestLongRunningTaskWhoseWorkersCrashedStartsAgainInTime(t *testing.T) {
	for _, hostLists := range []bool{true, false} {
		c := newLongRunningSimulation(t, 9)
		c.newIDs, c.hostLists = true, hostLists
		job, task := c.submitAndLoseWorkers(6)
		longest, since := time.Duration(0), c.now
		for end := c.now + 60*time.Second; c.now < end; c.play(testTick) {
			if c.hasRunOf(task) {
				since = c.now
			}
			longest = max(longest, c.now-since)
		}
		c.checkUndisturbed(t, job, 1, 1)
		if longest > mayMissRun {
			t.Errorf("the task had no run for %v, want %v at most (host lists %v)", longest, mayMissRun, hostLists)
		}
	}
}

// A task crashes each worker that starts it, beside healthy tasks of its own job and of
// another one.
func TestLongRunningTaskThatCrashesItsWorkersSparesOthers(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		for _, delay := range crashDelays {
			c := newLongRunningSimulation(t, 9)
			c.newIDs, c.delay = newIDs, delay
			job, other := spreadJob(1, 3), spreadJob(2, 3)
			task := workload.TaskID{Job: job.ID}
			c.crashes = func(id workload.TaskID) bool { return id == task }
			c.submit(c.owner, other)
			c.play(2 * time.Second)
			c.submit(c.owner, job)
			c.play(pausedFor)
			c.checkUndisturbed(t, job, 1, sparedStarts)
			c.checkUndisturbed(t, other, 0, sparedStarts)
			if n := len(c.records[job.ID].starts[task]); n > pausedStarts {
				t.Errorf("the task is started %d times in %v, want %d at most", n, pausedFor, pausedStarts)
			}
			if len(c.records[job.ID].starts[task]) < 5 {
				t.Errorf("the task is started %d times only", len(c.records[job.ID].starts[task]))
			}
		}
	}
}

// The last step of a job crashes its workers while long-running tasks of the job are
// at work.
func TestLongRunningTasksGoOnBesideAStepThatCrashesItsWorkers(t *testing.T) {
	for _, kind := range []struct {
		name string
		set  func(*workload.Step)
	}{
		{"batch", func(*workload.Step) {}},
		{"gang", func(s *workload.Step) { s.Gang = true }},
		{"copies", func(s *workload.Step) { s.Speculative = true }},
	} {
		t.Run(kind.name, func(t *testing.T) {
			c := newCrashSimulation(t, 9)
			first, last := jobOf(1, 1, 2).Steps[0], jobOf(1, 2, 5).Steps[0]
			kind.set(&last)
			last.After = []int{1}
			job := spreadJob(1, 3)
			job.Steps = append(job.Steps, first, last)
			c.crashes = func(id workload.TaskID) bool { return id.Step == 2 }
			for _, f := range c.workers {
				f.duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
					if id.Step == 1 {
						return 2 * time.Second, platform.EndDone
					}
					return forever(id)
				}
			}
			c.submit(c.owner, job)
			c.endGangs()
			c.play(pausedFor)
			c.checkUndisturbed(t, job, 0, sparedStarts)
			for i := range last.Count {
				task := workload.TaskID{Job: job.ID, Step: 2, Index: i}
				if n := len(c.records[job.ID].starts[task]); n < 4 || n > pausedStarts {
					t.Errorf("%v is started %d times in %v, want 4 to %d", task, n, pausedFor, pausedStarts)
				}
			}
			c.owner.Cancel(job.ID, 1, c.now)
			c.play(2 * time.Second)
			count := func() (n int) {
				for _, list := range c.records[job.ID].starts {
					n += len(list)
				}
				return n
			}
			starts := count()
			c.play(2 * longestPause)
			if n := count() - starts; n != 0 || c.hasRun(job) || c.state(job.ID) != workload.Cancelled {
				t.Errorf("%d starts after the cancellation, still running: %v, state %q", n, c.hasRun(job), c.state(job.ID))
			}
		})
	}
}
