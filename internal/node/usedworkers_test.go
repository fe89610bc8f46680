package node

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// answerPolls lets the workers answer the polls that are due.
func (o *owner) answerPolls(now time.Duration, startedMS int64) {
	for _, order := range o.engine.Decide(now, scheduler.OwnershipValid) {
		if poll, ok := order.(*scheduler.PollOrder); ok {
			o.engine.Polled(poll, platform.WorkerStatus{Outcome: platform.OrderDone, StartedMS: startedMS, ClockMS: 1}, nil, now)
		}
	}
}

// The list shows the host down, as it was before the worker started again.
func TestOldHostListEndsNoWorkerThatHasAnsweredSince(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.engine = scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop(),
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, workerHostsOf([]usedWorker{{ID: "w1", Pool: "p", Host: "h1", StartedMS: 1}}), 0)
	const listSent, answered = time.Second, 1500 * time.Millisecond
	o.engine.WorkerListed(estate.Worker{ID: "w1", Pool: "p", StartedMS: 2}, answered)
	o.answerPolls(answered, 2)
	if used := o.engine.InUse(o.node.Clock.Now()); len(used) != 1 {
		t.Fatalf("workers in use are %v, want one", used)
	}
	o.fleetController.setHosts([]estate.Host{{Name: "h1", Pool: "p", State: estate.HostDown}}, listSent, 2*time.Second)
	if used := o.engine.InUse(o.node.Clock.Now()); len(used) != 1 {
		t.Error("the worker has been removed, and its runs given up, after it answered a poll that was sent after the list was requested")
	}
}

func TestRecordIsWrittenAgainAfterAWriteWithoutAnswer(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.engine = scheduler.New(scheduler.Options{Log: zap.NewNop()})
	o.engine.Recover(workersOf([]usedWorker{{ID: "w1", Pool: "p"}}, &o.node.Clock, o.record.Epoch), o.previousLeasesEnd(), 0)
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.usedWorkersRecorded(o.withHosts(o.engine.InUse(o.node.Clock.Now())), 1, 1, nil)
	o.usedWorkersRecorded(nil, 1, 0, errors.New("no answer")) // a record without the worker may be stored
	if o.usedWorkersUpToDate(o.node.Clock.Now()) {
		t.Error("the record counts as up to date, though another one may be stored")
	}
}

// The owner before the last started a task on the worker; the last one did not reach it.
func TestSuccessorCountsTheWaitFromTheOwnerThatReachedTheWorker(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	ctx := t.Context()
	n := o.node
	n.Scheduling.MaxLease = time.Second
	ended := n.Clock.Now() - 3*time.Second
	o.previousHeartbeat = ended - ownership.LeaseDuration
	leaseEnd := n.Scheduling.LeasesEnd(ended)
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 8, MaxLease: time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.engine.Recover(workersOf([]usedWorker{{ID: "w1", Pool: "p"}}, &n.Clock, o.record.Epoch), o.previousLeasesEnd(), 0)
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.sendHeartbeat(ctx, n.Clock.Now())
	if used := o.withHosts(o.engine.InUse(n.Clock.Now())); used[0].LeaseEndMS != 0 {
		t.Errorf("the lease of the worker is recorded to end at %d ms before it failed to answer, want unknown", used[0].LeaseEndMS)
	}
	for _, order := range o.engine.Decide(0, scheduler.OwnershipValid) {
		if poll, ok := order.(*scheduler.PollOrder); ok {
			o.engine.Polled(poll, platform.WorkerStatus{}, errors.New("no answer"), 0)
		}
	}
	txn, err := o.usedWorkersTxn(o.withHosts(o.engine.InUse(n.Clock.Now())))
	if err == nil {
		_, err = rows.CommitRows(ctx, txn)
	}
	if err != nil {
		t.Fatal(err)
	}
	stored, _, err := rows.ReadRows(ctx, usedWorkersTable, recordsPart, "", "")
	if err != nil || len(stored) != 1 {
		t.Fatalf("%d rows, %v; want 1", len(stored), err)
	}
	var used []usedWorker
	if err := json.Unmarshal(stored[0].Value, &used); err != nil || len(used) != 1 {
		t.Fatalf("record %s, %v; want one worker", stored[0].Value, err)
	}
	if got := used[0].worker(&n.Clock, o.record.Epoch+1).LeaseEnd; got < leaseEnd || got > leaseEnd+time.Second {
		t.Errorf("the lease is taken to end %v after it does, want 0 to 1 s", got-leaseEnd)
	}
	successor := &owner{node: n, record: ownership.Record{Epoch: 9}, previousHeartbeat: n.Clock.Now()}
	if got, want := successor.previousLeasesEnd(), n.Scheduling.LeasesEnd(successor.previousLeaseEnd()); got != want {
		t.Errorf("the leases of an owner that did not release its ownership end at %v, want %v", got, want)
	}
}

