package node

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
)

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
	for _, order := range o.engine.Decide(answered, scheduler.OwnershipValid) {
		if poll, ok := order.(*scheduler.PollOrder); ok {
			o.engine.Polled(poll, platform.WorkerStatus{Outcome: platform.OrderDone, StartedMS: 2, ClockMS: 1}, nil, answered)
		}
	}
	if used := o.engine.InUse(); len(used) != 1 {
		t.Fatalf("workers in use are %v, want one", used)
	}
	o.fleetController.setHosts([]estate.Host{{Name: "h1", Pool: "p", State: estate.HostDown}}, listSent, 2*time.Second)
	if used := o.engine.InUse(); len(used) != 1 {
		t.Error("the worker has been removed, and its runs given up, after it answered a poll that was sent after the list was requested")
	}
}

func TestRecordIsWrittenAgainAfterAWriteWithoutAnswer(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.engine = scheduler.New(scheduler.Options{Log: zap.NewNop()})
	o.engine.Recover([]estate.Worker{{ID: "w1", Pool: "p"}}, 0, 0)
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.usedWorkersRecorded(o.withHosts(o.engine.InUse()), 1, 1, nil)
	o.usedWorkersRecorded(nil, 1, 0, errors.New("no answer")) // a record without the worker may be stored
	if o.usedWorkersUpToDate() {
		t.Error("the record counts as up to date, though another one may be stored")
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
	for _, order := range o.engine.Decide(answered, scheduler.OwnershipValid) {
		if poll, ok := order.(*scheduler.PollOrder); ok {
			o.engine.Polled(poll, platform.WorkerStatus{Outcome: platform.OrderDone, StartedMS: 2, ClockMS: 1}, nil, answered)
		}
	}
	if used := o.engine.InUse(); len(used) != 1 {
		t.Fatalf("workers in use are %v, want one", used)
	}
	o.fleetController.setHosts([]estate.Host{{Name: "h1", Pool: "p", State: estate.HostUp, WorkerID: "w1"}}, listSent, 2*time.Second)
	if used := o.engine.InUse(); len(used) != 1 {
		t.Error("the worker has been removed, and its runs given up, by a list that shows it")
	}
}
