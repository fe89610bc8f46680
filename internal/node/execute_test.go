package node

import (
	"context"
	"sync/atomic"
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

// testEngine returns an engine with one queue.
func testEngine() *scheduler.Engine {
	e := scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Parts: 1, PartOf: func(string) int { return 0 },
		UnixMS: func(now time.Duration) int64 { return now.Milliseconds() }, Log: zap.NewNop(),
	})
	e.SetCatalog(testCatalog(1, "/q/"))
	return e
}

// testWorker is a worker with free capacity.
var testWorker = estate.Worker{ID: "w", Pool: "p", Address: "w:1", StartedMS: 1, Capacity: placement.Resources{Processors: 8, MemoryMB: 1000}}

// startOfTestJob adds a job of one task and returns its start, nil if none is
// ordered.
func startOfTestJob(e *scheduler.Engine, now time.Duration) *scheduler.StartOrder {
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 1, Size: placement.Resources{Processors: 1, MemoryMB: 10}}}}
	e.AddJob(job, &workload.Progress{Queue: "q", State: workload.Queued}, 1, now, false, now)
	for _, order := range e.Decide(now, scheduler.OwnershipValid) {
		if s, ok := order.(*scheduler.StartOrder); ok {
			return s
		}
	}
	return nil
}

// startCounter is a worker that counts the starts it gets.
type startCounter struct {
	platform.Runner
	starts int
}

func (c *startCounter) StartRun(context.Context, *estate.Worker, platform.Start) (platform.OrderAnswer, error) {
	c.starts++
	return platform.OrderAnswer{}, nil
}

// stopCounter is a worker that counts the stops it gets.
type stopCounter struct {
	platform.Runner
	stops atomic.Int64
}

func (c *stopCounter) StopRun(context.Context, *estate.Worker, workload.TaskID, int, int64) (platform.OrderAnswer, error) {
	c.stops.Add(1)
	return platform.OrderAnswer{}, nil
}

// ownerOfABusyWorker returns an owner and its start of a test job on a worker that
// has other orders on all connections.
func ownerOfABusyWorker(t *testing.T, runner platform.Runner) (*owner, *scheduler.StartOrder) {
	t.Helper()
	o := testOwner(t, standin.NewRows(), 1)
	o.node.Runner = runner
	o.workerCalls = newWorkerCallLimiter(o)
	o.lease.Renew(o.node.Clock.Now())
	o.engine = testEngine()
	now := o.node.Clock.Now()
	o.engine.WorkerListed(testWorker, now)
	o.engine.Recorded([]scheduler.UsedWorker{{Worker: testWorker}})
	for _, order := range o.engine.Decide(now, scheduler.OwnershipValid) {
		o.engine.Polled(order.(*scheduler.PollOrder), platform.WorkerStatus{ClockMS: 1000, StartedMS: 1}, nil, now)
	}
	start := startOfTestJob(o.engine, now)
	if start == nil {
		t.Fatal("the task is not started")
	}
	for range ordersPerWorker {
		o.workerCalls.ofWorker("w").any <- struct{}{}
	}
	return o, start
}

// The start waits for other orders to its worker.
func TestStartOfACancelledJobIsNotSentAfterItsWait(t *testing.T) {
	counter := &startCounter{}
	o, start := ownerOfABusyWorker(t, counter)
	now := o.node.Clock.Now()
	go o.execute(t.Context(), start)
	o.engine.Cancel(testID, 1, now)
	<-o.workerCalls.ofWorker("w").any
	(<-o.events)(now) // the answer to the start
	if counter.starts != 0 {
		t.Errorf("%d starts were sent, want none", counter.starts)
	}
}

// executeStops carries out the stops that the engine orders.
func executeStops(t *testing.T, o *owner) {
	t.Helper()
	for _, order := range o.engine.Decide(o.node.Clock.Now(), scheduler.OwnershipValid) {
		if stop, ok := order.(*scheduler.StopOrder); ok {
			go o.execute(t.Context(), stop)
		}
	}
}

