package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/limit"
	"github.com/egretpitch/egretpitch/internal/routing"
)

const (
	entries = 9
	workers = 9
	slots   = 8
	// surge is how long a service has five times its mean rate, and then a
	// twentieth of it.
	surge = 3 * time.Second
)

// service is one service of the generated demand.
type service struct {
	name     string
	priority int
	deadline time.Duration
	mean     time.Duration // at a worker
	load     float64       // share of the pool's slots
}

var services = []service{
	{"order", 90, 400 * time.Millisecond, 40 * time.Millisecond, 0.20},
	{"invoice", 70, time.Second, 60 * time.Millisecond, 0.14},
	{"lookup", 50, 300 * time.Millisecond, 15 * time.Millisecond, 0.08},
	{"stock", 10, 3 * time.Second, 120 * time.Millisecond, 0.18},
}

// arrival is one request of the generated demand.
type arrival struct {
	at             time.Duration
	service, entry int
	size           time.Duration
}

// generateDemand returns demand in which each service in turn has five times
// its mean rate, then a twentieth, and the others their mean. skew is the
// share of all requests that the balancer sends to the first entry in addition
// to its equal part.
func generateDemand(seed uint64, skew float64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for i, s := range services {
		rate := s.load * workers * slots / s.mean.Seconds()
		for at, end := 0.0, (2 * surge * time.Duration(len(services))).Seconds(); ; {
			factor := 1.0
			if phase := int(at / surge.Seconds()); phase/2 == i {
				factor = []float64{5, 1.0 / 20}[phase%2]
			}
			if at += rng.ExpFloat64() / (rate * factor); at >= end {
				break
			}
			a := arrival{at: time.Duration(at * 1e9), service: i, entry: rng.IntN(entries)}
			if rng.Float64() < skew {
				a.entry = 0
			}
			a.size = time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(s.mean))
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// modelConfig holds the parameters of a run of the model.
type modelConfig struct {
	policy func(seed uint64) routing.Policy
	// ignoresHealth is set for a baseline policy, which also sends requests to
	// hosts that are set aside.
	ignoresHealth bool
	order         limit.Order
	rules         limit.Rules
	gate          func(slots, connections int) int
	// adaptive replaces gate by a limit that each entry adjusts: plus one in a
	// tick while requests wait, minus a tenth after a tick with a timeout.
	adaptive bool
	// slow and failing are the indices of the worker with that fault, -1 for
	// none.
	slow, failing int
}

// event is a function that runs at a time of the model.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model simulates the generated demand with the real policies, queues and
// grants.
type model struct {
	modelConfig
	now        time.Duration
	seq        int
	events     events
	hosts      []host.Host
	running    [workers]int
	backlog    [workers][]func()
	entries    [entries]*modelEntry
	allocator  *limit.Allocator
	stabilized []limit.Demand
	tally      [4]tally
}

type modelEntry struct {
	holder   limit.Holder
	queue    *limit.Queue
	tracker  *routing.Tracker
	policy   routing.Policy
	snapshot *routing.Snapshot
	waiting  map[*limit.Request]arrival
	load     int // running and queued
	limit    float64
	late     bool
}

// tally counts the outcomes of one service's requests.
type tally struct {
	all, inTime, late, failed, refused int
	latencies                          []time.Duration // of answers
}

func (m *model) at(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, do})
}

// clock returns the model's time as a time.Time.
func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

func place(i int) datacentre.Place {
	return datacentre.Place{Region: "lagos", DataCentre: fmt.Sprint("dc", i%3), Rack: fmt.Sprint("rack", i)}
}

