package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

func TestJobRunsToItsEnd(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	job := jobOf(1, 4, 2)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].After = []int{0}
	sim.submit(owner, job)
	sim.run(2*time.Second, owner)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
	if len(owner.jobs) != 0 {
		t.Errorf("%d jobs are kept after their end is recorded", len(owner.jobs))
	}
}

// TestCancelledRunsOfAFormerOwnerAreStopped simulates an owner that recorded a
// cancellation and ended before it stopped the job's tasks. Its successor
// finds the runs by its first poll, and its stop orders must reach the worker.
func TestCancelledRunsOfAFormerOwnerAreStopped(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	job := jobOf(1, 2, 2)
	job.Steps[0].LongRunning = true
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	sim.submit(owner, job)
	sim.run(500*time.Millisecond, owner)
	if len(f.running) != 2 {
		t.Fatalf("%d tasks run, want 2", len(f.running))
	}
	r := sim.records[job.ID]
	r.cancelled = true
	r.progress.State = workload.Cancelled
	next := sim.newOwner()
	sim.run(300*time.Millisecond, next)
	sim.check()
	if len(f.running) != 0 {
		t.Errorf("%d tasks of the cancelled job still run", len(f.running))
	}
}

// TestCancelStopsRunsAtOnce cancels a job between two decisions: the next one
// must stop its runs.
func TestCancelStopsRunsAtOnce(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	owner := sim.newOwner()
	job := jobOf(1, 2, 2)
	sim.submit(owner, job)
	sim.run(200*time.Millisecond, owner)
	owner.Cancel(job.ID, 1, sim.now)
	sim.run(50*time.Millisecond, owner)
	if len(f.running) != 0 || sim.state(job.ID) != workload.Cancelled {
		t.Errorf("%d tasks run, state %q; want none and cancelled", len(f.running), sim.state(job.ID))
	}
}

// TestTaskOfACutWorkerWaitsForItsLease simulates a worker that becomes
// unreachable and goes on running: its task must start elsewhere, but not
// before the worker's lease has expired.
func TestTaskOfACutWorkerWaitsForItsLease(t *testing.T) {
	sim := newSimulation(t)
	cut := sim.addWorker("w1", "p", 8)
	cut.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(300*time.Millisecond, owner)
	sim.addWorker("w2", "p", 8)
	owner.discover()
	cut.reachable = false
	sim.run(12*time.Second, owner)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestFailedRunsEndAJobAfterItsAttempts guards against a job whose every run
// fails and that is started again without end.
func TestFailedRunsEndAJobAfterItsAttempts(t *testing.T) {
	sim := newSimulation(t)
	starts := 0
	for _, id := range []string{"w1", "w2"} {
		sim.addWorker(id, "p", 8).duration = func(workload.TaskID) (time.Duration, platform.RunEnd) {
			return 50 * time.Millisecond, platform.EndFailed
		}
	}
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); ok {
			starts++
		}
		return orderFault{}
	}
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(3*time.Second, owner)
	if starts != 2 || sim.state(job.ID) != workload.Failed {
		t.Errorf("%d starts, state %q; want 2 and failed", starts, sim.state(job.ID))
	}
}

// TestUnprovedOwnerLetsLeasesRunOut simulates an owner that has lost the table
// service but reaches the workers, and a successor that reaches only one of
// them. If the previous owner went on extending leases, the successor would
// start a task again while it runs on the other worker.
func TestUnprovedOwnerLetsLeasesRunOut(t *testing.T) {
	sim := newSimulation(t)
	cut := sim.addWorker("w1", "p", 8)
	cut.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	previous := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(previous, job)
	sim.run(500*time.Millisecond, previous)
	sim.addWorker("w2", "p", 8)
	previous.expired = true
	const expiredFor = 2 * time.Second
	sim.run(expiredFor, previous)
	next := sim.newOwnerAfter(expiredFor)
	sim.injectFault = func(o Order) orderFault {
		if l, ok := o.(*PollOrder); ok && l.Token>>incarnationBits == next.token && l.Worker.ID == "w1" {
			return orderFault{lost: true}
		}
		return orderFault{}
	}
	sim.run(9*time.Second, previous, next)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestNewOwnerReadsEndsBeforeItStarts simulates an owner that ends before it
// has recorded a finished task, and a successor that takes over when all leases
// have expired. The successor must read the end instead of starting the task
// again.
func TestNewOwnerReadsEndsBeforeItStarts(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8)
	sim.addWorker("w2", "p", 8)
	previous := sim.newOwner()
	previous.expired = true
	previous.Recorded(previous.InUse(sim.now))
	job := jobOf(1, 4, 2)
	previous.expired = false
	sim.submit(previous, job)
	sim.storeDown = true
	sim.run(time.Second, previous)
	previous.paused = true
	sim.run(20*time.Second, previous)
	sim.storeDown = false
	next := sim.newOwnerAfter(20 * time.Second)
	sim.run(3*time.Second, next)
	sim.check()
	if next.Stats().Starts != 0 || sim.state(job.ID) != workload.Completed {
		t.Errorf("%d starts, state %q; want none and completed", next.Stats().Starts, sim.state(job.ID))
	}
}

