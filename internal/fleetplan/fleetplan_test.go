package fleetplan

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

const (
	testCores = 64
	// latencyTarget is how long a job may wait and still be in time, as the
	// customers' queues set it.
	latencyTarget = 600 * time.Millisecond
	tick          = 100 * time.Millisecond
)

const (
	testMigration   = 1500 * time.Millisecond
	testMaintenance = 2 * time.Second
)

// fakeFleet simulates hosts, the work of their pools and the fleet service.
type fakeFleet struct {
	now     time.Duration
	hosts   []*fakeHost
	pools   map[string]*fakePool
	planner *Planner
	waves   []estate.Wave
	// maintained counts the maintenance orders carried out by host name, moves
	// the moves of all hosts.
	maintained map[string]int
	moves      int
	completed  bool
	violation  string
	// loseAnswer reports whether the answer to an order is lost. While silent
	// is set, the service answers no order: late holds the orders to be
	// answered once it is reset.
	loseAnswer func() bool
	silent     bool
	late       []Decision
	// hostsAt is the time of the host list while the service lists none, 0
	// while it does.
	hostsAt time.Duration
}

type fakeHost struct {
	name, pool  string
	state       estate.HostState
	backAt      time.Duration
	incarnation int
	reserved    bool
	longRunning int
	// needed is set while long-running tasks are about to be placed on it.
	needed bool
	// used is how many cores its tasks hold until busyUntil, late the part held
	// by late work.
	used, late float64
	busyUntil  time.Duration
}

type fakePool struct {
	standby bool
	// demand returns the work that arrives, in cores.
	demand   func(now time.Duration) float64
	waiting  float64
	arrivals []Arrival
	// unread are the arrivals that the planner does not know yet: the feed pauses.
	unread []Arrival
	paused bool
	// backlog is late work in core-seconds. It gets the capacity that other
	// work leaves.
	backlog float64
	// spread is how many open workers its long-running tasks need.
	spread int
}

func newFleet(sizes map[string]int) *fakeFleet {
	f := &fakeFleet{pools: map[string]*fakePool{}, maintained: map[string]int{}, planner: New(testMigration, nil, nil, nil, nil)}
	for _, pool := range []string{"a", "b", "c", "spare"} {
		f.pools[pool] = &fakePool{standby: pool == "spare", demand: func(time.Duration) float64 { return 0 }}
		for i := range sizes[pool] {
			f.hosts = append(f.hosts, &fakeHost{name: fmt.Sprintf("%s-%02d", pool, i), pool: pool, state: estate.HostUp})
		}
	}
	return f
}

func (h *fakeHost) worker() string { return fmt.Sprintf("%s.%d", h.name, h.incarnation) }

// step simulates one tick: work arrives, is placed and ends, and a plan is made
// and carried out.
func (f *fakeFleet) step() {
	f.now += tick
	if !f.silent {
		for _, d := range f.late {
			f.planner.Done(d, f.now)
		}
		f.late = nil
	}
	for _, h := range f.hosts {
		if h.state != estate.HostUp && f.now >= h.backAt {
			h.state = estate.HostUp
			h.incarnation++
		}
		if f.now >= h.busyUntil {
			h.used, h.late = 0, 0
		}
	}
	for name, p := range f.pools {
		work := p.demand(f.now) * tick.Seconds()
		for range 3 {
			if work > 0 {
				p.unread = append(p.unread, Arrival{f.now, work / 3})
			}
		}
		if !p.paused {
			p.arrivals = append(p.arrivals, p.unread...)
			p.unread = nil
		}
		p.waiting += work // tasks of one second: as many cores as core-seconds
		for _, h := range f.hosts {
			if h.pool != name || h.state != estate.HostUp || h.reserved || p.standby {
				continue
			}
			if take := min(p.waiting, testCores-h.used); take > 0 {
				h.used += take
				p.waiting -= take
				h.busyUntil = f.now + time.Second
			}
			if take := min(p.backlog, testCores-h.used); take > 0 {
				h.used += take
				h.late += take
				p.backlog -= take
				h.busyUntil = f.now + time.Second
			}
		}
	}
	f.plan()
}

