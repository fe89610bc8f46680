package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// A start of the previous owner may arrive at a worker that has restarted in another pool.
func TestUndiscoveredRunsCountAfterTheWorkerHasChangedPools(t *testing.T) {
	sim := newQuotaSimulation(t, "w1")
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	w1 := sim.workers["w1"]
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); ok {
			return orderFault{lost: true, applied: true, delay: 600 * time.Millisecond}
		}
		return orderFault{}
	}
	sim.submit(owner, jobOfTeam("a", 1, 2, 2))
	sim.run(50*time.Millisecond, owner)
	owner.expired = true
	sim.injectFault = nil
	w1.restart(sim.now)
	w1.Pool, w1.reachable = "q", false
	sim.addWorker("w2", "p", 6).duration = lasting(2 * time.Second)
	successor := sim.newOwner()
	successor.WorkerListed(w1.Worker, sim.now)
	sim.submit(successor, jobOfTeam("a", 2, 2, 2))
	for range 10 {
		sim.run(100*time.Millisecond, owner, successor)
		if held := sim.heldBy("a").Processors; held > 4 {
			t.Fatalf("the team holds %v cores at %v, its quota is 4", held, sim.now)
		}
		sim.check()
	}
	w1.reachable = true
	sim.run(12*time.Second, owner, successor)
	sim.check()
	for n := 1; n <= 2; n++ {
		if state := sim.state(jobOf(n, 1, 1).ID); state != workload.Completed {
			t.Errorf("job %d is %s", n, state)
		}
	}
}
