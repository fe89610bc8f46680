package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
)

// TickInterval is the time between two ticks of a tracker.
const TickInterval = 100 * time.Millisecond

// Tracker keeps the counters and health of a pool's hosts over all snapshots.
type Tracker struct {
	rules HealthRules
	// pool holds the samples of all hosts together.
	pool [maxServices]atomicSample
	// changed says that results came in since the last tick.
	changed atomic.Bool

	mu    sync.Mutex
	hosts map[string]*trackedHost
	// order lists the hosts as in the last snapshot, so that decisions don't
	// depend on the order of a map.
	order []*trackedHost
	// lastAssessed is the time of the last judgement.
	lastAssessed time.Time
	onChange     func(Change)
}

// Change is a host that was set aside or came back, for the log.
type Change struct {
	Host string
	// Phase is Aside or Serving.
	Phase Phase
	// Fault is why it was set aside.
	Fault Fault
	// Trial is when it is tried next, if set aside.
	Trial time.Time
}

// trackedHost is the tracker's record of one host.
type trackedHost struct {
	name    string
	address string
	stats   *Stats
	trial   trial
}

// NewTracker returns a tracker without hosts, under the default rules.
func NewTracker() *Tracker {
	return &Tracker{rules: DefaultHealthRules(), hosts: make(map[string]*trackedHost)}
}

// OnChange sets the function that is told of hosts set aside and returned. It
// must be set before the first result and must not call the tracker.
func (t *Tracker) OnChange(f func(Change)) { t.onChange = f }

// Snapshot returns the snapshot of hosts as seen from self, with the counters
// of the hosts that the tracker knows by name and address. Hosts that are not
// listed are forgotten.
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

// returnExcess lets hosts serve again that are too many to be set aside since
// others left the pool.
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

// Done gives back a choice with its result.
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

// assessInterval is the least time between judgements for failures, so that a
// service that fails everywhere costs little.
const assessInterval = 10 * time.Millisecond

// needsAssessment reports whether the result may set the host aside at once, without
// waiting for the next tick.
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

// Tick sets slow hosts aside, lets trials fall due, and lets old evidence
// fade. The entry calls it every TickInterval.
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

// failureRateDecay is the part of a host's share of failures that is left after a tick:
// half of it after some 3.4 s, so that a host without requests is chosen again
// by itself.
const failureRateDecay = 0.98

func decay(share float32) float32 { return share * failureRateDecay }

// assess judges all hosts and sets aside, gravest first, as many as may be.
// refusing is the host that just refused work, nil for none.
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

// mostSevere returns the index of the mostSevere verdict, -1 when all are sound.
func mostSevere(evaluations []evaluation) int {
	worst := -1
	for i, v := range evaluations {
		if v.fault != NoFault && (worst < 0 || v.severity > evaluations[worst].severity) {
			worst = i
		}
	}
	return worst
}

// HostHealth is what a tracker knows of a host, for status and metrics.
type HostHealth struct {
	Host  string
	Phase Phase
	// Fault is why it is or was last set aside.
	Fault    Fault
	InFlight int
	// Answered and Failed are totals since the host joined the pool.
	Answered, Failed uint64
}

// Health returns the hosts in the order of the last snapshot.
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

// state reads the host's counters.
func (k *trackedHost) state() hostState {
	e := hostState{phase: k.stats.Phase(), consecutiveCloses: int(k.stats.consecutiveCloses.Load())}
	for i := range e.services {
		e.services[i] = k.stats.services[i].load()
	}
	return e
}

// notify reports a change.
func (t *Tracker) notify(c Change) {
	if t.onChange != nil {
		t.onChange(c)
	}
}