func (f *fakeFleet) plan() {
	s := State{Now: f.now, HostsAt: cmp.Or(f.hostsAt, f.now), Waves: f.waves}
	byName := map[string]*fakeHost{}
	byWorker := map[string]*fakeHost{}
	members := map[string][]Worker{}
	for _, h := range f.hosts {
		byName[h.name] = h
		listed := estate.Host{Name: h.name, Pool: h.pool, State: h.state}
		if h.state == estate.HostUp && !f.pools[h.pool].standby {
			listed.WorkerID = h.worker()
			byWorker[h.worker()] = h
			members[h.pool] = append(members[h.pool], Worker{
				ID: h.worker(), Cores: testCores, Used: h.used, Late: h.late, LongRunningTasks: h.longRunning,
				Idle: h.used == 0 && h.longRunning == 0, Open: !h.reserved, Needed: h.needed,
			})
		}
		s.Hosts = append(s.Hosts, listed)
	}
	for _, name := range []string{"a", "b", "c", "spare"} {
		p := f.pools[name]
		shortfall := p.spread
		for _, w := range members[name] {
			if w.Open && w.LongRunningTasks > 0 {
				shortfall--
			}
		}
		for i := range members[name] {
			if w := &members[name][i]; shortfall > 0 && w.Open && w.LongRunningTasks == 0 {
				w.Needed = true
				shortfall--
			}
		}
		s.Pools = append(s.Pools, Pool{
			Name: name, Standby: p.standby, Workers: members[name], Waiting: p.waiting, Arrivals: p.arrivals, LongRunningShortfall: max(0, shortfall),
		})
	}
	decisions := f.planner.Plan(s)
	reservations := f.planner.Reservations()
	for id, h := range byWorker {
		h.reserved = reservations[id] != Unreserved
	}
	for _, d := range decisions {
		f.apply(d, byName[d.Host], byWorker[d.Worker])
	}
}

func (f *fakeFleet) apply(d Decision, h, w *fakeHost) {
	switch d.Kind {
	case Complete:
		f.completed = true
		for _, name := range f.waves[0].Hosts {
			if f.maintained[name] == 0 {
				f.fail("wave completed, but %s was not maintained", name)
			}
		}
	case Evacuate:
		if w != nil {
			w.longRunning = 0
		}
	case Move, Maintain:
		f.order(d, h)
	}
}

func (f *fakeFleet) order(d Decision, h *fakeHost) {
	if h.used > 0 || h.longRunning > 0 {
		f.fail("order %v for %s, which uses %v cores and runs %d long-running tasks", d.Kind, h.name, h.used, h.longRunning)
	}
	if d.Kind == Maintain {
		down := 0
		for _, other := range f.hosts {
			if other.state == estate.HostMaintenance {
				down++
			}
		}
		if down >= f.waves[0].MaxDown {
			f.fail("%s goes down while %d hosts are down, the maximum of the wave", h.name, down)
		}
	}
	if d.Kind == Move {
		f.moves++
		h.pool, h.state, h.backAt = d.To, estate.HostMoving, f.now+testMigration
	} else if f.maintained[h.name] == 0 {
		h.state, h.backAt = estate.HostMaintenance, f.now+testMaintenance
		f.maintained[h.name]++
	}
	if f.silent {
		f.late = append(f.late, d)
		return
	}
	if f.loseAnswer != nil && f.loseAnswer() {
		f.planner.OutcomeUnknown(d, f.now)
		return
	}
	f.planner.Done(d, f.now)
}

func (f *fakeFleet) fail(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf("%v: ", f.now) + fmt.Sprintf(format, args...)
	}
}

func (f *fakeFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

func (f *fakeFleet) size(pool string) int {
	n := 0
	for _, h := range f.hosts {
		if h.pool == pool {
			n++
		}
	}
	return n
}

// surge returns a demand of the given cores between two times, and of 1/80 of
// that at other times.
func surge(cores float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return cores
		}
		return cores / 80
	}
}

// TestSurgeGetsTheHostsThatIdleElsewhere simulates a surge of twice a pool's
// capacity. The pool must get idle hosts of other pools fast enough to keep the
// waiting work bounded, and give them up after the surge.
func TestSurgeGetsTheHostsThatIdleElsewhere(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 8})
	f.pools["a"].demand = surge(18*testCores, time.Second, 9*time.Second)
	f.run(4 * time.Second)
	if got := f.size("a"); got < 17 {
		t.Errorf("the pool has %d hosts 3 s into a surge that needs 18", got)
	}
	f.run(4 * time.Second)
	if waiting := f.pools["a"].waiting; waiting > 2*testCores {
		t.Errorf("%.0f core-seconds wait 7 s into the surge", waiting)
	}
	f.run(12 * time.Second)
	if got := f.size("a"); got > 4 {
		t.Errorf("the pool still has %d hosts 11 s after the surge", got)
	}
	if f.violation != "" {
		t.Error(f.violation)
	}
}

