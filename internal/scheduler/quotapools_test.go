package scheduler

import (
	"testing"
	"time"

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
