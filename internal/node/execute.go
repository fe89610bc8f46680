package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
)

const (
	// orderTimeout bounds an order to a worker, which answers within
	// milliseconds.
	orderTimeout = 500 * time.Millisecond
	// pollTimeout is how much longer than its wait a poll may take. It is close
	// to a worker's lease: answers are worth reading as long as they may keep
	// runs from being given up.
	pollTimeout = 4 * time.Second
	// commitTimeout bounds a transaction that records progress.
	commitTimeout = 1200 * time.Millisecond
	// ordersPerWorker is the maximum number of concurrent orders to one worker,
	// each on its own connection. One more may be a stop.
	ordersPerWorker = 3
)

// workerCallLimiter bounds the concurrent orders to each worker.
type workerCallLimiter struct {
	owner *owner
	mu    sync.Mutex
	slots map[string]workerSlots
}

// workerSlots are the semaphores of a worker. Stops may take either: they would wait
// behind starts without an answer for half a second each.
type workerSlots struct{ any, stop chan struct{} }

func newWorkerCallLimiter(o *owner) *workerCallLimiter {
	return &workerCallLimiter{owner: o, slots: map[string]workerSlots{}}
}

// ofWorker returns the semaphores of a worker.
func (c *workerCallLimiter) ofWorker(id string) workerSlots {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.slots[id]
	if !ok {
		s = workerSlots{any: make(chan struct{}, ordersPerWorker), stop: make(chan struct{}, 1)}
		c.slots[id] = s
	}
	return s
}

// workerCall is a call of a worker.
type workerCall func(context.Context) (platform.OrderAnswer, error)

// order calls a worker once one of its slots is free.
func (c *workerCallLimiter) order(ctx context.Context, id string, call workerCall) (platform.OrderAnswer, error) {
	return callInSlot(ctx, c.ofWorker(id).any, nil, call)
}

// stop is order for a stop.
func (c *workerCallLimiter) stop(ctx context.Context, id string, call workerCall) (platform.OrderAnswer, error) {
	s := c.ofWorker(id)
	return callInSlot(ctx, s.any, s.stop, call)
}

// callInSlot makes a call once one of two semaphores admits it; either may be nil.
func callInSlot(ctx context.Context, first, second chan struct{}, call workerCall) (platform.OrderAnswer, error) {
	taken := first
	select {
	case first <- struct{}{}:
	case second <- struct{}{}:
		taken = second
	case <-ctx.Done():
		return platform.OrderAnswer{}, ctx.Err()
	}
	defer func() { <-taken }()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return call(callCtx)
}

// execute carries out an order of the engine and posts the answer to the
// control goroutine.
func (o *owner) execute(ctx context.Context, order scheduler.Order) {
	n := o.node
	switch x := order.(type) {
	case *scheduler.StartOrder:
		a, err := o.workerCalls.order(ctx, x.Worker.ID, func(ctx context.Context) (platform.OrderAnswer, error) {
			now := n.Clock.Now()
			if x.Withdrawn() || now > x.NotAfter || !o.ownershipValid(now) {
				return platform.OrderAnswer{Outcome: platform.OrderNotSent}, nil
			}
			ctx, cancel := context.WithTimeout(ctx, x.NotAfter-now)
			defer cancel()
			return n.Runner.StartRun(ctx, &x.Worker, x.Start)
		})
		o.post(ctx, func(now time.Duration) { o.engine.Started(x, a, err, now) })
	case *scheduler.StopOrder:
		a, err := o.workerCalls.stop(ctx, x.Worker.ID, func(ctx context.Context) (platform.OrderAnswer, error) {
			if x.Withdrawn() {
				return platform.OrderAnswer{Outcome: platform.OrderNotSent}, nil
			}
			return n.Runner.StopRun(ctx, &x.Worker, x.Task, x.Run, x.Token)
		})
		o.post(ctx, func(now time.Duration) { o.engine.Stopped(x, a, err, now) })
	case *scheduler.ThrottleOrder:
		a, err := o.workerCalls.order(ctx, x.Worker.ID, func(ctx context.Context) (platform.OrderAnswer, error) {
			return n.Runner.ThrottleRun(ctx, &x.Worker, x.Task, x.Run, x.Percent, x.Token)
		})
		o.post(ctx, func(now time.Duration) { o.engine.Throttled(x, a, err, now) })
	case *scheduler.PollOrder:
		o.poll(ctx, x)
	case *scheduler.Commit:
		o.commit(ctx, x)
	case *scheduler.RecommendOrder:
		callCtx, cancel := context.WithTimeout(ctx, recommendTimeout)
		defer cancel()
		t, err := n.Recommender.Recommend(callCtx, x.Step, x.Workers)
		o.post(ctx, func(now time.Duration) { o.engine.Recommended(x, t, err, now) })
	}
}

// recommendTimeout bounds a call to the recommendation service, which serves
// one call at a time.
const recommendTimeout = 3 * time.Second

// poll polls a worker and posts its status to the control goroutine.
func (o *owner) poll(ctx context.Context, x *scheduler.PollOrder) {
	callCtx, cancel := context.WithTimeout(ctx, x.Wait+pollTimeout)
	defer cancel()
	overdue := time.AfterFunc(x.Wait+scheduler.ProbeTimeout, func() {
		o.post(ctx, func(now time.Duration) { o.engine.PollOverdue(x, now) })
	})
	defer overdue.Stop()
	status, err := o.node.Runner.PollWorker(callCtx, &x.Worker, x.Poll)
	o.post(ctx, func(now time.Duration) { o.engine.Polled(x, status, err, now) })
}

// commit records the progress of jobs in one transaction. A conflict carries
// the current versions of the rows.
func (o *owner) commit(ctx context.Context, c *scheduler.Commit) {
	fence := o.fences[c.Part]
	txn := platform.RowTxn{Conditions: []platform.RowCondition{fence}}
	for i := range c.Records {
		r := &c.Records[i]
		value, err := r.Progress.Encode()
		if err != nil {
			event.RowUnreadable.Log(o.node.Log, zap.String("key", r.Job), zap.Error(err))
			continue
		}
		key := jobRow(progressTable, r.Job)
		txn.Conditions = append(txn.Conditions, platform.RowCondition{RowKey: key, Version: r.Version})
		txn.Writes = append(txn.Writes, platform.RowWrite{RowKey: key, Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	stamp, err := o.node.Rows.CommitRows(callCtx, txn)
	var conflict *platform.RowConflict
	switch {
	case err == nil:
		o.post(ctx, func(now time.Duration) { o.engine.Committed(c, stamp.Version, now) })
	case errors.As(err, &conflict) && conflict.Row(fence.RowKey).Version != fence.Version:
		event.OwnershipLost.Log(o.node.Log, zap.Int64("epoch", o.record.Epoch), zap.Error(err))
		o.cancel()
	case errors.As(err, &conflict):
		current := make(map[string]int64, len(c.Records))
		for i := range c.Records {
			current[c.Records[i].Job] = conflict.Row(jobRow(progressTable, c.Records[i].Job)).Version
		}
		o.post(ctx, func(now time.Duration) { o.engine.CommitFailed(c, current, now) })
	default:
		event.CommitUnconfirmed.Log(o.node.Log, zap.Int("jobs", len(c.Records)), zap.Error(err))
		o.post(ctx, func(now time.Duration) { o.engine.CommitFailed(c, nil, now) })
	}
}