// ramp returns a demand that rises from a twentieth of the given cores to them in 4 s
// from a time on, and falls back 7 s after that time.
func ramp(cores float64, from time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < from || now >= from+7*time.Second {
			return cores / 20
		}
		return cores * max(0.05, min(1, (now-from).Seconds()/4))
	}
}

// maxWaiting runs the fleet and returns the most work that waited in a pool.
func (f *fakeFleet) maxWaiting(pool string, d time.Duration) float64 {
	most := 0.0
	for end := f.now + d; f.now < end; {
		f.step()
		most = max(most, f.pools[pool].waiting)
	}
	return most
}

// Guards against a pool that follows a rising demand and is short of hosts until it ends.
func TestRisingDemandGetsTheHostsOfAUsualSurge(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 12})
	f.pools["b"].demand = surge(20*testCores, time.Second, 9*time.Second)
	f.run(14 * time.Second)
	f.pools["a"].demand = ramp(20*testCores, f.now)
	if waiting, allowed := f.maxWaiting("a", 7*time.Second), latencyTarget.Seconds()*20*testCores; waiting > allowed {
		t.Errorf("up to %.0f core-seconds wait while demand rises, allowed are %.0f", waiting, allowed)
	}
}

// Guards against a first surge, of which nothing is known, that finds only its pool's own hosts.
func TestFirstSurgeGetsMoreHostsThanItsPoolHolds(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 12})
	f.run(time.Second)
	f.pools["a"].demand = ramp(13*testCores, f.now)
	if waiting, allowed := f.maxWaiting("a", 7*time.Second), latencyTarget.Seconds()*13*testCores; waiting > allowed {
		t.Errorf("up to %.0f core-seconds wait while demand first rises, allowed are %.0f", waiting, allowed)
	}
}

// Guards against jobs that become known together and are taken for a surge of several times their rate.
func TestJobsReadAfterAPauseAreNoSurge(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 12})
	a := f.pools["a"]
	a.demand = func(time.Duration) float64 { return 6 * testCores }
	f.run(12 * time.Second)
	before := f.size("a")
	a.paused = true
	f.run(1400 * time.Millisecond)
	a.paused = false
	f.run(500 * time.Millisecond)
	if got := f.size("a"); got > before+1 {
		t.Errorf("the pool has %d hosts after a pause of the feed, %d before", got, before)
	}
}

// TestLateWorkGivesWayToTheNextSurge simulates a pool with a backlog of late
// work from its own surge at the time when another pool's surge begins. The
// hosts must go to the second surge, whose callers, unlike those of the late
// work, can still be served in time. The backlog must still shrink.
func TestLateWorkGivesWayToTheNextSurge(t *testing.T) {
	f := newFleet(map[string]int{"a": 24, "b": 4, "c": 4, "spare": 2})
	f.pools["a"].backlog = 400 * testCores
	f.pools["a"].demand = func(time.Duration) float64 { return testCores / 2 }
	f.run(2 * time.Second)
	if got := f.size("a"); got < 24 {
		t.Fatalf("the pool keeps %d hosts for its late work while no other pool needs them, want 24", got)
	}
	f.pools["b"].demand = surge(16*testCores, 2*time.Second, 9*time.Second)
	f.run(4500 * time.Millisecond)
	if got := f.size("b"); got < 16 {
		t.Errorf("the pool has %d hosts 4.5 s into a surge that needs 16", got)
	}
	if waiting := f.pools["b"].waiting; waiting > 50*testCores {
		t.Errorf("%.0f core-seconds wait 4.5 s into the surge", waiting)
	}
	before := f.pools["a"].backlog
	f.run(10 * time.Second)
	if after := f.pools["a"].backlog; after >= before {
		t.Errorf("%.0f core-seconds of late work wait, %.0f waited 10 s earlier: the backlog does not shrink", after, before)
	}
	if f.violation != "" {
		t.Error(f.violation)
	}
}

// TestNextTurnFindsItsHosts simulates pools that surge in turn. From the second
// round on, the forecast must have moved most of the hosts that a pool needs
// before its surge begins.
func TestNextTurnFindsItsHosts(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 8})
	const turn = 8 * time.Second
	for i, name := range []string{"a", "b", "c"} {
		f.pools[name].demand = func(now time.Duration) float64 {
			if int(now/turn)%3 == i {
				return 14 * testCores
			}
			return testCores / 8
		}
	}
	f.run(3*turn + 500*time.Millisecond)
	if got := f.size("a"); got < 10 {
		t.Errorf("the pool has %d hosts half a second into its second surge, which needs 14", got)
	}
}

