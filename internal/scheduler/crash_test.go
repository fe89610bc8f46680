package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// crashDelays are times from a start to the crash: before the answer to the start
// and after it.
var crashDelays = []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond}

// forEachReturn runs a test for both ways in which a host comes back.
func forEachReturn(t *testing.T, test func(t *testing.T, newIDs bool, delay time.Duration)) {
	for _, newIDs := range []bool{false, true} {
		for _, delay := range crashDelays {
			t.Run(fmt.Sprintf("new ids %v, crash after %v", newIDs, delay), func(t *testing.T) {
				t.Parallel()
				test(t, newIDs, delay)
			})
		}
	}
}

func TestTaskDoesNotCrashWorkerAfterWorker(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		for _, down := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
			c := newCrashSimulation(t, 8)
			c.newIDs, c.delay, c.downtime = newIDs, delay, down
			job := jobOf(1, 1, 2)
			c.crashes = isTaskOf(job)
			c.submit(c.owner, job)
			c.play(40 * time.Second)
			c.checkGivenUp(t, job)
		}
	})
}

// The fleet service does not answer for a while.
func TestTaskDoesNotCrashWorkerAfterWorkerWithoutHostLists(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		c := newCrashSimulation(t, 8)
		c.newIDs, c.delay, c.hostLists = newIDs, delay, false
		job := jobOf(1, 1, 2)
		c.crashes = isTaskOf(job)
		c.submit(c.owner, job)
		c.play(60 * time.Second)
		c.hostLists = true
		c.play(20 * time.Second)
		c.checkGivenUp(t, job)
	})
}

func TestTasksBesideOneThatCrashesWorkersComplete(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		c := newCrashSimulation(t, 5)
		c.newIDs, c.delay = newIDs, delay
		deadly := jobOf(9, 2, 2)
		c.crashes = isTaskOf(deadly)
		var innocent []*workload.Job
		for i := range 8 {
			innocent = append(innocent, jobOf(i+1, 2, 2))
		}
		for i, job := range innocent {
			if i == 4 {
				c.submit(c.owner, deadly)
			}
			c.submit(c.owner, job)
			c.play(20 * time.Millisecond)
		}
		c.play(60 * time.Second)
		c.checkGivenUp(t, deadly)
		for _, job := range innocent {
			if got := c.state(job.ID); got != workload.Completed {
				t.Errorf("state of a job that crashes nothing is %q, want completed", got)
			}
		}
	})
}

// Jobs arrive all the time, and a tenth of them crash their workers.
func TestTasksCompleteWhileJobsThatCrashWorkersArrive(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 9)
		c.newIDs = newIDs
		var deadly, innocent []*workload.Job
		for i := range 60 {
			job := jobOf(i+1, 3, 2)
			if i%10 == 5 {
				deadly = append(deadly, job)
			} else {
				innocent = append(innocent, job)
			}
		}
		c.crashes = isTaskOf(deadly...)
		for i := range 60 {
			for _, job := range append(deadly, innocent...) {
				if job.ID == jobOf(i+1, 1, 1).ID {
					c.submit(c.owner, job)
				}
			}
			c.play(150 * time.Millisecond)
		}
		c.play(40 * time.Second)
		for _, job := range deadly {
			c.checkGivenUp(t, job)
		}
		if got := c.owner.Stats().JobsFailed; got != int64(len(deadly)) {
			t.Errorf("%d jobs are counted as failed, want %d", got, len(deadly))
		}
		completed := 0
		for _, job := range innocent {
			if c.state(job.ID) == workload.Completed {
				completed++
			}
		}
		if completed != len(innocent) {
			t.Errorf("%d of %d jobs that crash nothing are completed", completed, len(innocent))
		}
	}
}

// The worker crashes long after the start, beside tasks that have just started.
func TestTaskThatCrashesWorkersLateIsGivenUp(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		for _, delay := range []time.Duration{900 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			c := newCrashSimulation(t, 9)
			c.newIDs, c.delay = newIDs, delay
			var innocent []*workload.Job
			deadly := jobOf(99, 2, 2)
			c.crashes = isTaskOf(deadly)
			c.submit(c.owner, deadly)
			for i := range 90 {
				job := jobOf(i+1, 3, 2)
				innocent = append(innocent, job)
				c.submit(c.owner, job)
				c.play(200 * time.Millisecond)
			}
			c.play(30 * time.Second)
			c.checkGivenUp(t, deadly)
			for _, job := range innocent {
				if got := c.state(job.ID); got != workload.Completed {
					t.Errorf("state of a job that crashes nothing is %q, want completed", got)
				}
			}
		}
	}
}

