package node

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
)

const (
	// hostsInterval is the time between two reads of the host list.
	hostsInterval = 500 * time.Millisecond
	// hostCallTimeout bounds a call to the fleet service and a report to the
	// operator.
	hostCallTimeout = 1200 * time.Millisecond
	// planInterval is the minimum time between two fleet plans.
	planInterval = 100 * time.Millisecond
	// hostOrderLife is how long after its owner's lease an order about a host may
	// reach the fleet service: it is written within the lease, and what is not
	// delivered at the end of its call is dropped.
	hostOrderLife = hostCallTimeout
	// holderSlack is added to the time between the orders of two owners for those
	// of the previous one that are still in flight.
	holderSlack = 350 * time.Millisecond
	// recoveryBeforePlan bounds how long the first plan waits for the recovery:
	// before workers have answered, their pools seem to lack them.
	recoveryBeforePlan = time.Second
)

// waveSet holds the maintenance waves that the operator requested, by number.
// It is safe for concurrent use.
type waveSet struct {
	mu    sync.Mutex
	waves map[int64]estate.Wave
}

func (s *waveSet) add(waves []estate.Wave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waves == nil {
		s.waves = map[int64]estate.Wave{}
	}
	for _, w := range waves {
		s.waves[w.Number] = w
	}
}

func (s *waveSet) list() []estate.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]estate.Wave, 0, len(s.waves))
	for _, w := range s.waves {
		list = append(list, w)
	}
	return list
}

// fleetController carries out the fleet plan: it evacuates and drains workers
// and orders host moves and maintenance. Its state belongs to the owner's
// control goroutine.
type fleetController struct {
	owner    *owner
	planner  *fleetplan.Planner
	hosts    []estate.Host
	hostsAt  time.Duration
	lastPlan time.Duration
	// workerHosts holds the hosts of the workers, also of those in no host list
	// of this owner.
	workerHosts scheduler.WorkerHosts
	// firstOrderAt is when this owner may give orders about every host; see
	// firstHostOrder. Before it only those that mayOrderEarly allows.
	firstOrderAt time.Duration
	// createdAt is when the controller was created.
	createdAt time.Duration
	announcer *announcer
	// recorded holds the state of each wave's row, by wave.
	recorded map[int64]waveRecord
}

// waveRecord is the state of the row that lists the hosts of a wave.
type waveRecord struct {
	// hosts is how many hosts the row lists, -1 if unknown.
	hosts   int
	version int64
	writing bool
}

// newFleetController returns the controller of a new owner. rows list the hosts
// of each wave whose maintenance a previous owner started. The controller has no
// announcements of previous owners.
func newFleetController(o *owner, rows []platform.PartRow, hosts scheduler.WorkerHosts, now time.Duration) *fleetController {
	maintained := map[int64][]string{}
	recorded := map[int64]waveRecord{}
	for _, r := range rows {
		number, err := strconv.ParseInt(r.Key, 10, 64)
		var hosts []string
		if err == nil {
			err = json.Unmarshal(r.Value, &hosts)
		}
		if err != nil {
			event.RowUnreadable.Log(o.node.Log, zap.String("key", r.Key), zap.Error(err))
			continue
		}
		maintained[number] = append(maintained[number], hosts...)
		if r.Part == recordsPart {
			recorded[number] = waveRecord{hosts: len(hosts), version: r.Version}
		}
	}
	f := &fleetController{
		owner: o, recorded: recorded, workerHosts: hosts, createdAt: now, announcer: newAnnouncer(o, platform.PartRow{}),
		planner: fleetplan.New(o.node.Migration, maintained,
			o.previousSurges(now), timesOf(&o.node.Clock, o.inherited.Waves, now), timesOf(&o.node.Clock, o.inherited.Evacuations, now)),
	}
	f.firstOrderAt = o.firstHostOrder()
	return f
}

