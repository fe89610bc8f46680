package fleetplan

import (
	"math"
	"time"
)

const (
	// riseShare is the share of a usual surge above which the arrival rate counts as
	// the beginning of one, and maxRise is how long the pool is then sized for a usual
	// surge. Demand rises for seconds, and hosts take two more to arrive, so a pool that
	// follows its rate is short of hosts all that time.
	riseShare = 0.1
	maxRise   = 4500 * time.Millisecond
	// burstMargin is the factor above the highest rate of earlier rises without a surge
	// from which the rate counts as a rise again. Bursts that no surge follows would
	// otherwise move hosts to the pool and back for each of them.
	burstMargin = 1.5
	// minRiseJobs is the number of jobs within rateWindow from which their rate is
	// taken for a rise: a single large job is none.
	minRiseJobs = 4
	// firstSurge is the size for which a pool is sized when its demand first rises,
	// relative to its initial one: a surge takes more than its pool holds.
	firstSurge = 1.4
)

// rise finds out when the demand of a pool begins to rise to a surge.
type rise struct {
	// active is set from the beginning of a rise until its demand has fallen, and at is
	// when it began.
	active bool
	at     time.Duration
	// rate is the highest arrival rate of the rise, and surged is set if the pool has
	// surged in it.
	rate   float64
	surged bool
	// burstRate is the highest rate of the rises without a surge since the last surge.
	burstRate float64
	// baseRate is the lowest rate since the last rise with a surge has ended or, before,
	// since the Planner has known all arrivals that it uses, after knownFrom.
	baseRate  float64
	knownFrom time.Duration
}

// observe takes in the arrival rate of a pool, in cores, and the number of jobs in
// rateWindow. usual is the number of cores that a surge usually takes, 0 if that is not
// known, and surging whether the pool surges now.
func (r *rise) observe(rate, usual float64, jobs int, surging bool, now time.Duration) {
	if surging {
		r.surged, r.burstRate = true, 0
	}
	if now < r.knownFrom { // a successor does not know how the demand was before
		r.baseRate = max(r.baseRate, rate)
		return
	}
	low := rate < riseShare/2*usual
	over := r.active && now-r.at >= maxRise
	switch {
	case r.active && !r.surged && (low || over):
		r.active, r.burstRate = false, max(r.burstRate, r.rate)
	case r.active && (low || (over && !surging && rate < r.rate/2)):
		r.active, r.baseRate = false, rate
	case !r.active:
		r.baseRate = min(r.baseRate, rate)
	}
	threshold := max(riseShare*usual, burstMargin*max(r.burstRate, r.baseRate))
	if usual > 0 && rate > threshold && !r.active && jobs >= minRiseJobs {
		r.active, r.at, r.rate, r.surged = true, now, 0, surging
	}
	if r.active {
		r.rate = max(r.rate, rate)
	}
}

// begins reports whether a rise has begun in the last maxRise.
func (r *rise) begins(now time.Duration) bool { return r.active && now-r.at < maxRise }

// usualSize returns the number of workers for a surge of a pool, from the surges that
// began before a time. Before the first one it is firstSurge of the initial size.
func (p *Planner) usualSize(d *demand, pool string, before time.Duration) int {
	if size := p.forecast.typicalSize(pool, before); size > 0 {
		return size
	}
	return int(math.Ceil(firstSurge * float64(d.initialHosts)))
}