// Workers crash at random, some of them twice under the same tasks.
func TestTaskIsNotGivenUpForCrashesInCompany(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 4)
		c.newIDs, c.downtime = newIDs, time.Second
		var jobs []*workload.Job
		for i := range 4 {
			jobs = append(jobs, jobOf(i+1, 3, 2))
			c.submit(c.owner, jobs[i])
		}
		for range 2 {
			c.play(200 * time.Millisecond)
			for _, f := range sorted(c.workers) {
				if f.up && len(f.running) > 1 {
					c.crashWorker(f)
				}
			}
			c.play(2 * time.Second)
		}
		c.play(30 * time.Second)
		c.check()
		for _, job := range jobs {
			if got := c.state(job.ID); got != workload.Completed {
				t.Errorf("state is %q, want completed", got)
			}
		}
	}
}

func TestNoCopyOfATaskWhoseWorkerHasJustCrashed(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		c := newCrashSimulation(t, 8)
		c.newIDs, c.delay = newIDs, delay
		job := jobOf(1, 2, 2)
		job.Steps[0].Speculative = true
		job.Steps[0].Estimate = 3 * time.Second // so that no run lags behind
		c.crashes = func(task workload.TaskID) bool { return task.Index == 0 }
		c.submit(c.owner, job)
		c.play(40 * time.Second)
		c.checkGivenUp(t, job)
		if n := c.owner.Stats().Copies; n > 0 {
			t.Errorf("%d copies of tasks whose workers had just fallen silent", n)
		}
	})
}

// One member of a gang crashes its workers, or each of them does.
func TestGangDoesNotCrashWorkerAfterWorker(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		for _, all := range []bool{false, true} {
			c := newCrashSimulation(t, 8)
			c.newIDs, c.delay = newIDs, delay
			job := jobOf(1, 3, 5)
			job.Steps[0].Gang = true
			c.crashes = func(task workload.TaskID) bool { return all || task.Index == 1 }
			for _, f := range c.workers {
				f.duration = forever // a member that ends ends the gang
			}
			c.submit(c.owner, job)
			c.endGangs()
			c.play(60 * time.Second)
			c.checkGivenUp(t, job)
		}
	})
}

// endGangs ends the runs of a gang of which a member has ended.
func (c *crashSimulation) endGangs() {
	runs := map[workload.TaskID]int{}
	for _, f := range sorted(c.workers) {
		for _, r := range f.runs() {
			task := r.task
			task.Index = r.run
			runs[task]++
		}
	}
	for _, f := range sorted(c.workers) {
		for _, r := range f.runs() {
			task := r.task
			task.Index = r.run
			step := &c.records[task.Job].spec.Steps[task.Step]
			if f.up && step.Gang && runs[task] < step.Count && c.now-r.startedAt > 100*time.Millisecond {
				f.end(r, platform.EndBroken, c.now)
			}
		}
	}
	c.after(50*time.Millisecond, c.endGangs)
}

// The owner is replaced a while after each crash: before it has seen the crash,
// or after, with or without the record of it.
func TestCrashesOfATaskCountOverOwners(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		changes := 3
		if delay == 0 {
			changes = 2 // see TestCrashesBeforeAnAnswerCountOverThreeChangesOfOwner
		}
		crashesOverOwners(t, newIDs, delay, changes)
	})
}

// A crash before the answer to the start weighs less, and no owner sees the first
// three.
func TestCrashesBeforeAnAnswerCountOverThreeChangesOfOwner(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		crashesOverOwners(t, newIDs, 0, 3)
	}
}

// crashesOverOwners replaces the owner after each of the first crashes.
func crashesOverOwners(t *testing.T, newIDs bool, delay time.Duration, changes int) {
	t.Helper()
	for _, after := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		c := newCrashSimulation(t, 8)
		c.newIDs, c.delay = newIDs, delay
		job := jobOf(1, 1, 2)
		c.crashes = isTaskOf(job)
		c.submit(c.owner, job)
		task := workload.TaskID{Job: job.ID}
		seen := 0
		for c.now < 60*time.Second && c.state(job.ID) != workload.Failed {
			c.play(testTick)
			if c.crashed[task] > seen && seen < changes {
				seen = c.crashed[task]
				c.play(after)
				c.succeed()
			}
		}
		c.checkGivenUp(t, job)
	}
}

// The last owner before the change is the only one that sees the last crash, and
// the table service does not take its record.
func TestCrashWithoutARecordIsNotFollowedByAStart(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 8)
		c.newIDs = newIDs
		job := jobOf(1, 1, 2)
		c.crashes = isTaskOf(job)
		c.submit(c.owner, job)
		task := workload.TaskID{Job: job.ID}
		for c.crashed[task] == 0 {
			c.play(testTick)
		}
		c.storeDown = true
		c.play(20 * time.Second)
		if n := len(c.records[job.ID].starts[task]); n != 1 {
			t.Errorf("%d starts, want 1 until the crash is recorded", n)
		}
		c.storeDown = false
		c.play(20 * time.Second)
		c.checkGivenUp(t, job)
	}
}

