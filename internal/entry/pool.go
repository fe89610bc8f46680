package entry

import (
	"maps"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/assignment"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/limit"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/retry"
	"github.com/egretpitch/egretpitch/internal/routing"
)

// inFlightCounter counts the requests that an entry has in flight at one host.
// It outlives the assignments that contain the host.
type inFlightCounter struct{ atomic.Int64 }

// poolView is a snapshot of a pool for request handling. It is immutable
// except for the counters that it points to.
type poolView struct {
	set      *assignment.Set
	grant    *permit.Grant
	snapshot *routing.Snapshot
	// counters has the in-flight counters, by the index of the host in snapshot.
	counters []*inFlightCounter
}

// pool is the entry's state of one pool.
type pool struct {
	name    string
	tracker *routing.Tracker
	policy  routing.Policy
	gate    *limit.Gate
	budget  *retry.Budget
	view    atomic.Pointer[poolView]

	// permit allows the entry to route to the pool's hosts.
	permit *permit.Permit
	// source is the permit's source as last logged, and everGranted whether there
	// has been a permit. Both are owned by the control goroutine.
	source      permit.Source
	everGranted bool
	// base is the owner's last assignment. The view's set may be only a part of
	// it. It is owned by the control goroutine.
	base *assignment.Set
	// counters has the in-flight counters by host name. It is owned by the
	// control goroutine. A host that is no longer assigned stays while it has
	// requests in flight, so that its drain is reported to the owner.
	counters map[string]*inFlightCounter
}

// newPool returns a pool without an assignment.
func newPool(name string, seed uint64, routePermit *permit.Permit, log *zap.Logger) *pool {
	p := &pool{
		permit:   routePermit,
		base:     &assignment.Set{Pool: name},
		name:     name,
		tracker:  routing.NewTracker(),
		policy:   routing.NewLeastExpected(seed),
		gate:     limit.NewGate(time.Now),
		budget:   retry.NewBudget(retry.DefaultBurst),
		counters: map[string]*inFlightCounter{},
	}
	p.tracker.OnChange(func(c routing.Change) { logChange(log, name, c) })
	p.publish(datacentre.Place{}, p.base, nil)
	return p
}

// logChange logs a host that was set aside or has recovered.
func logChange(log *zap.Logger, pool string, c routing.Change) {
	if c.Phase == routing.Serving {
		event.HostRecovered.Log(log, zap.String("host", c.Host), zap.String("pool", pool))
		return
	}
	event.HostSetAside.Log(log, zap.String("host", c.Host), zap.String("pool", pool),
		zap.Stringer("fault", c.Fault), zap.Time("trial", c.Trial))
}

// publish makes requests route by the set under the grant. Only the control
// goroutine calls it.
func (p *pool) publish(self datacentre.Place, set *assignment.Set, grant *permit.Grant) {
	candidates := make([]routing.Candidate, 0, len(set.Hosts))
	for _, h := range set.Hosts {
		candidates = append(candidates, routing.Candidate{
			Host: hostOf(h), Slots: h.Slots, Connections: h.Connections,
		})
	}
	view := &poolView{set: set, grant: grant, snapshot: p.tracker.Snapshot(self, candidates)}
	for i := range view.snapshot.Len() {
		name := view.snapshot.At(i).Host.Name
		if p.counters[name] == nil {
			p.counters[name] = &inFlightCounter{}
		}
		view.counters = append(view.counters, p.counters[name])
	}
	p.view.Store(view)
	p.limitGate()
}

// limitGate sets the gate's limit from the slots and connections of the hosts
// that are serving.
func (p *pool) limitGate() {
	snapshot := p.view.Load().snapshot
	p.gate.SetLimit(limit.GateLimit(snapshot.ServingSlots(), snapshot.Connections()))
}

// hostOf returns the host of an assignment, without its size, which the entry
// does not know.
func hostOf(h assignment.Host) host.Host {
	return host.Host{Name: h.Name, Address: h.Address, Place: h.Place}
}

// inFlight returns the number of requests in flight by host, and deletes the
// counters of hosts that are no longer assigned and have none. Only the
// control goroutine calls it, after publish: a request that was counted before
// its view was replaced is included, and one that is counted later detects
// that the view was replaced and releases its reservation (see choose).
func (p *pool) inFlight() map[string]int64 {
	counts := map[string]int64{}
	assigned := p.view.Load().set.Hosts
	maps.DeleteFunc(p.counters, func(name string, f *inFlightCounter) bool {
		n := f.Load()
		if _, held := assigned[name]; n == 0 && !held {
			return true
		}
		counts[name] = n
		return false
	})
	return counts
}

// choose picks a host and counts the request as in flight there until release
// is called. now returns the time on the monotonic clock.
func (p *pool) choose(tried routing.Tried, now func() time.Duration) (reservation, error) {
	for {
		view := p.view.Load()
		if !view.grant.MayRoute(now()) {
			return reservation{}, errNoPermit
		}
		choice, ok := p.policy.Pick(view.snapshot, tried)
		if !ok {
			return reservation{}, errNoHost
		}
		h := reservation{choice: choice, inFlightCounter: view.counters[choice.Index]}
		h.inFlightCounter.Add(1)
		// The counter is incremented before this check: from here on the request
		// is reported to the owner before the owner can consider the assignment
		// unused.
		if p.view.Load() == view && view.grant.MayRoute(now()) {
			return h, nil
		}
		p.release(h, routing.Result{Kind: routing.Cancelled, At: time.Now()})
	}
}

// reservation is a chosen host at which the request is counted as in flight.
type reservation struct {
	choice          routing.Choice
	inFlightCounter *inFlightCounter
}

// release ends the reservation and records the result of the request.
func (p *pool) release(h reservation, r routing.Result) {
	p.tracker.Done(h.choice, r)
	h.inFlightCounter.Add(-1)
}

// shares returns the pool's part of the entry's connections.
func (p *pool) shares() []link.Share {
	var shares []link.Share
	for _, h := range p.view.Load().set.Hosts {
		shares = append(shares, link.Share{Host: hostOf(h), Connections: h.Connections})
	}
	return shares
}
