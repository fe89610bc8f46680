package node

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
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
	// decideInterval is the time between two rounds of decisions when no event
	// arrives.
	decideInterval = 50 * time.Millisecond
	// roundIntervalPerWorker times the number of workers is the least time between
	// two rounds of decisions, up to maxRoundInterval. A round looks at every
	// worker: under load one round covers the events of this time, so that rounds
	// take about the same share of the processor in small and large estates.
	roundIntervalPerWorker = 25 * time.Microsecond
	maxRoundInterval       = 25 * time.Millisecond
	// sweepInterval is the time between two updates of the heartbeat's contents
	// and of the record of workers in use.
	sweepInterval = 100 * time.Millisecond
	// eventQueueLength is the maximum number of events that wait for the
	// control goroutine.
	eventQueueLength = 1024
	// defaultCancelWithin is scheduler.Options.CancelWithin where the settings
	// state none.
	defaultCancelWithin = 3 * time.Second
	// defaultDrainWithin is scheduler.Options.DrainWithin where the settings state
	// none.
	defaultDrainWithin = 2 * time.Second
	// loadRetryDelay is the delay after a failed read of the stored state.
	loadRetryDelay = 100 * time.Millisecond
)

// owner is one ownership of the control work. One goroutine, run, has exclusive
// access to the engine and the fleet controller; all others send it events.
type owner struct {
	node     *Node
	token    int64
	record   ownership.Record
	previous ownership.Record
	// fences are the conditions of this owner's transactions in the parts of
	// the jobs, by part.
	fences [jobParts]platform.RowCondition
	// recordsFence is that of its transactions in the records part.
	recordsFence platform.RowCondition
	// previousHeartbeat is when the previous owner's last heartbeat was first
	// seen.
	previousHeartbeat time.Duration
	// inherited is the last heartbeat before this ownership. The first heartbeats
	// of this owner replace it before it has loaded the stored state.
	inherited ownership.Heartbeat
	lease     ownership.Lease
	// ownershipWasValid is whether the lease was valid when run last checked
	// it, for the log.
	ownershipWasValid bool
	pacer             ownership.Pacer
	// cancelMarks and entryMarks date what the feeds have read.
	cancelMarks, entryMarks versionMarks
	mu                      sync.Mutex // guards lease, pacer and the marks
	engine                  *scheduler.Engine
	fleetController         *fleetController
	events                  chan func(now time.Duration)
	// batch holds the events that are handled together.
	batch      []func(now time.Duration)
	cancel     context.CancelFunc
	done       chan struct{}
	acquiredAt time.Duration
	// jobsRead is the state of the table service up to which all accepted jobs
	// are in the engine. Only run uses it.
	jobsRead platform.Stamp
	// pending, pendingAsOf, surges, waves, evacuations and poolLoad are the contents of the
	// next heartbeat. run sets them under pendingMu.
	pendingMu   sync.Mutex
	pending     map[string]int
	pendingAsOf platform.Stamp
	surges      []ownership.Surge
	waves       map[int64]int64
	evacuations map[string]int64
	poolLoad    poolLoad

	// deciding is set once the stored state is loaded, and handingOver once the
	// ownership is to be released: run then ends when no task is moving.
	deciding, handingOver atomic.Bool

	used usedWorkersRecord
	// lastRound is when the last round of decisions ended.
	lastRound time.Duration
	// lastSweep is when the heartbeat's contents and the record of workers in
	// use were last updated.
	lastSweep   time.Duration
	workerCalls *workerCallLimiter
	calls       *goroutinePool
}

