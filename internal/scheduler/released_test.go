package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// release lets an owner release its ownership and returns its successor.
func (sim *simulation) release(owner *testOwner) *testOwner {
	sim.replaceUsedWorkers(owner, owner.InUse(owner.sim.now), owner.recordVersion)
	sim.releasedLeasesEnd = owner.LeasesEnd()
	owner.expired = true
	sim.run(releaseTime)
	return sim.newOwnerAfter(-ownershipLease) // its lease counts from the time at which the release is read
}

// fallSilent ends a worker whose entry stays and whose host no list shows as down.
func (f *fakeWorker) fallSilent() {
	f.crash()
	f.reachable = false
}

func TestTaskOfASilentWorkerRestartsInTimeThoughOwnersAreReleased(t *testing.T) {
	for every := 500 * time.Millisecond; every < 8*time.Second; every += 500 * time.Millisecond {
		t.Run(fmt.Sprint("every ", every), func(t *testing.T) {
			sim := newSimulation(t)
			sim.replaceRecord = true
			owner, w1, job := sim.runningTask("w2")
			w1.fallSilent()
			ranAt := sim.now
			ownedSince := sim.now
			for !sim.hasRun(job) && sim.now < ranAt+20*time.Second {
				if sim.now >= ownedSince+every {
					owner = sim.release(owner)
					ownedSince = sim.now
				}
				sim.run(testTick, owner)
			}
			sim.checkRestart(t, job, ranAt, ranAt, owner)
		})
	}
}

// The owner knows that the run is over; only a worker that never ran it is silent.
func TestTaskWithoutARunDoesNotWaitForASilentWorkerThatNeverRanIt(t *testing.T) {
	sim := newSimulation(t)
	sim.replaceRecord = true
	owner, w1, job := sim.runningTask()
	other := sim.addWorkerFor(owner, "w9", 2)
	sim.submit(owner, longRunningJob(2, 1, 2))
	sim.run(time.Second, owner)
	other.fallSilent()
	w1.fallSilent()
	owner.HostRemoved("w1", sim.now)
	sim.run(1500*time.Millisecond, owner)
	owner = sim.release(owner)
	sim.addWorkerFor(owner, "w2", 2)
	released := sim.now
	sim.checkRestart(t, job, released-restartTime, released-settlingTime, owner)
}

// silentBesideATask returns an owner and a worker with a task that could run on
// another one. The worker w9, with another task, has just fallen silent.
func silentBesideATask(t *testing.T) (*simulation, *testOwner, *fakeWorker) {
	t.Helper()
	sim := newSimulation(t)
	sim.replaceRecord = true
	owner, w1, _ := sim.runningTask("w2")
	other := sim.addWorkerFor(owner, "w9", 2)
	job := longRunningJob(2, 1, 2)
	job.Steps[0].Requires = "gpu"
	other.Labels = append(other.Labels, "gpu")
	owner.discover()
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	if other.runsOf(job) != 1 {
		t.Fatal("the other task does not run on w9")
	}
	other.fallSilent()
	return sim, owner, w1
}

// checkLeaves lets a worker announce its end, and fails the test if a task is still
// there when it ends.
func (sim *simulation) checkLeaves(t *testing.T, f *fakeWorker, after time.Duration, owner *testOwner) {
	t.Helper()
	left := 0
	sim.leave(f, after, owner, func(time.Duration) { left = len(f.running) })
	if left != 0 {
		t.Errorf("%d tasks are still on the worker when that ends, though another one had capacity for %v", left, after)
	}
	sim.check()
}

func TestTasksLeaveADrainingWorkerBesideASilentOne(t *testing.T) {
	sim, owner, w1 := silentBesideATask(t)
	sim.run(1500*time.Millisecond, owner)
	owner = sim.release(owner)
	sim.checkLeaves(t, w1, 6*time.Second, owner)
}

func TestTaskDoesNotWaitForAWorkerThatIsRecordedWithoutIt(t *testing.T) {
	sim := newSimulation(t)
	sim.replaceRecord = true
	owner, w1, job := sim.runningTask()
	other := sim.addWorkerFor(owner, "w9", 2)
	sim.submit(owner, longRunningJob(2, 1, 2))
	sim.run(time.Second, owner)
	other.fallSilent()
	for owner.workers["w9"].failedPolls == 0 {
		sim.run(testTick, owner)
	}
	sim.run(frozenAfter+usedWorkersInterval+50*time.Millisecond, owner)
	w1.fallSilent()
	owner.HostRemoved("w1", sim.now)
	owner = sim.release(owner)
	sim.addWorkerFor(owner, "w2", 2)
	released := sim.now
	for !sim.hasRun(job) && sim.now < released+10*time.Second {
		sim.run(testTick, owner)
	}
	sim.check()
	if waited := sim.now - released; waited > 500*time.Millisecond {
		t.Errorf("the task waits %v for a worker that cannot run it", waited)
	}
}

