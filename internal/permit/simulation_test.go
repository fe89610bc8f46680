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

// process is a simulated process. It is busy while it is inside a step, and so
// also while it is paused.
type process struct {
	sim         *simulation
	name        string
	busy        bool
	partitioned bool
}

// simulation runs controls and entries on one goroutine. At any call of a process
// to the table, the process may be paused while the others go on.
type simulation struct {
	t               *rapid.T
	start           time.Time
	table           *standin.Table
	tableDown       bool
	late            []lateCommit
	pauseDepth      int
	controls        []*control
	entries         []*entry
	unlisted        map[string]bool
	lastIncarnation uint64
	moves           int
	// steps is how many more steps the time may advance by in this run.
	steps int
}

// lateCommit is a delayed commit that has not reached the table yet.
type lateCommit struct {
	by  *process
	txn platform.Txn
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, start: time.Now(), table: standin.NewTable(), unlisted: map[string]bool{}, steps: 300}
	for _, pool := range pools {
		for i := range 2 {
			name := fmt.Sprint(pool, i)
			sim.commit(nil, platform.Txn{Writes: []platform.Write{{Key: host.Key(name), Value: encode(host.Row{Host: name, Pool: pool, Phase: host.Serving})}}})
		}
	}
	for i := range 2 {
		sim.controls = append(sim.controls, newControl(sim, fmt.Sprint("control", i)))
		sim.entries = append(sim.entries, newEntry(sim, fmt.Sprint("entry", i), "boot"))
	}
	return sim
}

func (sim *simulation) now() time.Duration { return time.Since(sim.start) }

// pick draws an element of the list.
func pick[T any](sim *simulation, label string, list []T) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(sim.t, label)]
}

// chance draws true with the given probability.
func (sim *simulation) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(sim.t, label) >= 100-percent
}

// pause may run actions of other processes while this one is inside a call.
func (sim *simulation) pause(p *process) {
	if sim.pauseDepth >= 2 || !sim.chance("pause "+p.name, 6) {
		return
	}
	sim.pauseDepth++
	defer func() { sim.pauseDepth-- }()
	for range rapid.IntRange(1, 12).Draw(sim.t, "actions while paused") {
		sim.randomAction()
	}
}

// commit applies a transaction and checks that only the owner of a shard
// writes its hosts.
func (sim *simulation) commit(by *process, txn platform.Txn) (int64, error) {
	before, _ := sim.table.Scan(context.Background(), "", 0)
	version, err := sim.table.Commit(context.Background(), txn)
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
			sim.t.Fatalf("%s wrote %s under epoch %d, the owner is %s under %d", by.name, write.Key, row.Epoch, shard.Owner, shard.Epoch)
		}
	}
	return version, err
}

// Commit implements platform.Table with the faults of the simulation.
func (p *process) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	p.sim.pause(p)
	defer p.sim.pause(p)
	if p.sim.tableDown || p.partitioned {
		return 0, operr.Wrap(platform.ErrUnavailable, "table: commit", p.name)
	}
	switch fault := rapid.IntRange(0, 15).Draw(p.sim.t, "fault"); fault {
	case 13: // never arrives
	case 14: // arrives later
		p.sim.late = append(p.sim.late, lateCommit{by: p, txn: txn})
	default:
		version, err := p.sim.commit(p, txn)
		if fault != 15 {
			return version, err
		}
	}
	return 0, operr.Wrap(platform.ErrUnknown, "table: commit", p.name)
}

// Read implements platform.Table.
func (p *process) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	p.sim.pause(p)
	defer p.sim.pause(p)
	if p.sim.tableDown || p.partitioned {
		return nil, operr.Wrap(platform.ErrUnavailable, "table: read", p.name)
	}
	return p.sim.table.Read(ctx, keys...)
}

// Scan implements platform.Table.
func (p *process) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	p.sim.pause(p)
	defer p.sim.pause(p)
	if p.sim.tableDown || p.partitioned {
		return nil, operr.Wrap(platform.ErrUnavailable, "table: scan", p.name)
	}
	return p.sim.table.Scan(ctx, prefix, after)
}

// control is a control process with its shards, their hosts and its drains.
type control struct {
	*process
	manager     *lease.Manager
	registry    *membership.Registry
	absences    *permit.Absences
	liveMembers []membership.MemberRow
	owned       map[string]*ownedPool
	drains      map[drainKey]*permit.Drain
}

// drainKey identifies a drain under one owner's epoch.
type drainKey struct {
	pool, host   string
	drainVersion permit.AssignmentVersion
	epoch        uint64
}

// ownedPool is an owner's copy of its pool.
type ownedPool struct {
	shard             *lease.Shard
	assignmentVersion permit.AssignmentVersion
	hosts             map[string]versionedHost
}

type versionedHost struct {
	host.Row
	version int64
}

