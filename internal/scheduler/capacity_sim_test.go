package scheduler

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// testHeartbeat is the interval at which workers write their entries.
	testHeartbeat = 1500 * time.Millisecond
	// shrinkGrace is how long the capacity that a worker had before it shrank
	// still counts: the platform's contact time and one heartbeat.
	shrinkGrace = 3*time.Second + testHeartbeat
	// testFeedDelay is the usual time from an entry to its reading by the owner.
	testFeedDelay = 200 * time.Millisecond
)

// formerCapacity is a capacity that a running worker had until it changed.
type formerCapacity struct {
	placement.Resources
	until time.Duration
}

// sized returns a capacity in the proportions of all workers of 8 cores.
func sized(cores float64) placement.Resources {
	return placement.Resources{Processors: cores, MemoryMB: int(cores / 8 * (1 << 20)), Accelerators: int(cores)}
}

// resize changes the capacity of a worker while it runs. The next entry that is
// read shows it.
func (f *fakeWorker) resize(cores float64) {
	f.sim.tracef("%s has %v cores after %v", f.ID, cores, f.Capacity.Processors)
	f.former = append(f.former, formerCapacity{f.Capacity, f.sim.now})
	f.Capacity = sized(cores)
}

// entry returns the entry that the worker writes now.
func (f *fakeWorker) entry() estate.Worker {
	w := f.Worker
	w.ClockMS = f.clock(f.sim.now)
	return w
}

// checkCapacity checks a start on a worker that accepts every start.
func (sim *simulation) checkCapacity(f *fakeWorker, o platform.Start) {
	size, free := sim.requestsOf(o.Task), sim.freeOn(f)
	for _, c := range f.former {
		if c.until > sim.now-shrinkGrace && size.Fits(free.Sub(f.Capacity).Add(c.Resources)) {
			return
		}
	}
	sim.violate("task %v run %d starts on %s, which has only %+v free", o.Task, o.Run, f.ID, free)
}

// entryFeed carries the entries of workers, written every testHeartbeat, to an
// owner.
type entryFeed struct {
	owner *testOwner
	// delay is the time from an entry to its reading.
	delay func() time.Duration
	// awayUntil is when the owner reads again, if the feed is away.
	awayUntil time.Duration
}

func (owner *testOwner) newEntryFeed() *entryFeed {
	return &entryFeed{owner: owner, delay: func() time.Duration { return testFeedDelay }}
}

// follow reads the entries of a worker, the first of which it writes after a
// time.
func (e *entryFeed) follow(f *fakeWorker, first time.Duration) {
	sim := e.owner.sim
	sim.after(first, func() {
		if f.removed {
			return
		}
		if f.up && f.reachable {
			e.write(f)
		}
		e.follow(f, testHeartbeat)
	})
}

// write lets a worker write its entry now.
func (e *entryFeed) write(f *fakeWorker) {
	sim, entry := e.owner.sim, f.entry()
	sim.after(max(e.delay(), e.awayUntil-sim.now), func() { e.read(entry) })
}

func (e *entryFeed) read(entry estate.Worker) {
	sim := e.owner.sim
	if e.awayUntil > sim.now {
		sim.after(e.awayUntil-sim.now, func() { e.read(entry) })
		return
	}
	sim.tracef("entry of %s at clock %d: %v cores", entry.ID, entry.ClockMS, entry.Capacity.Processors)
	e.owner.WorkerListed(entry, sim.now)
	e.owner.recordAtOnce()
}

// overcommittingPools replaces the catalog of a simulation by one whose workers
// start whatever they are told to.
func (sim *simulation) overcommittingPools() {
	catalog := sim.catalog()
	for _, p := range catalog.Pools {
		p.RejectsOverload = false
	}
	sim.estateCatalog = catalog
}

// addOvercommitting adds a worker that starts whatever it is told to.
func (sim *simulation) addOvercommitting(id string, cores float64) *fakeWorker {
	f := sim.addWorker(id, "p", cores)
	f.overcommits = true
	return f
}

// cores returns the cores that the runs of a worker request.
func (f *fakeWorker) cores() float64 { return f.Capacity.Processors - f.sim.freeOn(f).Processors }

// capacityChanges changes the capacities of the workers of a random history.
type capacityChanges struct {
	sim  *simulation
	draw func(from, to int, label string) int
	// owner returns the owner that reads the entries.
	owner func() *testOwner
	// late entries take up to 4 s, or until the feed is back.
	late      bool
	awayUntil time.Duration
}

// writeEntries lets every worker write its entry now and every testHeartbeat.
func (c *capacityChanges) writeEntries() {
	sim := c.sim
	for _, f := range sorted(sim.workers) {
		if !f.up || !f.reachable || f.unlisted {
			continue
		}
		longest := 700
		if c.late && c.draw(0, 3, "late") == 0 {
			longest = 4000
		}
		entry, delay := f.entry(), time.Duration(c.draw(50, longest, "entry ms"))*time.Millisecond
		sim.after(max(delay, c.awayUntil-sim.now), func() {
			sim.tracef("entry of %s at clock %d: %v cores", entry.ID, entry.ClockMS, entry.Capacity.Processors)
			c.owner().WorkerListed(entry, sim.now)
			c.owner().recordAtOnce()
		})
	}
	sim.after(testHeartbeat, c.writeEntries)
}

// change changes the capacity of a worker. One that is down starts as another kind:
// owners do not know of the new incarnation before they read an answer or entry.
func (c *capacityChanges) change(f *fakeWorker) {
	cores := float64(c.draw(0, 6, "cores"))
	if f.up {
		f.resize(cores)
		return
	}
	before := f.Capacity
	f.restart(c.sim.now)
	f.Capacity, f.former = sized(cores), []formerCapacity{{before, c.sim.now}}
	c.sim.tracef("%s restarts with %v cores after %v", f.ID, cores, before.Processors)
}