// startOwnership starts an ownership whose record is stored in the table
// service; token is the version of that record, lease the ownership lease until
// the first heartbeat.
func (n *Node) startOwnership(ctx context.Context, record, previous ownership.Record, token int64, lease ownership.Lease) {
	ownerCtx, cancel := context.WithCancel(ctx)
	o := &owner{
		node: n, token: token, record: record, previous: previous, events: make(chan func(time.Duration), eventQueueLength),
		lease: lease, cancel: cancel, done: make(chan struct{}), acquiredAt: n.Clock.Now(), ownershipWasValid: true,
	}
	view := n.view.Load()
	o.previousHeartbeat, o.inherited = view.HeartbeatSeen, view.Heartbeat
	o.waves, o.evacuations = o.inherited.Waves, o.inherited.Evacuations
	o.workerCalls, o.calls = newWorkerCallLimiter(o), newGoroutinePool()
	n.owner.Store(o)
	n.OwnershipChanged(true)
	n.metrics.ownerships.Add(1)
	event.OwnershipAcquired.Log(n.Log, zap.Int64("epoch", record.Epoch), zap.Int64("token", token), zap.String("former", previous.Owner))
	go func() {
		defer close(o.done)
		defer n.owner.Store(nil)
		defer n.OwnershipChanged(false)
		defer n.endedToken.Store(o.token)
		defer cancel()
		go o.sendHeartbeats(ownerCtx)
		if err := o.run(ownerCtx); err != nil && ownerCtx.Err() == nil {
			event.OwnershipLost.Log(n.Log, zap.Int64("epoch", record.Epoch), zap.Error(err))
		}
	}()
	if n.stopping.Load() { // the record was written as the shutdown began
		n.releaseSoon(ctx)
	}
}

// fence returns the condition of an owner's writes in the control part: its
// owner record is still the stored one.
func (o *owner) fence() platform.RowCondition {
	return platform.RowCondition{RowKey: ownerRow, Version: o.token}
}

// recoveredState is the stored state that an ownership starts from.
type recoveredState struct {
	jobs     []platform.PartRow
	progress []platform.PartRow
	used     []usedWorker
	// usedIncomplete is set if a row of the workers in use is unreadable.
	usedIncomplete bool
	hosts          []estate.Host
	waves          []platform.PartRow
	// announced lists the hosts that previous owners announced orders about, with
	// NoVersion if none did.
	announced platform.PartRow
	jobStamp  platform.Stamp
	workers   entryChanges
	cancels   cancelChanges
}

// load fences the previous owners and reads the stored state. From then on
// previous owners can no longer write; processes that accept jobs still write
// them, and the feed delivers these from the version of the first read on.
func (o *owner) load(ctx context.Context) (*recoveredState, error) {
	n := o.node
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l := &recoveredState{}
	var err error
	if err := o.fenceParts(ctx); err != nil {
		return nil, err
	}
	if l.jobs, l.jobStamp, err = n.readJobParts(ctx, jobTable); err != nil {
		return nil, err
	}
	n.Clock.ObserveStore(l.jobStamp, n.Clock.Now())
	if l.progress, _, err = n.readJobParts(ctx, progressTable); err != nil {
		return nil, err
	}
	if err := o.loadRecords(ctx, l); err != nil {
		return nil, err
	}
	if l.workers, err = n.readEntries(ctx); err != nil {
		return nil, err
	}
	hostsCtx, cancelHosts := context.WithTimeout(ctx, hostsTimeout)
	defer cancelHosts()
	if l.hosts, err = n.Fleet.ListHosts(hostsCtx); err != nil {
		// The host list is optional: it only shows earlier which workers have
		// ended.
		event.DependencyLost.Log(n.Log, zap.String("dependency", "list of hosts"), zap.Error(err))
	}
	l.cancels, err = n.readCancels(ctx) // last: starts rely on their age
	return l, err
}

// hostsTimeout bounds the read of the host list at the start of an ownership.
const hostsTimeout = 300 * time.Millisecond