func newControl(sim *simulation, name string) *control {
	sim.lastIncarnation++
	c := &control{process: &process{sim: sim, name: name}, absences: permit.NewAbsences(), owned: map[string]*ownedPool{}, drains: map[drainKey]*permit.Drain{}}
	c.registry = membership.NewRegistry(c.process, nil)
	c.liveMembers = []membership.MemberRow{{Name: name, Incarnation: sim.lastIncarnation}}
	c.manager = lease.NewManager(lease.Config{
		Table:   c.process,
		Self:    lease.Identity{Name: name, Incarnation: sim.lastIncarnation},
		Shards:  func() []string { return pools },
		Members: c.members,
	})
	return c
}

// members returns this control and, if this one regards it as live, the other.
func (c *control) members() *membership.Snapshot {
	s := &membership.Snapshot{Joined: true, Assessed: true}
	for _, m := range c.liveMembers {
		s.Members = append(s.Members, membership.Member{MemberRow: m, Live: true})
	}
	return s
}

// round runs one period of an owner: it renews its leases, reads the table and
// advances its drains.
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
	c.absences.Observe(c.sim.now(), c.sim.listedHosts(), entries)
	c.owned = map[string]*ownedPool{}
	for _, s := range held {
		c.owned[s.Name()] = newOwnedPool(s, rows)
		c.drainHosts(c.owned[s.Name()])
	}
}

func newOwnedPool(s *lease.Shard, rows []platform.Row) *ownedPool {
	o := &ownedPool{shard: s, hosts: map[string]versionedHost{}}
	o.assignmentVersion, o.hosts = assignment(s.Name(), s.Epoch(), rows)
	return o
}

// assignment returns the pool's hosts among the rows of one scan.
func assignment(pool string, epoch uint64, rows []platform.Row) (permit.AssignmentVersion, map[string]versionedHost) {
	assignmentVersion := permit.AssignmentVersion{Epoch: epoch}
	hosts := map[string]versionedHost{}
	for _, r := range rows {
		assignmentVersion.Version = max(assignmentVersion.Version, uint64(r.Version))
		var row host.Row
		json.Unmarshal(r.Value, &row)
		if row.Pool == pool {
			hosts[row.Host] = versionedHost{Row: row, version: r.Version}
		}
	}
	return assignmentVersion, hosts
}

// drainHosts completes the drains that may complete, and begins new ones.
func (c *control) drainHosts(o *ownedPool) {
	for _, name := range slices.Sorted(maps.Keys(o.hosts)) {
		h := o.hosts[name]
		if h.Phase == host.Serving {
			if c.sim.chance("drain "+name, 30) {
				h.Phase = host.Draining
				c.write(o, h, permit.Decision{})
			}
			continue
		}
		drainVersion := permit.AssignmentVersion{Epoch: h.Epoch, Version: uint64(h.version)}
		key := drainKey{pool: h.Pool, host: name, drainVersion: drainVersion, epoch: o.shard.Epoch()}
		if c.drains[key] == nil {
			c.drains[key] = permit.NewDrain(drainVersion)
		}
		c.complete(o, h, c.drains[key])
	}
}

// complete moves a drained host to the other pool if its drain may complete.
func (c *control) complete(o *ownedPool, h versionedHost, d *permit.Drain) {
	decision := d.MayComplete(c.absences.AbsentFor)
	if decision.Complete {
		h.Pool = pools[1-slices.Index(pools, h.Pool)]
		h.Phase = host.Serving
		c.write(o, h, decision)
	}
}

// write commits a host row. Whatever the outcome, the copy of the pool is
// discarded and read again in the next round.
func (c *control) write(o *ownedPool, h versionedHost, decision permit.Decision) {
	h.Epoch = o.shard.Epoch()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	delete(c.owned, o.shard.Name())
	_, err := o.shard.Commit(ctx, c.process, decision.Extend(platform.Txn{
		Conditions: []platform.Condition{{Key: host.Key(h.Host), Version: h.version}},
		Writes:     []platform.Write{{Key: host.Key(h.Host), Value: encode(h.Row)}},
	}))
	if err == nil && h.Phase == host.Serving {
		c.sim.moves++
	}
}

// exchange records an entry's acknowledgement and returns this control's copy of
// the pool, if it owns the pool.
func (c *control) exchange(e *entry, pool string) (permit.AssignmentVersion, map[string]versionedHost, bool) {
	o := c.owned[pool]
	if o == nil || !o.shard.Held() {
		return permit.AssignmentVersion{}, nil, false
	}
	id := permit.EntryID{Name: e.row.Name, Incarnation: e.row.Incarnation}
	c.absences.MessageReceived(c.sim.now(), id)
	if held, ok := e.permit(pool).Held(e.now()); ok {
		for key, d := range c.drains {
			if key.pool == pool {
				d.Acknowledge(id, held, 0)
			}
		}
	}
	return o.assignmentVersion, o.hosts, true
}

func encode(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}
