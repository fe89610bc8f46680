package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// tick is the time between two decisions when nothing happens.
	tick = 50 * time.Millisecond
	// sweepInterval is the time between two updates of what beats and the record
	// of workers in use tell.
	sweepInterval = 100 * time.Millisecond
	// eventQueue is how many answers may wait for the control goroutine.
	eventQueue = 1024
	// loadRetry is the pause after a failed read of the jobs.
	loadRetry = 100 * time.Millisecond
)

// owner is an ownership of the control work. One goroutine, run, owns the
// engine; everything else reaches it through events.
type owner struct {
	node     *Node
	token    int64
	record   ownership.Record
	previous ownership.Record
	// fences are the conditions of this owner's transactions in the parts of
	// the jobs.
	fences [jobParts]platform.RowCondition
	// previousHeartbeat is when the former owner's last beat was first seen.
	previousHeartbeat time.Duration
	lease             ownership.Lease
	ownershipWasValid bool
	pacer             ownership.Pacer
	mu                sync.Mutex // guards lease and pacer
	engine            *scheduler.Engine
	duties            *duties
	events            chan func(now time.Duration)
	cancel            context.CancelFunc
	done              chan struct{}
	since             time.Duration
	// pending, surges and waves are what the next beat tells, published by run.
	pendingMu sync.Mutex
	pending   map[string]int
	surges    []ownership.Surge
	waves     map[int64]int64

	used usedRecord
	// lastSweep is when the record of workers in use and the next beat were last
	// brought up to date.
	lastSweep time.Duration
	calls     *callers
}

// begin starts an ownership that the table service has recorded.
func (n *Node) begin(ctx context.Context, record, previous ownership.Record, token int64) {
	ctx, cancel := context.WithCancel(ctx)
	o := &owner{
		node: n, token: token, record: record, previous: previous, events: make(chan func(time.Duration), eventQueue),
		cancel: cancel, done: make(chan struct{}), since: n.Clock.Now(), ownershipWasValid: true, previousHeartbeat: n.view.Load().HeartbeatSeen,
	}
	o.lease.Renew(o.since)
	o.calls = newCallers(o)
	n.owner.Store(o)
	n.metrics.ownerships.Add(1)
	event.OwnershipAcquired.Log(n.Log, zap.Int64("epoch", record.Epoch), zap.Int64("token", token), zap.String("former", previous.Owner))
	go func() {
		defer close(o.done)
		defer n.owner.Store(nil)
		defer cancel()
		go o.sendHeartbeats(ctx)
		if err := o.run(ctx); err != nil && ctx.Err() == nil {
			event.OwnershipLost.Log(n.Log, zap.Int64("epoch", record.Epoch), zap.Error(err))
		}
	}()
}

// fence is the condition under which an owner writes in the control part.
func (o *owner) fence() platform.RowCondition {
	return platform.RowCondition{RowKey: ownerRow, Version: o.token}
}

// loaded is what an ownership begins with.
type loaded struct {
	jobs     []platform.PartRow
	progress []platform.PartRow
	used     []usedWorker
	hosts    []estate.Host
	waves    []platform.PartRow
	jobStamp platform.Stamp
	workers  platform.WorkerChanges
}

// load reads all rows. Former owners can write nothing any more, and entries
// write jobs, which the feed brings from the first read on.
func (o *owner) load(ctx context.Context) (*loaded, error) {
	n := o.node
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l := &loaded{}
	var err error
	if err := o.fenceParts(ctx); err != nil {
		return nil, err
	}
	if l.jobs, l.jobStamp, err = n.readJobParts(ctx, jobTable); err != nil {
		return nil, err
	}
	n.Clock.SeeStore(l.jobStamp, n.Clock.Now())
	if l.progress, _, err = n.readJobParts(ctx, progressTable); err != nil {
		return nil, err
	}
	fenced, _, err := n.Rows.ReadRows(ctx, fencedTable, controlPart, "", "")
	if err != nil {
		return nil, err
	}
	for _, r := range fenced {
		var list []usedWorker
		if err := json.Unmarshal(r.Value, &list); err != nil {
			return nil, errors.Wrap(err, "decode workers in use")
		}
		l.used = append(l.used, list...)
	}
	o.used.see(fenced)
	if l.waves, _, err = n.Rows.ReadRows(ctx, waveTable, controlPart, "", ""); err != nil {
		return nil, err
	}
	if l.workers, err = n.Discovery.ReadWorkers(ctx); err != nil {
		return nil, err
	}
	hostsCtx, cancelHosts := context.WithTimeout(ctx, hostsTimeout)
	defer cancelHosts()
	if l.hosts, err = n.Fleet.ListHosts(hostsCtx); err != nil {
		// The list only shows sooner which workers have ended.
		event.DependencyLost.Log(n.Log, zap.String("dependency", "list of hosts"), zap.Error(err))
	}
	return l, nil
}

// hostsTimeout bounds the read of the hosts at the begin of an ownership.
const hostsTimeout = 300 * time.Millisecond

