// Package fleetplan decides which hosts move to another pool and which hosts
// are taken down for maintenance. It does no I/O and reads no clock: a Planner
// keeps the history that it needs, and each plan is computed from the State
// passed in.
//
// The planner is built for pools that surge in turn: demand rises for some
// seconds to several times its mean, beyond the capacity of the pool, and falls
// to a twentieth of the mean in between. Idle hosts of one pool are moved to
// the pool that surges, and hosts that no pool needs are moved to a standby
// pool, where they cost nothing.
package fleetplan

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// Worker is the planner's input about one worker.
type Worker struct {
	ID string
	// Cores is the worker's capacity, Used the cores that its tasks hold, and
	// Late the part of Used held by tasks of jobs that can no longer complete
	// in time.
	Cores, Used, Late float64
	// Idle means that the worker runs nothing and the ends of all its runs are
	// acknowledged.
	Idle bool
	// LongRunningTasks is the number of long-running tasks on the worker.
	LongRunningTasks int
	// Open means that the worker may be given new tasks.
	Open bool
	// Needed means that long-running tasks that lack a place are about to get
	// one on the worker.
	Needed bool
	// LackingToEmpty is how many further workers the pool needs before the
	// long-running tasks of the worker, which is to be emptied, fit on others.
	// It is NoNumber if they would not fit on further ones either.
	LackingToEmpty int
}

// NoNumber stands for a number of workers that does not suffice however large.
const NoNumber = math.MaxInt

// Pool is the planner's input about one pool.
type Pool struct {
	Name    string
	Standby bool
	Workers []Worker
	// Waiting is how many cores are requested by tasks that are ready to start
	// and lack only free capacity.
	Waiting float64
	// LongRunningCores is how many cores long-running tasks hold or wait for.
	LongRunningCores float64
	// LongRunningShortfall is how many workers the pool lacks for long-running
	// tasks that have no run, or whose workers are leaving, emptying or silent,
	// and that fit on none of its open workers.
	LongRunningShortfall int
	// Arrivals are the jobs that were accepted in the last ArrivalMemory, in any
	// order.
	Arrivals []Arrival
}

// Arrival is a job that was accepted.
type Arrival struct {
	// At is when the job was accepted, also if it became known later.
	At time.Duration
	// Work is the work of the job in core-seconds.
	Work float64
}

// State is the input of one plan. Times are on one monotonic clock.
type State struct {
	Now   time.Duration
	Pools []Pool
	// Hosts is the fleet service's host list, and HostsAt the time at which it
	// was requested, zero if there is no list yet.
	Hosts   []estate.Host
	HostsAt time.Duration
	Waves   []estate.Wave
}

// Kind is the kind of a Decision.
type Kind int

const (
	// Move orders the move of a host to another pool.
	Move Kind = iota
	// Maintain orders a host to be taken down for a maintenance wave.
	Maintain
	// Evacuate moves the long-running tasks of a worker to other workers. It is
	// repeated until the worker is idle.
	Evacuate
	// Complete reports that the maintenance of every host of a wave that is
	// still in the estate has started.
	Complete
	// Resize reports that the size that a pool needs has changed.
	Resize
)

// Decision is one action for the caller to carry out. Move and Maintain are
// orders to the fleet service: the caller reports their outcome through Done,
// Refused or OutcomeUnknown.
type Decision struct {
	Kind   Kind
	Host   string
	Worker string
	// From and To are the pools of a Move. From is set for Maintain too, and To
	// for Resize.
	From, To string
	Wave     int64
	Reason   string
	// First is set for the first Evacuate of a worker.
	First bool
	// Sizing explains the new size of a Resize.
	Sizing Sizing
}

// Reservation is what a worker is reserved for. Reserved workers get no new
// tasks.
type Reservation int

const (
	// Unreserved workers get tasks.
	Unreserved Reservation = iota
	// Emptying workers are to become idle, so that their hosts can be moved or
	// maintained.
	Emptying
	// Ordered workers are about to end: there is an order about their hosts
	// whose outcome is not known yet.
	Ordered
)

func (r Reservation) String() string {
	return [...]string{"unreserved", "emptying", "ordered"}[r]
}

// Sizing is the number of workers that a pool needs, with the figures from
// which it is computed. It is logged under its field names.
type Sizing struct {
	Size, Have int
	// Loaded is the number of workers that the load fills: Size without workers
	// to spare.
	Loaded int
	// Keep is the number of workers that the pool keeps while no other pool
	// lacks hosts, so that late work can go on.
	Keep int
	// Rate is the arrival rate in cores and Steady is Pool.LongRunningCores.
	// Waiting, Used and Late are in cores too, as in Pool and Worker.
	Rate, Waiting, Steady, Used, Late float64
	// Expected is the number of workers for a surge that is forecast to start
	// about now, 0 for none.
	Expected int
	// Usual is the number of workers for a surge that has just begun, 0 for none.
	Usual int
	// Lacking is how many further workers the pool needs for long-running tasks,
	// beyond those that are about to serve it. Borrow is how many more it needs
	// so that a host of a wave can be emptied.
	Lacking, Borrow int
}

