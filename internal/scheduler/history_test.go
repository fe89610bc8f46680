package scheduler

import (
	"math/rand/v2"
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
		playHistory(t, faultClasses{}).judge(t)
	})
}

// Orders without an answer are carried out by the next incarnation too.
func TestNoTaskRunsTwiceWhenOrdersOutliveAnIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playHistory(t, faultClasses{ordersOutlive: true}).judge(t) })
}

// A lease that is renewed late counts from the arrival of the poll.
func TestNoTaskRunsTwiceWhenALeaseOutlastsItsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playHistory(t, faultClasses{leaseFromArrival: true}).judge(t) })
}

// TestSeedRepeatsItsHistory guards against a simulation that depends on the
// order of a map: a failure of such a history cannot be reproduced.
func TestSeedRepeatsItsHistory(t *testing.T) {
	for _, classes := range []faultClasses{{}, {ordersOutlive: true, leaseFromArrival: true}} {
		histories := rapid.Custom(func(t *rapid.T) []string {
			sim := playHistory(t, classes)
			return append(sim.trace, sim.violation)
		})
		for seed := range 25 {
			first, second := histories.Example(seed), histories.Example(seed)
			if diff := cmp.Diff(first, second); diff != "" {
				t.Fatalf("seed %d plays two histories:\n%s", seed, diff)
			}
		}
	}
}

// faultClasses are the faults of a history in addition to those that each has.
// With any of them, draws are uniform (those of rapid favour small values),
// orders to a worker that is down or unreachable may be
// carried out late, workers crash and restart at once, and some tasks outlast
// a lease.
type faultClasses struct {
	// ordersOutlive lets late orders reach the next incarnation of their worker.
	ordersOutlive bool
	// leaseFromArrival lets the leases of late polls count from their arrival.
	leaseFromArrival bool
}

func (c faultClasses) wide() bool { return c != faultClasses{} }

// playHistory plays a random history to its end or to the first violation.
func playHistory(t *rapid.T, classes faultClasses) *simulation {
	sim := newSimulation(t)
	ids := []string{"w1", "w2", "w3", "w4"}
	var random *rand.Rand
	if classes.wide() {
		random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	}
	draw := func(from, to int, label string) int {
		if classes.wide() {
			return from + random.IntN(to-from+1)
		}
		return rapid.IntRange(from, to).Draw(t, label)
	}
	overcommits := rapid.Bool().Draw(t, "workers start whatever they are told to")
	stopTakes := time.Duration(draw(0, 200, "stop takes ms")) * time.Millisecond
	for _, id := range ids {
		f := sim.addWorker(id, "p", 6)
		f.overcommits = overcommits
		f.stopTakes = stopTakes
		f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
			if classes.wide() && task.Job[15]%3 == 0 {
				return time.Duration(2+task.Index*2) * time.Second, platform.EndDone
			}
			ms := 100 + int(task.Job[15]-'0')*130 + task.Index*70
			return time.Duration(ms) * time.Millisecond, platform.EndDone
		}
	}
	faults := true
	loss := draw(0, 30, "loss percent")
	var draws []int
	if !classes.wide() {
		draws = rapid.SliceOfN(rapid.IntRange(0, 99), 400, 400).Draw(t, "luck")
	}
	next := 0
	nextDraw := func() int {
		if classes.wide() {
			return random.IntN(100)
		}
		next++
		return draws[next%len(draws)]
	}
	sim.injectFault = func(o Order) orderFault {
		if !faults {
			return orderFault{}
		}
		f := sim.workers[keyOf(o).target]
		cut := classes.wide() && f != nil && !(f.up && f.reachable)
		if !cut && nextDraw() >= loss {
			return orderFault{}
		}
		late := nextDraw()
		ft := orderFault{lost: true, applied: late%2 == 0, delay: time.Duration(late) * 30 * time.Millisecond}
		if nextDraw()%3 == 0 {
			ft.delay = min(4*ft.delay, maxOrderDelay)
		}
		ft.sameIncarnation = classes.wide() && !classes.ordersOutlive
		ft.fromArrival = classes.leaseFromArrival && nextDraw()%4 > 0
		return ft
	}
	owners := []*testOwner{sim.newOwner()}
	current := owners[0]
	jobs := 0
	actions := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	if classes.wide() {
		actions = append(actions, 0, 0, 1, 2, 3, 3, 3, 3)
	}
	if classes.ordersOutlive {
		actions = append(actions, 10, 10, 10, 10)
	}
	if classes.leaseFromArrival {
		actions = append(actions, 11, 11, 11, 11, 11, 11)
	}
	steps := draw(5, 40, "steps")
	for range steps {
		f := sim.workers[ids[draw(0, len(ids)-1, "worker")]]
		switch actions[draw(0, len(actions)-1, "action")] {
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
		case 11:
			// The worker is away for longer than a lease.
			f.reachable = false
			sim.after(time.Duration(draw(4500, 7000, "away ms"))*time.Millisecond, func() { f.reachable = true })
		case 10:
			if f.up {
				f.crash()
				f.restart(sim.now)
				sim.tracef("%s restarts", f.ID)
			}
		}
		current.discover()
		sim.run(time.Duration(draw(5, 900, "pause"))*time.Millisecond, owners...)
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
