package fleetplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// The pool with idle hosts needs them for its minimum size, so that they cannot move.
func TestWaveTakesIdleHostsThatNoOtherPoolCanGet(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "b": 2, "c": 3})
	for _, h := range f.hosts {
		if h.pool != "b" {
			h.longRunning = 1
		}
	}
	f.pools["a"].spread = 5
	f.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"b-00"}}}
	f.run(30 * time.Second)
	if f.maintained["b-00"] != 1 {
		t.Error("the wave ended 25 s ago and has not taken an idle host")
	}
}

// planned is the input of a planner in which nothing changes but the time.
type planned struct {
	hosts []estate.Host
	pools []Pool
	waves []estate.Wave
}

func (p *planned) addHost(pool *Pool, w Worker) {
	n := len(p.hosts)
	h := estate.Host{Name: fmt.Sprintf("h%d", n), Pool: pool.Name, State: estate.HostUp}
	h.Capacity.Processors = testCores
	if !pool.Standby {
		h.WorkerID = fmt.Sprintf("w%d", n)
		w.ID, w.Cores, w.Open = h.WorkerID, testCores, true
		pool.Workers = append(pool.Workers, w)
	}
	p.hosts = append(p.hosts, h)
}

// find returns whether a decision is made within a time. Nothing is carried out.
func (p *planned) find(d time.Duration, wanted func(Decision) bool) bool {
	planner := New(testMigration, nil, nil, nil, nil)
	for now := tick; now < d; now += tick {
		for _, dec := range planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: p.pools, Waves: p.waves}) {
			if wanted(dec) {
				return true
			}
		}
	}
	return false
}

func TestHostOfACutOffWorkerIsNotExpectedForGood(t *testing.T) {
	p, a, spare := planned{}, Pool{Name: "a", LongRunningShortfall: 1}, Pool{Name: "spare", Standby: true}
	for range 3 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
	}
	p.addHost(&spare, Worker{})
	a.Workers = a.Workers[:2] // the entry of the third worker has lapsed, the host list still shows it
	p.pools = []Pool{a, spare}
	if !p.find(30*time.Second, func(d Decision) bool { return d.Kind == Move && d.To == "a" }) {
		t.Error("long-running tasks lack a worker for 30 s and get no standby host")
	}
}

// The tasks of the first host fit nowhere else.
func TestWaveGoesOnBesideAWorkerThatCannotBeEmptied(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a"}, Pool{Name: "b"}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 10})
	}
	for range 3 {
		p.addHost(&b, Worker{LongRunningTasks: 2, Used: 10})
	}
	p.pools = []Pool{a, b}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h2"}}}
	if !p.find(30*time.Second, func(d Decision) bool { return d.Kind == Evacuate && d.Host == "h2" }) {
		t.Error("the wave has ended 25 s ago, and the evacuation of its second host has not begun")
	}
}

// The tasks of the first two hosts fit nowhere else.
func TestWaveReachesTheHostAfterTwoThatCannotBeEmptied(t *testing.T) {
	p, a, b, c := planned{}, Pool{Name: "a"}, Pool{Name: "b"}, Pool{Name: "c"}
	for _, pool := range []*Pool{&a, &b} {
		for range 2 {
			p.addHost(pool, Worker{LongRunningTasks: 1, Used: 10})
		}
	}
	for range 3 {
		p.addHost(&c, Worker{LongRunningTasks: 2, Used: 10})
	}
	p.pools = []Pool{a, b, c}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h2", "h4"}}}
	if !p.find(2*time.Minute, func(d Decision) bool { return d.Kind == Evacuate && d.Host == "h4" }) {
		t.Error("the evacuation of the third host has not begun after 2 minutes")
	}
}