// TestFailureOfAnEarlierRunCountsAfterAChangeOfOwner simulates a run whose
// failure the previous owner could not record before it started the next run on
// another worker. The successor reads both failures and must not exceed the
// job's attempts.
func TestFailureOfAnEarlierRunCountsAfterAChangeOfOwner(t *testing.T) {
	sim := newSimulation(t)
	first := sim.addWorker("w1", "p", 2)
	fail := func(after time.Duration) func(workload.TaskID) (time.Duration, platform.RunEnd) {
		return func(workload.TaskID) (time.Duration, platform.RunEnd) { return after, platform.EndFailed }
	}
	first.duration = fail(100 * time.Millisecond)
	previous := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.storeDown = true
	sim.submit(previous, job)
	sim.run(50*time.Millisecond, previous)
	second := sim.addWorker("w2", "p", 2)
	second.duration = fail(1500 * time.Millisecond)
	previous.discover()
	sim.run(450*time.Millisecond, previous)
	if len(second.running) != 1 {
		t.Fatalf("%d runs on the second worker, want 1", len(second.running))
	}
	sim.storeDown = false
	next := sim.newOwner()
	sim.injectFault = func(o Order) orderFault {
		// The first worker answers after the second.
		if l, ok := o.(*PollOrder); ok && l.Worker.ID == "w1" && sim.now < 800*time.Millisecond {
			return orderFault{lost: true}
		}
		return orderFault{}
	}
	sim.run(4*time.Second, next)
	if got := next.Stats().Starts; got != 0 || sim.state(job.ID) != workload.Failed {
		t.Errorf("%d further starts, state %q; want none and failed", got, sim.state(job.ID))
	}
}

// TestWorkerIsIdleSoonAfterItsLastEnd guards against a host that cannot leave
// its pool long after its last task has ended and been recorded.
func TestWorkerIsIdleSoonAfterItsLastEnd(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 3, 2))
	sim.run(200*time.Millisecond, owner)
	if len(f.running) == 0 {
		t.Fatal("no task runs")
	}
	sim.run(300*time.Millisecond, owner)
	for _, p := range owner.Pools(sim.now) {
		if p.Name == "p" && !p.Workers[0].Idle {
			t.Error("the worker is not idle 200 ms after its last end")
		}
	}
}

// TestNothingStartsOnADrainingWorker simulates a worker that announces that it
// is draining.
func TestNothingStartsOnADrainingWorker(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	sim.run(100*time.Millisecond, owner)
	f.Draining = true
	owner.discover()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(time.Second, owner)
	if got := owner.Stats().Starts; got != 0 {
		t.Errorf("%d starts on a draining worker", got)
	}
}

