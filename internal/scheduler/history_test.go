package scheduler

import (
	stdcmp "cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/placement"
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
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		playHistory(t, faultClasses{}).judge(t)
	})
}

// TestNoTaskRunsTwiceInAnyWiderHistory adds random combinations of further
// faults, while late orders reach only the incarnation that they were sent to.
func TestNoTaskRunsTwiceInAnyWiderHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playHistory(t, widerFaults(t)).judge(t) })
}

func widerFaults(t *rapid.T) faultClasses {
	return faultClasses{
		poolsChange:     rapid.Bool().Draw(t, "pools change"),
		ownersStarve:    rapid.Bool().Draw(t, "owners starve"),
		answersOvertake: rapid.Bool().Draw(t, "answers overtake"),
		entriesVanish:   rapid.Bool().Draw(t, "entries vanish"),
		longTasks:       true,
	}
}

// An entry that comes back names a worker that may not be recorded any more.
func TestNoTaskRunsTwiceWhenEntriesVanish(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		playHistory(t, faultClasses{poolsChange: true, ownersStarve: true, answersOvertake: true, entriesVanish: true}).judge(t)
	})
}

// Orders without an answer are carried out by the next incarnation too.
func TestNoTaskRunsTwiceWhenOrdersOutliveAnIncarnation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playHistory(t, faultClasses{ordersOutlive: true}).judge(t) })
}

// Start times do not tell which of two incarnations is the later one.
func TestNoTaskRunsTwiceWhenClocksStep(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		playHistory(t, faultClasses{clocksStep: true, ownersStarve: rapid.Bool().Draw(t, "owners starve"), answersOvertake: rapid.Bool().Draw(t, "answers overtake")}).judge(t)
	})
}

// A lease that is renewed late counts from the arrival of the poll.
func TestNoTaskRunsTwiceWhenALeaseOutlastsItsDeadline(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playHistory(t, faultClasses{leaseFromArrival: true}).judge(t) })
}

// An owner that did not reach a worker passes on when its leases end.
func TestNoTaskRunsTwiceWhenOwnersFollowEachOther(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playHistory(t, faultClasses{ownersHurry: true}).judge(t) })
}

// The quotas change while runs of previous owners are undiscovered, orders are late
// and workers are cut off.
func TestTeamsStayWithinTheirQuotasInAnyHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		classes := widerFaults(t)
		classes.teams = true
		playHistory(t, classes).judge(t)
	})
}

// drawTeam gives a job to a team, or to none, and makes its step of some kind.
func drawTeam(spec *workload.Job, draw func(from, to int, label string) int) {
	spec.Team = []string{"a", "a", "b", ""}[draw(0, 3, "team")]
	s := &spec.Steps[0]
	switch draw(0, 5, "kind of step") {
	case 0:
		s.Gang = true
	case 1:
		s.Filler = true
	case 2:
		s.Size.Processors = 1
	}
}