const (
	// maxHostListAge is the age from which a host list is too old to plan from.
	maxHostListAge = 4 * time.Second
	// MinListsWithoutHost is the number of consecutive host lists without a host
	// after which the host is taken to have left the estate. A host can fall
	// between two pages of a single list.
	MinListsWithoutHost = 2
)

// Planner makes the plans. From one plan to the next it keeps the orders that
// the host list has not confirmed and the history of demand. It is not safe for
// concurrent use.
type Planner struct {
	// migration is how long a host is unavailable while it moves between pools.
	migration time.Duration
	demands   map[string]*demand
	forecast  forecast
	orders    map[string]order
	refusals  map[string]refusal
	// maintenanceStarted holds, by wave number, the hosts whose maintenance has
	// started.
	maintenanceStarted map[int64]map[string]bool
	// evacuating maps hosts to the ids of their workers that are being
	// evacuated. evacuatingSince maps hosts to the time of their first evacuation
	// since their last order, or since the last one that timed out.
	evacuating      map[string]string
	evacuatingSince map[string]time.Duration
	// draining maps hosts to the ids of their workers that get no new tasks
	// because their pool is too large.
	draining map[string]string
	// undiscoveredSince maps hosts to the time since which they have been up
	// without a known worker.
	undiscoveredSince map[string]time.Duration
	// borrowing is how many workers pools lacked at the last plan to empty the
	// next hosts of waves.
	borrowing map[string]int
	// anyPoolShort is whether a pool lacked workers at the last plan, and
	// shortfall how many were still missing after all spare hosts were
	// assigned.
	anyPoolShort  bool
	shortfall     int
	completed     map[int64]bool
	waveFirstSeen map[int64]time.Duration
	// absentLists counts, by host of a wave, the latest consecutive host lists
	// without the host. countedList is when the last counted one was requested.
	absentLists map[string]int
	countedList time.Duration
}

// New returns a planner that continues the work of previous owners:
// maintenanceStarted holds, by wave, the hosts whose maintenance they started,
// surges the surges that they observed, waveFirstSeen the time at which each wave
// was first seen, and evacuatingSince, by host, that of the evacuations that have
// not ended. migration is how long a host is unavailable while it moves between
// pools.
func New(migration time.Duration, maintenanceStarted map[int64][]string, surges []Surge, waveFirstSeen map[int64]time.Duration, evacuatingSince map[string]time.Duration) *Planner {
	p := &Planner{
		migration: migration, demands: map[string]*demand{}, orders: map[string]order{}, refusals: map[string]refusal{}, maintenanceStarted: map[int64]map[string]bool{},
		evacuating: map[string]string{}, evacuatingSince: map[string]time.Duration{}, undiscoveredSince: map[string]time.Duration{}, draining: map[string]string{}, completed: map[int64]bool{}, waveFirstSeen: map[int64]time.Duration{},
		absentLists: map[string]int{},
	}
	p.forecast.surges = surges
	maps.Copy(p.waveFirstSeen, waveFirstSeen)
	maps.Copy(p.evacuatingSince, evacuatingSince)
	for wave, hosts := range maintenanceStarted {
		for _, h := range hosts {
			p.markMaintenanceStarted(wave, h)
		}
	}
	return p
}

// markMaintenanceStarted records that the maintenance of a host for a wave has
// started.
func (p *Planner) markMaintenanceStarted(wave int64, host string) {
	if p.maintenanceStarted[wave] == nil {
		p.maintenanceStarted[wave] = map[string]bool{}
	}
	p.maintenanceStarted[wave][host] = true
}

// Surges returns the latest surges, oldest first.
func (p *Planner) Surges() []Surge { return slices.Clone(p.forecast.surges) }

// WavesFirstSeen returns, by wave number, when each wave was first seen.
func (p *Planner) WavesFirstSeen() map[int64]time.Duration { return maps.Clone(p.waveFirstSeen) }

// EvacuatingSince returns, by host, since when the hosts are evacuated whose
// evacuation has not ended.
func (p *Planner) EvacuatingSince() map[string]time.Duration { return maps.Clone(p.evacuatingSince) }

