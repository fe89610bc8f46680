package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// Both runs of a task are done; the second end is listed before the first is recorded, and the first worker and the owner end.
func TestEndOfACopyIsNotAcknowledgedBeforeTheTaskIsRecordedAsDone(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorker("w1", "p", 2)
	w1.duration = lasting(3 * time.Second)
	w2 := sim.addWorker("w2", "p", 2)
	w2.duration = lasting(1500 * time.Millisecond)
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].Speculative = true
	sim.submit(owner, job)
	sim.run(2*time.Second, owner)
	if owner.Stats().Copies != 1 {
		t.Fatalf("%d copies, want 1", owner.Stats().Copies)
	}
	sim.storeDown = true
	w1.reachable = false
	sim.run(1200*time.Millisecond, owner)
	w1.reachable = true
	sim.run(time.Second, owner)
	if sim.state(job.ID) == workload.Completed {
		t.Fatal("the job is recorded as completed although the store is away")
	}
	w2.crash()
	w2.unlisted = true
	sim.storeDown = false
	successor := sim.newOwner()
	sim.run(10*time.Second, successor)
	sim.check()
	if s := sim.state(job.ID); s != workload.Completed {
		t.Errorf("state %q, want completed", s)
	}
}
