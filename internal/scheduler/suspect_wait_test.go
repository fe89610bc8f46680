package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// longestWait plays until the job is over, and returns the longest time in which
// its only task had no run.
func (c *crashSimulation) longestWait(job *workload.Job, limit time.Duration) time.Duration {
	longest, since := time.Duration(0), c.now
	for end := c.now + limit; c.now < end && !c.state(job.ID).Over(); {
		c.play(testTick)
		if c.hasRun(job) {
			since = c.now
		}
		longest = max(longest, c.now-since)
	}
	return longest
}

// crashTwiceUnder crashes the worker of a task twice, each time after it has run for
// a while.
func (c *crashSimulation) crashTwiceUnder(task workload.TaskID) {
	for range 2 {
		c.play(5 * time.Second)
		for _, f := range sorted(c.workers) {
			for key := range f.running {
				if key.task == task && f.up {
					c.crashWorker(f)
				}
			}
		}
	}
}

// Two workers crash at random under a task. Every other worker runs one small task
// of another job for a long time and has three quarters of its capacity free.
func TestTaskWhoseWorkersCrashedDoesNotWaitForLongTasks(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 6)
		c.newIDs, c.downtime = newIDs, time.Hour
		long := func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Minute, platform.EndDone }
		for _, f := range c.workers {
			f.duration = long
		}
		beside := jobOf(1, 6, 1)
		beside.Steps[0].MaxPerWorker, beside.Steps[0].Estimate = 1, time.Minute
		c.submit(c.owner, beside)
		c.play(time.Second)
		job := jobOf(2, 1, 2)
		job.Steps[0].Estimate = time.Minute
		c.submit(c.owner, job)
		c.crashTwiceUnder(workload.TaskID{Job: job.ID})
		wait := c.longestWait(job, 70*time.Second)
		c.check()
		if wait > 3*time.Second {
			t.Errorf("the task waits for %v, state %q; 4 workers have 7 of 8 cores free (new ids %v)", wait, c.state(job.ID), newIDs)
		}
	}
}

// The worker that is to become free for a suspect is the only one with the label
// that a long-running task requires.
func TestLongRunningTaskDoesNotWaitForAWorkerHeldForASuspect(t *testing.T) {
	c := newCrashSimulation(t, 6)
	c.downtime = time.Hour
	for _, f := range c.workers {
		f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Minute, platform.EndDone }
	}
	beside := jobOf(1, 6, 1)
	beside.Steps[0].MaxPerWorker, beside.Steps[0].Estimate = 1, time.Minute
	c.submit(c.owner, beside)
	c.play(time.Second)
	job := jobOf(2, 1, 2)
	job.Steps[0].Estimate = time.Minute
	c.submit(c.owner, job)
	c.crashTwiceUnder(workload.TaskID{Job: job.ID})
	c.play(3 * time.Second)
	lasting := longRunningJob(3, 1, 2)
	lasting.Steps[0].Requires = "held"
	labelled := ""
	for id, w := range c.owner.workers {
		if c.workers[id].up && (labelled == "" || w.heldForSuspects(c.now)) {
			labelled = id
		}
	}
	c.workers[labelled].Labels = []string{"held", "r1"}
	c.owner.discover()
	c.submit(c.owner, lasting)
	submitted := c.now
	for c.now < submitted+40*time.Second && !c.hasRun(lasting) {
		c.play(testTick)
	}
	c.check()
	if wait := c.now - submitted; wait > 6*time.Second {
		t.Errorf("the long-running task waits for %v, though the worker has 7 of 8 cores free", wait)
	}
}

// Three workers are lost for good right after the start of a task, and no host list
// ever shows them. The last lease, the entry and the permitted time take 14 s.
func TestTaskDoesNotWaitForeverForTheFateOfLostWorkers(t *testing.T) {
	c := newCrashSimulation(t, 8)
	c.downtime, c.hostLists = time.Hour, false
	for _, f := range c.workers {
		f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Second, platform.EndDone }
	}
	job := jobOf(1, 1, 2)
	task := workload.TaskID{Job: job.ID}
	c.crashes = func(other workload.TaskID) bool { return other == task && c.crashed[task] < 3 }
	for _, f := range c.workers {
		c.addHost(f)
	}
	c.submit(c.owner, job)
	for c.crashed[task] < 3 && c.now < 60*time.Second {
		c.play(testTick)
	}
	wait := c.longestWait(job, 60*time.Second)
	c.check()
	if wait > 14*time.Second {
		t.Errorf("the task waits for %v, state %q, %d crashes", wait, c.state(job.ID), c.crashed[task])
	}
}

// crashUnder crashes the worker of a task that has run for a while.
func (c *crashSimulation) crashUnder(task workload.TaskID, after time.Duration) {
	for end := c.now + 20*time.Second; c.now < end; c.play(testTick) {
		for _, f := range sorted(c.workers) {
			for key, r := range f.running {
				if key.task == task && f.up && c.now-r.startedAt >= after {
					c.crashWorker(f)
					return
				}
			}
		}
	}
}

// Two workers crash at random under a gang with a small member on each worker.
func TestTasksDoNotWaitForAGangWhoseWorkersCrashed(t *testing.T) {
	c := newCrashSimulation(t, 4)
	c.downtime = time.Second
	for _, f := range c.workers {
		f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
			if task.Job == jobOf(1, 1, 1).ID {
				return 30 * time.Second, platform.EndDone
			}
			return time.Second, platform.EndDone
		}
	}
	gang := jobOf(1, 4, 1)
	gang.Steps[0].Gang, gang.Steps[0].MaxPerWorker, gang.Steps[0].Estimate = true, 1, 30*time.Second
	c.submit(c.owner, gang)
	c.endGangs()
	for range 2 {
		c.crashUnder(workload.TaskID{Job: gang.ID}, 3*time.Second)
	}
	c.play(4 * time.Second)
	if !c.hasRun(gang) {
		t.Fatalf("the gang has no run, state %q", c.state(gang.ID))
	}
	job := jobOf(2, 1, 1)
	c.submit(c.owner, job)
	wait := c.longestWait(job, 60*time.Second)
	c.check()
	if wait > 3*time.Second {
		t.Errorf("a task waits for %v beside a gang (%s) that leaves 7 of 8 cores of each worker free", wait, c.state(gang.ID))
	}
}

// Workers crash twice at random under small tasks of as many jobs as the pool has
// workers.
func TestTasksDoNotWaitForJobsWhoseWorkersCrashed(t *testing.T) {
	const workers = 4
	c := newCrashSimulation(t, workers)
	c.downtime = time.Second
	for _, f := range c.workers {
		f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
			if task.Job == jobOf(99, 1, 1).ID {
				return time.Second, platform.EndDone
			}
			return 30 * time.Second, platform.EndDone
		}
	}
	for i := range workers {
		job := jobOf(i+1, 1, 1)
		job.Steps[0].Estimate = 30 * time.Second
		c.submit(c.owner, job)
	}
	for range 2 {
		c.crashUnder(workload.TaskID{Job: jobOf(1, 1, 1).ID}, 3*time.Second)
	}
	c.play(5 * time.Second)
	job := jobOf(99, 1, 1)
	c.submit(c.owner, job)
	wait := c.longestWait(job, 60*time.Second)
	c.check()
	if wait > 3*time.Second {
		t.Errorf("a task waits for %v, though each of %d workers has 7 of 8 cores free", wait, workers)
	}
}
