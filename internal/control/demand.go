package control

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// serviceTotals are the request counts of a service, summed over entries.
type serviceTotals struct {
	arrived, answered, late, refused, lost uint64
	busyMicros                             uint64
}

// add adds the difference between two consecutive reports of one entry.
func (t *serviceTotals) add(old, next *controlpb.ServiceDemand) {
	t.arrived += next.Arrived - old.GetArrived()
	t.answered += next.Answered - old.GetAnswered()
	t.late += next.Late - old.GetLate()
	t.refused += next.Refused - old.GetRefused()
	t.lost += next.Lost - old.GetLost()
	t.busyMicros += next.BusyUs - old.GetBusyUs()
}

// minus returns t - old.
func (t serviceTotals) minus(old serviceTotals) serviceTotals {
	return serviceTotals{
		arrived: t.arrived - old.arrived, answered: t.answered - old.answered,
		late: t.late - old.late, refused: t.refused - old.refused, lost: t.lost - old.lost,
		busyMicros: t.busyMicros - old.busyMicros,
	}
}

// sampleInterval is the time between two samples of a pool's demand.
const sampleInterval = time.Second

// demandMeter aggregates the demand that entries report for a pool.
type demandMeter struct {
	services map[string]*serviceTotals
	// sampledAt is the time of the last sample, sampled the totals at that
	// time.
	sampledAt time.Time
	sampled   serviceTotals
	// last is the most recent sample.
	last demandSample
}

// demandSample is a pool's demand over one sample interval.
type demandSample struct {
	// Rates are in requests per second.
	arrivedRate, refusedRate float64
	// busySlots is the mean number of slots in use.
	busySlots float64
	queued    uint64
}

// report adds one entry's counts, which are totals since the entry's start. The
// first report to this owner only sets the baseline.
func (m *demandMeter) report(state *entryState, services []*controlpb.ServiceDemand) {
	if m.services == nil {
		m.services = map[string]*serviceTotals{}
	}
	for _, next := range services {
		totals := m.services[next.Service]
		if totals == nil {
			totals = &serviceTotals{}
			m.services[next.Service] = totals
		}
		if old := state.totals[next.Service]; old != nil {
			totals.add(old, next)
		}
		state.totals[next.Service] = next
	}
}

// sample closes the current interval if sampleInterval has passed, and reports
// whether it did. queued is the number of requests that wait now.
func (m *demandMeter) sample(now time.Time, queued uint64) bool {
	took := now.Sub(m.sampledAt)
	if took < sampleInterval {
		return false
	}
	sum := m.total()
	d := sum.minus(m.sampled)
	if !m.sampledAt.IsZero() {
		m.last = demandSample{
			arrivedRate: float64(d.arrived) / took.Seconds(),
			refusedRate: float64(d.refused) / took.Seconds(),
			busySlots:   float64(d.busyMicros) / float64(took.Microseconds()),
			queued:      queued,
		}
	}
	m.sampledAt, m.sampled = now, sum
	return true
}

// budgetSpent returns the share of the availability budget spent since this
// process acquired the pool; 1 means all of it.
func (m *demandMeter) budgetSpent(availability float64) float64 {
	sum := m.total()
	allowed := float64(sum.arrived) * (1 - availability)
	if allowed == 0 {
		return 0
	}
	return float64(sum.refused+sum.late+sum.lost) / allowed
}

// total returns the sum over the pool's services.
func (m *demandMeter) total() serviceTotals {
	var sum serviceTotals
	for _, t := range m.services {
		sum.arrived += t.arrived
		sum.answered += t.answered
		sum.late += t.late
		sum.refused += t.refused
		sum.lost += t.lost
		sum.busyMicros += t.busyMicros
	}
	return sum
}

// sample closes the current interval of the pool's demand, and of each entry's,
// if sampleInterval has passed.
func (s *shard) sample(now time.Time) {
	took := now.Sub(s.demand.sampledAt)
	if !s.demand.sample(now, s.queued(now)) {
		return
	}
	for _, state := range s.entries {
		var micros uint64
		var queued uint32
		for _, d := range state.totals {
			micros += d.BusyUs
			queued += d.Queued
		}
		if state.sampledMicros > 0 {
			state.busy = float64(micros-state.sampledMicros)/float64(took.Microseconds()) + float64(queued)
		}
		state.sampledMicros = micros
	}
}

// queued returns the number of requests that wait at entries that exchanged
// within entryTimeout.
func (s *shard) queued(now time.Time) uint64 {
	var n uint64
	for _, state := range s.entries {
		if now.Sub(state.lastExchange) > entryTimeout {
			continue
		}
		for _, d := range state.totals {
			n += uint64(d.Queued)
		}
	}
	return n
}