// The host falls between two pages of one list.
func TestWaveIsNotCompleteBecauseOneListLacksItsHost(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	for range 3 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 10})
	}
	p.pools = []Pool{a}
	p.waves = []estate.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Hosts: []string{"h1"}}}
	planner := New(testMigration, nil, nil, nil, nil)
	state := State{Now: tick, HostsAt: tick, Hosts: p.hosts, Pools: p.pools, Waves: p.waves}
	planner.Plan(state)
	state.Now, state.HostsAt = 6*tick, 6*tick
	state.Hosts = []estate.Host{p.hosts[0], p.hosts[2]}
	for _, dec := range planner.Plan(state) {
		if dec.Kind == Complete {
			t.Error("the wave is reported as complete after one list without its host, whose maintenance has not started")
		}
	}
}

// The tasks of the first host fit nowhere else for good, those of the second do so for a while.
func TestWaveReturnsToAHostThatCouldNotBeEmptiedInTime(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a"}, Pool{Name: "b"}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 10})
	}
	for range 3 {
		p.addHost(&b, Worker{LongRunningTasks: 2, Used: 10})
	}
	p.pools = []Pool{a, b}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h2"}}}
	planner := New(testMigration, nil, nil, nil, nil)
	var last time.Duration
	for now := tick; now < 5*time.Minute; now += tick {
		for _, dec := range planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: p.pools, Waves: p.waves}) {
			if dec.Kind == Evacuate && dec.Host == "h2" {
				last = now
			}
		}
	}
	if last < 4*time.Minute {
		t.Errorf("the second host was last evacuated at %v of 5 minutes, since then the first one keeps the slot", last)
	}
}

// lackingPool returns hosts of which the first is idle and of no use to the tasks that
// its pool lacks a worker for, and the last three can be emptied. No host is spare.
func lackingPool() *planned {
	p, a, b := planned{}, Pool{Name: "a", LongRunningShortfall: 1}, Pool{Name: "b"}
	p.addHost(&a, Worker{Idle: true})
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
	}
	for range 3 {
		p.addHost(&b, Worker{LongRunningTasks: 1, Used: 1})
	}
	p.pools = []Pool{a, b}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h3"}}}
	return &p
}

func TestWaveReachesOtherPoolsBesideAnIdleHostOfAPoolThatLacksWorkers(t *testing.T) {
	if !lackingPool().find(time.Minute, func(d Decision) bool { return d.Kind == Evacuate && d.Host == "h3" }) {
		t.Error("the wave ended 55 s ago, and its host in another pool has not been reached")
	}
}

func TestWaveTakesAnIdleHostThatItsPoolCannotUse(t *testing.T) {
	if !lackingPool().find(time.Minute, func(d Decision) bool { return d.Kind == Maintain && d.Host == "h0" }) {
		t.Error("the wave ended 55 s ago and has not taken an idle host that no task is about to use")
	}
}

// The host is missing in the list while its maintenance, which another owner ordered, goes on.
func TestHostThatOneListLacksIsStillDown(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	for range 5 {
		p.addHost(&a, Worker{Idle: true})
	}
	a.Workers = a.Workers[1:]
	p.pools = []Pool{a}
	p.hosts[0].State, p.hosts[0].WorkerID = estate.HostMaintenance, ""
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h1"}}}
	planner := New(testMigration, map[int64][]string{1: {"h0"}}, nil, nil, nil)
	state := State{Now: tick, HostsAt: tick, Hosts: p.hosts, Pools: p.pools, Waves: p.waves}
	planner.Plan(state)
	state.Now, state.HostsAt = 6*tick, 6*tick
	state.Hosts = p.hosts[1:]
	for _, dec := range planner.Plan(state) {
		if dec.Kind == Maintain {
			t.Errorf("%s is taken down beside h0, though the wave permits one at a time", dec.Host)
		}
	}
}

// findRefusing is find if all orders about a host are refused and no others are answered.
func (p *planned) findRefusing(d time.Duration, host string, wanted func(Decision) bool) bool {
	planner := New(testMigration, nil, nil, nil, nil)
	for now := tick; now < d; now += tick {
		for _, dec := range planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: p.pools, Waves: p.waves}) {
			if wanted(dec) {
				return true
			}
			if dec.Host == host && (dec.Kind == Move || dec.Kind == Maintain) {
				planner.Refused(dec)
			}
		}
	}
	return false
}

