package permit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

var pools = []string{"p", "q"}

// actor is a process of the world. It is busy while it is inside a call, that
// is also while it is paused.
type actor struct {
	w    *world
	name string
	busy bool
	cut  bool
}

// world runs controls and entries on one goroutine. At any call of an actor
// the world may go on without it for a while: a pause.
type world struct {
	t        *rapid.T
	start    time.Time
	table    *standin.Table
	down     bool
	late     []lateTxn
	depth    int
	controls []*control
	entries  []*entry
	unlisted map[string]bool
	starts   uint64
	moves    int
	// steps is how many more steps of time the run may take.
	steps int
}

// lateTxn is a commit under way in the network.
type lateTxn struct {
	by  *actor
	txn platform.Txn
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, start: time.Now(), table: standin.NewTable(), unlisted: map[string]bool{}, steps: 300}
	for _, pool := range pools {
		for i := range 2 {
			name := fmt.Sprint(pool, i)
			w.commit(nil, platform.Txn{Writes: []platform.Write{{Key: host.Key(name), Value: encode(host.Row{Host: name, Pool: pool, Phase: host.Serving})}}})
		}
	}
	for i := range 2 {
		w.controls = append(w.controls, newControl(w, fmt.Sprint("control", i)))
		w.entries = append(w.entries, newEntry(w, fmt.Sprint("entry", i), "boot"))
	}
	return w
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// pick draws one of the list.
func pick[T any](w *world, label string, list []T) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(w.t, label)]
}

func (w *world) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, label) >= 100-percent
}

// pause lets the world go on without the actor, at any of its calls.
func (w *world) pause(a *actor) {
	if w.depth >= 2 || !w.chance("pause "+a.name, 6) {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	for range rapid.IntRange(1, 12).Draw(w.t, "actions while paused") {
		w.act()
	}
}

// commit applies a transaction and checks that only the owner of a shard
// writes its hosts.
func (w *world) commit(by *actor, txn platform.Txn) (int64, error) {
	before, _ := w.table.Scan(context.Background(), "", 0)
	version, err := w.table.Commit(context.Background(), txn)
	if err != nil || by == nil {
		return version, err
	}
	rows := map[string][]byte{}
	for _, r := range before {
		rows[r.Key] = r.Value
	}
	for _, write := range txn.Writes {
		var row host.Row
		var shard lease.Row
		if !strings.HasPrefix(write.Key, host.KeyPrefix) {
			continue
		}
		json.Unmarshal(rows[write.Key], &row)
		pool := row.Pool
		json.Unmarshal(write.Value, &row)
		json.Unmarshal(rows[lease.Key(pool)], &shard)
		if shard.Owner != by.name || shard.Epoch != row.Epoch {
			w.t.Fatalf("%s wrote %s under epoch %d, the owner is %s under %d", by.name, write.Key, row.Epoch, shard.Owner, shard.Epoch)
		}
	}
	return version, err
}

// Commit implements platform.Table with the faults of the world.
func (a *actor) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	a.w.pause(a)
	defer a.w.pause(a)
	if a.w.down || a.cut {
		return 0, operr.Wrap(platform.ErrUnavailable, "table: commit", a.name)
	}
	switch fault := rapid.IntRange(0, 15).Draw(a.w.t, "fault"); fault {
	case 13: // never arrives
	case 14: // arrives later
		a.w.late = append(a.w.late, lateTxn{by: a, txn: txn})
	default:
		version, err := a.w.commit(a, txn)
		if fault != 15 {
			return version, err
		}
	}
	return 0, operr.Wrap(platform.ErrUnknown, "table: commit", a.name)
}

// Read implements platform.Table.
func (a *actor) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	a.w.pause(a)
	defer a.w.pause(a)
	if a.w.down || a.cut {
		return nil, operr.Wrap(platform.ErrUnavailable, "table: read", a.name)
	}
	return a.w.table.Read(ctx, keys...)
}

// Scan implements platform.Table.
func (a *actor) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	a.w.pause(a)
	defer a.w.pause(a)
	if a.w.down || a.cut {
		return nil, operr.Wrap(platform.ErrUnavailable, "table: scan", a.name)
	}
	return a.w.table.Scan(ctx, prefix, after)
}

// control is a control process: its shards, their hosts, and its drains.
type control struct {
	*actor
	manager  *lease.Manager
	registry *membership.Registry
	absences *permit.Absences
	live     []membership.MemberRow
	owned    map[string]*ownedPool
	drains   map[drainKey]*permit.Drain
}

// drainKey names a drain by one owner.
type drainKey struct {
	pool, host string
	mark       permit.AssignmentVersion
	epoch      uint64
}

// ownedPool is an owner's copy of its pool.
type ownedPool struct {
	shard *lease.Shard
	mark  permit.AssignmentVersion
	hosts map[string]hostAt
}

type hostAt struct {
	host.Row
	version int64
}

