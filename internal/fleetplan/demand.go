package fleetplan

import (
	"math"
	"time"
)

const (
	// rateWindow is the longer of the two windows over which the arrival rate
	// is computed; the shorter one is half as long.
	rateWindow = 800 * time.Millisecond
	// ArrivalMemory is how long arrivals are of use to a Planner.
	ArrivalMemory = rateWindow + maxFeedDelay
	// maxFeedDelay is the time after which accepted jobs are known while the table
	// service is up. Without a new one for longer, there was none.
	maxFeedDelay = 300 * time.Millisecond
	// surgeThreshold is the share of a pool's initial capacity above which its
	// demand counts as a surge.
	surgeThreshold = 0.5
	// minSurgeInterval is the minimum time between the starts of two surges of
	// one pool. Surges at a shorter interval are not forecast.
	minSurgeInterval = 4 * time.Second
)

// demand is the recent demand of one pool.
type demand struct {
	// rate is the estimated arrival rate: core-seconds of work per second,
	// which is the number of cores that keeps up with it.
	rate    float64
	surging bool
	rise    rise
	// initialHosts is how many hosts the pool had at the first plan; it is
	// valid once initialKnown is set.
	initialKnown bool
	initialHosts int
	// reportedSize is the size in the last Resize decision.
	reportedSize int
	// idleSince maps the id of each idle worker to the time at which it was
	// first observed idle.
	idleSince map[string]time.Duration
}

// knownUntil returns the time up to which the accepted jobs are known: that of the
// newest one. Jobs that become known together, after a pause of the feed, were not
// accepted together.
func knownUntil(pools []Pool, now time.Duration) time.Duration {
	until := now - maxFeedDelay
	for i := range pools {
		for _, a := range pools[i].Arrivals {
			until = max(until, min(a.At, now))
		}
	}
	return until
}

// observe updates the pool's arrival rate, surge history and idle times. Arrivals are
// known up to the time until.
func (p *Planner) observe(pool *Pool, until, now time.Duration) {
	d := p.demands[pool.Name]
	if d == nil {
		d = &demand{idleSince: map[string]time.Duration{}, rise: rise{knownFrom: now + ArrivalMemory}}
		p.demands[pool.Name] = d
	}
	latest, _ := rateOver(pool.Arrivals, until, rateWindow/2)
	longer, jobs := rateOver(pool.Arrivals, until, rateWindow)
	d.rate = max(latest, longer)
	p.trackSurge(d, pool, now)
	if until > now-maxFeedDelay { // otherwise the feed may pause while the demand goes on
		usual := float64(p.usualSize(d, pool.Name, now-maxRise)) * pool.workerCores()
		d.rise.observe(d.rate, usual, jobs, d.surging, now)
	}
	if len(pool.Workers) == 0 {
		return
	}
	idle := map[string]time.Duration{}
	for _, w := range pool.Workers {
		if !w.Idle {
			continue
		}
		idle[w.ID] = now
		if since, ok := d.idleSince[w.ID]; ok {
			idle[w.ID] = since
		}
	}
	d.idleSince = idle
}

// rateOver returns the arrival rate over a window in cores, reduced when few
// jobs arrived in it, since the rate of a few jobs is mostly chance, and their number.
func rateOver(arrivals []Arrival, until, window time.Duration) (rate float64, jobs int) {
	work := 0.0
	for _, a := range arrivals {
		if a.At > until-window && a.At <= until {
			work += a.Work
			jobs++
		}
	}
	confidence := 1 - 1/math.Sqrt(float64(jobs)+1)
	return confidence * work / window.Seconds(), jobs
}

// trackSurge records the start of a surge and, until minSurgeInterval after
// that, the number of workers that it needs.
func (p *Planner) trackSurge(d *demand, pool *Pool, now time.Duration) {
	cores := pool.workerCores()
	aboveThreshold := d.initialKnown && pool.usedCores()+pool.Waiting-pool.LongRunningCores > surgeThreshold*float64(d.initialHosts)*cores
	lastSurge, seen := p.forecast.lastSurge(pool.Name)
	if aboveThreshold && !d.surging && (!seen || now-lastSurge.At >= minSurgeInterval) {
		p.forecast.recordStart(pool.Name, now)
	}
	d.surging = aboveThreshold
	if lastSurge, seen = p.forecast.lastSurge(pool.Name); seen && aboveThreshold && now-lastSurge.At < minSurgeInterval && cores > 0 {
		p.forecast.recordSize(pool.Name, int(math.Ceil(max(pool.usedCores(), rateHeadroom*d.rate+pool.LongRunningCores)/cores))+spareWorkers)
	}
}

// workerCores returns the mean number of cores of the pool's workers, 0 if it
// has none.
func (pool *Pool) workerCores() float64 {
	if len(pool.Workers) == 0 {
		return 0
	}
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Cores
	}
	return sum / float64(len(pool.Workers))
}

// usedCores returns how many cores the pool's tasks hold.
func (pool *Pool) usedCores() float64 {
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Used
	}
	return sum
}

// lateCores returns how many of the used cores are held by tasks of late jobs.
func (pool *Pool) lateCores() float64 {
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Late
	}
	return sum
}
