package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// Entries are late or away, workers are cut off and owners change.
func TestNoStartExceedsACapacityThatIsReadLate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		playHistory(t, faultClasses{
			capacitiesChange: true, entriesLate: true,
			ownersStarve: rapid.Bool().Draw(t, "owners starve"), answersOvertake: rapid.Bool().Draw(t, "answers overtake"),
		}).judge(t)
	})
}

// TestNoStartReliesOnTheEntryOfAWorkerThatWasCutOff simulates a worker that shrinks
// while neither its entries nor its answers arrive. The other entries do.
func TestNoStartReliesOnTheEntryOfAWorkerThatWasCutOff(t *testing.T) {
	for away := time.Second; away <= 8*time.Second; away += 500 * time.Millisecond {
		sim := newSimulation(t)
		sim.overcommittingPools()
		f := sim.addOvercommitting("w1", 8)
		f.duration = forever
		other := sim.addOvercommitting("w2", 1)
		owner := sim.newOwner()
		feed := owner.newEntryFeed()
		feed.follow(f, 0)
		feed.follow(other, 0)
		sim.run(2*time.Second, owner)
		f.reachable = false
		f.resize(2)
		sim.run(away, owner)
		sim.submit(owner, jobOf(1, 1, 6))
		f.reachable = true
		sim.run(2*testHeartbeat, owner)
		sim.check()
	}
}

func TestIdleWorkerWithASlowClockGetsTasks(t *testing.T) {
	for _, slow := range []float64{0, 0.01, 0.02} {
		sim := newSimulation(t)
		sim.overcommittingPools()
		f := sim.addOvercommitting("w1", 8)
		f.slow = slow
		owner := sim.newOwner()
		owner.newEntryFeed().follow(f, 0)
		sim.run(10*time.Minute, owner)
		job := jobOf(1, 1, 6)
		sim.submit(owner, job)
		sim.run(time.Second, owner)
		sim.check()
		if got := sim.state(job.ID); got != workload.Completed {
			t.Errorf("clock %v slow: the job is %s after 1 s", slow, got)
		}
	}
}

func TestTasksStartWhileEntriesAreRead2SecondsLate(t *testing.T) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", 8)
	owner := sim.newOwner()
	feed := owner.newEntryFeed()
	feed.delay = func() time.Duration { return 2 * time.Second }
	feed.follow(f, 0)
	sim.run(10*time.Second, owner)
	for n := range 40 {
		job := jobOf(n, 1, 6)
		sim.submit(owner, job)
		sim.run(time.Second, owner)
		if got := sim.state(job.ID); got != workload.Completed {
			t.Errorf("job %d is %s after 1 s", n, got)
		}
	}
	sim.check()
}

func TestEntryWithoutAClockCountsFromItsReading(t *testing.T) {
	sim := newSimulation(t)
	sim.overcommittingPools()
	f := sim.addOvercommitting("w1", 8)
	owner := sim.newOwner()
	sim.run(time.Minute, owner)
	owner.WorkerListed(f.Worker, sim.now)
	sim.submit(owner, jobOf(1, 1, 6))
	sim.run(time.Second, owner)
	if got := owner.Stats().Starts; got != 1 {
		t.Errorf("%d starts by an entry without a clock, want 1", got)
	}
	sim.run(shrinkGrace, owner)
	sim.submit(owner, jobOf(2, 1, 6))
	sim.run(time.Second, owner)
	if got := owner.Stats().Starts; got != 1 {
		t.Errorf("%d starts in all, though the entry is old, want 1", got)
	}
}

// Workers that reject overload are not held up by entries that stay away.
func TestGuardingWorkersGetTasksByAnyEntry(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	sim.run(time.Minute, owner)
	job := jobOf(1, 1, 6)
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("the job is %s after 1 s", got)
	}
}

// TestNoWorkerCarriesOutAStartAfterTheGraceOfItsEntry simulates starts that wait for
// their worker, decided while the feed of entries is away.
func TestNoWorkerCarriesOutAStartAfterTheGraceOfItsEntry(t *testing.T) {
	carriedOut := 0
	for wait := time.Duration(0); wait <= 2*time.Second; wait += 50 * time.Millisecond {
		sim := newSimulation(t)
		sim.overcommittingPools()
		f := sim.addOvercommitting("w1", 8)
		f.duration = forever
		owner := sim.newOwner()
		feed := owner.newEntryFeed()
		feed.follow(f, testFeedDelay)
		sim.injectFault = func(o Order) orderFault {
			if _, ok := o.(*StartOrder); !ok {
				return orderFault{}
			}
			sim.after(wait, func() { owner.answer(o, sim.apply(f, o), nil) })
			return orderFault{handled: true}
		}
		sim.run(testHeartbeat+testFeedDelay, owner)
		f.resize(2) // right after an entry
		sim.run(testFeedDelay+10*time.Millisecond, owner)
		feed.awayUntil = sim.now + 8*time.Second
		sim.run(3300*time.Millisecond, owner)
		sim.submit(owner, jobOf(1, 1, 6))
		sim.run(4*time.Second, owner)
		sim.check()
		carriedOut += len(f.running)
	}
	if carriedOut == 0 {
		t.Error("no start was carried out")
	}
}

// TestNoStartReliesOnAnEntryFromBeforeTheGrace simulates a feed of entries that is
// away while a worker shrinks.
func TestNoStartReliesOnAnEntryFromBeforeTheGrace(t *testing.T) {
	for wait := time.Duration(0); wait <= 6*time.Second; wait += 250 * time.Millisecond {
		sim := newSimulation(t)
		sim.overcommittingPools()
		f := sim.addOvercommitting("w1", 8)
		f.duration = forever
		owner := sim.newOwner()
		feed := owner.newEntryFeed()
		feed.follow(f, 0)
		sim.run(2*time.Second, owner)
		feed.awayUntil = sim.now + 8*time.Second
		f.resize(2)
		sim.run(wait, owner)
		sim.submit(owner, &workload.Job{
			ID: "0000000000000001", Queue: "q", Pool: "p", Spec: "spec",
			Steps: []workload.Step{{Count: 1, Size: placement.Resources{Processors: 6, MemoryMB: 100}, Estimate: time.Second}},
		})
		sim.run(10*time.Second-wait, owner)
		sim.check()
		f.resize(8)
		sim.run(3*time.Second, owner)
		if len(f.running) != 1 {
			t.Errorf("wait %v: %d runs once the worker has grown again, want 1", wait, len(f.running))
		}
	}
}