// The host was moved between two lists, and its worker has the id that it had.
func TestWorkerThatAListShowsInItsNewPoolHasNotEnded(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.engine = scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop(),
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, workerHostsOf([]usedWorker{{ID: "w1", Pool: "before", Host: "h1", StartedMS: 1}}), 0)
	const answered, listSent = time.Second, 1500 * time.Millisecond
	o.engine.WorkerListed(estate.Worker{ID: "w1", Pool: "p", StartedMS: 2}, answered)
	o.answerPolls(answered, 2)
	if used := o.engine.InUse(o.node.Clock.Now()); len(used) != 1 {
		t.Fatalf("workers in use are %v, want one", used)
	}
	o.fleetController.setHosts([]estate.Host{{Name: "h1", Pool: "p", State: estate.HostUp, WorkerID: "w1"}}, listSent, 2*time.Second)
	if used := o.engine.InUse(o.node.Clock.Now()); len(used) != 1 {
		t.Error("the worker has been removed, and its runs given up, by a list that shows it")
	}
}

// The new owner may not give orders about hosts yet.
func TestNewOwnerPlacesNoEvacuatedTaskBackOnAHostOfAWave(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 2)
	o.engine = scheduler.New(scheduler.Options{
		Token: 1, Epoch: 2, MaxLease: 6 * time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop(),
		UnixMS: func(now time.Duration) int64 { return now.Milliseconds() },
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.fleetController.firstOrderAt = time.Hour
	o.node.waves.add([]estate.Wave{{Number: 1, Hosts: []string{"h1"}, MaxDown: 1, Duration: time.Minute}})
	const now = time.Second
	size := placement.Resources{Processors: 4, MemoryMB: 4096}
	var hosts []estate.Host
	for _, n := range []string{"1", "2"} {
		w := estate.Worker{ID: "w" + n, Pool: "p", StartedMS: 1, Capacity: size}
		o.engine.WorkerListed(w, now)
		hosts = append(hosts, estate.Host{Name: "h" + n, Pool: "p", State: estate.HostUp, WorkerID: w.ID})
	}
	o.fleetController.setHosts(hosts, now, now)
	o.answerPolls(now, 1)
	o.engine.Recorded(o.engine.InUse(o.node.Clock.Now()))
	o.fleetController.reconcile(t.Context(), now)
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 1, LongRunning: true, Size: placement.Resources{Processors: 1}}}}
	o.engine.AddJob(job, &workload.Progress{Queue: "q", State: workload.Running}, 1, 0, true, now)
	started := ""
	for _, order := range o.engine.Decide(now+50*time.Millisecond, scheduler.OwnershipValid) {
		if start, ok := order.(*scheduler.StartOrder); ok {
			started = start.Worker.ID
		}
	}
	if started != "w2" {
		t.Errorf("the task is started on %q, want w2: the host of w1 is to be maintained", started)
	}
}

// TestUsedWorkersWithLongNamesFitTheirRows uses the longest names that the
// platform allows, also where JSON needs six bytes for one.
func TestUsedWorkersWithLongNamesFitTheirRows(t *testing.T) {
	for _, letter := range []string{"x", "<"} {
		name := strings.Repeat(letter, 200)
		used := make([]usedWorker, 250)
		for i := range used {
			used[i] = usedWorker{ID: name, Pool: name, Address: strings.Repeat("x", 253) + ":65535", Host: name, StartedMS: 1 << 40, LeaseEndMS: 1 << 40, Epoch: 1 << 40}
		}
		writes, err := usedWorkerRows(used, 0)
		if err != nil {
			t.Fatal(err)
		}
		stored := 0
		for _, w := range writes {
			var list []usedWorker
			if err := json.Unmarshal(w.Value, &list); err != nil {
				t.Fatal(err)
			}
			stored += len(list)
			if len(w.Value) > testMaxRowBytes {
				t.Errorf("row %s has %d bytes, %d are allowed", w.Key, len(w.Value), testMaxRowBytes)
			}
		}
		if stored != len(used) {
			t.Errorf("%d of %d workers are in the rows", stored, len(used))
		}
	}
}

