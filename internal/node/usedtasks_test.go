package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// taskIDs returns n tasks of one job.
func taskIDs(n int) []workload.TaskID {
	list := make([]workload.TaskID, n)
	for i := range list {
		list[i] = workload.TaskID{Job: testID, Index: i}
	}
	return list
}

func TestRecordKeepsTheTasksOfASilentWorker(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.sendHeartbeat(t.Context(), o.node.Clock.Now())
	for _, tasks := range [][]workload.TaskID{nil, taskIDs(3)} {
		list := []scheduler.UsedWorker{{LeaseEnd: o.node.Clock.Now(), Tasks: tasks, TasksKnown: true}}
		got := workersOf(o.withHosts(list), &o.node.Clock, o.record.Epoch+1)[0]
		if !got.TasksKnown || !cmp.Equal(got.Tasks, tasks) {
			t.Errorf("the record tells of tasks %v, known %t; want %v", got.Tasks, got.TasksKnown, tasks)
		}
	}
	for name, w := range map[string]usedWorker{
		"not recorded":     {ID: "w1"},
		"unreadable":       {ID: "w1", LeaseEndMS: 1, Epoch: 7, Tasks: testID + ".0.0.0 x", TasksKnown: true},
		"of another owner": {ID: "w1", LeaseEndMS: 1, Epoch: 6, TasksKnown: true},
	} {
		if got := w.worker(&o.node.Clock, 8); got.TasksKnown {
			t.Errorf("%s: the tasks are taken to be %v, want unknown", name, got.Tasks)
		}
	}
}

func TestLeaseEndOfAnEarlierOwnerIsNotTrusted(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.sendHeartbeat(t.Context(), o.node.Clock.Now())
	w := usedWorker{ID: "w1", LeaseEndMS: o.node.Clock.LatestStoreMS(o.node.Clock.Now()), Epoch: 6}
	if got := w.worker(&o.node.Clock, 8).LeaseEnd; got < o.node.Clock.Now()+time.Hour {
		t.Errorf("the lease is taken to end at %v, want as late as any lease", got)
	}
}

// A lease that ended before this host started is still one whose end is stated.
func TestWorkerIsNotTakenForRecordedBecauseItsLeaseEndedBeforeABoot(t *testing.T) {
	var c Clock
	c.ObserveStore(platform.Stamp{NowMS: 10_000_000}, time.Minute)
	w := usedWorker{ID: "w1", LeaseEndMS: 9_000_000, Epoch: 7, TasksKnown: true}
	if got := w.worker(&c, 8).LeaseEnd; got <= 0 {
		t.Errorf("the lease ends at %v: the worker counts as one that may be used", got)
	}
}

// A cut leaves most workers silent at once.
func TestRecordOfManySilentWorkersFitsOneTransaction(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.sendHeartbeat(t.Context(), o.node.Clock.Now())
	var list []scheduler.UsedWorker
	for n := range 600 {
		w := scheduler.UsedWorker{LeaseEnd: o.node.Clock.Now(), Tasks: taskIDs(1 + 400*(n%2)), TasksKnown: true}
		w.ID = fmt.Sprintf("i-%010d", n)
		list = append(list, w)
	}
	used := o.withHosts(list)
	writes, err := usedWorkerRows(used, 0)
	if err != nil {
		t.Fatal(err)
	}
	all := 0
	for _, w := range writes {
		all += len(w.Value)
		if len(w.Value) > testMaxRowBytes {
			t.Errorf("row %s has %d bytes, %d are allowed", w.Key, len(w.Value), testMaxRowBytes)
		}
	}
	if most := 400 << 10; all > most || len(writes) > 50 {
		t.Errorf("the record has %d bytes in %d rows, want at most %d bytes and 50 rows", all, len(writes), most)
	}
	for i, w := range workersOf(used, &o.node.Clock, o.record.Epoch+1) {
		if w.TasksKnown && !cmp.Equal(w.Tasks, list[i].Tasks) {
			t.Fatalf("the record tells of %d tasks of %s, want %d or unknown", len(w.Tasks), w.ID, len(list[i].Tasks))
		}
	}
}
