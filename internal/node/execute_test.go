package node

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// startCounter is a worker that counts the starts it gets.
type startCounter struct {
	platform.Runner
	starts int
}

func (c *startCounter) StartRun(context.Context, *estate.Worker, platform.Start) (platform.OrderAnswer, error) {
	c.starts++
	return platform.OrderAnswer{}, nil
}

// TestStartOfACancelledJobIsNotSentAfterItsWait guards against a start that
// waits for other orders to its worker and is sent when nobody wants it any more.
func TestStartOfACancelledJobIsNotSentAfterItsWait(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	counter := &startCounter{}
	o.node.Runner = counter
	o.workerCalls = newWorkerCallLimiter(o)
	o.lease.Renew(o.node.Clock.Now())
	o.engine = scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Parts: 1, PartOf: func(string) int { return 0 },
		UnixMS: func(now time.Duration) int64 { return now.Milliseconds() }, Log: zap.NewNop(),
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	now := o.node.Clock.Now()
	w := estate.Worker{ID: "w", Pool: "p", Address: "w:1", StartedMS: 1, Capacity: placement.Resources{Processors: 8, MemoryMB: 1000}}
	o.engine.WorkerListed(w, now)
	o.engine.Recorded(o.engine.InUse())
	for _, order := range o.engine.Decide(now, scheduler.OwnershipValid) {
		o.engine.Polled(order.(*scheduler.PollOrder), platform.WorkerStatus{ClockMS: 1000, StartedMS: 1}, nil, now)
	}
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 1, Size: placement.Resources{Processors: 1, MemoryMB: 10}}}}
	o.engine.AddJob(job, &workload.Progress{Queue: "q", State: workload.Queued}, 1, now, false, now)
	var start *scheduler.StartOrder
	for _, order := range o.engine.Decide(now, scheduler.OwnershipValid) {
		if s, ok := order.(*scheduler.StartOrder); ok {
			start = s
		}
	}
	if start == nil {
		t.Fatal("the task is not started")
	}
	for range ordersPerWorker {
		o.workerCalls.slot("w") <- struct{}{}
	}
	go o.execute(t.Context(), start)
	o.engine.Cancel(testID, now)
	<-o.workerCalls.slot("w")
	(<-o.events)(now) // the answer to the start
	if counter.starts != 0 {
		t.Errorf("%d starts were sent, want none", counter.starts)
	}
}