// The other orders are starts without an answer.
func TestStopDoesNotWaitBehindStarts(t *testing.T) {
	counter := &stopCounter{}
	o, start := ownerOfABusyWorker(t, counter)
	o.engine.Started(start, platform.OrderAnswer{ClockMS: 1000}, nil, o.node.Clock.Now())
	o.engine.Cancel(testID, 1, o.node.Clock.Now())
	executeStops(t, o)
	waitFor(t, "stop", func() bool { return counter.stops.Load() == 1 })
}

// The run ends while its stop waits behind others.
func TestStopOfAnEndedRunIsNotSent(t *testing.T) {
	counter := &stopCounter{}
	o, start := ownerOfABusyWorker(t, counter)
	now := o.node.Clock.Now()
	o.engine.Started(start, platform.OrderAnswer{ClockMS: 1000}, nil, now)
	o.engine.Cancel(testID, 1, now)
	o.workerCalls.ofWorker("w").stop <- struct{}{}
	executeStops(t, o)
	o.engine.Started(start, platform.OrderAnswer{Outcome: platform.OrderLate}, nil, now) // no run is left
	<-o.workerCalls.ofWorker("w").stop
	handleNext(t, o)
	if n := counter.stops.Load(); n != 0 {
		t.Errorf("%d stops were sent, want none", n)
	}
}

// handleNext handles the next event of the control goroutine.
func handleNext(t *testing.T, o *owner) {
	t.Helper()
	select {
	case handle := <-o.events:
		handle(o.node.Clock.Now())
	case <-time.After(5 * time.Second):
		t.Fatal("no event")
	}
}

// lateReader is a worker whose answers to polls are read late.
type lateReader struct {
	platform.Runner
	delay time.Duration
}

func (r *lateReader) PollWorker(ctx context.Context, _ *estate.Worker, _ platform.Poll) (platform.WorkerStatus, error) {
	select {
	case <-time.After(r.delay):
		return platform.WorkerStatus{ClockMS: 1000, StartedMS: testWorker.StartedMS}, nil
	case <-ctx.Done():
		return platform.WorkerStatus{}, ctx.Err()
	}
}

// A slow owner reads the answer of a sound worker late.
func TestAnswerToAnOverduePollIsHandled(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	o.node.Runner = &lateReader{delay: scheduler.ProbeTimeout + time.Second}
	o.engine = testEngine()
	now := o.node.Clock.Now()
	o.engine.WorkerListed(testWorker, now)
	o.engine.Recorded([]scheduler.UsedWorker{{Worker: testWorker}})
	orders := o.engine.Decide(now, scheduler.OwnershipValid)
	if len(orders) != 1 {
		t.Fatalf("%d orders, want one poll", len(orders))
	}
	go o.execute(t.Context(), orders[0])
	handleNext(t, o)
	if again := o.engine.Decide(o.node.Clock.Now()+time.Second, scheduler.OwnershipValid); len(again) != 1 {
		t.Errorf("%d orders after the poll is overdue, want another poll", len(again))
	}
	handleNext(t, o)
	if startOfTestJob(o.engine, o.node.Clock.Now()) == nil {
		t.Error("the worker whose answer was read late gets no task")
	}
}

// callRecorder is a worker that records until when a start may be sent.
type callRecorder struct {
	platform.Runner
	deadline time.Time
}

func (c *callRecorder) StartRun(ctx context.Context, _ *estate.Worker, _ platform.Start) (platform.OrderAnswer, error) {
	c.deadline, _ = ctx.Deadline()
	return platform.OrderAnswer{}, nil
}

// The connection to the worker takes as long to set up as a call may last.
func TestStartIsNotSentAfterItsTimeOnASlowConnection(t *testing.T) {
	const left = 100 * time.Millisecond
	recorder := &callRecorder{}
	o, start := ownerOfABusyWorker(t, recorder)
	<-o.workerCalls.ofWorker("w").any
	begin := time.Now()
	start.NotAfter = o.node.Clock.Now() + left
	go o.execute(t.Context(), start)
	(<-o.events)(o.node.Clock.Now()) // the answer to the start
	if most := begin.Add(left + orderTimeout/10); recorder.deadline.IsZero() || recorder.deadline.After(most) {
		t.Errorf("the start may be sent until %v after it was ordered, want %v", recorder.deadline.Sub(begin), left)
	}
}
