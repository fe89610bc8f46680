package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

const (
	// orderTimeout is how long a host with an order is left alone if the host
	// list does not confirm that the order was carried out.
	orderTimeout = 8 * time.Second
	// minRefusalPause is how long a host gets no other order after one that was
	// refused, or got no answer and was not carried out. It doubles with each such
	// order in a row, up to maxRefusalPause.
	minRefusalPause = 200 * time.Millisecond
	maxRefusalPause = 3200 * time.Millisecond
	// maxUnanswered bounds the orders in flight to what a fleet service that
	// handles some hundred orders a second answers before the next few plans.
	maxUnanswered = 60
)

// order is an order to the fleet service that the host list has not confirmed
// yet.
type order struct {
	kind Kind
	// worker is the id of the host's worker, empty for none or once the order
	// was carried out.
	worker    string
	to        string
	orderedAt time.Duration
	// answeredAt is when the order was answered or given up, zero before.
	answeredAt time.Duration
	wave       int64
}

// refusal is the last order about a host that was not carried out.
type refusal struct {
	// until is when the host may get another order, pause for how long it got
	// none.
	until, pause time.Duration
}

// Done records that an order was carried out.
func (p *Planner) Done(d Decision, now time.Duration) {
	o := p.orders[d.Host]
	o.answeredAt = now
	o.worker = ""
	p.orders[d.Host] = o
	delete(p.refusals, d.Host)
	delete(p.evacuating, d.Host)
	delete(p.evacuatingSince, d.Host)
	delete(p.draining, d.Host)
	if d.Kind == Maintain {
		p.markMaintenanceStarted(d.Wave, d.Host)
	}
}

// Refused records that an order was not carried out. Its host may get another
// order after a pause, in which its worker is open to tasks and other hosts get
// orders.
func (p *Planner) Refused(d Decision) {
	p.pauseOrders(d.Host, p.orders[d.Host].orderedAt)
	delete(p.orders, d.Host)
}

// Postponed records that an order was not sent, since no order about its host may be
// given yet. It is Refused without longer pauses: these would outlast that time.
func (p *Planner) Postponed(d Decision) {
	delete(p.refusals, d.Host)
	p.Refused(d)
}

// pauseOrders begins a pause in the orders about a host.
func (p *Planner) pauseOrders(host string, from time.Duration) {
	pause := min(max(2*p.refusals[host].pause, minRefusalPause), maxRefusalPause)
	p.refusals[host] = refusal{until: from + pause, pause: pause}
}

// OutcomeUnknown records that an order got no answer and may have been carried
// out. Its host gets no other order until a later host list shows it up or
// orderTimeout passes.
func (p *Planner) OutcomeUnknown(d Decision, now time.Duration) {
	o := p.orders[d.Host]
	o.answeredAt = now
	p.orders[d.Host] = o
}

// expireOrders drops the orders that orderTimeout has passed, and the refusals
// that no other one followed.
func (p *Planner) expireOrders(now time.Duration) {
	maps.DeleteFunc(p.refusals, func(_ string, r refusal) bool { return now > r.until+maxRefusalPause })
	for host, o := range p.orders {
		if now-o.orderedAt > orderTimeout {
			p.dropOrder(host, o.worker, now)
		}
	}
}

// confirmOrder drops the order about a host once a later host list shows the
// host up: again, or still if the order got no answer and was not carried out.
func (v *view) confirmOrder(h *estate.Host) {
	if o, ok := v.orders[h.Name]; ok && o.kind == Maintain && v.HostsAt > o.orderedAt && h.State == estate.HostMaintenance && v.wavesOf(h.Name) == 1 {
		v.markMaintenanceStarted(o.wave, h.Name) // the answer may never come
	}
	if o, ok := v.orders[h.Name]; ok && o.answeredAt > 0 && v.HostsAt > o.answeredAt && h.State == estate.HostUp {
		v.dropOrder(h.Name, h.WorkerID, v.Now)
	}
}

// wavesOf returns how many waves a host belongs to.
func (v *view) wavesOf(host string) int {
	n := 0
	for i := range v.Waves {
		if slices.Contains(v.Waves[i].Hosts, host) {
			n++
		}
	}
	return n
}

// dropOrder drops the order about a host that runs the given worker. If it is the
// worker that the order was to end, the worker is open to tasks for a while.
func (p *Planner) dropOrder(host, worker string, now time.Duration) {
	if worker != "" && p.orders[host].worker == worker {
		p.pauseOrders(host, now)
	}
	delete(p.orders, host)
	delete(p.draining, host)
}

// refused reports whether a host gets no order because of a refusal.
func (v *view) refused(h *estate.Host) bool { return v.Now < v.refusals[h.Name].until }

// mayOrder reports whether the bound on orders in flight allows one more.
func (v *view) mayOrder() bool { return v.unanswered < maxUnanswered }