// TestQuietPoolsDoNotMove simulates a steady demand, under which hosts must not
// move back and forth.
func TestQuietPoolsDoNotMove(t *testing.T) {
	f := newFleet(map[string]int{"a": 6, "b": 6, "c": 6, "spare": 4})
	for _, name := range []string{"a", "b", "c"} {
		f.pools[name].demand = func(time.Duration) float64 { return 3 * testCores }
	}
	f.run(5 * time.Second)
	before := f.moves
	f.run(20 * time.Second)
	if got := f.moves - before; got > 4 {
		t.Errorf("%d moves in 20 s of steady demand", got)
	}
}

// TestWaveKeepsItsBoundsInAnyFleet simulates maintenance waves over random
// fleets with surges and lost answers. No host that runs tasks may go down,
// never more at once than MaxDown allows, and the wave must be completed once
// the maintenance of all its hosts has started.
func TestWaveKeepsItsBoundsInAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(map[string]int{"a": rapid.IntRange(1, 9).Draw(t, "a"), "b": 6, "c": 5, "spare": rapid.IntRange(0, 6).Draw(t, "spare")})
		loss := rapid.IntRange(0, 20).Draw(t, "loss")
		f.loseAnswer = func() bool { return rapid.IntRange(0, 99).Draw(t, "luck") < loss }
		for _, name := range []string{"a", "b"} {
			from := time.Duration(rapid.IntRange(0, 20).Draw(t, "from")) * time.Second
			f.pools[name].demand = surge(float64(rapid.IntRange(0, 12).Draw(t, "demand"))*testCores, from, from+6*time.Second)
		}
		wave := estate.Wave{Number: 1, Duration: 25 * time.Second, MaxDown: rapid.IntRange(1, 5).Draw(t, "max down")}
		for _, h := range f.hosts {
			h.longRunning = rapid.IntRange(0, 1).Draw(t, "lasting")
			if f.pools[h.pool].standby {
				h.longRunning = 0
			}
			if rapid.Bool().Draw(t, "in wave") {
				wave.Hosts = append(wave.Hosts, h.name)
			}
		}
		f.waves = []estate.Wave{wave}
		f.run(60 * time.Second)
		if f.violation != "" {
			t.Fatal(f.violation)
		}
		if !f.completed {
			t.Fatalf("maintenance of %d of %d hosts started after 60 s, wave not completed", len(f.maintained), len(wave.Hosts))
		}
	})
}

// TestNothingMovesWhileMostHostsAreDown simulates a fleet service that shows an
// outage, during which no host may move.
func TestNothingMovesWhileMostHostsAreDown(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 2})
	for i, h := range f.hosts {
		if i%3 != 0 {
			h.state, h.backAt = estate.HostDown, time.Hour
		}
	}
	f.pools["a"].demand = surge(20*testCores, 0, time.Minute)
	f.run(5 * time.Second)
	if f.moves > 0 {
		t.Errorf("%d moves while most hosts are down", f.moves)
	}
}

// TestOrdersWithoutAnswerAreBounded simulates a surge that needs more moves
// than the fleet service may have unanswered at once.
func TestOrdersWithoutAnswerAreBounded(t *testing.T) {
	f := newFleet(map[string]int{"a": 4, "b": 4, "c": 4, "spare": 200})
	f.pools["a"].demand = surge(150*testCores, 0, time.Minute)
	f.silent = true
	f.run(3 * time.Second)
	if f.moves == 0 || f.moves > maxUnanswered {
		t.Errorf("%d orders wait for an answer, want some and at most %d", f.moves, maxUnanswered)
	}
	f.silent = false
	f.run(10 * time.Second)
	if got := f.size("a"); got < 150 {
		t.Errorf("the pool has %d hosts, want at least 150", got)
	}
}

// TestTasksThatMustSpreadGetTheirWorkers simulates a small long-running task
// that waits because every worker of its pool runs as many tasks of its step as
// MaxPerWorker allows. The cores that the task requests do not call for another
// host, so the pool must grow because of the bound.
func TestTasksThatMustSpreadGetTheirWorkers(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "b": 3, "c": 3, "spare": 4})
	for _, h := range f.hosts {
		if !f.pools[h.pool].standby {
			h.longRunning = 1
		}
	}
	f.pools["a"].spread = 5
	f.run(4 * time.Second)
	if got := f.size("a"); got < 5 {
		t.Errorf("the pool has %d hosts, want at least 5, which its tasks need", got)
	}
}