func TestPoolGetsAnotherHostThanTheOneWhoseMoveIsRefused(t *testing.T) {
	p, a, spare := planned{}, Pool{Name: "a", LongRunningShortfall: 1}, Pool{Name: "spare", Standby: true}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
	}
	for range 2 {
		p.addHost(&spare, Worker{})
	}
	p.pools = []Pool{a, spare}
	if !p.findRefusing(time.Minute, "h2", func(d Decision) bool { return d.Kind == Move && d.Host == "h3" }) {
		t.Error("the pool lacks a worker for a minute, and only the host whose move is refused was tried")
	}
}

// A new owner may not order most hosts yet. The pauses of refused orders would outlast that time.
func TestHostWhoseOrdersArePostponedIsOrderedSoonAfterwards(t *testing.T) {
	p, a, spare := planned{}, Pool{Name: "a", LongRunningShortfall: 1}, Pool{Name: "spare", Standby: true}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
	}
	p.addHost(&spare, Worker{})
	p.pools = []Pool{a, spare}
	planner := New(testMigration, nil, nil, nil, nil)
	const postponed = 3500 * time.Millisecond
	var ordered time.Duration
	for now := tick; now < 10*time.Second && ordered == 0; now += tick {
		for _, dec := range planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: p.pools}) {
			switch {
			case dec.Kind == Move && now < postponed:
				planner.Postponed(dec)
			case dec.Kind == Move:
				ordered = now
			}
		}
	}
	if ordered == 0 || ordered > postponed+minRefusalPause+tick {
		t.Errorf("ordered at %v, want at most %v after %v", ordered, minRefusalPause+tick, postponed)
	}
}

func TestPoolBorrowsAnotherHostThanTheOneWhoseMoveIsRefused(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a", LongRunningShortfall: 1}, Pool{Name: "b"}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
	}
	for range 2 {
		p.addHost(&b, Worker{Idle: true})
	}
	p.pools = []Pool{a, b}
	if !p.findRefusing(time.Minute, "h2", func(d Decision) bool { return d.Kind == Move && d.Host == "h3" }) {
		t.Error("the pool lacks a worker for a minute, and only the host whose move is refused was tried")
	}
}

func TestWaveGoesOnBesideAHostWhoseMaintenanceIsRefused(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	for range 4 {
		p.addHost(&a, Worker{Idle: true})
	}
	p.pools = []Pool{a}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h1"}}}
	if !p.findRefusing(time.Minute, "h0", func(d Decision) bool { return d.Kind == Maintain && d.Host == "h1" }) {
		t.Error("only the host whose maintenance is refused was tried for a minute")
	}
}

// The fleet service answers no order, and the orders about the two idle hosts are not given at the same time.
func TestIdleWorkerIsReopenedForALongRunningTaskWhileOrdersGetNoAnswer(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	for range 4 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
	}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 2, Hosts: []string{"h0", "h1"}}}
	planner := New(testMigration, nil, nil, nil, nil)
	idleFrom := []time.Duration{0, 700 * time.Millisecond}
	const shortFrom = 4 * time.Second
	unanswered := map[time.Duration][]Decision{}
	var hostsAt time.Duration
	for now := tick; now < time.Minute; now += tick {
		for _, dec := range unanswered[now] {
			planner.OutcomeUnknown(dec, now)
		}
		if now%(5*tick) == 0 {
			hostsAt = now
		}
		reserved := planner.Reservations()
		a.LongRunningShortfall = 0
		if now >= shortFrom {
			a.LongRunningShortfall = 1
		}
		for i, from := range idleFrom {
			w := &a.Workers[i]
			if now >= from {
				w.LongRunningTasks, w.Used, w.Idle = 0, 0, true
			}
			w.Open = reserved[w.ID] == Unreserved
		}
		if now > shortFrom+tick && (a.Workers[0].Open || a.Workers[1].Open) {
			return
		}
		for _, dec := range planner.Plan(State{Now: now, HostsAt: hostsAt, Hosts: p.hosts, Pools: []Pool{a}, Waves: p.waves}) {
			if dec.Kind == Maintain {
				unanswered[now+12*tick] = append(unanswered[now+12*tick], dec)
			}
		}
	}
	t.Error("a task lacks a worker for 56 s beside two idle ones, which are closed for orders in turn")
}

