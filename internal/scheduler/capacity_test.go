package scheduler

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// taking lets every task run for the same time.
func taking(d time.Duration) func(workload.TaskID) (time.Duration, platform.RunEnd) {
	return func(workload.TaskID) (time.Duration, platform.RunEnd) { return d, platform.EndDone }
}

// shrunkInUse returns a worker that shrinks from 8 to 4 cores, known to the owner,
// while two tasks of 3 cores each run on it for 10 s. Its capacity from before
// does not count any more.
func shrunkInUse(t *testing.T) (*simulation, *testOwner, *entryFeed, *fakeWorker) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", 8)
	f.duration = taking(10 * time.Second)
	owner := sim.newOwner()
	feed := owner.newEntryFeed()
	feed.follow(f, 0)
	sim.submit(owner, jobOf(1, 2, 3))
	sim.run(time.Second, owner)
	if len(f.running) != 2 {
		t.Fatalf("%d runs, want 2", len(f.running))
	}
	f.resize(4)
	sim.run(shrinkGrace+100*time.Millisecond, owner)
	return sim, owner, feed, f
}

func TestNothingStartsOnAWorkerInUseBeyondItsShrunkCapacity(t *testing.T) {
	gang, service := jobOf(2, 2, 1), jobOf(2, 1, 1)
	gang.Steps[0].Gang = true
	service.Steps[0].LongRunning = true
	for name, job := range map[string]*workload.Job{"task": jobOf(2, 3, 1), "gang": gang, "long-running": service} {
		sim, owner, _, f := shrunkInUse(t)
		sim.submit(owner, job)
		sim.run(time.Second, owner)
		sim.check()
		if len(f.running) != 2 {
			t.Errorf("%s: %d runs on the worker, want the first 2", name, len(f.running))
		}
	}
}

func TestShrunkWorkerGetsTasksAgainOnceTheyFit(t *testing.T) {
	sim, owner, _, f := shrunkInUse(t)
	waiting := jobOf(2, 2, 4)
	sim.submit(owner, waiting)
	sim.run(5*time.Second, owner)
	sim.check()
	if len(f.running) != 1 {
		t.Errorf("%d runs on a worker of 4 cores after the first ones ended, want 1 of 4 cores", len(f.running))
	}
	f.resize(8)
	sim.run(2*time.Second, owner)
	sim.check()
	if len(f.running) != 2 {
		t.Errorf("%d runs after the worker has 8 cores again, want 2", len(f.running))
	}
}

func TestHeldCapacityStaysWithinAShrunkWorker(t *testing.T) {
	sim, owner, feed, f := shrunkInUse(t)
	f.duration = forever
	other := sim.addOvercommitting("w2", 4)
	other.duration = forever
	feed.follow(other, 0)
	service := jobOf(2, 1, 4)
	service.Steps[0].LongRunning = true
	sim.submit(owner, service)
	sim.run(time.Second, owner)
	if len(other.running) != 1 {
		t.Fatalf("%d runs on w2, want the long-running task", len(other.running))
	}
	other.resize(2)
	sim.run(shrinkGrace, owner)
	owner.Evacuate(other.ID)
	sim.submit(owner, jobOf(3, 4, 2))
	sim.run(2*time.Second, owner)
	sim.check()
	for _, w := range owner.workers {
		if c := w.unheld(); !(c.Processors <= max(0, w.Capacity.Processors)) {
			t.Errorf("%s offers %v cores of %v", w.ID, c.Processors, w.Capacity.Processors)
		}
	}
	if got := f.cores(); got != 6 {
		t.Errorf("%v cores in use on w1, want 6", got)
	}
}

func TestPlannerSeesFiniteFiguresOfShrunkWorkers(t *testing.T) {
	for _, cores := range []float64{4, 0} {
		sim, owner, feed, f := shrunkInUse(t)
		f.resize(cores)
		feed.write(f)
		service := jobOf(2, 2, 4)
		service.Steps[0].LongRunning = true
		sim.submit(owner, service)
		sim.run(time.Second, owner)
		sim.check()
		for _, p := range owner.Pools(sim.now) {
			if math.IsNaN(p.Waiting) || p.LongRunningShortfall < 0 || p.LongRunningShortfall > 2 {
				t.Errorf("%v cores: pool %s has %v cores waiting and a shortfall of %d", cores, p.Name, p.Waiting, p.LongRunningShortfall)
			}
		}
	}
}

