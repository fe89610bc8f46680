package node

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

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
		got := workersOf(o.withHosts(list), &o.node.Clock)[0]
		if !got.TasksKnown || !cmp.Equal(got.Tasks, tasks) {
			t.Errorf("the record tells of tasks %v, known %t; want %v", got.Tasks, got.TasksKnown, tasks)
		}
	}
	for name, w := range map[string]usedWorker{
		"not recorded": {ID: "w1"}, "unreadable": {ID: "w1", Tasks: testID + ".0.0.0 x", TasksKnown: true},
	} {
		if got := w.worker(&o.node.Clock); got.TasksKnown {
			t.Errorf("%s: the tasks are taken to be %v, want unknown", name, got.Tasks)
		}
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
	for i, w := range workersOf(used, &o.node.Clock) {
		if w.TasksKnown && !cmp.Equal(w.Tasks, list[i].Tasks) {
			t.Fatalf("the record tells of %d tasks of %s, want %d or unknown", len(w.Tasks), w.ID, len(list[i].Tasks))
		}
	}
}
