package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// A backlog in one pool must not keep the team's tasks in another pool waiting for good.
func TestQuotaIsSharedBetweenPools(t *testing.T) {
	for _, backlog := range []string{"p", "q"} {
		t.Run(backlog, func(t *testing.T) {
			sim := newQuotaSimulation(t)
			for _, pool := range []string{"p", "q"} {
				sim.addWorker("w"+pool, pool, 6).duration = lasting(500 * time.Millisecond)
			}
			owner := sim.newOwner()
			many := jobOfTeam("a", 1, 200, 1)
			many.Pool = backlog
			sim.submit(owner, many)
			sim.run(2*time.Second, owner)
			few := jobOfTeam("a", 2, 4, 1)
			few.Pool = map[string]string{"p": "q", "q": "p"}[backlog]
			sim.submit(owner, few)
			sim.run(6*time.Second, owner)
			sim.check()
			if state := sim.state(few.ID); state != workload.Completed {
				t.Errorf("the job of the other pool is %s after 6 s", state)
			}
		})
	}
}

// A backlog in another pool must not keep a long-running task of the team without a run.
func TestLongRunningTaskGetsTheQuotaOfOtherPools(t *testing.T) {
	sim := newQuotaSimulation(t)
	sim.addWorker("wp", "p", 6).duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
		return time.Duration(1000+370*(id.Index%4)) * time.Millisecond, platform.EndDone
	}
	sim.addWorker("wq", "q", 6).duration = lasting(time.Minute)
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 200, 1))
	sim.run(2*time.Second, owner)
	service := jobOfTeam("a", 2, 1, 3)
	service.Pool, service.Steps[0].LongRunning = "q", true
	sim.submit(owner, service)
	sim.run(4*time.Second, owner)
	sim.check()
	if !sim.hasRun(service) {
		t.Error("the long-running task has no run after 4 s")
	}
	sim.run(2*time.Second, owner)
	sim.wantHeld(t, "a", 4, "beside the long-running task")
}