// The owner was killed before it noticed that w9 is silent.
func TestTaskThatRunsLeavesItsWorkerBesideASilentOneThatMayRunAnyTask(t *testing.T) {
	sim, owner, w1 := silentBesideATask(t)
	sim.run(50*time.Millisecond, owner)
	owner.expired = true
	sim.run(50 * time.Millisecond)
	owner = sim.newOwnerAfter(0)
	sim.checkLeaves(t, w1, 3*time.Second, owner)
}

// The start gets no answer, and is carried out by the next incarnation, which the owner or its successor discovers.
func TestLateStartOfANextIncarnationRunsNoTaskTwiceAfterARelease(t *testing.T) {
	for _, byOwner := range []bool{true, false} {
		for _, longRunning := range []bool{true, false} {
			sim := newSimulation(t)
			sim.replaceRecord = true
			w1 := sim.addWorkerFor(nil, "w1", 2)
			owner := sim.newOwner()
			sim.run(30*time.Second, owner)
			sim.injectFault = func(o Order) orderFault {
				_, start := o.(*StartOrder)
				return orderFault{lost: start, applied: start, delay: 400 * time.Millisecond}
			}
			job := jobOf(1, 1, 2)
			job.Steps[0].LongRunning = longRunning
			sim.submit(owner, job)
			sim.run(100*time.Millisecond, owner)
			sim.injectFault = nil
			w1.crash()
			w1.restart(sim.now)
			if byOwner {
				owner.WorkerListed(w1.entry(), sim.now)
			}
			w1.reachable = false
			sim.run(2*time.Second, owner)
			owner = sim.release(owner)
			owner.WorkerListed(w1.entry(), sim.now)
			sim.addWorkerFor(owner, "w2", 2)
			sim.run(8*time.Second, owner)
			sim.check()
		}
	}
}

// The failure of the first run is read and not recorded, the second run is found.
func TestFailureBeforeAFoundRunCounts(t *testing.T) {
	failing := func(workload.TaskID) (time.Duration, platform.RunEnd) {
		return 300 * time.Millisecond, platform.EndFailed
	}
	sim := newSimulation(t)
	sim.replaceRecord = true
	w1 := sim.addWorkerFor(nil, "w1", 2)
	w1.duration = failing
	owner := sim.newOwner()
	sim.run(time.Second, owner)
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(250*time.Millisecond, owner)
	w2 := sim.addWorkerFor(owner, "w2", 2)
	w2.duration = failing
	sim.run(30*time.Millisecond, owner)
	sim.storeDown = true
	for i := 0; i < 400 && len(w2.running) == 0; i++ {
		sim.run(testTick, owner)
	}
	w1.reachable = false
	owner.paused, owner.expired, sim.storeDown = true, true, false
	sim.run(20 * time.Millisecond)
	owner = sim.newOwnerAfter(0)
	sim.run(time.Second, owner)
	w1.reachable = true
	sim.run(3*time.Second, owner)
	starts := 0
	for _, s := range sim.records[job.ID].starts {
		starts += len(s)
	}
	if starts != 2 {
		t.Errorf("%d starts, want 2: the queue permits 2 attempts", starts)
	}
}

func TestTaskOfASilentWorkerRestartsInTimeThoughItsOwnerIsKilled(t *testing.T) {
	for later := time.Duration(0); later < 4*time.Second; later += 100 * time.Millisecond {
		sim := newSimulation(t)
		sim.replaceRecord = true
		owner, w1, job := sim.runningTask("w2")
		w1.fallSilent()
		ranAt := sim.now
		sim.run(later, owner)
		killedAt := sim.now
		owner.expired = true
		sim.run(takeoverTime)
		sim.checkRestart(t, job, ranAt, killedAt, sim.newOwnerAfter(takeoverTime-ownershipLease))
	}
}

// The second owner has not reached the worker, the first has not recorded its silence.
func TestTaskOfASilentWorkerRestartsInTimeThoughTwoOwnersAreKilled(t *testing.T) {
	for later := time.Duration(0); later < 400*time.Millisecond; later += 100 * time.Millisecond {
		for life := 600 * time.Millisecond; life < 2*time.Second; life += 100 * time.Millisecond {
			sim := newSimulation(t)
			sim.replaceRecord = true
			owner, w1, job := sim.runningTask("w2")
			w1.fallSilent()
			ranAt := sim.now
			sim.run(later, owner)
			owner.expired = true
			sim.run(takeoverTime)
			owner = sim.newOwnerAfter(takeoverTime - ownershipLease)
			sim.run(life, owner)
			killedAt := sim.now
			owner.expired = true
			sim.run(takeoverTime)
			sim.checkRestart(t, job, ranAt, killedAt, sim.newOwnerAfter(takeoverTime-ownershipLease))
		}
	}
}
