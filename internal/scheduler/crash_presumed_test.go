package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// The fleet service does not answer. Hosts come back under the ids of their workers
// after their leases and entries have ended.
func TestCrashOfAWorkerThatReturnsAfterItsLeaseCounts(t *testing.T) {
	for _, downtime := range []time.Duration{6 * time.Second, 9 * time.Second, 20 * time.Second} {
		c := newCrashSimulation(t, 8)
		c.hostLists, c.downtime = false, downtime
		job := jobOf(1, 1, 2)
		c.crashes = isTaskOf(job)
		c.submit(c.owner, job)
		c.play(100 * time.Second)
		c.hostLists = true
		c.play(20 * time.Second)
		c.checkGivenUp(t, job)
	}
}

// The owner is replaced after each of the first three crashes, before a host list
// has shown any of them.
func TestPresumedCrashesCountOverOwners(t *testing.T) {
	for _, delay := range crashDelays {
		c := newCrashSimulation(t, 8)
		c.newIDs, c.delay, c.hostLists, c.downtime = true, delay, false, 20*time.Second
		job := jobOf(1, 1, 2)
		c.crashes = isTaskOf(job)
		c.submit(c.owner, job)
		task := workload.TaskID{Job: job.ID}
		seen := 0
		for c.now < 120*time.Second && c.state(job.ID) != workload.Failed {
			c.play(testTick)
			if c.crashed[task] > seen && seen < 3 {
				seen = c.crashed[task]
				c.play(8 * time.Second)
				c.succeed()
			}
		}
		c.hostLists = true
		c.play(20 * time.Second)
		c.checkGivenUp(t, job)
	}
}

// Each member of a gang loses one worker, in different runs.
func TestGangIsNotGivenUpForOneCrashUnderEachMember(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 6)
		c.newIDs = newIDs
		for _, f := range c.workers {
			f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Second, platform.EndDone }
		}
		job := jobOf(1, 2, 5)
		job.Steps[0].Gang, job.Steps[0].Estimate = true, time.Second
		c.submit(c.owner, job)
		c.endGangs()
		for member := range 2 {
			task := workload.TaskID{Job: job.ID, Index: member}
			var on *fakeWorker
			for on == nil && c.now < 60*time.Second {
				c.play(testTick)
				for _, f := range sorted(c.workers) {
					for key, r := range f.running {
						if key.task == task && f.up && c.now-r.startedAt < 90*time.Millisecond && c.now-r.startedAt >= 40*time.Millisecond {
							on = f
						}
					}
				}
			}
			if on == nil {
				t.Fatalf("member %d has no run, state %q", member, c.state(job.ID))
			}
			c.crashWorker(on)
			c.play(300 * time.Millisecond)
		}
		c.play(30 * time.Second)
		c.check()
		if got := c.state(job.ID); got != workload.Completed {
			t.Errorf("state is %q, want completed: no task lost more than one worker", got)
		}
	}
}

// Workers crash after a start was sent to them and before it arrives.
func TestTaskIsNotGivenUpForWorkersThatCrashedBeforeItsStart(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		c := newCrashSimulation(t, 6)
		c.newIDs = newIDs
		job := jobOf(1, 1, 2)
		c.submit(c.owner, job)
		task := workload.TaskID{Job: job.ID}
		begun, crashes := 0, 0
		for _, f := range c.workers {
			started := f.started
			f.started = func(id workload.TaskID) { begun++; started(id) }
		}
		for crashes < 3 && c.now < 60*time.Second && !c.state(job.ID).Over() {
			c.play(testTick)
			for id, w := range c.owner.workers {
				for key, r := range w.runs {
					if f := c.workers[id]; key.task == task && r.phase == runSent && f.up && begun == 0 && c.now-r.sentAt < 2*testTick {
						c.crashWorker(f)
						crashes++
					}
				}
			}
		}
		c.play(30 * time.Second)
		c.check()
		if got := c.state(job.ID); got != workload.Completed {
			t.Errorf("state is %q after %d crashes, want completed: it was started %d times (new ids %v)", got, crashes, begun, newIDs)
		}
	}
}

// A worker crashes more than provenAfter after the start of a task. It has answered
// the start and has not been silent.
func TestCrashAWhileAfterAStartIsNotCertain(t *testing.T) {
	for _, after := range []time.Duration{700 * time.Millisecond, 900 * time.Millisecond, 1100 * time.Millisecond} {
		c := newCrashSimulation(t, 6)
		for _, f := range c.workers {
			f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) {
				return 1300 * time.Millisecond, platform.EndDone
			}
		}
		job := jobOf(1, 1, 2)
		c.submit(c.owner, job)
		c.crashUnder(workload.TaskID{Job: job.ID}, after)
		c.play(30 * time.Second)
		c.check()
		for _, crash := range c.records[job.ID].progress.Crashes {
			if crash.Weight == workload.CrashCertain {
				t.Errorf("a crash %v after the start is recorded as %v", after, crash.Weight)
			}
		}
	}
}
