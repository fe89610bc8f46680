// Package fleetplan decides which hosts change their pool and which are
// maintained now. It is pure: a Planner remembers what it has seen, but has no
// clock and does no I/O.
//
// The load that it answers: queues surge in turn to several times their mean
// for some seconds, beyond what their pool holds, and fall to a twentieth
// between. Hosts that idle in one pool serve in the pool whose turn it is, and
// hosts that no pool needs stand by, where they cost nothing.
package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// Worker is a worker as the plan sees it.
type Worker struct {
	ID string
	// Cores is its capacity, Used what its tasks hold, and Late the part of
	// that which tasks of jobs hold that cannot be in time any more.
	Cores, Used, Late float64
	// Idle workers run nothing and every end on them is acknowledged.
	Idle bool
	// LongRunningTasks counts long-running tasks.
	LongRunningTasks int
	// Open workers may get new tasks.
	Open bool
}

// Pool is a pool as the plan sees it.
type Pool struct {
	Name    string
	Standby bool
	Workers []Worker
	// Waiting is how many cores the tasks ask that could start now but for
	// room.
	Waiting float64
	// LongRunningCores is how many cores long-running tasks hold.
	LongRunningCores float64
	// Spread is the number of workers that the bounds on tasks a worker ask for,
	// of steps with long-running tasks that wait.
	Spread int
	// Arrived is the work in core-seconds that was accepted so far, and Jobs
	// the number of jobs.
	Arrived float64
	Jobs    int
}

// State is what a plan is made from.
type State struct {
	Now   time.Duration
	Pools []Pool
	// Hosts is the fleet service's list, and HostsAt when it was asked for.
	Hosts   []estate.Host
	HostsAt time.Duration
	Waves   []estate.Wave
}

// Kind is what a decision does.
type Kind int

const (
	// Move takes a host to another pool.
	Move Kind = iota
	// Maintain takes a host down for a wave.
	Maintain
	// Evacuate gives a worker no new tasks, and moves its lasting ones away.
	Evacuate
	// Drain gives a worker no new tasks; what it runs goes on.
	Drain
	// Open lets a worker get tasks again.
	Open
	// Complete says that every host of a wave was maintained.
	Complete
	// Resize tells that the size which a pool needs has changed.
	Resize
)

// Decision is one thing to do.
type Decision struct {
	Kind   Kind
	Host   string
	Worker string
	// From and To are the pools of a move.
	From, To string
	Wave     int64
	Reason   string
	// Sizing is why a pool needs its size, for Resize.
	Sizing Sizing
}

// Sizing is the size that a pool needs and what it follows from.
type Sizing struct {
	Size, Have int
	// Keep is the size that the pool keeps while no other one lacks hosts: late
	// work goes on then.
	Keep int
	// Rate is the work that arrives, in cores; the others are as in Pool and
	// Worker.
	Rate, Waiting, Steady, Used, Late float64
	// Expected is the size for a surge that may be about to begin, 0 for none.
	Expected int
}

const (
	// maxHostListAge is the age at which a list of hosts is too old to decide from.
	maxHostListAge = 4 * time.Second
	// orderTimeout is how long an ordered host is left alone when the list does
	// not show it where it should be.
	orderTimeout = 8 * time.Second
	// maxUnanswered bounds the orders that wait for an answer: what a service
	// with some hundred orders a second answers before the next plans.
	maxUnanswered = 60
)

// Planner remembers orders and the rhythm of the pools' demand.
type Planner struct {
	// migration is how long a host is away while it changes its pool.
	migration time.Duration
	demands   map[string]*demand
	forecast  forecast
	orders    map[string]order
	// maintenanceStarted are the hosts of each wave whose maintenance has started.
	maintenanceStarted map[int64]map[string]bool
	// evacuating are the workers that get no new tasks, by host.
	evacuating map[string]string
	// draining are the hosts that get no new tasks since their pool is too
	// large.
	draining map[string]bool
	// anyPoolShort says that a pool lacked hosts at the last plan, and shortfall how many
	// it lacked after all spare ones were given out.
	anyPoolShort  bool
	shortfall     int
	completed     map[int64]bool
	waveFirstSeen map[int64]time.Duration
}

// order is an order about a host that the list may not show yet.
type order struct {
	kind      Kind
	to        string
	orderedAt time.Duration
	// answeredAt is when the order was answered, zero before.
	answeredAt time.Duration
	wave       int64
}

// New returns a planner. begun are the hosts of each wave that former owners
// have maintained, surges those that they have seen, and waveSeen when they saw
// each wave first.
func New(migration time.Duration, maintenanceStarted map[int64][]string, surges []Surge, waveFirstSeen map[int64]time.Duration) *Planner {
	p := &Planner{
		migration: migration, demands: map[string]*demand{}, orders: map[string]order{}, maintenanceStarted: map[int64]map[string]bool{},
		evacuating: map[string]string{}, draining: map[string]bool{}, completed: map[int64]bool{}, waveFirstSeen: map[int64]time.Duration{},
	}
	p.forecast.surges = surges
	maps.Copy(p.waveFirstSeen, waveFirstSeen)
	for wave, hosts := range maintenanceStarted {
		for _, h := range hosts {
			p.markMaintenanceStarted(wave, h)
		}
	}
	return p
}