// TestUnwantedRunsKeepTheirRoom simulates a successor that finds a second copy
// of a task, which it does not need, on a worker that accepts every start.
// Until the orphaned run has stopped, its resources must not be given to other
// tasks.
func TestUnwantedRunsKeepTheirRoom(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.overcommits, f.stopTakes = true, 100*time.Millisecond
	copied, waiting := jobOf(1, 1, 4), jobOf(2, 1, 4)
	copied.Steps[0].Speculative = true
	sim.submit(nil, copied)
	sim.submit(nil, waiting)
	f.leaseMS = 5000
	for _, r := range []fakeRun{
		{task: workload.TaskID{Job: copied.ID}, run: 1},
		{task: workload.TaskID{Job: copied.ID}, run: 2},
	} {
		f.running[runKey{r.task, r.run}] = &r
	}
	sim.inUse[f.ID] = UsedWorker{Worker: f.Worker}
	next := sim.newOwner()
	sim.submit(next, jobOf(3, 2, 4))
	sim.run(2*time.Second, next)
	sim.check()
	if got := sim.state(waiting.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestRunOfAnUnknownJobKeepsItsWorkerClosed simulates a run whose requests are
// unknown: nothing may start beside it.
func TestRunOfAnUnknownJobKeepsItsWorkerClosed(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.stopTakes = 200 * time.Millisecond
	f.leaseMS = 5000
	unknown := workload.TaskID{Job: "00000000000000ff"}
	f.running[runKey{unknown, 1}] = &fakeRun{task: unknown, run: 1}
	sim.inUse[f.ID] = UsedWorker{Worker: f.Worker}
	next := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(next, job)
	sim.run(150*time.Millisecond, next)
	if got := next.Stats().Starts; got != 0 {
		t.Errorf("%d starts beside a run of unknown size", got)
	}
	sim.run(2*time.Second, next)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestStartMayReachTheNextLifeOfASilentWorker simulates a start without an
// answer to a worker that restarts under the same id and stops answering. The
// new incarnation carries out the start, and no owner has extended its lease.
// The task may start elsewhere only when that is impossible.
func TestStartMayReachTheNextLifeOfASilentWorker(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	owner := sim.newOwner()
	sim.run(400*time.Millisecond, owner)
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); ok {
			return orderFault{lost: true, applied: true, delay: 1200 * time.Millisecond}
		}
		return orderFault{lost: true}
	}
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(100*time.Millisecond, owner)
	f.crash()
	f.restart(sim.now)
	owner.discover()
	sim.addWorker("w2", "p", 8)
	owner.discover()
	lost := sim.injectFault
	sim.injectFault = func(o Order) orderFault {
		if l, ok := o.(*PollOrder); ok && l.Worker.ID == "w2" {
			return orderFault{}
		}
		if s, ok := o.(*StartOrder); ok && s.Worker.ID == "w2" {
			return orderFault{}
		}
		return lost(o)
	}
	sim.run(25*time.Second, owner)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestSuccessorReadsTheNextLifeOfAWorker simulates a start without an answer, a
// worker that restarts under the same id, and a change of owner: the new
// incarnation carries out the start just before the successor's first poll. The
// successor must not start the task elsewhere before it has read the runs of
// the new incarnation.
func TestSuccessorReadsTheNextLifeOfAWorker(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	long := func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Second, platform.EndDone }
	f.duration = long
	previous := sim.newOwner()
	sim.run(400*time.Millisecond, previous)
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); ok {
			return orderFault{lost: true, applied: true, delay: 700 * time.Millisecond}
		}
		return orderFault{}
	}
	job := jobOf(1, 1, 2)
	sim.submit(previous, job)
	sim.run(50*time.Millisecond, previous)
	previous.paused = true
	sim.injectFault = func(o Order) orderFault {
		// The first poll of the new incarnation gets no answer.
		l, ok := o.(*PollOrder)
		return orderFault{lost: ok && l.Worker.ID == "w1" && sim.now < 1200*time.Millisecond}
	}
	sim.run(500*time.Millisecond, previous)
	f.crash()
	sim.addWorker("w2", "p", 8).duration = long
	next := sim.newOwnerAfter(8 * time.Second)
	f.restart(sim.now)
	next.discover()
	sim.run(5*time.Second, next)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestBarredStartStaysBarredInTheNextLife simulates a start without an answer
// that a stop has blocked on its worker. The worker restarts under the same id
// and no longer has the stop. The new incarnation must refuse the late start.
func TestBarredStartStaysBarredInTheNextLife(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	var late *StartOrder
	sim.injectFault = func(o Order) orderFault {
		if s, ok := o.(*StartOrder); ok && s.Worker.ID == "w1" && s.Run == 1 {
			late = s
			return orderFault{lost: true, applied: true, delay: 1400 * time.Millisecond}
		}
		return orderFault{}
	}
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(100*time.Millisecond, owner)
	sim.addWorker("w2", "p", 8)
	owner.discover()
	sim.run(800*time.Millisecond, owner)
	if got := sim.state(job.ID); got == workload.Queued {
		t.Fatal("the task was not started again")
	}
	f.crash()
	f.restart(sim.now)
	owner.discover()
	sim.run(3*time.Second, owner)
	sim.check()
	if late.Token >= f.token || len(f.highestRun) != 0 {
		t.Errorf("the new incarnation has seen token %d and runs %v, want a token above %d and none", f.token, f.highestRun, late.Token)
	}
}

// Its entry vanishes while its ends wait to be recorded, and comes back.
func TestWorkerOutsideTheRecordGetsNoTask(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(200*time.Millisecond, owner)
	sim.storeDown = true
	sim.run(300*time.Millisecond, owner)
	owner.WorkerUnlisted("w1", sim.now)
	recorded := owner.InUse(owner.sim.now)
	owner.Recorded(recorded)
	owner.WorkerListed(f.Worker, sim.now)
	sim.submit(owner, jobOf(2, 1, 2))
	sim.run(100*time.Millisecond, owner)
	if len(f.running) > 0 && len(recorded) == 0 {
		t.Errorf("%d tasks started on w1, which a successor does not find in the record", len(f.running))
	}
}
