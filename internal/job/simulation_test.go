package job

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

const testPool = "kano-ordering"

// fakeWorkers run tasks. Starts may be lost, be delayed or lose their answer.
type fakeWorkers struct {
	sim          *simulation
	tasks        map[string]*platform.TaskUsage
	ends         map[string]time.Time
	highestEpoch map[string]uint64
	late         []lateStart
	fault        string
	down         bool
}

type lateStart struct {
	task  platform.Task
	until time.Time
}

func (f *fakeWorkers) Start(_ context.Context, t platform.Task) error {
	fault := f.fault
	f.fault = ""
	switch fault {
	case "lost":
		return platform.ErrUnknown
	case "late":
		f.late = append(f.late, lateStart{t, time.Now().Add(startResolveTimeout - startWindow - callTimeout)})
		return platform.ErrUnknown
	}
	err := f.deliver(t)
	if fault == "answer lost" {
		return platform.ErrUnknown
	}
	return err
}

func (f *fakeWorkers) deliver(t platform.Task) error {
	if f.highestEpoch[t.ID] >= t.Epoch {
		return platform.ErrConflict
	}
	f.highestEpoch[t.ID] = t.Epoch
	f.tasks[t.Host+" "+t.ID] = &platform.TaskUsage{ID: t.ID, Host: t.Host, Epoch: t.Epoch, State: platform.TaskRunning}
	f.ends[t.Host+" "+t.ID] = time.Now().Add(time.Duration(rapid.IntRange(1, 20).Draw(f.sim.t, "run")) * time.Second)
	f.sim.checkStart(t)
	return nil
}

func (f *fakeWorkers) update(hostName, id string, change func(*platform.TaskUsage)) error {
	if f.down {
		return platform.ErrUnavailable
	}
	if u := f.tasks[hostName+" "+id]; u != nil && running(u) {
		change(u)
	}
	return nil
}

func (f *fakeWorkers) Checkpoint(_ context.Context, h, id string) error {
	return f.update(h, id, func(u *platform.TaskUsage) { u.Checkpoint = "checkpoint/" + id })
}

func (f *fakeWorkers) Stop(_ context.Context, h, id string) error {
	return f.update(h, id, func(u *platform.TaskUsage) { u.State = platform.TaskStopped })
}

func (f *fakeWorkers) Usage(_ context.Context, h string) ([]platform.TaskUsage, error) {
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var list []platform.TaskUsage
	for key, u := range f.tasks {
		if running(u) && time.Now().After(f.ends[key]) {
			u.State = platform.TaskDone
		}
		if u.Host == h {
			list = append(list, *u)
		}
	}
	return list, nil
}

func (f *fakeWorkers) Renew(context.Context, string, []string) error           { return nil }
func (f *fakeWorkers) Throttle(context.Context, string, string, float64) error { return nil }
func (f *fakeWorkers) Reboot(context.Context, string) error                    { return nil }

// owner is one ownership of the pool. It is not notified when another one
// follows.
type owner struct {
	shard *lease.Shard
	pool  *Pool
	view  *View
	calls []*Call
}

// simulation simulates a table, workers, and all past and current owners of a pool.
type simulation struct {
	t       *rapid.T
	table   *faultyTable
	workers *fakeWorkers
	owners  []*owner
	ids     []string
	specs   map[string]adminapi.JobSpec
	runs    map[string]int
	// cancelEpoch holds the highest epoch under which a cancelled job may run, by
	// job ID.
	cancelEpoch map[string]uint64
	placed      map[string]uint64
	starts      int
}

func (sim *simulation) platform() *platform.Platform {
	return &platform.Platform{Table: sim.table, Workers: sim.workers}
}

func (sim *simulation) hostRows() map[string]Worker {
	rows, err := sim.table.Table.Scan(context.Background(), host.KeyPrefix, 0)
	if err != nil {
		sim.t.Fatal(err)
	}
	workers := map[string]Worker{}
	for _, r := range rows {
		var row host.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			sim.t.Fatal(err)
		}
		workers[row.Host] = Worker{RowVersion: r.Version, Phase: row.Phase, Worker: placement.Worker{
			Name: row.Host, Pool: testPool, Serving: row.Phase == host.Serving,
			Capacity: placement.Resources{Processors: 8, MemoryMB: 64},
		}}
	}
	return workers
}

// rows returns the job rows by ID, regardless of injected faults.
func (sim *simulation) rows() map[string]Stored {
	rows, err := Scan(context.Background(), sim.table.Table, KeyPrefix, 0)
	if err != nil {
		sim.t.Fatal(err)
	}
	byID := map[string]Stored{}
	for _, r := range rows {
		byID[r.ID] = r
	}
	return byID
}