// TestCapacityThatGrowsBetweenTwoReadsOfTheFeedIsSafe simulates a worker that
// grows and shrinks again within the delay of the feed.
func TestCapacityThatGrowsBetweenTwoReadsOfTheFeedIsSafe(t *testing.T) {
	for shift := time.Duration(0); shift < testHeartbeat; shift += 100 * time.Millisecond {
		sim := newSimulation(t)
		sim.overcommittingPools()
		f := sim.addOvercommitting("w1", 2)
		f.duration = taking(time.Second)
		owner := sim.newOwner()
		feed := owner.newEntryFeed()
		feed.follow(f, shift)
		for n := range 20 { // each change is written at once
			f.resize(8)
			feed.write(f)
			sim.run(50*time.Millisecond, owner)
			f.resize(2)
			feed.write(f)
			sim.submit(owner, jobOf(n, 1, 1+float64(n%6)))
			sim.run(250*time.Millisecond, owner)
		}
		sim.run(shrinkGrace, owner)
		for n := range 10 {
			sim.submit(owner, jobOf(20+n, 1, 1))
			sim.run(300*time.Millisecond, owner)
		}
		sim.check()
	}
}

// TestStartThatWaitsForItsWorkerDoesNotOutlastAShrunkCapacity simulates starts
// that reach their worker as late as it accepts them, decided right before the
// entry that shows a shrunk capacity is read.
func TestStartThatWaitsForItsWorkerDoesNotOutlastAShrunkCapacity(t *testing.T) {
	for wait := time.Duration(0); wait <= 6*time.Second; wait += 100 * time.Millisecond {
		sim := newSimulation(t)
		sim.overcommittingPools()
		f := sim.addOvercommitting("w1", 8)
		f.duration = forever
		owner := sim.newOwner()
		feed := owner.newEntryFeed()
		feed.follow(f, 0)
		sim.injectFault = func(o Order) orderFault {
			if _, ok := o.(*StartOrder); !ok {
				return orderFault{}
			}
			sim.after(wait, func() { owner.answer(o, sim.apply(f, o), nil) })
			return orderFault{handled: true}
		}
		sim.run(testHeartbeat+50*time.Millisecond, owner)
		f.resize(2) // right after an entry
		sim.run(testHeartbeat+testFeedDelay-60*time.Millisecond, owner)
		sim.submit(owner, jobOf(1, 1, 6))
		sim.run(4*time.Second, owner)
		sim.check()
	}
}

// TestNextIncarnationGetsNoTaskBeforeItsEntry simulates a worker that restarts as
// a smaller kind and answers a poll before the owner reads its entry.
func TestNextIncarnationGetsNoTaskBeforeItsEntry(t *testing.T) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", 8)
	f.duration = forever
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(time.Second, owner)
	f.crash()
	f.restart(sim.now)
	f.Capacity = sized(2)
	sim.run(2*time.Second, owner)
	if f.token == 0 {
		t.Fatal("the next incarnation was not polled")
	}
	sim.submit(owner, jobOf(2, 1, 6))
	sim.run(testHeartbeat, owner)
	sim.check()
	owner.discover()
	sim.run(2*time.Second, owner)
	sim.check()
	if len(f.running) != 1 {
		t.Errorf("%d runs once the entry is read, want the first task again", len(f.running))
	}
}

// unknownRun returns a worker of 8 cores that runs, after it has shrunk, a task of
// 8 cores whose job owners do not know. It takes 2 s to stop.
func unknownRun(t *testing.T, cores float64) (*simulation, *fakeWorker) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", cores)
	f.Capacity = sized(cores)
	f.stopTakes, f.leaseMS = 2*time.Second, 20_000
	f.duration = forever
	large := jobOf(9, 1, 8)
	task := workload.TaskID{Job: large.ID}
	f.running[runKey{task, 1}] = &fakeRun{task: task, run: 1}
	sim.unknown = map[workload.TaskID]placement.Resources{task: large.Steps[0].Requests()}
	return sim, f
}

// checkUnknownRun starts three tasks of 2 cores each on a worker of 8 cores.
func (sim *simulation) checkUnknownRun(t *testing.T, f *fakeWorker, owner *testOwner) {
	t.Helper()
	owner.discover()
	sim.submit(owner, jobOf(1, 3, 2))
	sim.run(time.Second, owner)
	sim.check()
	sim.run(3*time.Second, owner)
	sim.check()
	if len(f.running) != 3 {
		t.Errorf("%d runs after the unknown one has ended, want 3", len(f.running))
	}
}

