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
)

const (
	// hostsInterval is the time between two reads of the list of hosts.
	hostsInterval = 500 * time.Millisecond
	// dutyTimeout bounds an order about a host.
	dutyTimeout = 1200 * time.Millisecond
	// planInterval is the time between two plans of the fleet.
	planInterval = 100 * time.Millisecond
	// holderSlack is added to the time that orders of two holders must be
	// apart, for orders that are on their way.
	holderSlack = 350 * time.Millisecond
)

// waveBook holds the maintenance waves that the operator asked for.
type waveBook struct {
	mu    sync.Mutex
	waves map[int64]estate.Wave
}

func (b *waveBook) add(waves []estate.Wave) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waves == nil {
		b.waves = map[int64]estate.Wave{}
	}
	for _, w := range waves {
		b.waves[w.Number] = w
	}
}

func (b *waveBook) list() []estate.Wave {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]estate.Wave, 0, len(b.waves))
	for _, w := range b.waves {
		list = append(list, w)
	}
	return list
}

// duties carry out the plan of the fleet. They belong to the owner's control
// goroutine.
type duties struct {
	owner   *owner
	planner *fleetplan.Planner
	hosts   []estate.Host
	hostsAt time.Duration
	planned time.Duration
	// from is when this owner may give its first order about a host: the
	// former holder's orders must be some time away.
	from    time.Duration
	written map[int64]int
}

func newDuties(o *owner, rows []platform.PartRow, now time.Duration) *duties {
	begun := map[int64][]string{}
	written := map[int64]int{}
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
		begun[number], written[number] = hosts, len(hosts)
	}
	d := &duties{
		owner: o, written: written,
		planner: fleetplan.New(o.node.Migration, begun,
			o.previousSurges(now), o.previousWaves(now)),
	}
	d.from = o.firstDuty()
	return d
}

// firstDuty is when this owner may give its first order about a host: orders of
// two holders must be some time apart. A former owner that released the work
// had stopped by then; another one stops when its proof ends.
func (o *owner) firstDuty() time.Duration {
	switch o.previous.DutyHolder {
	case "", o.node.Name:
		return 0
	}
	last := o.since
	if o.previous.Owner != "" {
		last = min(last, o.lastOrder())
	}
	return last + o.node.HolderLease + holderSlack
}

// surges returns the surges of the pools' demand for a successor.
func (d *duties) surges() []ownership.Surge {
	seen := d.planner.Surges()
	list := make([]ownership.Surge, len(seen))
	for i, s := range seen {
		list[i] = ownership.Surge{Pool: s.Pool, StoreMS: d.owner.node.Clock.StoreMS(s.At), Peak: s.Peak}
	}
	return list
}

// wavesSeen returns when each wave was seen first, for a successor.
func (d *duties) wavesSeen() map[int64]int64 {
	seen := map[int64]int64{}
	for wave, at := range d.planner.WavesFirstSeen() {
		seen[wave] = d.owner.node.Clock.StoreMS(at)
	}
	return seen
}

// previousWaves returns when the last beat says that each wave was seen first.
func (o *owner) previousWaves(now time.Duration) map[int64]time.Duration {
	seen := map[int64]time.Duration{}
	for wave, ms := range o.node.view.Load().Heartbeat.Waves {
		seen[wave] = o.node.Clock.FromStoreMS(ms, now)
	}
	return seen
}

// previousSurges returns the surges that the last beat told of.
func (o *owner) previousSurges(now time.Duration) []fleetplan.Surge {
	told := o.node.view.Load().Heartbeat.Surges
	list := make([]fleetplan.Surge, len(told))
	for i, s := range told {
		list[i] = fleetplan.Surge{Pool: s.Pool, At: o.node.Clock.FromStoreMS(s.StoreMS, now), Peak: s.Peak}
	}
	return list
}

// decide makes a plan and carries it out. The caller has checked that the
// ownership is proved.
func (d *duties) decide(ctx context.Context, now time.Duration) {
	if now < d.from || now-d.planned < planInterval {
		return
	}
	d.planned = now
	o := d.owner
	state := fleetplan.State{
		Now: now, Pools: o.engine.Pools(now), Hosts: d.hosts, HostsAt: d.hostsAt, Waves: o.node.waves.list(),
	}
	decisions := d.planner.Plan(state)
	o.engine.SetPendingRemoval(d.planner.PendingRemoval(state))
	for _, dec := range decisions {
		switch dec.Kind {
		case fleetplan.Empty:
			if !o.engine.Reserved(dec.Worker) {
				event.HostEvacuation.Log(o.node.Log, zap.String("host", dec.Host), zap.String("worker", dec.Worker), zap.Int64("wave", dec.Wave))
			}
			o.engine.Reserve(dec.Worker, true)
			o.engine.Evacuate(dec.Worker, now)
		case fleetplan.Drain:
			o.engine.Reserve(dec.Worker, true)
		case fleetplan.Open:
			o.engine.Reserve(dec.Worker, false)
		case fleetplan.Resize:
			event.PoolSized.Log(o.node.Log, zap.String("pool", dec.To), zap.Any("sizing", dec.Sizing))
		case fleetplan.Complete:
			go d.report(ctx, dec.Wave)
		default:
			d.order(ctx, dec)
		}
	}
	d.record(ctx)
}