// setPhase writes a host's row, under an ownership unless shard is nil.
func (sim *simulation) setPhase(name string, phase host.Phase, shard *lease.Shard) {
	value, err := json.Marshal(host.Row{Host: name, Pool: testPool, Phase: phase})
	if err != nil {
		sim.t.Fatal(err)
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: host.Key(name), Version: sim.hostRows()[name].RowVersion}},
		Writes:     []platform.Write{{Key: host.Key(name), Value: value}},
	}
	if shard != nil {
		_, err = shard.Commit(context.Background(), sim.table.Table, txn)
	} else {
		_, err = sim.table.Table.Commit(context.Background(), txn)
	}
	if err != nil && shard == nil {
		sim.t.Fatal(err)
	}
}

// takeOver makes a new process the owner of the pool.
func (sim *simulation) takeOver() {
	name := fmt.Sprintf("control-%d", len(sim.owners))
	m := lease.NewManager(lease.Config{
		Table: sim.table.Table, Self: lease.Identity{Name: name, Incarnation: uint64(len(sim.owners) + 1)},
		Shards: func() []string { return []string{testPool} },
		Members: func() *membership.Snapshot {
			self := membership.MemberRow{Name: name, Incarnation: uint64(len(sim.owners) + 1)}
			return &membership.Snapshot{Joined: true, Assessed: true, Members: []membership.Member{{MemberRow: self, Live: true}}}
		},
	})
	for len(m.Held()) == 0 {
		if err := m.Step(context.Background()); err != nil {
			sim.t.Fatal(err)
		}
	}
	o := &owner{shard: m.Held()[0], view: &View{Shard: m.Held()[0], Workers: sim.hostRows()}}
	o.pool = NewPool(testPool, o.shard.Epoch(), mapValues(sim.rows()), time.Now(), zap.NewNop())
	sim.owners = append(sim.owners, o)
}

func mapValues(m map[string]Stored) []Stored {
	var list []Stored
	for _, r := range m {
		list = append(list, r)
	}
	return list
}

// step runs a step of an owner, after reading the current rows if reads is
// set.
func (sim *simulation) step(o *owner, reads bool) {
	if reads {
		o.view = &View{Shard: o.shard, Workers: sim.hostRows()}
		if rows, err := Scan(context.Background(), sim.table, KeyPrefix, 0); err == nil {
			o.pool.ApplyScan(rows, time.Now(), time.Now())
		}
	}
	calls := o.pool.Step(o.view, time.Now())
	slices.SortFunc(calls, func(a, b *Call) int {
		return strings.Compare(string(a.Kind)+a.Host+a.Job, string(b.Kind)+b.Host+b.Job)
	})
	o.calls = append(o.calls, calls...)
}

// call makes one of an owner's calls and checks the placements that it wrote.
func (sim *simulation) call(o *owner, i int) {
	c := o.calls[i]
	o.calls = slices.Delete(o.calls, i, i+1)
	before := sim.hostRows()
	r := Execute(context.Background(), sim.platform(), o.shard, c, time.Now)
	for id, row := range sim.rows() {
		if row.Placed() && row.Epoch > sim.placed[id] {
			sim.placed[id] = row.Epoch
			if phase := before[row.Host].Phase; phase != host.Serving {
				sim.t.Fatalf("job %s was placed on %s, which is %s", id, row.Host, phase)
			}
		}
	}
	o.pool.Done(r, time.Now())
}

// checkStart fails the test if a task must not start.
func (sim *simulation) checkStart(t platform.Task) {
	sim.starts++
	_, id, _ := strings.Cut(t.ID, "/")
	spec, row := sim.specs[id], sim.rows()[id]
	if t.Checkpoint == "" {
		sim.runs[id]++
	}
	if sim.runs[id] > 1 && !spec.Idempotent {
		sim.t.Fatalf("job %s, which is not idempotent, started %d times", id, sim.runs[id])
	}
	if row.State == adminapi.JobCancelled {
		sim.t.Fatalf("job %s starts after it was cancelled", id)
	}
	if limit, ok := sim.cancelEpoch[id]; ok && t.Epoch > limit {
		sim.t.Fatalf("job %s starts under epoch %d; it was marked as cancelled under epoch %d", id, t.Epoch, limit)
	}
	if phase := sim.hostRows()[t.Host].Phase; phase == host.Stopped {
		sim.t.Fatalf("job %s starts on %s, whose drain is finished", id, t.Host)
	}
}