func TestUnknownRunKeepsItsWorkerClosedWhenItGrows(t *testing.T) {
	sim, f := unknownRun(t, 2)
	sim.inUse[f.ID] = UsedWorker{Worker: f.Worker}
	owner := sim.newOwner()
	sim.run(500*time.Millisecond, owner)
	f.resize(8)
	sim.checkUnknownRun(t, f, owner)
}

// The record of workers in use holds no capacity.
func TestUnknownRunKeepsItsWorkerClosedBeforeItsEntryIsRead(t *testing.T) {
	sim, f := unknownRun(t, 8)
	sim.inUse[f.ID] = UsedWorker{Worker: estate.Worker{ID: f.ID, Pool: f.Pool, Address: f.Address, StartedMS: f.StartedMS}}
	f.unlisted = true
	owner := sim.newOwner()
	sim.run(500*time.Millisecond, owner)
	f.unlisted = false
	sim.checkUnknownRun(t, f, owner)
}

// TestOlderEntryDoesNotRestoreAShrunkCapacity simulates an entry that the store
// writes after a newer one.
func TestOlderEntryDoesNotRestoreAShrunkCapacity(t *testing.T) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", 8)
	f.duration = forever
	owner := sim.newOwner()
	sim.run(time.Second, owner)
	older := f.entry()
	f.resize(2)
	sim.run(testHeartbeat, owner)
	owner.discover()
	sim.run(shrinkGrace-testHeartbeat+100*time.Millisecond, owner)
	owner.WorkerListed(older, sim.now)
	sim.submit(owner, jobOf(1, 1, 6))
	sim.run(500*time.Millisecond, owner)
	sim.check()
}

func TestOlderEntryDoesNotEndADrain(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	owner := sim.newOwner()
	sim.run(time.Second, owner)
	older := f.entry()
	f.Draining = true
	sim.run(testHeartbeat, owner)
	owner.discover()
	sim.run(time.Second, owner)
	owner.WorkerListed(older, sim.now)
	sim.submit(owner, jobOf(1, 1, 6))
	sim.run(500*time.Millisecond, owner)
	if len(f.running) != 0 {
		t.Error("a task starts on the draining worker")
	}
}

func TestEntryWithAnImpossibleClockHidesNoLaterOne(t *testing.T) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", 8)
	f.duration = forever
	owner := sim.newOwner()
	odd := f.entry()
	odd.ClockMS = math.MaxInt64
	owner.WorkerListed(odd, sim.now)
	f.resize(2)
	sim.run(testHeartbeat, owner)
	owner.discover()
	sim.run(shrinkGrace, owner)
	sim.submit(owner, jobOf(1, 1, 6))
	sim.run(500*time.Millisecond, owner)
	sim.check()
}

func TestNoStartExceedsAChangingCapacity(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playHistory(t, faultClasses{capacitiesChange: true}).judge(t) })
}

// TestShrunkPoolAsksForWorkersOfFullSize guards against a pool that asks for no
// worker because its own have shrunk below the size of the tasks that wait.
func TestShrunkPoolAsksForWorkersOfFullSize(t *testing.T) {
	for _, cores := range []float64{8, 4, 2, 0} {
		sim := newSimulation(t)
		owner := sim.newOwner()
		feed := owner.newEntryFeed()
		var workers []*fakeWorker
		for _, id := range []string{"w1", "w2"} {
			f := sim.addWorker(id, "p", 8)
			f.duration = forever
			feed.follow(f, 0)
			workers = append(workers, f)
		}
		sim.submit(owner, longRunningJob(1, 4, 4))
		sim.run(time.Second, owner)
		for _, f := range workers {
			f.resize(cores)
		}
		sim.run(3*time.Second, owner)
		sim.submit(owner, longRunningJob(2, 2, 4))
		sim.run(time.Second, owner)
		for _, p := range owner.Pools(sim.now) {
			if p.Name == "p" && p.LongRunningShortfall != 1 {
				t.Errorf("%v cores: a shortfall of %d workers for two tasks of 4 cores, want 1", cores, p.LongRunningShortfall)
			}
		}
	}
}
