package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/platform"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// TestNoTaskRunsTwiceInAnyHistory simulates random histories: owners are
// paused, lose the table service and are replaced; workers are unreachable,
// crash and restart as a new incarnation; orders are lost or carried out late;
// commits fail. No task may run twice at once, start after its end was
// acknowledged, or start on a worker that accepts every start without free
// capacity. Once all faults end, every job must end as well.
func TestNoTaskRunsTwiceInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playHistory(t).judge(t)
	})
}

// TestSeedRepeatsItsHistory guards against a simulation that depends on the
// order of a map: a failure of such a history cannot be reproduced.
func TestSeedRepeatsItsHistory(t *testing.T) {
	histories := rapid.Custom(func(t *rapid.T) []string {
		sim := playHistory(t)
		return append(sim.trace, sim.violation)
	})
	for seed := range 25 {
		first, second := histories.Example(seed), histories.Example(seed)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Fatalf("seed %d plays two histories:\n%s", seed, diff)
		}
	}
}

// playHistory plays a random history to its end or to the first violation.
func playHistory(t *rapid.T) *simulation {
	sim := newSimulation(t)
	ids := []string{"w1", "w2", "w3", "w4"}
	overcommits := rapid.Bool().Draw(t, "workers start whatever they are told to")
	stopTakes := time.Duration(rapid.IntRange(0, 200).Draw(t, "stop takes ms")) * time.Millisecond
	for _, id := range ids {
		f := sim.addWorker(id, "p", 6)
		f.overcommits = overcommits
		f.stopTakes = stopTakes
		f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
			ms := 100 + int(task.Job[15]-'0')*130 + task.Index*70
			return time.Duration(ms) * time.Millisecond, platform.EndDone
		}
	}
	faults := true
	loss := rapid.IntRange(0, 30).Draw(t, "loss percent")
	draws := rapid.SliceOfN(rapid.IntRange(0, 99), 400, 400).Draw(t, "luck")
	next := 0
	nextDraw := func() int { next++; return draws[next%len(draws)] }
	sim.injectFault = func(o Order) orderFault {
		if !faults || nextDraw() >= loss {
			return orderFault{}
		}
		late := nextDraw()
		return orderFault{lost: true, applied: late%2 == 0, delay: time.Duration(late) * 30 * time.Millisecond}
	}
	owners := []*testOwner{sim.newOwner()}
	current := owners[0]
	jobs := 0
	steps := rapid.IntRange(5, 40).Draw(t, "steps")
	for range steps {
		f := sim.workers[rapid.SampledFrom(ids).Draw(t, "worker")]
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0, 1, 2:
			jobs++
			spec := jobOf(jobs%10, 1+jobs%3, 2)
			spec.ID = spec.ID[:10] + string(rune('a'+jobs/100%26)) + string(rune('a'+jobs/10%10)) + spec.ID[12:]
			sim.submit(current, spec)
		case 3:
			f.reachable = !f.reachable
		case 4:
			f.crash()
		case 5:
			if !f.up {
				f.restart(sim.now)
			}
		case 6:
			current.expired = !current.expired
		case 7:
			current.paused = !current.paused
		case 8:
			// A successor takes over once the previous owner's lease has expired.
			current.expired = true
			sim.run(2*time.Second, owners...)
			current = sim.newOwnerAfter(0)
			owners = append(owners, current)
		case 9:
			sim.storeDown = !sim.storeDown
		}
		current.discover()
		sim.run(time.Duration(rapid.IntRange(5, 900).Draw(t, "pause"))*time.Millisecond, owners...)
		if sim.violation != "" {
			return sim
		}
	}
	faults = false
	sim.storeDown = false
	for _, f := range sorted(sim.workers) {
		f.reachable = true
		if !f.up {
			f.restart(sim.now)
		}
	}
	for _, o := range owners {
		o.paused = false
	}
	sim.run(2*time.Second, owners...)
	last := sim.newOwnerAfter(0)
	owners = append(owners, last)
	for range 20 {
		last.discover()
		sim.run(time.Second, owners...)
	}
	return sim
}

// judge fails if a history violated an invariant or left a job that has not
// ended.
func (sim *simulation) judge(t *rapid.T) {
	sim.check()
	for id, j := range sim.records {
		if !j.progress.State.Over() {
			t.Errorf("job %s is still %s", id, j.progress.State)
		}
	}
}
