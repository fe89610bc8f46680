package fleetplan

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which arriving work is measured.
	rateWindow = 800 * time.Millisecond
	// surgeShare is the part of its initial capacity that a pool's demand has to
	// reach to count as a surge.
	surgeShare = 0.5
	// surgeGap is the least time between the begins of two surges of a pool.
	surgeGap = 4 * time.Second
)

// demand is the history of a pool's demand.
type demand struct {
	samples []sample
	// rate is the work that arrives, in cores.
	rate    float64
	surging bool
	// initial is how many hosts the pool had when it was first counted.
	counted bool
	initial int
	// told is the size that was last told.
	told int
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
	trust := 1 - 1/math.Sqrt(float64(newest.jobs-oldest.jobs)+1)
	return trust * (newest.arrived - oldest.arrived) / window.Seconds()
}

// trackSurge notes begins and sizes of surges.
func (p *Planner) trackSurge(d *demand, pool *Pool, now time.Duration) {
	cores := pool.workerCores()
	high := d.counted && pool.used()+pool.Waiting-pool.LongRunningCores > surgeShare*float64(d.initial)*cores
	last, seen := p.rhythm.last(pool.Name)
	if high && !d.surging && (!seen || now-last.At >= surgeGap) {
		p.rhythm.begin(pool.Name, now)
	}
	d.surging = high
	if last, seen = p.rhythm.last(pool.Name); seen && high && now-last.At < surgeGap && cores > 0 {
		p.rhythm.measure(pool.Name, int(math.Ceil(max(pool.used(), rateReserve*d.rate+pool.LongRunningCores)/cores))+headroom)
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

// used is how many cores the pool's tasks hold.
func (pool *Pool) used() float64 {
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Used
	}
	return sum
}

// late is how many cores tasks of late jobs hold.
func (pool *Pool) late() float64 {
	sum := 0.0
	for _, w := range pool.Workers {
		sum += w.Late
	}
	return sum
}
