package fleetplan

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which arriving work is measured.
	rateWindow = 800 * time.Millisecond
	// surgeThreshold is the part of its initial capacity that a pool's demand has to
	// reach to count as a surge.
	surgeThreshold = 0.5
	// minSurgeInterval is the least time between the begins of two surges of a pool.
	minSurgeInterval = 4 * time.Second
)

// demand is the history of a pool's demand.
type demand struct {
	samples []sample
	// rate is the work that arrives, in cores.
	rate    float64
	surging bool
	// initialHosts is how many hosts the pool had when it was first counted.
	initialKnown bool
	initialHosts int
	// reportedSize is the size that was last reported.
	reportedSize int
	// idleSince holds when each worker was last seen to become idle.
	idleSince map[string]time.Duration
}

type sample struct {
	at      time.Duration
	arrived float64
	jobs    int
}

// observe takes in a pool's state.
func (p *Planner) observe(pool *Pool, now time.Duration) {
	d := p.demands[pool.Name]
	if d == nil {
		d = &demand{idleSince: map[string]time.Duration{}}
		p.demands[pool.Name] = d
	}
	d.samples = append(d.samples, sample{now, pool.Arrived, pool.Jobs})
	for len(d.samples) > 2 && now-d.samples[1].at >= rateWindow {
		d.samples = d.samples[1:]
	}
	d.rate = max(d.rateOver(rateWindow/2), d.rateOver(rateWindow))
	p.trackSurge(d, pool, now)
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

// rateOver is the rate of the work that arrived within a time, as far as it is
// not luck: that of few jobs is mostly that.
func (d *demand) rateOver(window time.Duration) float64 {
	newest := d.samples[len(d.samples)-1]
	oldest := newest
	for i := len(d.samples) - 1; i >= 0 && newest.at-d.samples[i].at <= window; i-- {
		oldest = d.samples[i]
	}
	confidence := 1 - 1/math.Sqrt(float64(newest.jobs-oldest.jobs)+1)
	return confidence * (newest.arrived - oldest.arrived) / window.Seconds()
}

// trackSurge notes begins and sizes of surges.
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

// workerCores is the capacity of a typical worker of the pool, 0 if it has
// none.
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

// usedCores is how many cores the pool's tasks hold.
func (pool *Pool) usedCores() float64 {
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Used
	}
	return sum
}

// lateCores is how many cores tasks of late jobs hold.
func (pool *Pool) lateCores() float64 {
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Late
	}
	return sum
}