// TestSeedRepeatsItsHistory guards against a simulation that depends on the
// order of a map: a failure of such a history cannot be reproduced.
func TestSeedRepeatsItsHistory(t *testing.T) {
	t.Parallel()
	for _, classes := range []faultClasses{{}, everyFault, {ownersHurry: true}, {capacitiesChange: true, entriesLate: true}, {teams: true, poolsChange: true}} {
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
	// poolsChange moves queues and hosts between two pools.
	poolsChange bool
	// ownersStarve lets the answers for an owner wait for up to 3 s.
	ownersStarve bool
	// answersOvertake lets orders and answers take up to 400 ms each.
	answersOvertake bool
	// entriesVanish removes discovery entries after an outage of the table
	// service and lists them again. Owners replace the record of the workers in
	// use, instead of adding to it.
	entriesVanish bool
	// clocksStep sets the clocks of hosts forward or back before their workers
	// restart, and lets entries reach the owner up to 2 s late.
	clocksStep bool
	// ownersHurry lets owners follow each other within seconds, while workers are
	// unreachable and the record of the workers in use is written late.
	ownersHurry bool
	// capacitiesChange lets the capacities of workers shrink and grow, while owners
	// learn of them only by the workers' heartbeats. Without entriesLate, owners
	// stay and read each entry in time.
	capacitiesChange, entriesLate bool
	// teams gives jobs of several kinds to teams whose quotas change, and cancels some.
	teams bool
	// longTasks adds only what each of the classes adds.
	longTasks bool
}

var everyFault = faultClasses{
	ordersOutlive: true, leaseFromArrival: true, poolsChange: true, ownersStarve: true, answersOvertake: true, entriesVanish: true, clocksStep: true,
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
	if classes.teams {
		stopTakes *= 10
	}
	hosts := len(ids)
	addHost := func(id, pool string) {
		f := sim.addWorker(id, pool, 6)
		f.overcommits = overcommits
		f.stopTakes = stopTakes
		f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
			if classes.ownersHurry {
				return time.Duration(4+task.Index*3) * time.Second, platform.EndDone
			}
			if classes.wide() && task.Job[15]%3 == 0 {
				return time.Duration(2+task.Index*2) * time.Second, platform.EndDone
			}
			ms := 100 + int(task.Job[15]-'0')*130 + task.Index*70
			return time.Duration(ms) * time.Millisecond, platform.EndDone
		}
	}
	for i, id := range ids {
		pool := "p"
		if classes.poolsChange && i%2 == 1 {
			pool = "other"
		}
		addHost(id, pool)
	}
	if classes.poolsChange {
		sim.poolOf["r"] = "other"
	}
	if classes.teams {
		sim.exact = true
		sim.setTeams(map[string]placement.Resources{"a": cores(4), "b": cores(8)})
	}
	sim.replaceRecord = classes.entriesVanish || classes.ownersHurry
	if classes.answersOvertake {
		sim.requestDelay = func() time.Duration { return time.Duration(draw(1, 400, "request ms")) * time.Millisecond }
	}
	if classes.answersOvertake || classes.ownersStarve {
		sim.answerDelay = func() time.Duration { return time.Duration(draw(1, 400, "answer ms")) * time.Millisecond }
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
	if classes.ownersHurry {
		sim.recordFault = func([]UsedWorker) recordFault {
			return recordFault{lost: faults && nextDraw() < 2*loss, applied: nextDraw()%2 == 0, delay: time.Duration(nextDraw()) * 20 * time.Millisecond}
		}
	}
	if classes.capacitiesChange && overcommits {
		sim.overcommittingPools()
	}
	owners := []*testOwner{sim.newOwner()}
	current := owners[0]
	changes := capacityChanges{sim: sim, draw: draw, owner: func() *testOwner { return current }, late: classes.entriesLate}
	if classes.capacitiesChange {
		changes.writeEntries()
	}
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
	if classes.poolsChange {
		actions = append(actions, 8, 8, 12, 12, 13, 13, 13)
	}
	if classes.ownersStarve {
		actions = append(actions, 8, 14, 14, 14, 14, 14)
	}
	if classes.entriesVanish {
		actions = append(actions, 8, 8, 15, 15, 15, 15)
	}
	if classes.clocksStep {
		actions = append(actions, 16, 16, 16, 16)
	}
	if classes.ownersHurry {
		actions = []int{0, 3, 3, 3, 3, 17, 17}
	}
	if classes.teams {
		actions = append(actions, 8, 20, 20, 21, 21)
	}
	switch {
	case classes.entriesLate:
		actions = append(actions, 18, 18, 18, 18, 18, 18, 19, 19, 19)
	case classes.capacitiesChange:
		actions = []int{0, 0, 1, 2, 4, 18, 18, 18, 18}
	}
	submit := func() {
		jobs++
		spec := jobOf(jobs%10, 1+jobs%3, 2)
		spec.ID = spec.ID[:10] + string(rune('a'+jobs/100%26)) + string(rune('a'+jobs/10%10)) + spec.ID[12:]
		if classes.poolsChange {
			spec.Queue = []string{"q", "r"}[draw(0, 1, "queue")]
			spec.Pool = stdcmp.Or(sim.poolOf[spec.Queue], "p")
		}
		if classes.teams {
			drawTeam(spec, draw)
		}
		sim.submit(current, spec)
	}
	steps := draw(5, 40, "steps")
	for range steps {
		host := draw(0, len(ids)-1, "worker")
		f := sim.workers[ids[host]]
		switch actions[draw(0, len(actions)-1, "action")] {
		case 0, 1, 2:
			submit()
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
			if classes.teams {
				f.reachable = false // its runs stay undiscovered while new jobs arrive
			}
			current = sim.newOwnerAfter(0)
			owners = append(owners, current)
			if classes.teams {
				submit()
				submit()
			}
		case 17:
			// The owner releases its ownership; it gave its last order just before. It
			// may tell what its successor has to wait for, or be killed as it releases.
			if draw(0, 2, "last record is written") > 0 {
				sim.replaceUsedWorkers(current, current.InUse(sim.now), current.recordVersion)
			}
			if draw(0, 2, "leases are told") > 0 {
				sim.releasedLeasesEnd = current.LeasesEnd()
			}
			current.expired = true
			vacant := time.Duration(draw(0, 500, "vacant ms")) * time.Millisecond
			sim.run(vacant, owners...)
			current = sim.newOwnerAfter(vacant)
			owners = append(owners, current)
		case 9:
			sim.storeDown = !sim.storeDown
		case 20:
			sim.setTeams(map[string]placement.Resources{"a": cores(float64(draw(2, 8, "quota of a"))), "b": cores(float64(draw(2, 12, "quota of b")))}, owners...)
		case 21:
			if jobs := sorted(sim.records); len(jobs) > 0 {
				j := jobs[draw(0, len(jobs)-1, "cancelled job")]
				j.cancelled = true
				if !current.paused {
					current.Cancel(j.spec.ID, 1, sim.now)
				}
			}
		case 18:
			changes.change(f)
		case 19:
			changes.awayUntil = sim.now + time.Duration(draw(1000, 9000, "feed away ms"))*time.Millisecond
		case 11:
			// The worker is away for longer than a lease.
			f.reachable = false
			sim.after(time.Duration(draw(4500, 7000, "away ms"))*time.Millisecond, func() { f.reachable = true })
		case 12:
			queue := []string{"q", "r"}[draw(0, 1, "queue")]
			sim.poolOf[queue] = []string{"p", "other"}[draw(0, 1, "pool")]
			sim.catalogVersion++
			for _, o := range owners {
				o.SetCatalog(sim.catalog())
			}
		case 13:
			// The host moves and its worker joins the other pool under a new id.
			f.crash()
			f.removed, f.unlisted = true, true
			if draw(0, 1, "host list shows it") == 1 && !current.paused {
				current.HostRemoved(f.ID, sim.now)
			}
			hosts++
			ids[host] = fmt.Sprintf("w%d", hosts)
			addHost(ids[host], []string{"p", "other"}[draw(0, 1, "pool")])
			sim.tracef("%s becomes %s in pool %s", f.ID, ids[host], sim.workers[ids[host]].Pool)
		case 14:
			current.starvedUntil = sim.now + time.Duration(draw(200, 3000, "starved ms"))*time.Millisecond
			sim.tracef("owner %d is starved until %v", current.token, current.starvedUntil)
		case 15:
			sim.storeDown = true
			sim.after(time.Duration(draw(200, 4000, "outage ms"))*time.Millisecond, func() {
				sim.storeDown = false
				for _, f := range sorted(sim.workers) {
					if draw(0, 2, "vanishes") > 0 {
						f.unlisted = true
						sim.after(time.Duration(draw(100, 2000, "unlisted ms"))*time.Millisecond, func() { f.unlisted = f.removed })
					}
				}
			})
		case 10:
			if f.up {
				f.crash()
				f.restart(sim.now)
				sim.tracef("%s restarts", f.ID)
			}
		case 16:
			f.crash()
			// No request is under way any more; ordersOutlive is for those that are.
			sim.after(450*time.Millisecond, func() {
				if !f.up && !f.removed {
					f.clockStep = time.Duration(draw(-60_000, 60_000, "clock step ms")) * time.Millisecond
					f.restart(sim.now)
					sim.tracef("%s restarts, its clock is %v fast", f.ID, f.clockStep)
				}
			})
		}
		switch {
		case classes.entriesVanish && sim.storeDown, classes.capacitiesChange:
		case classes.clocksStep:
			current.discoverLate(time.Duration(draw(0, 2000, "entries late ms")) * time.Millisecond)
		default:
			current.discover()
		}
		sim.run(time.Duration(draw(5, 900, "pause"))*time.Millisecond, owners...)
		if sim.violation != "" {
			return sim
		}
	}
	faults = false
	sim.storeDown = false
	for _, f := range sorted(sim.workers) {
		f.reachable, f.unlisted = true, f.removed
		if classes.capacitiesChange {
			f.resize(6)
		}
		if !f.up && !f.removed {
			f.restart(sim.now)
		}
	}
	if classes.poolsChange {
		addHost("last-p", "p") // every pool has a host again
		addHost("last-other", "other")
	}
	if classes.teams {
		sim.setTeams(map[string]placement.Resources{"a": cores(8), "b": cores(8)}, owners...) // every gang fits
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
		if most := sim.mostCrashes(id); j.progress.State == workload.Failed && most < maxCertainCrashes {
			t.Errorf("job %s has failed, though at most %d workers have crashed under a task of it: %+v", id, most, j.progress.Crashes)
		}
	}
}

// mostCrashes returns how many workers have crashed under a task of a job, at most.
func (sim *simulation) mostCrashes(job string) int {
	most := 0
	for task, n := range sim.crashed {
		if task.Job == job {
			most = max(most, n)
		}
	}
	return most
}
