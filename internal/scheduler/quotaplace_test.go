package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// A task that no worker takes must not keep the team's other tasks from using the quota.
func TestTaskWithoutPlaceLeavesTheQuotaToOthers(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim := newQuotaSimulation(t, "w1", "w2")
		for _, f := range sim.workers {
			f.duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
				return time.Duration(1000+370*(id.Index%4)) * time.Millisecond, platform.EndDone
			}
		}
		owner := sim.newOwner()
		small := jobOfTeam("a", 2, 400, 1)
		small.Queue = "r"
		sim.submit(owner, small)
		sim.run(time.Second, owner)
		stuck := jobOfTeam("a", 1, 2, 3.5)
		if gang {
			stuck = jobOfTeam("a", 1, 2, 1.75)
		}
		stuck.Steps[0].Requires, stuck.Steps[0].Gang = "absent", gang
		sim.submit(owner, stuck)
		sum := 0.0
		for range 100 {
			sim.run(100*time.Millisecond, owner)
			sum += sim.heldBy("a").Processors
		}
		sim.check()
		if mean := sum / 100; mean < 3.5 {
			t.Errorf("gang %v: the team holds %v of 4 cores on average", gang, mean)
		}
	}
}
