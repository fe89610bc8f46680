package node

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// testWorkers are workers and their entries. A stopped run ends after stopTakes.
type testWorkers struct {
	platform.Fleet
	mu        sync.Mutex
	entries   platform.WorkerChanges
	changed   chan struct{}
	runs      map[string]map[workload.TaskID]int
	ends      map[string][]platform.EndedRun
	starts    map[string]int
	stops     int
	stopTakes time.Duration
}

func (f *testWorkers) list(entries ...estate.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries.Version++
	f.entries.Changed = entries
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *testWorkers) ReadWorkers(context.Context) (platform.WorkerChanges, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries, nil
}

func (f *testWorkers) WatchWorkers(ctx context.Context, after int64, wait time.Duration) (platform.WorkerChanges, error) {
	f.mu.Lock()
	changed, known := f.changed, f.entries.Version
	f.mu.Unlock()
	if known == after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return platform.WorkerChanges{}, ctx.Err()
		}
	}
	return f.ReadWorkers(ctx)
}

func (f *testWorkers) ListHosts(context.Context) ([]estate.Host, error) { return nil, nil }

func (f *testWorkers) StartRun(_ context.Context, w *estate.Worker, o platform.Start) (platform.OrderAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[w.ID] == nil {
		f.runs[w.ID] = map[workload.TaskID]int{}
	}
	f.runs[w.ID][o.Task] = o.Run
	f.starts[w.ID]++
	return platform.OrderAnswer{ClockMS: 1000}, nil
}

func (f *testWorkers) StopRun(_ context.Context, w *estate.Worker, task workload.TaskID, run int, _ int64) (platform.OrderAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops++
	time.AfterFunc(f.stopTakes, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.runs[w.ID], task)
		f.ends[w.ID] = append(f.ends[w.ID], platform.EndedRun{Number: int64(len(f.ends[w.ID]) + 1), Task: task, Run: run, End: platform.EndStopped})
	})
	return platform.OrderAnswer{ClockMS: 1000}, nil
}

func (f *testWorkers) ThrottleRun(context.Context, *estate.Worker, workload.TaskID, int, int, int64) (platform.OrderAnswer, error) {
	return platform.OrderAnswer{}, nil
}

func (f *testWorkers) PollWorker(_ context.Context, w *estate.Worker, _ platform.Poll) (platform.WorkerStatus, error) {
	time.Sleep(10 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := platform.WorkerStatus{ClockMS: 1000, StartedMS: w.StartedMS, Ends: f.ends[w.ID]}
	for task, run := range f.runs[w.ID] {
		s.Runs = append(s.Runs, platform.RunStatus{Task: task, Run: run, Percent: 100})
	}
	return s, nil
}

func (f *testWorkers) counts(id string) (starts, stops int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[id], f.stops
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 10 s", what)
		}
	}
}

// Two tasks, one of which may be away at a time, leave a worker when the process is told to stop.
func TestReleaseLeavesNoStoppedTaskToTheSuccessor(t *testing.T) {
	n, rows, _ := testNode(t)
	f := &testWorkers{
		changed: make(chan struct{}), runs: map[string]map[workload.TaskID]int{}, ends: map[string][]platform.EndedRun{},
		starts: map[string]int{}, stopTakes: 300 * time.Millisecond,
	}
	n.Runner, n.Discovery, n.Fleet = f, f, f
	n.Scheduling.MaxLease, n.Scheduling.StopGrace = 6*time.Second, 900*time.Millisecond
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{
		Count: 2, Size: placement.Resources{Processors: 1, MemoryMB: 10}, LongRunning: true, MaxUnavailable: 1,
	}}}
	spec, err := job.Encode()
	if err == nil {
		_, err = rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: jobRow(jobTable, testID), Value: spec}}})
	}
	if err != nil {
		t.Fatal(err)
	}
	w1, w2 := testWorker, testWorker
	w1.ID, w2.ID = "w1", "w2"
	f.list(w1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	control, _, err := rows.ReadRows(ctx, controlTable, controlPart, "", "")
	if err == nil {
		err = n.observeControl(control, n.Clock.Now())
	}
	if err != nil {
		t.Fatal(err)
	}
	n.acquire(ctx)
	waitFor(t, "start on w1", func() bool { starts, _ := f.counts("w1"); return starts == 2 })
	time.Sleep(200 * time.Millisecond) // a poll lists the runs
	w1.Draining, w1.Remaining = true, 20*time.Second
	f.list(w1, w2)
	waitFor(t, "stop", func() bool { _, stops := f.counts("w1"); return stops > 0 })
	n.release(ctx)
	if starts, stops := f.counts("w2"); starts != 1 || stops != 1 {
		t.Errorf("%d tasks were stopped and %d started on the other worker before the release, want one", stops, starts)
	}
	stored, _, err := rows.ReadRows(ctx, controlTable, controlPart, "", "")
	if err == nil {
		err = n.observeControl(stored, n.Clock.Now())
	}
	if view := n.view.Load(); err != nil || view.Record.Owner != "" || view.RecordVersion == 0 {
		t.Errorf("%v, the owner is %q after the release, want none", err, view.Record.Owner)
	}
}