// firstHostOrder returns when this owner may give its first order about a host:
// orders by two holders must be at least Options.HolderLease apart, and those of
// the previous one must not arrive later. A previous owner that released the
// control work gave its last order before the release; any other gave it before
// its lease expired. The result is 0 if no other host has held the work: the
// orders of a process are dropped when it ends.
func (o *owner) firstHostOrder() time.Duration {
	switch o.previous.HostOrderHolder {
	case "", o.node.Name:
		return 0
	}
	last := o.acquiredAt
	if o.previous.Owner != "" {
		last = min(last, o.previousLeaseEnd())
	}
	return last + max(o.node.HolderLease, hostOrderLife) + holderSlack
}

// surges returns the surges of the pools' demand, for a successor.
func (f *fleetController) surges() []ownership.Surge {
	seen := f.planner.Surges()
	list := make([]ownership.Surge, len(seen))
	for i, s := range seen {
		list[i] = ownership.Surge{Pool: s.Pool, StoreMS: f.owner.node.Clock.StoreMS(s.At), Workers: s.Workers}
	}
	return list
}

// storeTimes converts times to milliseconds of the store's clock, for a successor.
func storeTimes[K comparable](clock *Clock, times map[K]time.Duration) map[K]int64 {
	converted := make(map[K]int64, len(times))
	for key, at := range times {
		converted[key] = clock.StoreMS(at)
	}
	return converted
}

// timesOf converts the times in an inherited heartbeat.
func timesOf[K comparable](clock *Clock, storeMS map[K]int64, now time.Duration) map[K]time.Duration {
	times := make(map[K]time.Duration, len(storeMS))
	for key, ms := range storeMS {
		times[key] = clock.FromStoreMS(ms, now)
	}
	return times
}

// previousSurges returns the surges listed in the last heartbeat.
func (o *owner) previousSurges(now time.Duration) []fleetplan.Surge {
	surges := o.node.view.Load().Heartbeat.Surges
	list := make([]fleetplan.Surge, len(surges))
	for i, s := range surges {
		list[i] = fleetplan.Surge{Pool: s.Pool, At: o.node.Clock.FromStoreMS(s.StoreMS, now), Workers: s.Workers}
	}
	return list
}

// reconcile makes a fleet plan and carries it out. The caller has checked that
// the ownership lease is valid.
func (f *fleetController) reconcile(ctx context.Context, now time.Duration) {
	if now-f.lastPlan < planInterval {
		return
	}
	f.lastPlan = now
	o := f.owner
	early := now < f.firstOrderAt
	if f.announcer.complete || !early { // otherwise a successor would take unknown orders for none
		f.announcer.write(ctx, now, f.announced(ctx))
	}
	state := fleetplan.State{Now: now, Hosts: f.hosts, HostsAt: f.hostsAt, Waves: o.node.waves.list()}
	// Tasks that the previous owner moved must not come back, whatever is planned.
	o.engine.SetPendingRemoval(f.planner.PendingRemoval(state))
	if early {
		if !f.announcer.complete || (o.engine.Recovering() && now < f.createdAt+recoveryBeforePlan) {
			return
		}
		state.Waves = nil // their hosts may be down by orders that this owner does not know yet
	}
	state.Pools = o.engine.Pools(now)
	decisions := f.planner.Plan(state)
	if !early {
		o.engine.SetPendingRemoval(f.planner.PendingRemoval(state))
		o.engine.SetReservations(f.planner.Reservations())
	}
	for _, dec := range decisions {
		switch dec.Kind {
		case fleetplan.Evacuate:
			if dec.First {
				event.HostEvacuation.Log(o.node.Log, zap.String("host", dec.Host), zap.String("worker", dec.Worker), zap.Int64("wave", dec.Wave))
			}
			o.engine.Evacuate(dec.Worker)
		case fleetplan.Resize:
			event.PoolSized.Log(o.node.Log, zap.String("pool", dec.To), zap.Any("sizing", dec.Sizing))
		case fleetplan.Complete:
			go f.reportWave(ctx, dec.Wave)
		default:
			if !f.mayOrder(dec, now) {
				f.planner.Postponed(dec)
				continue
			}
			f.orderHost(ctx, dec, now)
		}
	}
	f.announcer.write(ctx, now, f.announced(ctx))
	f.recordWaves(ctx)
}

