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

// demand is the recent demand of one pool.
type demand struct {
	// rate is the estimated arrival rate: core-seconds of work per second,
	// which is the number of cores that keeps up with it.
	rate    float64
	surging bool
	// rising is set while the rate is above riseShare of a usual surge, and risingAt
	// is when it rose above that.
	rising   bool
	risingAt time.Duration
	// riseRate is the highest rate since risingAt, and riseSurged is set if the pool
	// has surged since.
	riseRate   float64
	riseSurged bool
	// burstRate is the highest rate of the rises without a surge since the last surge.
	burstRate float64
	// baseRate is the lowest rate since the last rise with a surge has ended or, before,
	// since the Planner has known all arrivals that it uses, after knownFrom.
	baseRate  float64
	knownFrom time.Duration
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
		d = &demand{idleSince: map[string]time.Duration{}, knownFrom: now + ArrivalMemory}
		p.demands[pool.Name] = d
	}
	latest, _ := rateOver(pool.Arrivals, until, rateWindow/2)
	longer, jobs := rateOver(pool.Arrivals, until, rateWindow)
	d.rate = max(latest, longer)
	p.trackSurge(d, pool, now)
	if until > now-maxFeedDelay { // otherwise the feed may pause while the demand goes on
		p.trackRise(d, pool, jobs, now)
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

// usualSize returns the number of workers for a surge of a pool, from the surges that
// began before a time. Before the first one it is firstSurge of the initial size.
func (p *Planner) usualSize(d *demand, pool string, before time.Duration) int {
	if size := p.forecast.typicalSize(pool, before); size > 0 {
		return size
	}
	return int(math.Ceil(firstSurge * float64(d.initialHosts)))
}

// trackRise notes when the pool's demand begins to rise to a surge, from the number of
// jobs in rateWindow.
func (p *Planner) trackRise(d *demand, pool *Pool, jobs int, now time.Duration) {
	usual := float64(p.usualSize(d, pool.Name, now-maxRise)) * pool.workerCores()
	if d.surging {
		d.riseSurged, d.burstRate = true, 0
	}
	if now < d.knownFrom { // a successor does not know how the demand was before
		d.baseRate = max(d.baseRate, d.rate)
		return
	}
	low := d.rate < riseShare/2*usual
	over := d.rising && now-d.risingAt >= maxRise
	switch {
	case d.rising && !d.riseSurged && (low || over):
		d.rising, d.burstRate = false, max(d.burstRate, d.riseRate)
	case d.rising && (low || (over && !d.surging && d.rate < d.riseRate/2)):
		d.rising, d.baseRate = false, d.rate
	case !d.rising:
		d.baseRate = min(d.baseRate, d.rate)
	}
	threshold := max(riseShare*usual, burstMargin*max(d.burstRate, d.baseRate))
	if usual > 0 && d.rate > threshold && !d.rising && jobs >= minRiseJobs {
		d.rising, d.risingAt, d.riseRate, d.riseSurged = true, now, 0, d.surging
	}
	if d.rising {
		d.riseRate = max(d.riseRate, d.rate)
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