func TestLongRunningTasksWaitForNoSurge(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "b": 3, "c": 3})
	for _, h := range f.hosts {
		h.longRunning = 1
	}
	f.pools["a"].demand = surge(20*testCores, 0, time.Minute)
	f.run(time.Second)
	f.hosts = append(f.hosts, &fakeHost{name: "spare-00", pool: "spare", state: estate.HostUp})
	f.pools["b"].spread = 4
	f.run(time.Second)
	if got := f.size("b"); got != 4 {
		t.Errorf("the pool has %d hosts, want 4, which its long-running tasks need", got)
	}
}

func TestLateWaveTakesNoIdleHostThatLongRunningTasksNeed(t *testing.T) {
	for idle, sizes := range map[string]map[string]int{
		"spare-00": {"a": 3, "b": 3, "c": 3, "spare": 1},
		"a-00":     {"a": 4, "b": 3, "c": 3},
	} {
		t.Run(idle, func(t *testing.T) {
			f := newFleet(sizes)
			for _, h := range f.hosts {
				if h.name != idle {
					h.longRunning = 1
				}
			}
			f.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, Hosts: []string{idle}}}
			f.run(6 * time.Second)
			f.waves[0].MaxDown = 1
			f.pools["a"].spread = 5
			f.run(time.Second)
			if f.maintained[idle] > 0 {
				t.Error("the host is taken down while long-running tasks need it")
			}
		})
	}
}

func TestNoWorkerIsEmptiedWhileTheFleetServiceIsAway(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "b": 3, "c": 3})
	for _, h := range f.hosts {
		h.longRunning, h.used, h.busyUntil = 1, 1, time.Minute
	}
	f.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 2, Hosts: []string{"a-00", "b-00"}}}
	f.run(time.Second)
	if len(f.planner.Reservations()) == 0 {
		t.Fatal("no worker is emptied for the wave")
	}
	f.hostsAt = f.now
	f.run(maxHostListAge + time.Second)
	if got := f.planner.Reservations(); len(got) > 0 {
		t.Errorf("workers are reserved for orders that cannot be given: %v", got)
	}
}

// The outcome of an order is not known when the fleet service goes away.
func TestOrderReservesItsWorkerForLimitedTime(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "b": 3, "c": 3})
	for _, h := range f.hosts {
		h.longRunning = 1
	}
	f.hosts[0].longRunning = 0
	f.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"a-00"}}}
	f.loseAnswer = func() bool { return true }
	f.run(tick)
	if len(f.planner.Reservations()) == 0 {
		t.Fatal("no order is in flight")
	}
	f.hostsAt = f.now
	f.run(orderTimeout + time.Second)
	if got := f.planner.Reservations(); len(got) > 0 {
		t.Errorf("workers are reserved %v after the order: %v", orderTimeout, got)
	}
}

func TestHostStaysForTheTasksThatAreAboutToUseIt(t *testing.T) {
	f := newFleet(map[string]int{"a": 4, "b": 3, "c": 3})
	for _, h := range f.hosts[1:] {
		h.longRunning = 1
	}
	f.hosts[0].needed = true
	f.pools["b"].demand = surge(20*testCores, 0, time.Minute)
	f.waves = []estate.Wave{{Number: 1, Duration: time.Second, MaxDown: 1, Hosts: []string{"a-00"}}}
	f.run(3 * time.Second)
	if f.size("a") != 4 || f.maintained["a-00"] > 0 || len(f.planner.Reservations()) > 0 {
		t.Errorf("the pool has %d hosts, %d were maintained, reserved are %v; want 4 and none", f.size("a"), f.maintained["a-00"], f.planner.Reservations())
	}
}

func TestEvacuatedHostIsMaintainedAlthoughAnotherPoolSurges(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "b": 3, "c": 3})
	for _, h := range f.hosts {
		h.longRunning = 1
	}
	f.pools["b"].demand = surge(20*testCores, 0, time.Minute)
	f.planner = New(testMigration, map[int64][]string{1: {"c-00"}}, nil, nil, nil)
	f.run(time.Second)
	f.waves = []estate.Wave{{Number: 1, Duration: 25 * time.Second, MaxDown: 1, Hosts: []string{"a-00", "c-00"}}}
	f.run(time.Second)
	if f.maintained["a-00"] != 1 {
		t.Error("the tasks of the host were moved, but it is not maintained")
	}
}

func TestPoolWithoutWorkersIsSizedThoughTheFirstHostHasNoKnownCapacity(t *testing.T) {
	v := &view{State: State{Hosts: []estate.Host{{Name: "m-1"}, {Name: "m-2", Capacity: placement.Resources{Processors: testCores}}}}}
	if got := v.typicalCores(); got != testCores {
		t.Errorf("a host has %v cores, want %d", got, testCores)
	}
}
