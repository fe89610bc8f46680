package permit_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// entry is an entry process that routes for all pools.
type entry struct {
	*process
	row          membership.EntryRow
	registry     *membership.Registry
	stopped      bool
	registration *permit.Registration
	snapshots    map[string]snapshot
}

// snapshot is what requests are routed by: an assignment and its grant.
type snapshot struct {
	hosts map[string]versionedHost
	grant *permit.Grant
}

func newEntry(sim *simulation, name, boot string) *entry {
	sim.lastIncarnation++
	e := &entry{process: &process{sim: sim, name: name}, snapshots: map[string]snapshot{}}
	e.row = membership.EntryRow{Name: name, Host: name, Address: name, Boot: boot, Incarnation: sim.lastIncarnation}
	e.registry = membership.NewRegistry(e.process, nil)
	e.registration = permit.NewRegistration(e.now())
	return e
}

func (e *entry) now() time.Duration { return e.sim.now() }

// permit returns the entry's permit for a pool.
func (e *entry) permit(pool string) *permit.Permit { return e.registration.Permit(pool) }

// round registers if necessary, confirms the registration and fetches one
// assignment for each pool.
func (e *entry) round() {
	e.registration.Tick(e.now())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	renewal, pending := e.registration.Pending(e.now())
	if pending {
		e.row.Renewal = renewal
		if e.registry.Register(ctx, e.row) != nil {
			return
		}
		e.registration.Registered(e.now(), renewal)
	}
	c, err := permit.Confirm(ctx, e.process, e.row, pools)
	if err == nil {
		e.registration.Confirmed(e.now(), c)
	}
	for _, pool := range pools {
		switch rapid.IntRange(0, 3).Draw(e.sim.t, "source") {
		case 0:
			e.fetchFromTable(pool, c)
		case 1:
			e.fetchFromPeer(pool)
		default:
			e.fetchFromOwner(pool)
		}
	}
}

// fetchFromOwner fetches the pool's assignment from a random control, which may
// not own the pool.
func (e *entry) fetchFromOwner(pool string) {
	c := pick(e.sim, "control", e.sim.controls)
	began := e.now()
	if c.busy {
		return
	}
	version, hosts, ok := c.exchange(e, pool)
	e.sim.pause(e.process)
	if ok {
		e.adopt(pool, hosts, e.permit(pool).OfferFromOwner(began, e.now(), version))
	}
}

// fetchFromPeer fetches the assignment of a random entry that holds a grant.
func (e *entry) fetchFromPeer(pool string) {
	peer := pick(e.sim, "peer", e.sim.entries)
	began := e.now()
	if peer.busy || peer.stopped || !peer.snapshots[pool].grant.MayRoute(e.now()) {
		return
	}
	hosts := peer.snapshots[pool].hosts
	version, _ := peer.permit(pool).Held(e.now())
	e.sim.pause(e.process)
	e.adopt(pool, hosts, e.permit(pool).OfferFromPeer(began, e.now(), version))
}

// fetchFromTable builds the assignment from the host rows, with the epoch that
// was confirmed before.
func (e *entry) fetchFromTable(pool string, c permit.Confirmation) {
	began := e.now()
	rows, err := e.Scan(context.Background(), host.KeyPrefix, 0)
	if err != nil {
		return
	}
	version, hosts := assignment(pool, c.Epochs[pool], rows)
	e.adopt(pool, hosts, e.permit(pool).OfferFromTable(began, e.now(), version))
}

// adopt routes by the hosts from now on if a grant was given for them.
func (e *entry) adopt(pool string, hosts map[string]versionedHost, grant *permit.Grant) {
	if grant != nil {
		e.snapshots[pool] = snapshot{hosts: hosts, grant: grant}
	}
}

// roundInterval is the time between two rounds.
const roundInterval = 9 * time.Second

// listedHosts returns the platform's list of hosts. Hosts whose process was
// stopped or is paused may be missing from it.
func (sim *simulation) listedHosts() []platform.ListedHost {
	var hosts []platform.ListedHost
	for _, e := range sim.entries {
		if !sim.unlisted[e.row.Host] {
			hosts = append(hosts, platform.ListedHost{Host: host.Host{Name: e.row.Host}})
		}
	}
	return hosts
}

