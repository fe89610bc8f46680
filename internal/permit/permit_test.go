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
	*actor
	row          membership.EntryRow
	registry     *membership.Registry
	dead         bool
	registration *permit.Registration
	snapshots    map[string]snapshot
}

// snapshot is what traffic routes by.
type snapshot struct {
	hosts map[string]hostAt
	grant *permit.Grant
}

func newEntry(w *world, name, boot string) *entry {
	w.starts++
	e := &entry{actor: &actor{w: w, name: name}, snapshots: map[string]snapshot{}}
	e.row = membership.EntryRow{Name: name, Host: name, Address: name, Boot: boot, Incarnation: w.starts}
	e.registry = membership.NewRegistry(e.actor, nil)
	e.registration = permit.NewRegistration(e.now())
	return e
}

func (e *entry) now() time.Duration { return e.w.now() }

// permit returns the entry's permit for a pool.
func (e *entry) permit(pool string) *permit.Permit { return e.registration.Permit(pool) }

// round registers, confirms and fetches one assignment for each pool.
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
	c, err := permit.Confirm(ctx, e.actor, e.row, pools)
	if err == nil {
		e.registration.Confirmed(e.now(), c)
	}
	for _, pool := range pools {
		switch rapid.IntRange(0, 3).Draw(e.w.t, "source") {
		case 0:
			e.readTable(pool, c)
		case 1:
			e.askPeer(pool)
		default:
			e.askOwner(pool)
		}
	}
}

func (e *entry) askOwner(pool string) {
	c := pick(e.w, "control", e.w.controls)
	began := e.now()
	if c.busy {
		return
	}
	mark, hosts, ok := c.exchange(e, pool)
	e.w.pause(e.actor)
	if ok {
		e.adopt(pool, hosts, e.permit(pool).OfferFromOwner(began, e.now(), mark))
	}
}

func (e *entry) askPeer(pool string) {
	peer := pick(e.w, "peer", e.w.entries)
	began := e.now()
	if peer.busy || peer.dead || !peer.snapshots[pool].grant.MayRoute(e.now()) {
		return
	}
	hosts := peer.snapshots[pool].hosts
	mark, _ := peer.permit(pool).Held(e.now())
	e.w.pause(e.actor)
	e.adopt(pool, hosts, e.permit(pool).OfferFromPeer(began, e.now(), mark))
}

func (e *entry) readTable(pool string, c permit.Confirmation) {
	began := e.now()
	rows, err := e.Scan(context.Background(), host.KeyPrefix, 0)
	if err != nil {
		return
	}
	mark, hosts := assignment(pool, c.Epochs[pool], rows)
	e.adopt(pool, hosts, e.permit(pool).OfferFromTable(began, e.now(), mark))
}

func (e *entry) adopt(pool string, hosts map[string]hostAt, grant *permit.Grant) {
	if grant != nil {
		e.snapshots[pool] = snapshot{hosts: hosts, grant: grant}
	}
}

// step is the time between two rounds.
const step = 9 * time.Second

// list is the platform's list: hosts whose process is dead or paused may be
// missing from it.
func (w *world) list() []platform.ListedHost {
	var hosts []platform.ListedHost
	for _, e := range w.entries {
		if !w.unlisted[e.row.Host] {
			hosts = append(hosts, platform.ListedHost{Host: host.Host{Name: e.row.Host}})
		}
	}
	return hosts
}

// act lets something happen.
func (w *world) act() {
	c := pick(w, "control", w.controls)
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	e := w.entries[i]
	switch rapid.IntRange(0, 14).Draw(w.t, "action") {
	case 0, 1:
		w.run(c.actor, c.round)
	case 2, 3:
		w.run(e.actor, e.round)
	case 4:
		w.down = !w.down && w.chance("outage", 30)
	case 5:
		e.cut = !e.cut && w.chance("cut entry", 60)
	case 6:
		c.cut = !c.cut && w.chance("cut control", 60)
	case 7: // the other control is taken for dead, rightly or not
		c.live = c.live[:1]
	case 8: // and for alive
		other := w.controls[1-slices.Index(w.controls, c)]
		c.live = append(c.live[:1], other.live[0])
	case 9:
		w.land()
	case 10:
		w.replace(i, rapid.Bool().Draw(w.t, "reboot"))
	case 11:
		w.stop(i)
	default:
		w.advance(rapid.IntRange(1, 16).Draw(w.t, "steps"), e)
	}
	w.check()
}

// stop stops an entry gracefully and starts another in its place.
func (w *world) stop(i int) {
	old := w.entries[i]
	if old.busy {
		return
	}
	w.run(old.actor, func() {
		old.registration.Unregister(old.now())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		old.registry.Deregister(ctx, old.row)
	})
	w.replace(i, false)
}

// run lets an actor do something unless it is in the middle of something else.
func (w *world) run(a *actor, do func()) {
	if a.busy {
		return
	}
	a.busy = true
	do()
	a.busy = false
}

// land lets a commit that was under way take effect or fail.
func (w *world) land() {
	if len(w.late) > 0 {
		late := w.late[0]
		w.late = w.late[1:]
		w.commit(late.by, late.txn)
	}
}

// replace kills an entry and starts another under its name, on the same kernel
// or on another. A paused one is replaced only with its host.
func (w *world) replace(i int, reboot bool) {
	old := w.entries[i]
	boot := old.row.Boot
	if reboot {
		boot = fmt.Sprint("boot", w.starts)
	} else if old.busy {
		return
	}
	old.dead = true
	w.entries[i] = newEntry(w, old.name, boot)
}

// advance lets time go by in steps in which every actor that is not paused does
// a round. The host of an entry that is paused may vanish from the list, and
// comes back to it late.
func (w *world) advance(steps int, vanishing *entry) {
	if vanishing.busy {
		w.unlisted[vanishing.row.Host] = true
	}
	for range steps {
		if w.steps--; w.steps < 0 {
			return
		}
		time.Sleep(step)
		for _, e := range w.entries {
			if !e.busy && w.chance("listed", 30) {
				delete(w.unlisted, e.row.Host)
			}
			w.run(e.actor, e.round)
			w.check()
		}
		for _, c := range w.controls {
			w.run(c.actor, c.round)
			w.check()
		}
	}
}

// check lets every entry route to every host that it may route to now, and
// fails if two pools route to one host.
func (w *world) check() {
	routed := map[string]string{}
	for _, e := range w.entries {
		for _, pool := range pools {
			s := e.snapshots[pool]
			for name, h := range s.hosts {
				if h.Phase != host.Serving || !s.grant.MayRoute(e.now()) {
					continue
				}
				if other, ok := routed[name]; ok && other != pool {
					w.t.Fatalf("%s is routed to for %s and, by %s, for %s", name, other, e.name, pool)
				}
				routed[name] = pool
			}
		}
	}
}

// TestNoTwoPoolsRouteToOneHost runs owners that move hosts and entries that
// route, with pauses at any call, lost, dropped and late commits, outages,
// cuts, wrong verdicts on who lives, restarts and replacements.
func TestNoTwoPoolsRouteToOneHost(t *testing.T) {
	moves := 0
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			w := newWorld(rt)
			for range rapid.IntRange(10, 40).Draw(rt, "actions") {
				w.act()
			}
			moves += w.moves
		})
	})
	t.Logf("%d moves were completed", moves)
	if moves == 0 {
		t.Error("no move was completed: the test proves nothing")
	}
}

// inBubble runs f in a synctest bubble, where time goes by only in sleeps, and
// carries a panic of f out of it.
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
