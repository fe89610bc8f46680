package maintenance

import (
	"github.com/egretpitch/egretpitch/internal/host"
)

// planner holds the working state of one call of Plan or Report.
type planner struct {
	state  *State
	health []health
	steps  []Step
}

// Plan returns the steps to take now. It drains no host of a pool that would
// then have more than MaxUnavailable unavailable hosts, for any cause, or fewer
// serving hosts than it needs, and none shortly after a failure. It stops no
// host that has requests or tasks in flight.
func Plan(state State) []Step {
	p := newPlanner(&state)
	p.recordPauses()
	for i := range state.Pools {
		p.advance(i)
	}
	p.startWaves()
	return p.steps
}

// newPlanner computes the health of every pool.
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

// recordPauses adds a step for each pool whose pause begins or ends.
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

// advance plans the next step of each host of a pool that is in maintenance.
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

// advanceDraining stops a drained host. It returns the host to service instead
// if the settings no longer allow it to be unavailable, or if a failure left
// the pool with fewer serving hosts than it needs.
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

// advanceStopped reboots a stopped host, and returns it to service after the
// reboot. The reboot is ordered after the stop was committed, so a new owner
// finds in the row that the reboot is still to be done.
func (p *planner) advanceStopped(i int, h *Host) {
	switch {
	case !h.Rebooted:
		p.add(Reboot, i, h.Name, ReasonIdle)
	case h.Listed:
		p.add(Return, i, h.Name, ReasonRebooted)
	}
}

// add appends a step to the plan.
func (p *planner) add(action Action, pool int, hostName string, reason Reason) {
	p.steps = append(p.steps, Step{
		Action: action,
		Host:   hostName,
		Pool:   p.state.Pools[pool].Values.Pool,
		Reason: reason,
	})
}