func run(s modelConfig, demand []arrival) [4]tally {
	m := &model{modelConfig: s, allocator: limit.NewAllocator(s.rules)}
	for i := range workers {
		h := host.Host{Name: fmt.Sprint("kano-", i), Place: place(i), Slots: slots, Connections: 64}
		m.hosts = append(m.hosts, h)
		m.allocator.SetHost(h.Name, h.Connections)
	}
	for i := range m.entries {
		m.entries[i] = &modelEntry{
			holder:  limit.Holder{Entry: fmt.Sprint("entry-", i)},
			queue:   limit.NewQueue(s.order),
			tracker: routing.NewTracker(),
			policy:  s.policy(uint64(i) * 1000003),
			waiting: map[*limit.Request]arrival{},
			limit:   slots,
		}
	}
	end := demand[len(demand)-1].at
	for t := time.Duration(0); t < end; t += routing.TickInterval {
		m.at(t, m.tick)
	}
	for _, a := range demand {
		m.at(a.at, func() { m.arrive(m.entries[a.entry], a) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.tally
}

// tick divides the pool's hosts once a second, and ticks the trackers.
func (m *model) tick() {
	if m.now%time.Second == 0 {
		var reported []limit.Demand
		for _, e := range m.entries {
			reported = append(reported, limit.Demand{Holder: e.holder, Busy: float64(e.load)})
		}
		m.stabilized = limit.StabilizeDemand(m.stabilized, reported, m.rules)
		grants := m.allocator.Offer(limit.Divide(m.hosts, m.stabilized, m.rules))
		for i, e := range m.entries {
			m.apply(e, i, grants)
		}
	}
	for _, e := range m.entries {
		e.tracker.Tick(m.clock())
		open := e.snapshot.ServingSlots()
		if m.ignoresHealth {
			open = e.snapshot.Slots()
		}
		n := m.gate(open, e.snapshot.Connections())
		if m.adaptive {
			n = e.adapt()
		}
		m.settle(e, e.queue.SetLimit(n, m.clock()))
	}
}

// adapt adjusts the limit by additive increase and multiplicative decrease.
func (e *modelEntry) adapt() int {
	if e.late {
		e.limit *= 0.9
	} else if len(e.waiting) > 0 {
		e.limit++
	}
	e.late = false
	e.limit = max(e.limit, 1)
	return int(e.limit)
}

func (m *model) apply(e *modelEntry, i int, grants []limit.Grant) {
	var hosts []routing.Candidate
	for _, g := range grants {
		if h := slices.IndexFunc(m.hosts, func(h host.Host) bool { return h.Name == g.Host }); g.Holder == e.holder {
			hosts = append(hosts, routing.Candidate{Host: m.hosts[h], Slots: g.Slots, Connections: g.Connections})
		}
	}
	e.snapshot = e.tracker.Snapshot(place(i), hosts)
	m.allocator.Acknowledge(e.holder, m.allocator.Version())
}

func (m *model) arrive(e *modelEntry, a arrival) {
	m.tally[a.service].all++
	s := services[a.service]
	r := &limit.Request{Priority: s.priority, Deadline: m.clock().Add(s.deadline)}
	e.waiting[r] = a
	e.load++
	settled := e.queue.Arrive(r, m.clock())
	m.settle(e, settled)
	if r.Admitted() || r.Refusal() != limit.NotRefused {
		m.settle(e, []*limit.Request{r})
		return
	}
	m.at(m.now+r.StartBy().Sub(m.clock()), func() {
		if e.queue.Withdraw(r, limit.DeadlineTooNear) {
			m.settle(e, []*limit.Request{r})
		}
	})
}

// settle sends admitted requests to workers and counts refused ones.
func (m *model) settle(e *modelEntry, settled []*limit.Request) {
	for _, r := range slices.Clone(settled) {
		a := e.waiting[r]
		delete(e.waiting, r)
		if !r.Admitted() {
			m.tally[a.service].refused++
			e.load--
			continue
		}
		m.send(e, r, a)
	}
}

// send sends an admitted request to a worker. The entry gives up at the
// deadline; the worker runs the request to its end regardless.
func (m *model) send(e *modelEntry, r *limit.Request, a arrival) {
	choice, ok := e.policy.Pick(e.snapshot, routing.Tried{})
	if !ok {
		m.tally[a.service].refused++
		m.finish(e, r)
		return
	}
	w := slices.IndexFunc(m.hosts, func(h host.Host) bool { return h.Name == choice.Host.Name })
	sent, done := m.now, false
	end := func(kind routing.Kind) {
		if done {
			return
		}
		done = true
		e.late = e.late || kind == routing.TimedOut
		result := routing.Result{Kind: kind, Service: a.service, Latency: m.now - sent, At: m.clock()}
		e.tracker.Done(choice, result)
		m.count(a, kind)
		m.finish(e, r)
	}
	m.at(a.at+services[a.service].deadline, func() { end(routing.TimedOut) })
	m.work(w, a, end)
}

// work runs a request at a worker, in a free slot or after queueing for one.
func (m *model) work(w int, a arrival, end func(routing.Kind)) {
	travel := time.Millisecond / 2
	if w == m.failing {
		m.at(m.now+travel, func() { end(routing.Failed) })
		return
	}
	runTime := a.size
	if w == m.slow {
		runTime *= 10
	}
	start := func() {
		m.running[w]++
		m.at(m.now+runTime+travel, func() {
			m.running[w]--
			end(routing.Answered)
			if len(m.backlog[w]) > 0 && m.running[w] < slots {
				next := m.backlog[w][0]
				m.backlog[w] = m.backlog[w][1:]
				next()
			}
		})
	}
	if m.running[w] < slots {
		start()
	} else {
		m.backlog[w] = append(m.backlog[w], start)
	}
}

func (m *model) finish(e *modelEntry, r *limit.Request) {
	e.load--
	m.settle(e, e.queue.Finish(r, m.clock()))
}

func (m *model) count(a arrival, kind routing.Kind) {
	t := &m.tally[a.service]
	switch kind {
	case routing.Answered:
		t.inTime++
		t.latencies = append(t.latencies, m.now-a.at)
	case routing.TimedOut:
		t.late++
	default:
		t.failed++
	}
}