func TestLongRunningTaskDoesNotCrashWorkerAfterWorker(t *testing.T) {
	forEachReturn(t, func(t *testing.T, newIDs bool, delay time.Duration) {
		c := newCrashSimulation(t, 8)
		c.newIDs, c.delay = newIDs, delay
		for _, f := range c.workers {
			f.duration = forever
		}
		deadly, innocent := longRunningJob(1, 2, 2), longRunningJob(2, 4, 2)
		c.crashes = isTaskOf(deadly)
		c.submit(c.owner, innocent)
		c.play(2 * time.Second)
		c.submit(c.owner, deadly)
		c.play(40 * time.Second)
		c.checkGivenUp(t, deadly)
		if got := c.state(innocent.ID); got.Over() || !c.hasRun(innocent) {
			t.Errorf("the job that crashes nothing is %q, running: %v", got, c.hasRun(innocent))
		}
	})
}

// The workers of a long-running task crash now and then, long after its start.
func TestLongRunningTaskIsNotGivenUpForLaterCrashes(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 4)
		c.newIDs = newIDs
		for _, f := range c.workers {
			f.duration = forever
		}
		job := longRunningJob(1, 1, 2)
		c.submit(c.owner, job)
		for range 6 {
			c.play(6 * time.Second)
			for _, f := range sorted(c.workers) {
				if f.up && len(f.running) > 0 {
					c.crashWorker(f)
				}
			}
		}
		c.play(8 * time.Second)
		c.check()
		if got := c.state(job.ID); got.Over() || !c.hasRun(job) {
			t.Errorf("the job is %q, running: %v; want it to run", got, c.hasRun(job))
		}
	}
}

// Workers end soon after each start of a task, as planned.
func TestTaskIsNotGivenUpForPlannedEndsOfWorkers(t *testing.T) {
	for _, kind := range []string{"leaves", "moved", "moved by a previous owner", "maintained by a previous owner"} {
		t.Run(kind, func(t *testing.T) {
			c := newCrashSimulation(t, 8)
			job := jobOf(1, 1, 2)
			for _, f := range c.workers {
				f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Second, platform.EndDone }
			}
			c.submit(c.owner, job)
			for range 5 {
				var on *fakeWorker
				for on == nil {
					if c.play(testTick); c.now > 60*time.Second {
						t.Fatalf("the task has no run, state %q", c.state(job.ID))
					}
					for _, f := range sorted(c.workers) {
						if len(f.running) > 0 {
							on = f
						}
					}
				}
				c.play(50 * time.Millisecond)
				c.endAsPlanned(on, kind)
				c.play(500 * time.Millisecond)
			}
			c.play(10 * time.Second)
			c.check()
			if got := c.state(job.ID); got != workload.Completed {
				t.Errorf("state is %q, want completed", got)
			}
		})
	}
}

// endAsPlanned ends a worker for good.
func (c *crashSimulation) endAsPlanned(f *fakeWorker, kind string) {
	if kind == "leaves" {
		f.Draining, f.Remaining = true, 50*time.Millisecond
		c.owner.discover()
		c.play(100 * time.Millisecond)
	}
	f.crash()
	f.removed, f.unlisted = true, true
	host := estate.Host{Name: c.hostOf[f.ID], Pool: "p"}
	switch kind {
	case "leaves":
	case "moved":
		c.owner.HostRemoved(f.ID, c.now)
	case "moved by a previous owner":
		host.Pool, host.State = "spare", estate.HostMoving
		c.owner.HostsListed(c.known, []estate.Host{host}, c.now, c.now)
	case "maintained by a previous owner":
		host.State = estate.HostMaintenance
		c.owner.HostsListed(c.known, []estate.Host{host}, c.now, c.now)
	}
	c.owner.WorkerUnlisted(f.ID, c.now)
}

// Workers are cut off soon after each start of a task and let its lease expire.
func TestTaskIsNotGivenUpForWorkersThatAreCutOff(t *testing.T) {
	for _, speculative := range []bool{false, true} {
		c := newCrashSimulation(t, 8)
		job := jobOf(1, 1, 2)
		job.Steps[0].Speculative = speculative
		for _, f := range c.workers {
			f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Second, platform.EndDone }
			f.overcommits = false
		}
		c.submit(c.owner, job)
		for range 4 {
			var on *fakeWorker
			for on == nil && c.now < 60*time.Second {
				c.play(testTick)
				for _, f := range sorted(c.workers) {
					if len(f.running) > 0 && f.reachable {
						on = f
					}
				}
			}
			if on == nil {
				break
			}
			on.reachable = false
			c.after(9*time.Second, func() { on.reachable = true })
			c.play(7 * time.Second)
		}
		c.play(30 * time.Second)
		if !speculative {
			c.check() // copies run at the same time
		}
		if got := c.state(job.ID); got != workload.Completed {
			t.Errorf("state is %q, want completed (speculative: %v)", got, speculative)
		}
	}
}