func TestReleaseRecordsWhichWorkersHaveEnded(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	for _, id := range []string{"w1", "w2"} {
		w := testWorker
		w.ID = id
		o.engine.WorkerListed(w, 0)
	}
	o.answerPolls(0, testWorker.StartedMS)
	txn, err := o.usedWorkersTxn(o.withHosts(o.engine.InUse(o.node.Clock.Now())))
	if err != nil {
		t.Fatal(err)
	}
	stamp, err := rows.CommitRows(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	o.usedWorkersRecorded(o.withHosts(o.engine.InUse(o.node.Clock.Now())), len(txn.Writes), stamp.Version, nil)
	o.engine.HostRemoved("w2", 0)
	o.sendHeartbeat(t.Context(), o.node.Clock.Now())
	o.deciding.Store(true)
	o.done = make(chan struct{})
	close(o.done)
	o.node.owner.Store(o)
	o.node.release(t.Context())
	stored, _, err := rows.ReadRows(t.Context(), usedWorkersTable, recordsPart, "", "")
	if err != nil || len(stored) != 1 {
		t.Fatalf("%d rows, %v; want 1", len(stored), err)
	}
	var used []usedWorker
	if err := json.Unmarshal(stored[0].Value, &used); err != nil || len(used) != 1 || used[0].ID != "w1" {
		t.Errorf("the record is %s, %v; want w1 alone", stored[0].Value, err)
	}
	if control, _, err := rows.ReadRows(t.Context(), controlTable, controlPart, "owner", ""); err != nil || len(control) == 0 || control[0].Version == o.token {
		t.Errorf("the ownership is not released: %v, %v", control, err)
	}
}

func TestSuccessorOfAReleasedOwnerWaitsForNoLeaseThatWasNotGranted(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	n := o.node
	n.Scheduling.MaxLease = 6 * time.Second
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	now := n.Clock.Now()
	o.engine.WorkerListed(testWorker, now)
	for range 3 {
		o.answerPolls(now, testWorker.StartedMS)
		o.engine.Recorded(o.engine.InUse(now))
	}
	o.sendHeartbeat(t.Context(), n.Clock.Now())
	o.deciding.Store(true)
	o.done = make(chan struct{})
	close(o.done)
	n.owner.Store(o)
	n.release(t.Context())
	control, _, err := rows.ReadRows(t.Context(), controlTable, controlPart, "", "")
	if err == nil {
		err = n.observeControl(control, n.Clock.Now())
	}
	if err != nil {
		t.Fatal(err)
	}
	successor := &owner{node: n, previous: n.view.Load().Record, previousHeartbeat: n.Clock.Now()}
	granted := o.engine.LeasesEnd()
	if got := successor.previousLeasesEnd(); got < granted || got > granted+time.Second {
		t.Errorf("the leases are taken to end %v after the last one does, want 0 to 1 s", got-granted)
	}
}

// blockedDiscovery answers once it is released.
type blockedDiscovery struct {
	platform.Discovery
	release chan struct{}
}

func (d *blockedDiscovery) ReadWorkers(ctx context.Context) (platform.WorkerChanges, error) {
	select {
	case <-d.release:
		return d.Discovery.ReadWorkers(ctx)
	case <-ctx.Done():
		return platform.WorkerChanges{}, ctx.Err()
	}
}

// An owner sends its first heartbeats before it has loaded the stored state.
func TestFirstHeartbeatsOfASuccessorKeepTheTimesOfWaves(t *testing.T) {
	checkFirstHeartbeats(t, "waves", func(h ownership.Heartbeat) int { return len(h.Waves) })
}

func TestFirstHeartbeatsOfASuccessorKeepTheTimesOfEvacuations(t *testing.T) {
	checkFirstHeartbeats(t, "evacuations", func(h ownership.Heartbeat) int { return len(h.Evacuations) })
}

func TestFirstHeartbeatsOfASuccessorKeepTheSurges(t *testing.T) {
	checkFirstHeartbeats(t, "surges", func(h ownership.Heartbeat) int { return len(h.Surges) })
}

// checkFirstHeartbeats checks that the heartbeats of a new owner, before and after it has
// loaded the stored state, tell of the one thing that the previous owner told of.
func checkFirstHeartbeats(t *testing.T, things string, count func(ownership.Heartbeat) int) {
	t.Helper()
	n, rows, _ := testNode(t)
	f := &testWorkers{changed: make(chan struct{})}
	blocked := &blockedDiscovery{Discovery: f, release: make(chan struct{})}
	n.Runner, n.Discovery, n.Fleet = f, blocked, f
	previous, err := ownership.Encode(ownership.Heartbeat{Incarnation: 5, Waves: map[int64]int64{3: 1}, Evacuations: map[string]int64{"h1": 1}, Surges: []ownership.Surge{{Pool: "p", StoreMS: 1, Workers: 2}}})
	if err == nil {
		_, err = rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: heartbeatRow, Value: previous}}})
	}
	if err != nil {
		t.Fatal(err)
	}
	observe := func() ownership.Heartbeat {
		t.Helper()
		readControl(t, n, rows)
		return n.view.Load().Heartbeat
	}
	observe()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n.acquire(ctx)
	for _, what := range []string{"first heartbeat", "heartbeat after the load"} {
		var got ownership.Heartbeat
		waitFor(t, what, func() bool {
			got = observe()
			return got.Incarnation == n.incarnation && (got.PendingKnown || what == "first heartbeat")
		})
		if n := count(got); n != 1 {
			t.Errorf("the %s tells of %d %s, want 1", what, n, things)
		}
		if what == "first heartbeat" {
			close(blocked.release)
		}
	}
}
