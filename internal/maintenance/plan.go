package maintenance

import (
	"github.com/egretpitch/egretpitch/internal/host"
)

// planner is the working state of one call of Plan.
type planner struct {
	state  *State
	health []health
	steps  []Step
}

// Plan returns the steps to take now. It takes no host from a pool that would
// then have more than MaxUnavailable hosts away for whatever cause, or fewer
// serving than it needs, and none while a failure is recent. It stops no host
// that has anything in flight.
func Plan(state State) []Step {
	p := newPlanner(&state)
	p.recordPauses()
	for i := range state.Pools {
		p.advance(i)
	}
	p.startWaves()
	return p.steps
}

// newPlanner works out the health of every pool.
func newPlanner(state *State) *planner {
	p := &planner{state: state, health: make([]health, len(state.Pools))}
	regions := map[string]int{}
	for i := range state.Pools {
		pool := &state.Pools[i]
		p.health[i] = poolHealth(pool, state.Now)
		regions[pool.Values.Region] += p.health[i].failed
	}
	for i := range state.Pools {
		pool := &state.Pools[i]
		p.health[i].paused = pauseReason(pool, p.health[i], regions[pool.Values.Region])
	}
	return p
}

// recordPauses records the pools that begin or end a pause.
func (p *planner) recordPauses() {
	for i := range p.state.Pools {
		pool := &p.state.Pools[i]
		reason := p.health[i].paused
		switch {
		case reason != ReasonNone && !pool.Paused:
			p.add(Pause, i, "", reason)
		case reason == ReasonNone && pool.Paused:
			p.add(Resume, i, "", ReasonHealthy)
		}
	}
}

// advance takes the hosts of one pool that are in maintenance further.
func (p *planner) advance(i int) {
	pool := &p.state.Pools[i]
	for j := range pool.Hosts {
		h := &pool.Hosts[j]
		if h.Purpose != host.ForMaintenance {
			continue
		}
		switch h.Phase {
		case host.Draining:
			p.advanceDraining(i, h)
		case host.Stopped:
			p.advanceStopped(i, h)
		}
	}
}

// advanceDraining stops a drained host. It puts the host back instead where the
// settings no longer allow it to be away, or where a failure left the pool
// with fewer serving hosts than it needs.
func (p *planner) advanceDraining(i int, h *Host) {
	health := &p.health[i]
	pool := &p.state.Pools[i]
	tooMany := health.unavailable > pool.Values.MaxUnavailable || pool.Values.MaintenancePeriod <= 0
	failure := health.failed > 0 && health.serving < minServing(pool)
	if tooMany || failure || health.serving < pool.Values.MinHosts {
		p.add(Return, i, h.Name, ReasonCancelled)
		health.unavailable--
		health.serving++
		return
	}
	if h.Drained && h.InFlight == 0 && h.Tasks == 0 {
		p.add(Stop, i, h.Name, ReasonIdle)
	}
}

// advanceStopped reboots a stopped host and returns it. The reboot comes after
// the commit of the stop, so a new owner sees from the row that it is owed.
func (p *planner) advanceStopped(i int, h *Host) {
	switch {
	case !h.Rebooted:
		p.add(Reboot, i, h.Name, ReasonIdle)
	case h.Listed:
		p.add(Return, i, h.Name, ReasonRebooted)
	}
}

// add records a step.
func (p *planner) add(action Action, pool int, hostName string, reason Reason) {
	p.steps = append(p.steps, Step{
		Action: action,
		Host:   hostName,
		Pool:   p.state.Pools[pool].Values.Pool,
		Reason: reason,
	})
}
