package pool

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	traceSeed   = 20261204
	traceStep   = 250 * time.Millisecond
	traceWarmUp = 15 * time.Minute
	traceEnd    = 40 * time.Minute
	// traceReaction is the time until a moved host serves: report interval,
	// drain and commit.
	traceReaction = 3500 * time.Millisecond
	// traceMove is the part of traceReaction after the decision.
	traceMove = 2500 * time.Millisecond
	// traceTurn is the time between the surges of two pools.
	traceTurn = time.Minute
	// traceService is how long a request runs.
	traceService = 200 * time.Millisecond
	// traceUse is the mean utilization of a pool's slots.
	traceUse = 0.22
	// traceAvailability leaves almost no budget for losses, because the
	// baseline of pools sized for their own peak loses nothing.
	traceAvailability = 0.99999
	// traceSlots is the number of slots of a host.
	traceSlots = 8
)

// deployment holds the pools of an example settings tree. The last one is the
// spare pool.
type deployment struct {
	values    []*settings.PoolValues
	deadlines []time.Duration
}

// load reads a settings tree from the examples.
func load(t *testing.T, name string) deployment {
	text, err := os.ReadFile("../../examples/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	tree, err := settings.Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	effective, err := tree.Effective()
	if err != nil {
		t.Fatal(err)
	}
	var d deployment
	for _, p := range tree.Regions[0].Pools {
		least := time.Hour
		for _, s := range p.Services {
			least = min(least, effective.Services[s.Name].Deadline)
		}
		effective.Pools[p.Name].Availability = traceAvailability
		d.values = append(d.values, effective.Pools[p.Name])
		d.deadlines = append(d.deadlines, least)
	}
	return d
}

// weighted returns the deployment with the weights and the minimum stay of
// another deployment.
func (d deployment) weighted(by deployment) deployment {
	out := deployment{deadlines: d.deadlines}
	for i, v := range d.values {
		w, own := by.values[i], *v
		own.BufferWeight, own.MoveWeight, own.MinStay = w.BufferWeight, w.MoveWeight, w.MinStay
		out.values = append(out.values, &own)
	}
	return out
}

// offered returns the offered slots of each pool at each step. The pools surge
// in turn to about five times the mean for 5 to 12 seconds, fall to a twentieth
// until the next turn, and then return to the mean.
func (d deployment) offered() [][]float64 {
	r := rand.New(rand.NewSource(traceSeed))
	perTurn := int(traceTurn / traceStep)
	trace := make([][]float64, int(traceEnd/traceStep))
	var length int
	var height float64
	for i := range trace {
		if i%perTurn == 0 {
			length = int((5 + 7*r.Float64()) / traceStep.Seconds())
			height = 4.6 + 0.8*r.Float64()
		}
		trace[i] = make([]float64, len(d.values))
		for p, v := range d.values {
			level := 0.95 + 0.1*r.Float64()
			if p == (i/perTurn)%len(d.values) {
				level = 0.05
				if i%perTurn < length {
					level = height
				}
			}
			trace[i][p] = level * traceUse * float64(len(v.Hosts)*traceSlots)
		}
	}
	return trace
}

// ownPeak returns the pools, each with enough hosts for its own highest demand.
func (d deployment) ownPeak(trace [][]float64) []Pool {
	pools := d.fleet(0)
	for p := range pools {
		peak := 0.0
		for i := range trace {
			peak = max(peak, trace[i][p])
		}
		h := pools[p].Hosts[0]
		pools[p].Hosts = slices.Repeat([]Host{h}, hostsFor(peak, traceSlots))
	}
	return pools
}

// fleet returns the pools of the example with extra hosts in the spare pool,
// with four hosts in a rack and three data centres.
func (d deployment) fleet(extra int) []Pool {
	pools := make([]Pool, len(d.values))
	n := 0
	for i, v := range d.values {
		pools[i].Values, pools[i].Deadline = v, d.deadlines[i]
		size := len(v.Hosts)
		if v.Spare {
			size += extra
		}
		for range size {
			place := datacentre.Place{DataCentre: fmt.Sprint(n / 4 % 3), Rack: fmt.Sprint(n / 4)}
			pools[i].Hosts = append(pools[i].Hosts, Host{
				Name: fmt.Sprintf("h%04d", n), Slots: traceSlots, Phase: host.Serving, Place: place,
			})
			n++
		}
	}
	return pools
}

// result is the cost and the service level of a policy.
type result struct {
	// held is the number of hosts ever needed: all except those that stayed in
	// the spare pool throughout, beyond its own demand.
	held int
	// idle is held less the mean number of hosts kept busy by demand.
	idle float64
	// moves is the number of moves per hour.
	moves float64
	// served is the share of demand served within the deadline.
	served float64
}

// replay simulates a policy on the trace.
func (d deployment) replay(trace [][]float64, pools []Pool, policy func(State) Plan) result {
	start := time.Unix(1_800_000_000, 0)
	backlog := make([]float64, len(pools))
	last := len(pools) - 1
	var r result
	var lost, asked float64
	hosts, free := 0, 1<<30
	for p := range pools {
		hosts += len(pools[p].Hosts)
	}
	for i, offered := range trace {
		at := time.Duration(i) * traceStep
		arrive(pools, start.Add(at))
		for p := range pools {
			refused := serve(&pools[p], offered[p], &backlog[p])
			if at >= traceWarmUp {
				asked += offered[p] * traceStep.Seconds()
				lost += refused
			}
		}
		if at >= traceWarmUp {
			free = min(free, servingHosts(&pools[last])-hostsFor(offered[last], traceSlots))
		}
		if at%time.Second == 0 {
			plan := decide(pools, offered, start.Add(at), policy)
			if at >= traceWarmUp {
				r.moves += float64(len(plan.Moves))
			}
		}
	}
	span := traceEnd - traceWarmUp
	r.held = hosts - max(free, 0)
	r.idle = float64(r.held) - (asked-lost)/span.Seconds()/traceSlots
	r.moves /= span.Hours()
	r.served = 1 - lost/asked
	return r
}

// serve simulates one step of a pool's demand. It returns the work that would
// wait longer than the deadline and is lost.
func serve(p *Pool, offered float64, backlog *float64) float64 {
	capacity := float64(traceSlots * servingHosts(p))
	work := max(0, *backlog+(offered-capacity)*traceStep.Seconds())
	*backlog = min(work, capacity*(p.Deadline-traceService).Seconds())
	return work - *backlog
}

func servingHosts(p *Pool) int {
	n := 0
	for i := range p.Hosts {
		if p.Hosts[i].Phase == host.Serving {
			n++
		}
	}
	return n
}

// decide updates the demand, runs the policy and starts its moves.
func decide(pools []Pool, offered []float64, now time.Time, policy func(State) Plan) Plan {
	for p := range pools {
		pools[p].Demand = pools[p].Demand.Observe(Sample{At: now, Busy: offered[p]})
	}
	plan := policy(State{Now: now, Reaction: traceReaction, Pools: pools})
	for _, m := range plan.Moves {
		hosts := pools[indexOf(pools, m.From)].Hosts
		h := &hosts[slices.IndexFunc(hosts, func(h Host) bool { return h.Name == m.Host })]
		h.Phase, h.Purpose, h.MoveTo, h.Since = host.Draining, host.ForMove, m.To, now
	}
	return plan
}

func indexOf(pools []Pool, name string) int {
	return slices.IndexFunc(pools, func(p Pool) bool { return p.Values.Pool == name })
}

// arrive completes the moves that have taken traceMove.
func arrive(pools []Pool, now time.Time) {
	due := func(h Host) bool { return h.Phase == host.Draining && now.Sub(h.Since) >= traceMove }
	for p := range pools {
		for j := slices.IndexFunc(pools[p].Hosts, due); j >= 0; j = slices.IndexFunc(pools[p].Hosts, due) {
			h := pools[p].Hosts[j]
			to := &pools[indexOf(pools, h.MoveTo)]
			pools[p].Hosts = slices.Delete(pools[p].Hosts, j, j+1)
			h.Phase, h.Purpose, h.MoveTo, h.Since = host.Serving, host.ForNothing, "", now
			to.Hosts = append(to.Hosts, h)
		}
	}
}
