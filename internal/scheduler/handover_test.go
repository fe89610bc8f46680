package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// unreachedWorker returns an owner that has recorded that it did not reach w1.
// The previous one has started a task there.
func (sim *simulation) unreachedWorker(t *testing.T) (*testOwner, *fakeWorker, *workload.Job) {
	t.Helper()
	sim.replaceRecord = true
	first, w1, job := sim.runningTask("w2")
	w1.reachable = false
	first.expired = true
	sim.run(releaseTime)
	owner := sim.newOwnerAfter(releaseTime)
	leasesEnd := sim.now - releaseTime + atSlowClock(testMaxLease)
	for sim.inUse["w1"].LeaseEnd == 0 && sim.now < 10*time.Second {
		sim.run(testTick, owner)
	}
	if got := sim.inUse["w1"].LeaseEnd; got == 0 || got > leasesEnd {
		t.Fatalf("the lease of the worker is recorded to end at %v, want at most %v, as the owner granted none", got, leasesEnd)
	}
	return owner, w1, job
}

// leaseEndIn returns when the lease of a worker ends according to a record, 0 if
// that does not tell.
func leaseEndIn(list []UsedWorker, id string) time.Duration {
	for _, u := range list {
		if u.ID == id {
			return u.LeaseEnd
		}
	}
	return 0
}

// The worker is reachable for a while before the next change of owner.
func TestSuccessorWaitsForTheLeaseOfAWorkerThatWasReachedLate(t *testing.T) {
	faults := map[string]struct {
		recordFault
		writes int // how many writes it affects
	}{
		"none":            {recordFault{}, 0},
		"new record lost": {recordFault{lost: true}, 100},
		"new record late": {recordFault{lost: true, applied: true, delay: 100 * time.Millisecond}, 1},
		"new record applied after the next write": {recordFault{lost: true, applied: true, delay: 550 * time.Millisecond}, 1},
	}
	for name, fault := range faults {
		leased := 0
		for reachable := time.Duration(0); reachable < 1200*time.Millisecond; reachable += 20 * time.Millisecond {
			sim := newSimulation(t)
			owner, w1, job := sim.unreachedWorker(t)
			before := w1.leaseMS
			writes := 0
			sim.recordFault = func(list []UsedWorker) recordFault {
				if leaseEndIn(list, "w1") > 0 || writes == fault.writes {
					return recordFault{}
				}
				writes++
				return fault.recordFault
			}
			w1.reachable = true
			sim.run(reachable, owner)
			w1.reachable = false
			owner.expired = true
			if w1.leaseMS > before {
				leased++
			}
			sim.recordFault = nil
			sim.run(releaseTime)
			successor := sim.newOwnerAfter(releaseTime)
			sim.run(10*time.Second, successor)
			sim.check()
			if !sim.hasRun(job) {
				t.Errorf("%s: the task has no run 10 s after the change of owner", name)
			}
		}
		if got, want := leased > 0, name != "new record lost"; got != want {
			t.Errorf("%s: %d leases, want some: %v", name, leased, want)
		}
	}
}

// The write that states the end of the lease is applied after the worker was reached.
func TestLateRecordOfAnUnreachedWorkerDoesNotShortenTheWait(t *testing.T) {
	for delay := 20 * time.Millisecond; delay < 2500*time.Millisecond; delay += 20 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			sim := newSimulation(t)
			sim.replaceRecord = true
			first, w1, _ := sim.runningTask("w2")
			w1.reachable = false
			first.expired = true
			sim.run(releaseTime)
			owner := sim.newOwnerAfter(releaseTime)
			late := false
			sim.recordFault = func(list []UsedWorker) recordFault {
				if late || leaseEndIn(list, "w1") == 0 {
					return recordFault{}
				}
				late = true
				return recordFault{lost: true, applied: true, delay: delay}
			}
			for !late {
				sim.run(testTick, owner)
			}
			w1.reachable = true
			sim.run(delay+testTick, owner)
			w1.reachable = false
			owner.expired = true
			sim.run(releaseTime)
			sim.run(10*time.Second, sim.newOwnerAfter(releaseTime))
			sim.check()
		})
	}
}

// The worker falls silent long after its owner has reached it.
func TestSuccessorWaitsForTheLeaseOfAWorkerThatFellSilent(t *testing.T) {
	for reachable := time.Second; reachable < 6*time.Second; reachable += 100 * time.Millisecond {
		sim := newSimulation(t)
		sim.replaceRecord = true
		first, w1, _ := sim.runningTask("w2")
		first.expired = true
		sim.run(releaseTime)
		owner := sim.newOwnerAfter(releaseTime)
		sim.run(reachable, owner)
		w1.reachable = false
		sim.run(2*time.Second, owner)
		owner.expired = true
		sim.run(releaseTime)
		sim.run(10*time.Second, sim.newOwnerAfter(releaseTime))
		sim.check()
	}
}

func TestReachedWorkerGetsItsLeaseOnceItIsRecordedAnew(t *testing.T) {
	sim := newSimulation(t)
	owner, w1, job := sim.unreachedWorker(t)
	w1.reachable = true
	reachedAt := sim.now
	before := w1.leaseMS
	for w1.leaseMS == before && sim.now < reachedAt+5*time.Second {
		sim.run(testTick, owner)
	}
	if took := sim.now - reachedAt; took > pollRetryMax+100*time.Millisecond {
		t.Errorf("the lease is renewed %v after the worker can be reached", took)
	}
	sim.run(5*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.LostRuns != 0 || s.Starts != 0 || !sim.hasRun(job) {
		t.Errorf("%d runs given up, %d starts, the task runs: %v; want none, none and true", s.LostRuns, s.Starts, sim.hasRun(job))
	}
}