// run loads the stored state and does the control work until ctx ends or a
// worker has seen a later owner.
func (o *owner) run(ctx context.Context) error {
	n := o.node
	l, err := o.load(ctx)
	for ; err != nil; l, err = o.load(ctx) {
		event.DependencyLost.Log(n.Log, zap.String("dependency", "jobs"), zap.Error(err))
		if err := ctxtime.Sleep(ctx, loadRetryDelay); err != nil {
			return err
		}
	}
	for n.catalog.Load() == nil {
		if err := ctxtime.Sleep(ctx, loadRetryDelay); err != nil {
			return err
		}
	}
	now := n.Clock.Now()
	o.setUpEngine(l, now)
	o.deciding.Store(true)
	go o.watchCancels(ctx, l.cancels.stamp.Version)
	go o.watchJobs(ctx, l.jobStamp.Version)
	go o.watchWorkers(ctx, l.workers.Version)
	go o.watchHosts(ctx)
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case fn := <-o.events:
			interval := min(maxRoundInterval, roundIntervalPerWorker*time.Duration(o.engine.WorkerCount()))
			if left := o.lastRound + interval - n.Clock.Now(); left > 0 {
				if err := ctxtime.Sleep(ctx, left); err != nil {
					return err
				}
			}
			o.handleEvents(fn)
		case <-ticker.C:
		case <-n.catalogChanged:
			o.engine.SetCatalog(n.catalog.Load())
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.engine.Superseded() {
			return errors.New("a worker has seen the fencing token of a later owner")
		}
		o.reconcile(ctx)
		o.lastRound = n.Clock.Now()
		if o.handingOver.Load() && !o.engine.Moving(handoverTimeout, n.Clock.Now()) {
			return nil
		}
	}
}

// handleEvents handles an event and those that wait behind it, so that one round
// of decisions covers all of them. Their common time is read after the last one
// was received.
func (o *owner) handleEvents(first func(time.Duration)) {
	o.batch = append(o.batch[:0], first)
	for waiting := true; waiting && len(o.batch) < eventQueueLength; {
		select {
		case fn := <-o.events:
			o.batch = append(o.batch, fn)
		default:
			waiting = false
		}
	}
	now := o.node.Clock.Now()
	for i, fn := range o.batch {
		o.batch[i] = nil
		fn(now)
	}
}

// setUpEngine creates the engine and the fleet controller from the stored
// state.
func (o *owner) setUpEngine(l *recoveredState, now time.Duration) {
	n := o.node
	opts := n.Scheduling
	opts.Token, opts.Epoch = o.token, o.record.Epoch
	opts.CancelWithin = cmp.Or(opts.CancelWithin, defaultCancelWithin)
	opts.DrainWithin = cmp.Or(opts.DrainWithin, defaultDrainWithin)
	opts.Log = n.Log
	opts.CancelledRunsEnded = n.metrics.cancelled.record
	opts.Parts, opts.PartOf = jobParts, partOf
	opts.UnixMS = func(now time.Duration) int64 {
		return time.Now().UnixMilli() - (n.Clock.Now() - now).Milliseconds()
	}
	e := scheduler.New(opts)
	e.SetCatalog(n.catalog.Load())
	workerHosts := workerHostsOf(l.used)
	used := workerHosts.PossiblyRunning(workersOf(l.used, &n.Clock, o.record.Epoch), l.hosts)
	if l.usedIncomplete {
		used = append(used, l.unknownWorkers(n.catalog.Load())...)
	}
	e.Recover(used, o.previousLeasesEnd(), now)
	for _, w := range l.workers.Changed {
		e.WorkerListed(w, now)
	}
	e.EntriesRead(l.workers.sent)
	o.engine = e
	o.fleetController = newFleetController(o, l.waves, workerHosts, now)
	o.fleetController.announcer = newAnnouncer(o, l.announced)
	progress := make(map[string]platform.PartRow, len(l.progress))
	for _, r := range l.progress {
		progress[r.Key] = r
	}
	o.addJobs(l.jobs, progress, now)
	o.jobsRead = l.jobStamp
	e.JobsRead(l.jobStamp.Version)
	o.applyCancels(l.cancels, now)
}

// addJobs passes new jobs to the engine. A job without a row in progress was
// accepted after the ownership started; both rows of a job are written in one
// transaction.
func (o *owner) addJobs(rows []platform.PartRow, progress map[string]platform.PartRow, now time.Duration) {
	for _, r := range rows {
		if !r.Deleted {
			o.addJob(r, progress[r.Key], now)
		}
	}
}