// order gives an order about a host whose worker, if any, runs nothing.
func (d *duties) order(ctx context.Context, dec fleetplan.Decision) {
	o := d.owner
	if dec.Worker != "" {
		o.engine.Reserve(dec.Worker, true)
		if !o.engine.IsIdle(dec.Worker) {
			o.engine.Reserve(dec.Worker, false)
			d.planner.Refused(dec)
			return
		}
	}
	go func() {
		outcome, err := d.call(ctx, dec)
		o.post(ctx, func(now time.Duration) { d.answered(dec, outcome, err, now) })
	}()
}

// call gives the order, if the ownership is still proved.
func (d *duties) call(ctx context.Context, dec fleetplan.Decision) (platform.DutyOutcome, error) {
	n := d.owner.node
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	holder := platform.Holder{Name: n.Name, Token: d.owner.token}
	if !d.owner.ownershipValid(n.Clock.Now()) {
		return 0, errors.New("ownership not proved")
	}
	if dec.Kind == fleetplan.Move {
		return n.Fleet.MoveHost(ctx, holder, dec.Host, dec.To)
	}
	return n.Fleet.MaintainHost(ctx, holder, dec.Host, dec.Wave)
}

// answered takes in the answer to an order.
func (d *duties) answered(dec fleetplan.Decision, outcome platform.DutyOutcome, err error, now time.Duration) {
	o := d.owner
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
		d.planner.OutcomeUnknown(dec, now)
	case err == nil && outcome == platform.DutyDone:
		d.planner.Done(dec, now)
		if dec.Worker != "" {
			o.engine.HostRemoved(dec.Worker, now)
		}
	default:
		d.planner.Refused(dec)
		o.engine.Reserve(dec.Worker, false)
	}
}

// report tells the operator that a wave is completed.
func (d *duties) report(ctx context.Context, wave int64) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
		err := d.owner.node.Operator.ReportWave(callCtx, wave, true)
		cancel()
		event.WaveReported.Log(d.owner.node.Log, zap.Int64("wave", wave), zap.Error(err))
		if err == nil || ctxtime.Sleep(ctx, hostsInterval) != nil {
			return
		}
	}
}

// record writes down the hosts of each wave that were maintained, so that a
// successor does not empty them again.
func (d *duties) record(ctx context.Context) {
	for _, w := range d.owner.node.waves.list() {
		begun := d.planner.MaintenanceStarted(w.Number)
		if len(begun) == d.written[w.Number] {
			continue
		}
		d.written[w.Number] = len(begun)
		value, err := json.Marshal(begun)
		if err != nil {
			event.RowUnreadable.Log(d.owner.node.Log, zap.Int64("wave", w.Number), zap.Error(err))
			continue
		}
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			_, err := d.owner.node.Rows.CommitRows(callCtx, platform.RowTxn{
				Conditions: []platform.RowCondition{d.owner.fence()},
				Writes:     []platform.RowWrite{{RowKey: controlRow(waveTable, strconv.FormatInt(w.Number, 10)), Value: value}},
			})
			if err != nil {
				d.owner.post(ctx, func(time.Duration) { d.written[w.Number] = -1 })
			}
		}()
	}
}

// watchHosts reads the list of hosts again and again.
func (o *owner) watchHosts(ctx context.Context) {
	n := o.node
	dep := &dependency{name: "list of hosts", log: n.Log}
	for ctx.Err() == nil {
		asked := n.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
		hosts, err := n.Fleet.ListHosts(callCtx)
		cancel()
		dep.saw(err)
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.duties.takeHosts(hosts, asked, now) })
		}
		if ctxtime.Sleep(ctx, hostsInterval) != nil {
			return
		}
	}
}

// takeHosts takes in a list that was asked for at a time. What ran on a host
// that crashed is started elsewhere at once.
func (d *duties) takeHosts(hosts []estate.Host, asked, now time.Duration) {
	for _, id := range endedLives(d.hosts, hosts) {
		d.owner.engine.HostRemoved(id, now)
	}
	d.hosts, d.hostsAt = hosts, asked
	slices.SortFunc(d.hosts, func(a, b estate.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}