// MaintenanceStarted returns the sorted names of the wave's hosts whose
// maintenance has started.
func (p *Planner) MaintenanceStarted(wave int64) []string {
	var hosts []string
	for h := range p.maintenanceStarted[wave] {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

// PendingRemoval returns the ids of the workers whose hosts belong to a wave
// and whose maintenance has not started.
func (p *Planner) PendingRemoval(s State) map[string]bool {
	notMaintained := map[string]bool{}
	for _, w := range s.Waves {
		for _, host := range w.Hosts {
			if !p.maintenanceStarted[w.Number][host] {
				notMaintained[host] = true
			}
		}
	}
	pendingRemoval := map[string]bool{}
	for i := range s.Hosts {
		if h := &s.Hosts[i]; notMaintained[h.Name] && h.WorkerID != "" {
			pendingRemoval[h.WorkerID] = true
		}
	}
	return pendingRemoval
}

// Reservations returns the reserved workers by id. A worker is reserved only as
// long as the plan that needs it is in force.
func (p *Planner) Reservations() map[string]Reservation {
	reservations := make(map[string]Reservation, len(p.evacuating)+len(p.draining)+len(p.orders))
	for _, worker := range p.evacuating {
		reservations[worker] = Emptying
	}
	for _, worker := range p.draining {
		reservations[worker] = Emptying
	}
	for _, o := range p.orders {
		if o.worker != "" {
			reservations[o.worker] = Ordered
		}
	}
	return reservations
}

// Plan returns the decisions for the state s. It decides nothing while the host
// list is missing or too old, and gives no orders while half of the hosts or
// more are not up. No worker is emptied then.
func (p *Planner) Plan(s State) []Decision {
	until := knownUntil(s.Pools, s.Now)
	for i := range s.Pools {
		p.observe(&s.Pools[i], until, s.Now)
	}
	p.expireOrders(s.Now)
	if s.HostsAt == 0 || s.Now-s.HostsAt > maxHostListAge {
		p.releaseEmptying()
		return nil
	}
	v := p.view(s)
	if !v.mostHostsUp() {
		p.releaseEmptying()
		return v.decisions
	}
	v.needs = v.poolNeeds()
	v.maintain()
	p.anyPoolShort = v.missingWorkers() > 0 || len(v.borrowing) > 0
	v.move()
	return v.decisions
}

// view is the working state of one call of Plan. Its maps are keyed by host
// name, worker id and pool name.
type view struct {
	*Planner
	State
	hosts     map[string]*estate.Host
	byWorker  map[string]*estate.Host
	pools     map[string]*Pool
	workers   map[string]*Worker
	needs     []poolNeed
	expected  map[string]int
	decisions []Decision
	// toMaintain are the hosts of waves whose maintenance has not started.
	toMaintain map[string]bool
	// unanswered counts the orders in flight.
	unanswered int
	// idleToMaintain is how many idle hosts may be taken down for maintenance:
	// the others are for long-running tasks that lack workers.
	idleToMaintain int
}

// view indexes the state s and drops the orders that are over.
func (p *Planner) view(s State) *view {
	v := &view{
		Planner: p, State: s, hosts: map[string]*estate.Host{}, byWorker: map[string]*estate.Host{},
		pools: map[string]*Pool{}, workers: map[string]*Worker{}, toMaintain: map[string]bool{},
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		v.hosts[h.Name] = h
		if h.WorkerID != "" {
			v.byWorker[h.WorkerID] = h
		}
		v.confirmOrder(h)
	}
	v.countAbsences()
	v.dropEndedDraining()
	for _, o := range p.orders {
		if o.answeredAt == 0 {
			v.unanswered++
		}
	}
	for i := range s.Pools {
		pool := &s.Pools[i]
		v.pools[pool.Name] = pool
		for j := range pool.Workers {
			v.workers[pool.Workers[j].ID] = &pool.Workers[j]
		}
	}
	return v
}

// mostHostsUp reports whether more than half of the hosts are up or in a
// standby pool. While the estate starts, or the fleet service shows most hosts
// as down, no orders are given.
func (v *view) mostHostsUp() bool {
	up := 0
	for i := range v.Hosts {
		if v.Hosts[i].State == estate.HostUp || v.standby(&v.Hosts[i]) {
			up++
		}
	}
	return 2*up > len(v.Hosts)
}

// releaseEmptying reopens the workers that are being emptied for orders.
func (p *Planner) releaseEmptying() {
	clear(p.evacuating)
	clear(p.draining)
}

// available reports whether a host is up and no order about it is unconfirmed.
func (v *view) available(h *estate.Host) bool {
	_, ordered := v.orders[h.Name]
	return !ordered && h.State == estate.HostUp
}

// standby reports whether a host is in a standby pool.
func (v *view) standby(h *estate.Host) bool {
	pool := v.pools[h.Pool]
	return pool != nil && pool.Standby
}

// idle reports whether nothing runs on a host and no long-running task needs it.
// Standby hosts are always idle.
func (v *view) idle(h *estate.Host) bool {
	if v.standby(h) {
		return true
	}
	w := v.workers[h.WorkerID]
	return w != nil && w.Idle && !w.Needed
}

// decide adds a decision to the plan and registers it if it is an order.
func (v *view) decide(d Decision) {
	if d.Kind == Move || d.Kind == Maintain {
		v.unanswered++
	}
	v.decisions = append(v.decisions, d)
	if d.Kind == Move || d.Kind == Maintain {
		v.orders[d.Host] = order{kind: d.Kind, worker: d.Worker, to: d.To, orderedAt: v.Now, wave: d.Wave}
	}
}
