package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// pendingSimulation submits a job that does not end to an owner with one worker.
func pendingSimulation(t *testing.T, fault orderFault) (*simulation, *testOwner, *workload.Job) {
	t.Helper()
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); ok {
			return fault
		}
		return orderFault{}
	}
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	return sim, owner, job
}

func TestJobWhoseStartNeverArrivedIsPending(t *testing.T) {
	sim, owner, job := pendingSimulation(t, orderFault{lost: true})
	for range 20 {
		sim.run(100*time.Millisecond, owner)
		if got := owner.Pending()["q"]; got != 1 || sim.state(job.ID) != workload.Queued {
			t.Fatalf("%d pending, recorded as %q at %v; want 1 and queued", got, sim.state(job.ID), sim.now)
		}
	}
	if owner.Stats().Starts == 0 {
		t.Error("no start was ordered")
	}
	sim.injectFault = nil
	sim.run(2*time.Second, owner)
	if got := owner.Pending()["q"]; got != 0 || sim.state(job.ID) != workload.Running {
		t.Errorf("%d pending, recorded as %q once it runs; want 0 and running", got, sim.state(job.ID))
	}
	sim.check()
}

func TestJobWhoseStartWasRefusedIsPending(t *testing.T) {
	sim, owner, job := pendingSimulation(t, orderFault{})
	sim.workers["w1"].needsTicket = "nobody"
	sim.run(time.Second, owner)
	if got := owner.Pending()["q"]; got != 1 || sim.state(job.ID) != workload.Queued || owner.Stats().TicketsRefused == 0 {
		t.Errorf("%d pending, recorded as %q, %d refusals; want 1, queued and some", got, sim.state(job.ID), owner.Stats().TicketsRefused)
	}
}

func TestJobWhoseStartAnswerWasLostIsNotPendingOnceListed(t *testing.T) {
	sim, owner, job := pendingSimulation(t, orderFault{lost: true, applied: true})
	sim.run(1500*time.Millisecond, owner)
	if got := owner.Pending()["q"]; got != 0 || sim.state(job.ID) != workload.Running || len(sim.workers["w1"].running) != 1 {
		t.Errorf("%d pending, recorded as %q, %d runs; want 0, running and 1", got, sim.state(job.ID), len(sim.workers["w1"].running))
	}
	sim.check()
}

func TestJobWhoseOnlyRunFailedIsNotPending(t *testing.T) {
	sim, owner, job := pendingSimulation(t, orderFault{lost: true, applied: true})
	sim.workers["w1"].duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return testTick, platform.EndFailed }
	for sim.now < 2*time.Second && owner.Stats().FailedRuns == 0 {
		sim.run(testTick, owner)
	}
	sim.injectFault = func(Order) orderFault { return orderFault{lost: true} }
	sim.run(200*time.Millisecond, owner)
	if got := owner.Pending()["q"]; got != 0 || sim.state(job.ID) != workload.Running || owner.Stats().FailedRuns != 1 {
		t.Errorf("%d pending, recorded as %q, %d failed runs; want 0, running and 1", got, sim.state(job.ID), owner.Stats().FailedRuns)
	}
}

func TestJobWhoseStartWasConfirmedIsNotPending(t *testing.T) {
	sim, owner, job := pendingSimulation(t, orderFault{})
	sim.run(50*time.Millisecond, owner)
	if got := owner.Pending()["q"]; got != 0 || owner.Stats().Starts != 1 {
		t.Errorf("%d pending, %d starts of %s; want 0 and 1", got, owner.Stats().Starts, job.ID)
	}
}

func TestAdoptedJobThatWasRecordedAsQueuedIsNotPending(t *testing.T) {
	sim, owner, job := pendingSimulation(t, orderFault{})
	sim.storeDown = true
	sim.run(300*time.Millisecond, owner)
	if sim.state(job.ID) != workload.Queued || len(sim.workers["w1"].running) != 1 {
		t.Fatalf("recorded as %q, %d runs; want queued and 1", sim.state(job.ID), len(sim.workers["w1"].running))
	}
	sim.storeDown = false
	next := sim.newOwner()
	sim.run(500*time.Millisecond, next)
	if got := next.Pending()["q"]; got != 0 || sim.state(job.ID) != workload.Running {
		t.Errorf("%d pending, recorded as %q after the takeover; want 0 and running", got, sim.state(job.ID))
	}
	sim.check()
}
