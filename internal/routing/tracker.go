package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
)

// TickInterval is the time between two calls of Tracker.Tick.
const TickInterval = 100 * time.Millisecond

// Tracker keeps the counters and health of a pool's hosts across snapshots. It
// is safe for concurrent use.
type Tracker struct {
	rules HealthRules
	// pool holds the samples over all hosts, by service.
	pool [maxServices]atomicSample
	// changed is set if results were recorded since the last tick.
	changed atomic.Bool

	mu    sync.Mutex
	hosts map[string]*trackedHost
	// order lists the hosts as in the last snapshot, so that decisions don't
	// depend on map iteration order.
	order []*trackedHost
	// lastAssessed is the time of the last assessment.
	lastAssessed time.Time
	onChange     func(Change)
}

// Change is a host that was set aside or returned to service, for the log.
type Change struct {
	Host string
	// Phase is Aside or Serving.
	Phase Phase
	// Fault is why the host was set aside. It is kept when the host returns.
	Fault Fault
	// Trial is the time of its next trial if it is set aside.
	Trial time.Time
}

// trackedHost is the tracker's record of one host.
type trackedHost struct {
	name    string
	address string
	stats   *Stats
	trial   trial
}

// NewTracker returns a tracker without hosts that uses the default rules.
func NewTracker() *Tracker {
	return &Tracker{rules: DefaultHealthRules(), hosts: make(map[string]*trackedHost)}
}

// OnChange sets the function that is called for each host that is set aside or
// returns to service. It must be set before the first result. f must not call
// the tracker, which holds its lock during the call.
func (t *Tracker) OnChange(f func(Change)) { t.onChange = f }

// Snapshot returns the snapshot of hosts as seen from self. Hosts with a name
// and address that the tracker has already keep their counters. Hosts that are
// not listed are removed.
func (t *Tracker) Snapshot(self datacentre.Place, hosts []Candidate) *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]*trackedHost, len(hosts))
	filled := make([]Candidate, len(hosts))
	t.order = t.order[:0]
	for i, h := range hosts {
		k := t.hosts[h.Host.Name]
		if k == nil || k.address != h.Host.Address {
			k = &trackedHost{name: h.Host.Name, address: h.Host.Address, stats: &Stats{}}
		}
		kept[k.name] = k
		t.order = append(t.order, k)
		h.Stats = k.stats
		filled[i] = h
	}
	t.hosts = kept
	t.returnExcess()
	return NewSnapshot(self, filled)
}

// returnExcess returns hosts to service while more are set aside than the
// rules allow for a pool that has become smaller.
func (t *Tracker) returnExcess() {
	excess := -t.rules.maxAside(len(t.order))
	for _, k := range t.order {
		if k.stats.Phase() != Serving {
			excess++
		}
	}
	for _, k := range t.order {
		if excess > 0 && k.stats.Phase() != Serving {
			k.stats.resetHealth()
			k.stats.phase.Store(uint32(Serving))
			t.notify(Change{Host: k.name, Phase: Serving, Fault: k.trial.fault})
			excess--
		}
	}
}

// Done ends a choice with its result. It must be called once for each choice.
func (t *Tracker) Done(c Choice, r Result) {
	c.stats.inFlight.Add(-1)
	if r.Kind != Cancelled {
		c.stats.record(r, &t.pool)
		t.changed.Store(true)
	}
	if c.Reason == ReasonTrial {
		t.endTrial(c, r)
		return
	}
	if c.stats.needsAssessment(r, t.rules) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if r.Kind != Failed || r.At.Sub(t.lastAssessed) >= assessInterval {
			t.assess(c.stats, r)
		}
	}
}

// assessInterval is the least time between assessments caused by failures. It
// bounds their cost while a service fails at every host.
const assessInterval = 10 * time.Millisecond

// needsAssessment reports whether the hosts are assessed at once after the
// result, rather than at the next tick.
func (s *Stats) needsAssessment(r Result, rules HealthRules) bool {
	if s.Phase() != Serving {
		return false
	}
	switch r.Kind {
	case Refused:
		return true
	case Answered:
		return r.Closing && int(s.consecutiveCloses.Load()) >= rules.ClosesToLeave
	case Failed, TimedOut:
		e := s.services[r.service()].load()
		return e.failureRate >= rules.FailureRateExcess
	}
	return false
}

// Tick makes trials due, decays failure rates, and assesses the hosts if there
// were results since the last tick. The entry calls it every TickInterval.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.order {
		k.advancePhase(now, t.rules)
		k.stats.failureRate.update(decay)
	}
	if t.changed.Swap(false) {
		t.assess(nil, Result{At: now})
	}
}

// failureRateDecay is the factor by which a tick reduces a host's failure
// rate. The rate halves in about 3.4 s without results, so that a host that
// gets no requests because of its failures is chosen again.
const failureRateDecay = 0.98

func decay(share float32) float32 { return share * failureRateDecay }

// assess evaluates all hosts and sets aside the faulty ones, the most severe
// first, as far as the rules allow. If r is a refusal, the host with the
// counters refusing is evaluated as leaving.
func (t *Tracker) assess(refusing *Stats, r Result) {
	t.lastAssessed = r.At
	state := make([]hostState, len(t.order))
	remaining := t.rules.maxAside(len(t.order))
	for i, k := range t.order {
		state[i] = k.state()
		state[i].refusing = r.Kind == Refused && k.stats == refusing
		if state[i].phase != Serving {
			remaining--
		}
	}
	evaluations := evaluate(state, t.rules)
	for ; remaining > 0; remaining-- {
		i := mostSevere(evaluations)
		if i < 0 {
			return
		}
		t.setAside(t.order[i], evaluations[i].fault, r)
		evaluations[i] = evaluation{}
	}
}

// mostSevere returns the index of the most severe evaluation, -1 when no host
// has a fault.
func mostSevere(evaluations []evaluation) int {
	worst := -1
	for i, v := range evaluations {
		if v.fault != NoFault && (worst < 0 || v.severity > evaluations[worst].severity) {
			worst = i
		}
	}
	return worst
}

// HostHealth is the health and the counters of a host, for status and metrics.
type HostHealth struct {
	Host  string
	Phase Phase
	// Fault is why the host is, or was last, set aside.
	Fault    Fault
	InFlight int
	// Answered and Failed are totals since the host joined the pool.
	Answered, Failed uint64
}

// Health returns the health of the hosts in the order of the last snapshot.
func (t *Tracker) Health() []HostHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]HostHealth, 0, len(t.order))
	for _, k := range t.order {
		all = append(all, HostHealth{
			Host:     k.name,
			Phase:    k.stats.Phase(),
			Fault:    k.trial.fault,
			InFlight: k.stats.InFlight(),
			Answered: k.stats.Answered(),
			Failed:   k.stats.Failed(),
		})
	}
	return all
}

// state returns the host's state for an evaluation.
func (k *trackedHost) state() hostState {
	e := hostState{phase: k.stats.Phase(), consecutiveCloses: int(k.stats.consecutiveCloses.Load())}
	for i := range e.services {
		e.services[i] = k.stats.services[i].load()
	}
	return e
}

// notify calls the function set with OnChange.
func (t *Tracker) notify(c Change) {
	if t.onChange != nil {
		t.onChange(c)
	}
}