func newControl(w *world, name string) *control {
	w.starts++
	c := &control{actor: &actor{w: w, name: name}, absences: permit.NewAbsences(), owned: map[string]*ownedPool{}, drains: map[drainKey]*permit.Drain{}}
	c.registry = membership.NewRegistry(c.actor, nil)
	c.live = []membership.MemberRow{{Name: name, Incarnation: w.starts}}
	c.manager = lease.NewManager(lease.Config{
		Table:   c.actor,
		Self:    lease.Identity{Name: name, Incarnation: w.starts},
		Shards:  func() []string { return pools },
		Members: c.members,
	})
	return c
}

// members returns this control and, if it takes it for alive, another.
func (c *control) members() *membership.Snapshot {
	s := &membership.Snapshot{Joined: true, Assessed: true}
	for _, m := range c.live {
		s.Members = append(s.Members, membership.Member{MemberRow: m, Live: true})
	}
	return s
}

// round does what an owner does in each period.
func (c *control) round() {
	ctx := context.Background()
	if c.manager.Step(ctx) != nil {
		return
	}
	held := c.manager.Held()
	rows, err := c.Scan(ctx, host.KeyPrefix, 0)
	if err != nil {
		return
	}
	scans := map[*permit.Drain]permit.Scan{}
	for _, d := range c.drains {
		scans[d] = d.BeginScan()
	}
	entries, err := c.registry.Entries(ctx)
	if err != nil {
		return
	}
	for d, scan := range scans {
		d.Scanned(scan, entries)
	}
	c.absences.Observe(c.w.now(), c.w.list(), entries)
	c.owned = map[string]*ownedPool{}
	for _, s := range held {
		c.owned[s.Name()] = newOwnedPool(s, rows)
		c.drainHosts(c.owned[s.Name()])
	}
}

func newOwnedPool(s *lease.Shard, rows []platform.Row) *ownedPool {
	o := &ownedPool{shard: s, hosts: map[string]hostAt{}}
	o.mark, o.hosts = assignment(s.Name(), s.Epoch(), rows)
	return o
}

// assignment returns the pool's hosts among the rows of one scan.
func assignment(pool string, epoch uint64, rows []platform.Row) (permit.AssignmentVersion, map[string]hostAt) {
	mark := permit.AssignmentVersion{Epoch: epoch}
	hosts := map[string]hostAt{}
	for _, r := range rows {
		mark.Version = max(mark.Version, uint64(r.Version))
		var row host.Row
		json.Unmarshal(r.Value, &row)
		if row.Pool == pool {
			hosts[row.Host] = hostAt{Row: row, version: r.Version}
		}
	}
	return mark, hosts
}

// drainHosts completes the drains that may be, and begins some.
func (c *control) drainHosts(o *ownedPool) {
	for _, name := range slices.Sorted(maps.Keys(o.hosts)) {
		h := o.hosts[name]
		if h.Phase == host.Serving {
			if c.w.chance("drain "+name, 30) {
				h.Phase = host.Draining
				c.write(o, h, permit.Decision{})
			}
			continue
		}
		mark := permit.AssignmentVersion{Epoch: h.Epoch, Version: uint64(h.version)}
		key := drainKey{pool: h.Pool, host: name, mark: mark, epoch: o.shard.Epoch()}
		if c.drains[key] == nil {
			c.drains[key] = permit.NewDrain(mark)
		}
		c.complete(o, h, c.drains[key])
	}
}

// complete moves a drained host to the other pool if it may.
func (c *control) complete(o *ownedPool, h hostAt, d *permit.Drain) {
	decision := d.MayComplete(c.absences.AbsentFor)
	if decision.Complete {
		h.Pool = pools[1-slices.Index(pools, h.Pool)]
		h.Phase = host.Serving
		c.write(o, h, decision)
	}
}

// write commits a host row. Whatever the outcome, the copy of the pool is
// dropped and read anew in the next round.
func (c *control) write(o *ownedPool, h hostAt, decision permit.Decision) {
	h.Epoch = o.shard.Epoch()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	delete(c.owned, o.shard.Name())
	_, err := o.shard.Commit(ctx, c.actor, decision.Extend(platform.Txn{
		Conditions: []platform.Condition{{Key: host.Key(h.Host), Version: h.version}},
		Writes:     []platform.Write{{Key: host.Key(h.Host), Value: encode(h.Row)}},
	}))
	if err == nil && h.Phase == host.Serving {
		c.w.moves++
	}
}

// exchange takes an entry's acknowledgement and answers with its copy.
func (c *control) exchange(e *entry, pool string) (permit.AssignmentVersion, map[string]hostAt, bool) {
	o := c.owned[pool]
	if o == nil || !o.shard.Held() {
		return permit.AssignmentVersion{}, nil, false
	}
	id := permit.EntryID{Name: e.row.Name, Incarnation: e.row.Incarnation}
	c.absences.MessageReceived(c.w.now(), id)
	if held, ok := e.permit(pool).Held(e.now()); ok {
		for key, d := range c.drains {
			if key.pool == pool {
				d.Acknowledge(id, held, 0)
			}
		}
	}
	return o.mark, o.hosts, true
}

func encode(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}