// mayOrder reports whether an order may be given. A host that previous owners have
// announced an order about waits also after firstOrderAt, which does not count the
// time that an order is in flight, and is 0 for a host that owned the work before.
func (f *fleetController) mayOrder(dec fleetplan.Decision, now time.Duration) bool {
	if now < f.firstOrderAt {
		return f.mayOrderEarly(dec, now)
	}
	return !f.announcer.pending(dec.Host, now) || now >= f.createdAt+f.announcer.keptFor()
}

// mayOrderEarly reports whether an order may be given before firstOrderAt: it moves
// a host that runs nothing out of a standby pool, and previous owners gave no order
// about the host. A pool that surges while the owner changes waits for such hosts.
func (f *fleetController) mayOrderEarly(dec fleetplan.Decision, now time.Duration) bool {
	pool := f.owner.node.catalog.Load().Pools[dec.From]
	return dec.Kind == fleetplan.Move && dec.Worker == "" && pool != nil && pool.Standby && f.announcer.free(dec.Host, now)
}

// orderHost orders the move or maintenance of a host, provided that its worker,
// if it has one, is idle. The order is sent once it is announced.
func (f *fleetController) orderHost(ctx context.Context, dec fleetplan.Decision, now time.Duration) {
	o := f.owner
	if dec.Worker != "" && !o.engine.IsIdle(dec.Worker) {
		f.planner.Refused(dec)
		return
	}
	until := f.announcer.until(dec.Host)
	if now >= until {
		f.announcer.waiting = append(f.announcer.waiting, dec)
		return
	}
	go func() {
		outcome, err := f.sendOrder(ctx, dec, until)
		o.post(ctx, func(now time.Duration) { f.handleAnswer(dec, outcome, err, now) })
	}()
}

// announced returns what is done with orders once the write of their announcement
// has ended. Orders that are not announced are left to the next plan.
func (f *fleetController) announced(ctx context.Context) func([]fleetplan.Decision, error, time.Duration) {
	return func(orders []fleetplan.Decision, err error, now time.Duration) {
		for _, dec := range orders {
			if err != nil || now >= f.announcer.until(dec.Host) {
				f.planner.Refused(dec)
				continue
			}
			f.orderHost(ctx, dec, now)
		}
	}
}

// sendOrder sends an order to the fleet service if the ownership lease and the
// order's announcement are still valid when it is written.
func (f *fleetController) sendOrder(ctx context.Context, dec fleetplan.Decision, until time.Duration) (platform.HostOrderOutcome, error) {
	n := f.owner.node
	ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
	defer cancel()
	holder := platform.HostOrderHolder{
		Name: n.Name, Token: f.owner.token, Valid: func() bool {
			now := n.Clock.Now()
			return now < until && f.owner.ownershipValid(now)
		},
	}
	if dec.Kind == fleetplan.Move {
		return n.Fleet.MoveHost(ctx, holder, dec.Host, dec.To)
	}
	return n.Fleet.MaintainHost(ctx, holder, dec.Host, dec.Wave)
}

// handleAnswer updates the planner and the engine with the outcome of an order.
func (f *fleetController) handleAnswer(dec fleetplan.Decision, outcome platform.HostOrderOutcome, err error, now time.Duration) {
	o := f.owner
	fields := []zap.Field{
		zap.String("host", dec.Host), zap.String("worker", dec.Worker), zap.String("from", dec.From), zap.String("to", dec.To),
		zap.Int64("wave", dec.Wave), zap.String("reason", dec.Reason), zap.Stringer("outcome", outcome), zap.Error(err),
	}
	if dec.Kind == fleetplan.Move {
		event.HostMoveOrdered.Log(o.node.Log, fields...)
	} else {
		event.HostMaintenanceOrdered.Log(o.node.Log, fields...)
	}
	switch {
	case err != nil && !errors.Is(err, platform.ErrUnavailable):
		f.planner.OutcomeUnknown(dec, now)
	case err == nil && outcome == platform.HostOrderDone:
		f.planner.Done(dec, now)
		if dec.Worker != "" {
			o.engine.HostRemoved(dec.Worker, now)
		}
	default:
		f.planner.Refused(dec)
	}
}

