package control

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// serviceTotals are the counts of a service, summed over entries.
type serviceTotals struct {
	arrived, answered, late, refused, lost uint64
	busyMicros                             uint64
}

// add adds what one entry counted between two reports.
func (t *serviceTotals) add(old, next *controlpb.ServiceDemand) {
	t.arrived += next.Arrived - old.GetArrived()
	t.answered += next.Answered - old.GetAnswered()
	t.late += next.Late - old.GetLate()
	t.refused += next.Refused - old.GetRefused()
	t.lost += next.Lost - old.GetLost()
	t.busyMicros += next.BusyUs - old.GetBusyUs()
}

// minus returns the difference of two totals.
func (t serviceTotals) minus(old serviceTotals) serviceTotals {
	return serviceTotals{
		arrived: t.arrived - old.arrived, answered: t.answered - old.answered,
		late: t.late - old.late, refused: t.refused - old.refused, lost: t.lost - old.lost,
		busyMicros: t.busyMicros - old.busyMicros,
	}
}

// sampleInterval is the time between two samples of a pool's demand.
const sampleInterval = time.Second

// demandMeter sums the demand of a pool.
type demandMeter struct {
	services map[string]*serviceTotals
	// sampledAt and sampled are the totals of the last sample.
	sampledAt time.Time
	sampled   serviceTotals
	// last is the last sample.
	last demandSample
}

// demandSample is a pool's demand over one interval.
type demandSample struct {
	// Rates are per second.
	arrivedRate, refusedRate float64
	// busySlots is the mean number of slots in use.
	busySlots float64
	queued    uint64
}

// report takes in one entry's counts, which are totals since its start. The
// first report of an entry to this owner only sets the base.
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

// sample ends an interval, if it is over, with queued requests waiting now.
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

// budgetSpent returns the spent share of the availability budget since this
// process owns the pool.
func (m *demandMeter) budgetSpent(availability float64) float64 {
	sum := m.total()
	allowed := float64(sum.arrived) * (1 - availability)
	if allowed == 0 {
		return 0
	}
	return float64(sum.refused+sum.late+sum.lost) / allowed
}

// total returns the sum over the total's services.
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

// sample ends an interval of the pool's demand and of each entry's, if it is
// over.
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

// queued returns the requests that wait at entries that were seen lately.
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
