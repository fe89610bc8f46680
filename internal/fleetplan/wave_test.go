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
	planner := New(testMigration, nil, nil, nil)
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
	planner := New(testMigration, nil, []Surge{{Pool: "a"}}, nil)
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
	planner := New(testMigration, nil, []Surge{{Pool: "a"}}, nil)
	planner.Plan(State{Now: tick, HostsAt: tick, Hosts: p.hosts, Pools: p.pools, Waves: p.waves})
	if got := planner.Reservations(); len(got) != 1 || got["w0"] != Emptying {
		t.Errorf("reserved are %v, want only the worker that is evacuated", got)
	}
}
