package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// serialRows applies the transactions of a part one after another, as the platform
// does, and those with a row of the record of workers in use only when released.
type serialRows struct {
	platform.Rows
	parts    sync.Map
	released chan struct{}
}

func (r *serialRows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	lock, _ := r.parts.LoadOrStore(txn.Writes[0].Part, make(chan struct{}, 1))
	part := lock.(chan struct{})
	select {
	case part <- struct{}{}:
		defer func() { <-part }()
	case <-ctx.Done():
		return platform.Stamp{}, platform.ErrUnknown
	}
	if txn.Writes[0].Table == usedWorkersTable {
		<-r.released // whether its caller still waits or not
	}
	return r.Rows.CommitRows(ctx, txn)
}

// An owner whose heartbeats wait for its records loses its lease while the store is slow.
func TestHeartbeatsDoNotWaitForTheRecordsOfASlowStore(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	slow := &serialRows{Rows: rows, released: make(chan struct{})}
	defer close(slow.released)
	o.node.Rows = slow
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.engine.WorkerListed(testWorker, 0)
	o.answerPolls(0, testWorker.StartedMS)
	o.recordUsedWorkers(t.Context(), o.node.Clock.Now())
	if !o.used.writing {
		t.Fatal("the record of workers in use is not written")
	}
	for begun := false; !begun; _, begun = slow.parts.Load(firstUsedWorkersRow.Part) {
		time.Sleep(time.Millisecond)
	}
	sent := o.node.Clock.Now()
	o.sendHeartbeat(t.Context(), sent)
	if !o.ownershipValid(sent) {
		t.Error("a heartbeat waits for the record of workers in use")
	}
}