// The host that is emptied for a pool that lacks a worker leaves the estate before it is idle.
func TestAnotherWorkerIsEmptiedForAPoolAfterTheFirstHostHasLeft(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a"}, Pool{Name: "b", LongRunningShortfall: 1}
	for range 4 {
		p.addHost(&a, Worker{Used: 40, Late: 40})
	}
	for range 2 {
		p.addHost(&b, Worker{LongRunningTasks: 1, Used: testCores})
	}
	planner := New(testMigration, nil, nil, nil, nil)
	now := tick
	plan := func(d time.Duration) map[string]Reservation {
		for end := now + d; now < end; now += tick {
			reserved := planner.Reservations()
			for i := range a.Workers {
				a.Workers[i].Open = reserved[a.Workers[i].ID] == Unreserved
			}
			planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: []Pool{a, b}})
		}
		return planner.Reservations()
	}
	if got := plan(time.Second); len(got) != 1 || got["w0"] != Emptying {
		t.Fatalf("reserved are %v, want one worker, which is being emptied", got)
	}
	p.hosts, a.Workers = p.hosts[1:], a.Workers[1:]
	got := plan(time.Minute)
	delete(got, "w0")
	if len(got) == 0 {
		t.Error("no other worker has been emptied in a minute, the pool still lacks one")
	}
}

// The pool lacks a worker for good: no host is spare.
func TestWaveEvacuatesHostsOfAPoolThatLacksAWorker(t *testing.T) {
	p, a := planned{}, Pool{Name: "a", LongRunningShortfall: 1}
	for range 4 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 1})
	}
	p.pools = []Pool{a}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h1"}}}
	if !p.find(time.Minute, func(d Decision) bool { return d.Kind == Evacuate }) {
		t.Error("the wave ended 55 s ago, and the evacuation of its host has not begun")
	}
}

// The order gets no answer, and the next lists show the host in maintenance and then up with another worker.
func TestHostIsNotEvacuatedAgainAfterAMaintenanceWithoutAnswer(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	for range 4 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 1})
	}
	h, w := &p.hosts[1], &a.Workers[1]
	w.LongRunningTasks, w.Used, w.Idle = 0, 0, true
	p.pools = []Pool{a}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{h.Name}}}
	planner := New(testMigration, nil, nil, nil, nil)
	var order *Decision
	for now := tick; now < 20*time.Second; now += tick {
		switch now {
		case time.Second:
			h.State, h.WorkerID, w.ID, w.Idle = estate.HostMaintenance, "", "", false
		case 2 * time.Second:
			planner.OutcomeUnknown(*order, now)
		case 3 * time.Second:
			h.State, h.WorkerID = estate.HostUp, "w9"
			w.ID, w.LongRunningTasks, w.Used = "w9", 1, 1
		}
		for _, dec := range planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: p.pools, Waves: p.waves}) {
			switch {
			case dec.Kind == Maintain && order == nil:
				order = &dec
			case dec.Kind == Maintain || dec.Kind == Evacuate:
				t.Fatalf("decision %+v at %v, after the list has shown the maintenance of the host", dec, now)
			}
		}
	}
}

// The other pool has no load, but keeps two workers.
func TestLongRunningTasksGetAHostThatAnotherPoolKeepsIdle(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a", LongRunningShortfall: 1}, Pool{Name: "b"}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: testCores})
		p.addHost(&b, Worker{Idle: true})
	}
	p.pools = []Pool{a, b}
	if !p.find(10*time.Second, func(d Decision) bool { return d.Kind == Move && d.To == "a" }) {
		t.Error("long-running tasks lack a worker for 10 s, and two workers of another pool are idle")
	}
}