// unreadableRecordTest returns an owner whose predecessor recorded workers in a
// row that cannot be read, and a job that may have a run of that predecessor.
func unreadableRecordTest(t *testing.T) (*owner, *recoveredState) {
	t.Helper()
	rows := standin.NewRows()
	o := testOwner(t, rows, 2)
	o.node.Scheduling = scheduler.Options{MaxLease: 6 * time.Second}
	o.node.adopt(platform.OperatorChanges{Catalog: testCatalog(1, "/q/")})
	f := &listedWorkers{workers: []estate.Worker{{ID: "w1", Pool: "p", StartedMS: 1, Capacity: placement.Resources{Processors: 4, MemoryMB: 4096}}}}
	o.node.Discovery, o.node.Fleet = f, f
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 1, Size: placement.Resources{Processors: 1}}}}
	s, err := newSubmission(job, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	writes := append([]platform.RowWrite{{RowKey: firstUsedWorkersRow, Value: []byte(`[{"id":5}]`)}}, s.rows[:]...)
	for _, w := range writes {
		if _, err := rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{w}}); err != nil {
			t.Fatal(err)
		}
	}
	// The owner took over after the job was accepted.
	stored, _, err := rows.ReadRows(t.Context(), controlTable, controlPart, "", "")
	if err != nil {
		t.Fatal(err)
	}
	stamp, err := rows.CommitRows(t.Context(), platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: ownerRow, Version: stored[0].Version}},
		Writes:     []platform.RowWrite{{RowKey: ownerRow, Value: []byte("{}")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	o.token = stamp.Version
	l, err := o.load(t.Context())
	if err != nil {
		t.Fatalf("the stored state cannot be loaded: %v", err)
	}
	return o, l
}

// listedWorkers is a Discovery that lists workers, and a Fleet that lists no
// hosts.
type listedWorkers struct {
	platform.Fleet
	workers []estate.Worker
}

func (f *listedWorkers) ReadWorkers(context.Context) (platform.WorkerChanges, error) {
	return platform.WorkerChanges{Changed: f.workers}, nil
}

func (f *listedWorkers) WatchWorkers(context.Context, int64, time.Duration) (platform.WorkerChanges, error) {
	return platform.WorkerChanges{}, nil
}

func (f *listedWorkers) ListHosts(context.Context) ([]estate.Host, error) { return nil, nil }

// A worker that only the unreadable row names may run the task until its lease has expired.
func TestUnreadableRecordOfWorkersHoldsTasksForALeaseOnly(t *testing.T) {
	o, l := unreadableRecordTest(t)
	now := o.node.Clock.Now()
	o.previousHeartbeat = now
	o.setUpEngine(l, now)
	startedAt := time.Duration(-1)
	for at := time.Duration(0); at < 20*time.Second && startedAt < 0; at += 50 * time.Millisecond {
		o.engine.Recorded(o.engine.InUse(o.node.Clock.Now()))
		o.engine.CancelsRead(now+at, 0) // as the feeds do
		o.engine.EntriesRead(now + at)
		for _, order := range o.engine.Decide(now+at, scheduler.OwnershipValid) {
			switch order := order.(type) {
			case *scheduler.PollOrder:
				status := platform.WorkerStatus{Outcome: platform.OrderDone, StartedMS: 1, ClockMS: 1 + at.Milliseconds()}
				var err error
				if order.Worker.ID != "w1" {
					err = errors.New("no answer")
				}
				o.engine.Polled(order, status, err, now+at)
			case *scheduler.StartOrder:
				startedAt = at
			}
		}
		// As a host list does that shows none of the workers.
		o.engine.HostsListed(o.fleetController.workerHosts, []estate.Host{{Name: "other", State: estate.HostUp}}, now+at, now+at)
	}
	least := ownership.LeaseDuration + o.node.Scheduling.MaxLease
	if startedAt < least || startedAt > least+2*time.Second {
		t.Errorf("the task was started after %v, want %v to %v", startedAt, least, least+2*time.Second)
	}
}

// A successor of that owner has to wait, too, though no host runs the workers that the row may name.
func TestWorkersOfAnUnreadableRecordAreRecordedForASuccessor(t *testing.T) {
	o, l := unreadableRecordTest(t)
	o.setUpEngine(l, o.node.Clock.Now())
	used := o.withHosts(o.engine.InUse(o.node.Clock.Now()))
	if len(used) != 1 || used[0].Pool != "p" {
		t.Fatalf("workers in use are %+v, want one that stands for those of pool p", used)
	}
	if hosts := workerHostsOf(used); len(hosts) != 0 {
		t.Errorf("hosts %v: a host list without them would end the wait", hosts)
	}
}