// A successor must know the workers that an owner of an earlier release used, until its own record holds them.
func TestRecordsOfAnEarlierReleaseCountUntilTheyAreMoved(t *testing.T) {
	rows := standin.NewRows()
	before := testOwner(t, rows, 1)
	write := func(key platform.RowKey, value string) {
		t.Helper()
		if _, err := rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: key, Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	write(movedRow, `[{"id":"w1","pool":"p","address":"a"}]`)
	write(controlRow(waveTable, "1"), `["h1"]`)
	load := func(o *owner) *recoveredState {
		t.Helper()
		l := &recoveredState{}
		if err := o.loadRecords(t.Context(), l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	l := load(before)
	if len(l.used) != 1 || l.used[0].ID != "w1" || len(l.waves) != 1 {
		t.Fatalf("workers %v and waves %v, want w1 and wave 1", l.used, l.waves)
	}
	f := newFleetController(before, l.waves, scheduler.WorkerHosts{}, 0)
	if hosts := f.planner.MaintenanceStarted(1); len(hosts) != 1 || f.recorded[1].version != platform.NoVersion {
		t.Errorf("hosts %v in maintenance, record %v; want h1 and no record yet", hosts, f.recorded[1])
	}
	write(firstUsedWorkersRow, `[{"id":"w2","pool":"p","address":"a"}]`)
	if l := load(before); len(l.used) != 2 {
		t.Errorf("workers %v before the record is marked, want both", l.used)
	}
	if err := before.markMoved(t.Context()); err != nil {
		t.Fatal(err)
	}
	if l := load(testOwner(t, rows, 2)); len(l.used) != 1 || l.used[0].ID != "w2" {
		t.Errorf("workers %v after it, want w2 alone", l.used)
	}
	l = &recoveredState{}
	earlier, _, err := rows.ReadRows(t.Context(), usedWorkersTable, controlPart, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if l.readUsedWorkers(earlier, zap.NewNop()); !l.usedIncomplete {
		t.Error("an earlier release can read the record, though it is out of date")
	}
}

// An owner that ends before it has stored the waves itself has marked the records already.
func TestWavesOfAnEarlierReleaseOutliveTheMark(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	for key, value := range map[platform.RowKey]string{
		movedRow: "[]", controlRow(waveTable, "1"): `["h1"]`, controlRow(waveTable, "2"): `["h2"]`, recordsRow(waveTable, "2"): `["h3"]`,
	} {
		if _, err := rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: key, Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	l := &recoveredState{}
	if err := errors.Join(o.markMoved(t.Context()), o.loadRecords(t.Context(), l)); err != nil {
		t.Fatal(err)
	}
	f := newFleetController(o, l.waves, scheduler.WorkerHosts{}, 0)
	for wave, want := range map[int64][]string{1: {"h1"}, 2: {"h2", "h3"}} {
		if hosts := f.planner.MaintenanceStarted(wave); !slices.Equal(hosts, want) {
			t.Errorf("wave %d: hosts %v in maintenance, want %v", wave, hosts, want)
		}
	}
	if r := f.recorded[2]; r.hosts != 1 || r.version == platform.NoVersion {
		t.Errorf("record %+v of wave 2, want that of the records part", r)
	}
}

// A process of an earlier release that owned the work last knows the pool in which a worker may run tasks.
func TestNewerRecordOfAWorkerCountsThoughAnEarlierReleaseWroteIt(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	for _, w := range []struct {
		key  platform.RowKey
		want string
	}{{firstUsedWorkersRow, "old"}, {movedRow, "new"}, {firstUsedWorkersRow, "newest"}} {
		value := []byte(`[{"id":"w1","pool":"` + w.want + `","address":"a"}]`)
		if _, err := rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: w.key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
		l := &recoveredState{}
		if err := o.loadRecords(t.Context(), l); err != nil {
			t.Fatal(err)
		}
		if len(l.used) != 1 || l.used[0].Pool != w.want {
			t.Errorf("workers %v, want w1 in pool %s alone", l.used, w.want)
		}
	}
}

// A successor that has read the records would miss what its predecessor writes later.
func TestFormerOwnerCannotChangeTheRecords(t *testing.T) {
	for name, write := range map[string]func(*owner){
		"workers in use": func(o *owner) {
			txn, err := o.usedWorkersTxn([]usedWorker{{ID: "w1", Pool: "p", Address: "a"}})
			if err == nil {
				_, err = o.node.Rows.CommitRows(t.Context(), txn)
			}
			if !errors.Is(err, platform.ErrConflict) {
				t.Errorf("the write ends with %v, want a conflict", err)
			}
		},
		"orders about hosts": func(o *owner) {
			o.fleetController.announcer.write(t.Context(), o.node.Clock.Now(), o.fleetController.announced(t.Context()))
			(<-o.events)(o.node.Clock.Now())
		},
		"hosts of a wave": func(o *owner) {
			o.node.waves.add([]estate.Wave{{Number: 1, Hosts: []string{"h1"}}})
			o.fleetController.planner.Done(fleetplan.Decision{Kind: fleetplan.Maintain, Host: "h1", Wave: 1}, 0)
			o.fleetController.recordWaves(t.Context())
			(<-o.events)(o.node.Clock.Now())
		},
	} {
		rows := standin.NewRows()
		first, _ := announcingOwner(t, rows, 1)
		announcingOwner(t, rows, 2)
		write(first)
		for _, table := range []string{usedWorkersTable, announcedRow.Table, waveTable} {
			if stored, _, err := rows.ReadRows(t.Context(), table, recordsPart, "", ""); err != nil || len(stored) != 0 {
				t.Errorf("%s: table %s holds %v, %v; want nothing of the former owner", name, table, stored, err)
			}
		}
	}
}

// withoutMark refuses the mark of moved records.
type withoutMark struct{ platform.Rows }

func (r withoutMark) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	if txn.Writes[0].RowKey == movedRow {
		return platform.Stamp{}, platform.ErrUnavailable
	}
	return r.Rows.CommitRows(ctx, txn)
}

// A process of an earlier release that takes over reads an old record, and starts the tasks of new workers again.
func TestNoWorkerCountsAsRecordedBeforeTheRecordsAreMarked(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	if err := o.fenceParts(t.Context()); err != nil {
		t.Fatal(err)
	}
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.engine.WorkerListed(testWorker, 0)
	o.answerPolls(0, testWorker.StartedMS)
	for _, marked := range []bool{false, true, true} { // the second write conflicts with the first
		o.node.Rows = withoutMark{rows}
		if marked {
			o.node.Rows = rows
		}
		o.recordUsedWorkers(t.Context(), o.node.Clock.Now())
		if !o.used.writing {
			t.Fatal("the record is not written")
		}
		(<-o.events)(o.node.Clock.Now())
		if !marked && len(o.used.recorded) != 0 {
			t.Errorf("%d workers count as recorded, and an earlier release can read its old record", len(o.used.recorded))
		}
	}
	earlier, _, err := rows.ReadRows(t.Context(), usedWorkersTable, controlPart, "", "")
	if err != nil || len(earlier) != 1 || !isMoved(earlier[0]) || len(o.used.recorded) != 1 {
		t.Errorf("rows %v, %v and %d recorded workers; want the mark and one", earlier, err, len(o.used.recorded))
	}
}