// Another pool lacks a host too.
func TestHostThatCameForAWaveIsNotMovedOn(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a"}, Pool{Name: "b", LongRunningShortfall: 1}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 1})
	}
	p.addHost(&a, Worker{Idle: true})
	p.addHost(&b, Worker{LongRunningTasks: 1, Used: testCores})
	p.pools = []Pool{a, b}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0"}}}
	evacuated := false
	p.find(2*tick, func(d Decision) bool {
		evacuated = evacuated || (d.Kind == Evacuate && d.Host == "h0")
		if evacuated && d.Kind == Move {
			t.Errorf("host %s is moved in the plan that begins to empty the other worker of its pool", d.Host)
		}
		return false
	})
	if !evacuated {
		t.Error("the host of the wave is not evacuated")
	}
}

// A long-running task started on the worker as a last resort.
func TestWorkerWithLongRunningTasksIsNotDrained(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	for range 5 {
		p.addHost(&a, Worker{Used: 1})
	}
	p.pools = []Pool{a}
	planner := New(testMigration, nil, []Surge{{Pool: "a"}}, nil, nil)
	now := tick
	plan := func() map[string]Reservation {
		planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: p.pools})
		now += tick
		return planner.Reservations()
	}
	before := plan()
	if len(before) == 0 {
		t.Fatal("no worker of the pool is drained, which is too large")
	}
	for i := range a.Workers {
		if w := &a.Workers[i]; before[w.ID] != Unreserved {
			w.LongRunningTasks, w.Open = 1, false
		}
	}
	reserved := plan()
	for id := range before {
		if reserved[id] != Unreserved {
			t.Errorf("worker %s is drained, but runs a long-running task", id)
		}
	}
}

// The pool is too large beside the worker that is emptied.
func TestPlaceOfAnEvacuatedTaskIsNotDrained(t *testing.T) {
	p, a := planned{}, Pool{Name: "a"}
	p.addHost(&a, Worker{LongRunningTasks: 1, Used: 1})
	for range 5 {
		p.addHost(&a, Worker{Idle: true})
	}
	p.pools = []Pool{a}
	p.waves = []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0"}}}
	planner := New(testMigration, nil, []Surge{{Pool: "a"}}, nil, nil)
	planner.Plan(State{Now: tick, HostsAt: tick, Hosts: p.hosts, Pools: p.pools, Waves: p.waves})
	if got := planner.Reservations(); len(got) != 1 || got["w0"] != Emptying {
		t.Errorf("reserved are %v, want only the worker that is evacuated", got)
	}
}

// Each owner lasts for 9 s, and the tasks of the first host fit nowhere else.
func TestWaveReachesItsSecondHostThoughOwnersChange(t *testing.T) {
	p, a, b := planned{}, Pool{Name: "a"}, Pool{Name: "b"}
	for range 2 {
		p.addHost(&a, Worker{LongRunningTasks: 1, Used: 10})
	}
	for range 3 {
		p.addHost(&b, Worker{LongRunningTasks: 2, Used: 10})
	}
	waves := []estate.Wave{{Number: 1, Duration: 5 * time.Second, MaxDown: 1, Hosts: []string{"h0", "h2"}}}
	planner := New(testMigration, nil, nil, nil, nil)
	for now := tick; now < 2*time.Minute; now += tick {
		if now%(9*time.Second) == 0 {
			planner = New(testMigration, nil, planner.Surges(), planner.WavesFirstSeen(), planner.EvacuatingSince())
		}
		for _, dec := range planner.Plan(State{Now: now, HostsAt: now, Hosts: p.hosts, Pools: []Pool{a, b}, Waves: waves}) {
			if dec.Kind == Evacuate && dec.Host == "h2" {
				return
			}
		}
	}
	t.Error("the wave ended two minutes ago, and the evacuation of its second host has not begun")
}