// run owns the engine until ctx ends.
func (o *owner) run(ctx context.Context) error {
	n := o.node
	l, err := o.load(ctx)
	for ; err != nil; l, err = o.load(ctx) {
		event.DependencyLost.Log(n.Log, zap.String("dependency", "jobs"), zap.Error(err))
		if err := ctxtime.Sleep(ctx, loadRetry); err != nil {
			return err
		}
	}
	for n.catalog.Load() == nil {
		if err := ctxtime.Sleep(ctx, loadRetry); err != nil {
			return err
		}
	}
	now := n.Clock.Now()
	o.setUp(l, now)
	go o.watchJobs(ctx, l.jobStamp.Version)
	go o.watchWorkers(ctx, l.workers.Version)
	go o.watchHosts(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case fn := <-o.events:
			fn(n.Clock.Now())
			o.drainEvents()
		case <-ticker.C:
		case <-n.catalogs:
			o.engine.SetCatalog(n.catalog.Load())
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.engine.Superseded() {
			return errors.New("a worker obeys a later owner")
		}
		o.decide(ctx)
	}
}

// drainEvents runs what waits, so that one decision answers all of it.
func (o *owner) drainEvents() {
	for range eventQueue {
		select {
		case fn := <-o.events:
			fn(o.node.Clock.Now())
		default:
			return
		}
	}
}

// setUp makes the engine from what was read.
func (o *owner) setUp(l *loaded, now time.Duration) {
	n := o.node
	opts := n.Scheduling
	opts.Token, opts.Epoch = o.token, o.record.Epoch
	opts.Log = n.Log
	opts.Parts, opts.PartOf = jobParts, partOf
	opts.UnixMS = func(now time.Duration) int64 {
		return time.Now().UnixMilli() - (n.Clock.Now() - now).Milliseconds()
	}
	e := scheduler.New(opts)
	e.SetCatalog(n.catalog.Load())
	e.Recover(alive(l.used, l.hosts), o.lastOrder(), now)
	for _, w := range l.workers.Changed {
		e.WorkerListed(w, now)
	}
	o.engine = e
	o.duties = newDuties(o, l.waves, now)
	progress := make(map[string]platform.PartRow, len(l.progress))
	for _, r := range l.progress {
		progress[r.Key] = r
	}
	o.takeJobs(l.jobs, progress, now)
}

// takeJobs hands new jobs and cancellations to the engine. Jobs without an
// entry in progress were accepted after the ownership began; entries write
// both rows in one transaction.
func (o *owner) takeJobs(rows []platform.PartRow, progress map[string]platform.PartRow, now time.Duration) {
	var cancelled []string
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		if id, ok := cancelledJob(r.Key); ok {
			cancelled = append(cancelled, id)
			continue
		}
		o.takeJob(r, progress[r.Key], now)
	}
	for _, id := range cancelled {
		o.engine.Cancel(id, now)
	}
}

func (o *owner) takeJob(r, recorded platform.PartRow, now time.Duration) {
	n := o.node
	spec, err := workload.DecodeJob(r.Value)
	if err != nil {
		event.RowUnreadable.Log(n.Log, zap.String("key", r.Key), zap.Error(err))
		return
	}
	p := &workload.Progress{Queue: spec.Queue, State: workload.Queued}
	version := r.Version
	if recorded.Version != 0 {
		if p, err = workload.DecodeProgress(recorded.Value); err != nil {
			event.RowUnreadable.Log(n.Log, zap.String("key", r.Key), zap.Error(err))
			return
		}
		version = recorded.Version
	}
	o.engine.AddJob(spec, p, version, n.Clock.FromStoreMS(spec.AcceptedMS, now), r.Version < o.token, now)
}

// decide carries out what the engine and the duties decide.
func (o *owner) decide(ctx context.Context) {
	now := o.node.Clock.Now()
	ownershipState := o.ownershipState(now)
	valid := ownershipState != scheduler.OwnershipExpired
	if valid != o.ownershipWasValid {
		o.ownershipWasValid = valid
		if valid {
			event.OwnershipLeaseRenewed.Log(o.node.Log, zap.Int64("epoch", o.record.Epoch))
		} else {
			event.OwnershipLeaseExpired.Log(o.node.Log, zap.Int64("epoch", o.record.Epoch))
		}
	}
	sweep := now-o.lastSweep >= sweepInterval
	if sweep || o.engine.Unrecorded() {
		o.recordUse(ctx, now)
	}
	if sweep {
		o.lastSweep = now
		o.publish()
	}
	if valid {
		o.duties.decide(ctx, now)
	}
	for _, order := range o.engine.Decide(now, ownershipState) {
		go o.execute(ctx, order)
	}
}

// post hands an answer to the control goroutine.
func (o *owner) post(ctx context.Context, fn func(now time.Duration)) {
	select {
	case o.events <- fn:
	case <-ctx.Done():
	}
}

// lastOrder is when the former owner can have given its last order: some time
// after its last beat was applied, which was not after it was first seen.
func (o *owner) lastOrder() time.Duration { return o.previousHeartbeat + ownership.LeaseDuration }

// release gives the work up in favour of any other process and waits until no
// order is given any more.
func (n *Node) release(ctx context.Context) {
	o := n.owner.Load()
	if o == nil {
		return
	}
	o.cancel()
	<-o.done
	record := o.record
	record.Owner, record.Incarnation = "", 0
	value, err := ownership.Encode(record)
	if err == nil {
		_, err = n.Rows.CommitRows(ctx, platform.RowTxn{
			Conditions: []platform.RowCondition{o.fence()},
			Writes:     []platform.RowWrite{{RowKey: ownerRow, Value: value}},
		})
	}
	event.OwnershipReleased.Log(n.Log, zap.Int64("epoch", o.record.Epoch), zap.Error(err))
}