// addJob passes one job to the engine. The zero value of recorded stands for a
// new job without progress.
func (o *owner) addJob(r, recorded platform.PartRow, now time.Duration) {
	n := o.node
	spec, err := workload.DecodeJob(r.Value)
	if err != nil {
		event.RowUnreadable.Log(n.Log, zap.String("key", r.Key), zap.Error(err))
		return
	}
	p := &workload.Progress{Queue: spec.Queue, Team: spec.Team, State: workload.Queued}
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

// reconcile runs one round of decisions: it updates the records for a successor
// and carries out the decisions of the fleet controller and the engine.
func (o *owner) reconcile(ctx context.Context) {
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
	if sweep || o.engine.Unrecorded(now) {
		o.recordUsedWorkers(ctx, now)
	}
	if sweep {
		o.lastSweep = now
		o.updateHeartbeat()
	}
	switch {
	case o.handingOver.Load():
		o.engine.HandOver()
	case valid:
		o.fleetController.reconcile(ctx, now)
	}
	for _, order := range o.engine.Decide(now, ownershipState) {
		o.calls.run(func() { o.execute(ctx, order) })
	}
}

// post sends an event to the control goroutine, which runs fn. It drops the
// event if ctx ends first.
func (o *owner) post(ctx context.Context, fn func(now time.Duration)) {
	select {
	case o.events <- fn:
	case <-ctx.Done():
	}
}

// previousLeaseEnd returns the latest time at which the previous owner can have
// given an order. Its lease lasted for ownership.LeaseDuration from the sending
// of its last heartbeat, which was before this process first saw that
// heartbeat.
func (o *owner) previousLeaseEnd() time.Duration {
	return o.previousHeartbeat + ownership.LeaseDuration
}

// previousLeasesEnd returns when every worker lease of previous owners has expired.
func (o *owner) previousLeasesEnd() time.Duration {
	end := o.node.Scheduling.LeasesEnd(o.previousLeaseEnd())
	if released, known := o.node.Clock.LatestAt(o.previous.LeasesEndMS); known && o.previous.LeasesEndMS > 0 {
		end = min(end, released)
	}
	return end
}

// handoverTimeout is how long a release waits for the tasks that have been
// stopped to move them: a stop and a start.
const handoverTimeout = 1200 * time.Millisecond

// release begins nothing any more whose result would fall to the successor, and
// waits until this process gives no more orders. It then stores an owner record
// without an owner, so that any other process may take over at once.
func (n *Node) release(ctx context.Context) {
	select {
	case n.releasing <- struct{}{}:
		defer func() { <-n.releasing }()
	case <-ctx.Done():
		return
	}
	o := n.owner.Load()
	if o == nil {
		return
	}
	o.handingOver.Store(true)
	if o.deciding.Load() {
		select {
		case <-o.done:
		case <-time.After(handoverTimeout):
		case <-ctx.Done():
		}
	}
	o.cancel()
	<-o.done
	err := o.commitRelease(ctx, o.deciding.Load())
	if errors.Is(err, platform.ErrConflict) { // maybe a write of the record of workers had no answer yet
		err = o.commitRelease(ctx, false)
	}
	event.OwnershipReleased.Log(n.Log, zap.Int64("epoch", o.record.Epoch), zap.Error(err))
}

// releaseSoon releases the control work without waiting for it.
func (n *Node) releaseSoon(ctx context.Context) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout+heartbeatTimeout)
		defer cancel()
		n.release(ctx)
	}()
}

// commitRelease stores an owner record without an owner, and before it the record
// of workers in use if asked to: the successor then waits for none that has ended.
func (o *owner) commitRelease(ctx context.Context, withWorkers bool) error {
	record := o.record
	record.Owner, record.Incarnation, record.Constrained = "", 0, false
	leasesEnd := o.previousLeasesEnd()
	if o.deciding.Load() {
		leasesEnd = o.engine.LeasesEnd()
	}
	record.LeasesEndMS = o.node.Clock.LatestStoreMS(leasesEnd)
	value, err := ownership.Encode(record)
	if err != nil {
		return err
	}
	if withWorkers {
		txn, err := o.usedWorkersTxn(o.withHosts(o.engine.InUse(o.node.Clock.Now())))
		if err != nil {
			return err
		}
		if _, err := o.node.Rows.CommitRows(ctx, txn); err != nil {
			return err
		}
	}
	_, err = o.node.Rows.CommitRows(ctx, platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence()}, Writes: []platform.RowWrite{{RowKey: ownerRow, Value: value}},
	})
	return err
}