// randomAction runs one random action or fault and checks the invariant.
func (sim *simulation) randomAction() {
	c := pick(sim, "control", sim.controls)
	i := rapid.IntRange(0, len(sim.entries)-1).Draw(sim.t, "entry")
	e := sim.entries[i]
	switch rapid.IntRange(0, 14).Draw(sim.t, "action") {
	case 0, 1:
		sim.run(c.process, c.round)
	case 2, 3:
		sim.run(e.process, e.round)
	case 4:
		sim.tableDown = !sim.tableDown && sim.chance("outage", 30)
	case 5:
		e.partitioned = !e.partitioned && sim.chance("partition entry", 60)
	case 6:
		c.partitioned = !c.partitioned && sim.chance("partition control", 60)
	case 7: // the control considers the other one dead, rightly or wrongly
		c.liveMembers = c.liveMembers[:1]
	case 8: // the control considers the other one live
		other := sim.controls[1-slices.Index(sim.controls, c)]
		c.liveMembers = append(c.liveMembers[:1], other.liveMembers[0])
	case 9:
		sim.applyLateCommit()
	case 10:
		sim.replace(i, rapid.Bool().Draw(sim.t, "reboot"))
	case 11:
		sim.stop(i)
	default:
		sim.advance(rapid.IntRange(1, 16).Draw(sim.t, "steps"), e)
	}
	sim.check()
}

// stop stops an entry gracefully and starts another in its place.
func (sim *simulation) stop(i int) {
	old := sim.entries[i]
	if old.busy {
		return
	}
	sim.run(old.process, func() {
		old.registration.Unregister(old.now())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		old.registry.Deregister(ctx, old.row)
	})
	sim.replace(i, false)
}

// run runs a step of a process unless the process is paused inside another one.
func (sim *simulation) run(p *process, do func()) {
	if p.busy {
		return
	}
	p.busy = true
	do()
	p.busy = false
}

// applyLateCommit applies the oldest delayed commit, which takes effect or fails.
func (sim *simulation) applyLateCommit() {
	if len(sim.late) > 0 {
		late := sim.late[0]
		sim.late = sim.late[1:]
		sim.commit(late.by, late.txn)
	}
}

// replace kills an entry and starts another under its name, with the same boot
// id or, after a reboot, with a new one. A paused entry is replaced only by a
// reboot.
func (sim *simulation) replace(i int, reboot bool) {
	old := sim.entries[i]
	boot := old.row.Boot
	if reboot {
		boot = fmt.Sprint("boot", sim.lastIncarnation)
	} else if old.busy {
		return
	}
	old.stopped = true
	sim.entries[i] = newEntry(sim, old.name, boot)
}

// advance advances the time in steps, in each of which every process that is not
// paused does a round. The host of the entry vanishing leaves the list if the
// entry is paused, and returns to it some time after the entry resumed.
func (sim *simulation) advance(steps int, vanishing *entry) {
	if vanishing.busy {
		sim.unlisted[vanishing.row.Host] = true
	}
	for range steps {
		if sim.steps--; sim.steps < 0 {
			return
		}
		time.Sleep(roundInterval)
		for _, e := range sim.entries {
			if !e.busy && sim.chance("listed", 30) {
				delete(sim.unlisted, e.row.Host)
			}
			sim.run(e.process, e.round)
			sim.check()
		}
		for _, c := range sim.controls {
			sim.run(c.process, c.round)
			sim.check()
		}
	}
}

// check fails the test if entries may now route to one host for two pools.
func (sim *simulation) check() {
	routed := map[string]string{}
	for _, e := range sim.entries {
		for _, pool := range pools {
			s := e.snapshots[pool]
			for name, h := range s.hosts {
				if h.Phase != host.Serving || !s.grant.MayRoute(e.now()) {
					continue
				}
				if other, ok := routed[name]; ok && other != pool {
					sim.t.Fatalf("%s is routed to for %s and, by %s, for %s", name, other, e.name, pool)
				}
				routed[name] = pool
			}
		}
	}
}

// TestNoTwoPoolsRouteToOneHost guards against a move that completes while an
// entry may still route to the host for its old pool. It runs owners that move
// hosts and entries that route, with pauses at any call, commits that are lost,
// dropped or delayed, table outages, network partitions, wrong liveness
// assessments, restarts and replaced hosts.
func TestNoTwoPoolsRouteToOneHost(t *testing.T) {
	moves := 0
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			sim := newSimulation(rt)
			for range rapid.IntRange(10, 40).Draw(rt, "actions") {
				sim.randomAction()
			}
			moves += sim.moves
		})
	})
	t.Logf("%d moves were completed", moves)
	if moves == 0 {
		t.Error("no move was completed, so nothing was tested")
	}
}

// inBubble runs f in a synctest bubble, where time advances only in sleeps. It
// panics outside the bubble with the value of a panic of f.
func inBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}