// reportWave reports to the operator that a wave is complete, and retries until
// the report succeeds or ctx ends.
func (f *fleetController) reportWave(ctx context.Context, wave int64) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, hostCallTimeout)
		err := f.owner.node.Operator.ReportWave(callCtx, wave, true)
		cancel()
		event.WaveReported.Log(f.owner.node.Log, zap.Int64("wave", wave), zap.Error(err))
		if err == nil || ctxtime.Sleep(ctx, hostsInterval) != nil {
			return
		}
	}
}

// recordWaves stores the hosts of each wave whose maintenance was started, so
// that a successor does not evacuate them again. Each write is conditional on the
// record that it replaces: one without an answer may be applied seconds later and
// must not replace a newer record.
func (f *fleetController) recordWaves(ctx context.Context) {
	for _, w := range f.owner.node.waves.list() {
		maintained := f.planner.MaintenanceStarted(w.Number)
		record := f.recorded[w.Number]
		if record.writing || len(maintained) == record.hosts {
			continue
		}
		value, err := json.Marshal(maintained)
		if err != nil {
			event.RowUnreadable.Log(f.owner.node.Log, zap.Int64("wave", w.Number), zap.Error(err))
			continue
		}
		key := recordsRow(waveTable, strconv.FormatInt(w.Number, 10))
		txn := platform.RowTxn{
			Conditions: []platform.RowCondition{f.owner.recordsFence, {RowKey: key, Version: record.version}},
			Writes:     []platform.RowWrite{{RowKey: key, Value: value}},
		}
		record.writing = true
		f.recorded[w.Number] = record
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			stamp, err := f.owner.node.Rows.CommitRows(callCtx, txn)
			f.owner.post(ctx, func(time.Duration) { f.waveRecorded(w.Number, key, len(maintained), stamp.Version, err) })
		}()
	}
}

// waveRecorded handles the outcome of a write of a wave's record.
func (f *fleetController) waveRecorded(wave int64, key platform.RowKey, hosts int, version int64, err error) {
	record := f.recorded[wave]
	record.writing = false
	var conflict *platform.RowConflict
	switch {
	case errors.As(err, &conflict):
		// An earlier write whose outcome was unknown was applied.
		record.hosts, record.version = -1, conflict.Row(key).Version
	case err != nil:
		record.hosts = -1
	default:
		record.hosts, record.version = hosts, version
	}
	f.recorded[wave] = record
}

// watchHosts reads the host list every hostsInterval until ctx ends.
func (o *owner) watchHosts(ctx context.Context) {
	n := o.node
	dep := &dependency{name: "list of hosts", log: n.Log}
	for ctx.Err() == nil {
		sent := n.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, hostCallTimeout)
		hosts, err := n.Fleet.ListHosts(callCtx)
		cancel()
		dep.observe(err)
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.fleetController.setHosts(hosts, sent, now) })
		}
		if ctxtime.Sleep(ctx, hostsInterval) != nil {
			return
		}
	}
}

// setHosts replaces the host list with one that was requested at the given
// time. Tasks of hosts that crashed or left since the last list are restarted on
// other hosts at once.
func (f *fleetController) setHosts(hosts []estate.Host, sent, now time.Duration) {
	f.owner.engine.HostsListed(f.workerHosts, hosts, sent, now)
	f.hosts, f.hostsAt = hosts, sent
	slices.SortFunc(f.hosts, func(a, b estate.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}
