package maintenance

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

const (
	// failurePause is how long a wave stays paused after a failure. What fails
	// together seldom fails within one second; the rest of the budget is kept
	// for what may follow.
	failurePause = 10 * time.Minute
	// regionFailureLimit is how many recent failures in a region pause all of it.
	regionFailureLimit = 2
)

// health is what the hosts of a pool say about it.
type health struct {
	// serving counts the hosts that serve.
	serving int
	// unavailable counts the hosts that do not, for any cause.
	unavailable int
	// unplanned counts those that are lost or overdue.
	unplanned int
	// failed counts the hosts that failed within the settle time.
	failed int
	// paused is the reason to take no further host.
	paused Reason
}

// poolHealth counts the hosts of a pool.
func poolHealth(p *Pool, now time.Time) health {
	var h health
	for i := range p.Hosts {
		if p.Hosts[i].Phase == host.Serving {
			h.serving++
		} else {
			h.unavailable++
		}
		if p.Hosts[i].Phase == host.Lost || overdue(p, &p.Hosts[i], now) {
			h.unplanned++
		}
		if failedRecently(p, &p.Hosts[i], now) {
			h.failed++
		}
	}
	return h
}

// failedRecently reports whether a host was lost, or did not return from its
// maintenance in time, within the settle time.
func failedRecently(p *Pool, h *Host, now time.Time) bool {
	switch {
	case h.Phase == host.Lost:
		return now.Sub(h.Since) < failurePause
	case overdue(p, h, now) && h.Phase == host.Stopped:
		return now.Sub(h.Since) < p.Values.ReturnTimeout+failurePause
	}
	return false
}

// overdue reports whether a host in maintenance holds its wave up no longer:
// its drain or its return takes longer than the settings allow. It goes on
// counting as away.
func overdue(p *Pool, h *Host, now time.Time) bool {
	if h.Purpose != host.ForMaintenance {
		return false
	}
	switch h.Phase {
	case host.Draining:
		return now.Sub(h.Since) >= p.Values.DrainTimeout
	case host.Stopped:
		return now.Sub(h.Since) >= p.Values.ReturnTimeout
	}
	return false
}

// pauseReason returns why a pool takes no further host, or ReasonNone.
func pauseReason(p *Pool, h health, inRegion int) Reason {
	switch {
	case h.failed > 0:
		return ReasonPoolFailure
	case inRegion >= regionFailureLimit:
		return ReasonRegionFailure
	case p.BudgetSpent >= 1:
		return ReasonBudgetSpent
	}
	return ReasonNone
}

// blockReason returns why a pool that is not paused gives no further host, or
// ReasonNone.
func blockReason(p *Pool, h health) Reason {
	switch {
	case p.Values.MaintenancePeriod <= 0 || p.Values.MaxUnavailable <= 0:
		return ReasonDisabled
	case h.unavailable >= waveLimit(p, h):
		return ReasonUnavailable
	case h.serving-1 < minServing(p):
		return ReasonNeed
	}
	return ReasonNone
}

// waveLimit returns how many hosts may be away before no further one is taken.
// Where the settings allow several, one place is left for a host that fails
// during the wave, so that the first failure does not exceed the budget.
func waveLimit(p *Pool, h health) int {
	limit := p.Values.MaxUnavailable
	if limit > 1 && h.unplanned == 0 {
		return limit - 1
	}
	return limit
}

// minServing returns how many hosts must go on serving.
func minServing(p *Pool) int { return max(p.Need, p.Values.MinHosts, 1) }

// dueShare is the share of the maintenance period after which a host may be
// taken. The rest is there for waves that pause.
const dueShare = 0.8

// DueAfter returns the age of its last maintenance at which a host is due, given
// the period.
func DueAfter(period time.Duration) time.Duration {
	return time.Duration(dueShare * float64(period))
}

// due reports whether a serving host may be taken into a wave.
func due(p *Pool, h *Host, now time.Time) bool {
	if h.Phase != host.Serving || p.Values.MaintenancePeriod <= 0 {
		return false
	}
	age := now.Sub(h.Maintained)
	return h.Maintained.IsZero() || age >= DueAfter(p.Values.MaintenancePeriod)
}