func (p *Planner) markMaintenanceStarted(wave int64, host string) {
	if p.maintenanceStarted[wave] == nil {
		p.maintenanceStarted[wave] = map[string]bool{}
	}
	p.maintenanceStarted[wave][host] = true
}

// Surges returns the surges that were seen, in order.
func (p *Planner) Surges() []Surge { return slices.Clone(p.forecast.surges) }

// WavesFirstSeen returns when each wave was seen first.
func (p *Planner) WavesFirstSeen() map[int64]time.Duration { return maps.Clone(p.waveFirstSeen) }

// MaintenanceStarted returns the hosts of a wave whose maintenance has begun, in order.
func (p *Planner) MaintenanceStarted(wave int64) []string {
	var hosts []string
	for h := range p.maintenanceStarted[wave] {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

// PendingRemoval returns the workers whose hosts are still to be maintained.
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

// Done takes in that an order was carried out.
func (p *Planner) Done(d Decision, now time.Duration) {
	o := p.orders[d.Host]
	o.answeredAt = now
	p.orders[d.Host] = o
	delete(p.evacuating, d.Host)
	delete(p.draining, d.Host)
	if d.Kind == Maintain {
		p.markMaintenanceStarted(d.Wave, d.Host)
	}
}

// Refused takes in that an order was not carried out.
func (p *Planner) Refused(d Decision) { delete(p.orders, d.Host) }

// OutcomeUnknown takes in that an order got no answer. The next list of hosts shows
// what became of it; until then its host counts as taken.
func (p *Planner) OutcomeUnknown(d Decision, now time.Duration) {
	o := p.orders[d.Host]
	o.answeredAt = now
	p.orders[d.Host] = o
}

// Plan returns what to do now.
func (p *Planner) Plan(s State) []Decision {
	for i := range s.Pools {
		p.observe(&s.Pools[i], s.Now)
	}
	if s.HostsAt == 0 || s.Now-s.HostsAt > maxHostListAge {
		return nil
	}
	v := p.view(s)
	if !v.mostHostsUp() {
		return v.decisions
	}
	v.needs = v.poolNeeds()
	v.maintain()
	p.anyPoolShort = v.missingWorkers() > 0
	v.move()
	return v.decisions
}

// view is the working state of one plan.
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
	// unanswered counts the orders that wait for an answer.
	unanswered int
}

// mayOrder reports whether one more order may be given now.
func (v *view) mayOrder() bool { return v.unanswered < maxUnanswered }

func (p *Planner) view(s State) *view {
	v := &view{
		Planner: p, State: s, hosts: map[string]*estate.Host{}, byWorker: map[string]*estate.Host{},
		pools: map[string]*Pool{}, workers: map[string]*Worker{},
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		v.hosts[h.Name] = h
		if h.WorkerID != "" {
			v.byWorker[h.WorkerID] = h
		}
		v.expireOrder(h)
	}
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

// mostHostsUp reports whether most hosts are up. While the estate starts, or the
// fleet service shows most hosts as down, nothing is moved.
func (v *view) mostHostsUp() bool {
	up := 0
	for i := range v.Hosts {
		if v.Hosts[i].State == estate.HostUp || v.standby(&v.Hosts[i]) {
			up++
		}
	}
	return 2*up > len(v.Hosts)
}

// expireOrder forgets an order that the list shows to be over. The worker of a host
// that was left alone serves again.
func (v *view) expireOrder(h *estate.Host) {
	o, ok := v.orders[h.Name]
	if !ok {
		return
	}
	confirmed := o.answeredAt > 0 && v.HostsAt > o.answeredAt && h.State == estate.HostUp
	if !confirmed && v.Now-o.orderedAt <= orderTimeout {
		return
	}
	delete(v.orders, h.Name)
	delete(v.draining, h.Name)
	v.decide(Decision{Kind: Open, Host: h.Name, Worker: h.WorkerID, Reason: "order is over"})
}

// available reports whether a host may be ordered about.
func (v *view) available(h *estate.Host) bool {
	_, ordered := v.orders[h.Name]
	return !ordered && h.State == estate.HostUp
}

func (v *view) standby(h *estate.Host) bool {
	pool := v.pools[h.Pool]
	return pool != nil && pool.Standby
}

// idle reports whether nothing runs on a host.
func (v *view) idle(h *estate.Host) bool {
	if v.standby(h) {
		return true
	}
	w := v.workers[h.WorkerID]
	return w != nil && w.Idle
}

func (v *view) decide(d Decision) {
	if d.Kind == Move || d.Kind == Maintain {
		v.unanswered++
	}
	v.decisions = append(v.decisions, d)
	if d.Kind == Move || d.Kind == Maintain {
		v.orders[d.Host] = order{kind: d.Kind, to: d.To, orderedAt: v.Now, wave: d.Wave}
	}
}
