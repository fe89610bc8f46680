package maintenance

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

const (
	// failurePause is how long a wave stays paused after a failure. Correlated
	// failures seldom occur within the same second, so the rest of the budget
	// is kept for those that may follow.
	failurePause = 10 * time.Minute
	// regionFailureLimit is the number of recent failures in a region at which
	// all its pools are paused.
	regionFailureLimit = 2
)

// health counts the hosts of a pool by availability.
type health struct {
	// serving is the number of serving hosts.
	serving int
	// unavailable is the number of hosts that don't serve, for any cause.
	unavailable int
	// unplanned is the number of hosts that are lost or overdue.
	unplanned int
	// failed is the number of hosts that failed within failurePause.
	failed int
	// paused is the reason for which the pool is paused, or ReasonNone.
	paused Reason
}

// poolHealth computes the health of a pool, without paused.
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

// failedRecently reports whether a host was lost, or exceeded its return
// timeout, within failurePause.
func failedRecently(p *Pool, h *Host, now time.Time) bool {
	switch {
	case h.Phase == host.Lost:
		return now.Sub(h.Since) < failurePause
	case overdue(p, h, now) && h.Phase == host.Stopped:
		return now.Sub(h.Since) < p.Values.ReturnTimeout+failurePause
	}
	return false
}

// overdue reports whether a host in maintenance has exceeded its drain or
// return timeout. An overdue host no longer delays its wave, but still counts
// as unavailable.
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

// pauseReason returns why a pool is paused, or ReasonNone. inRegion is the
// number of recent failures in the pool's region.
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

// blockReason returns why no further host of a pool may be drained although the
// pool isn't paused, or ReasonNone.
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

// waveLimit returns the number of unavailable hosts at which no further host is
// drained. If the settings allow more than one, one is left for a host that
// fails during the wave, so that the first failure doesn't exceed
// max_unavailable.
func waveLimit(p *Pool, h health) int {
	limit := p.Values.MaxUnavailable
	if limit > 1 && h.unplanned == 0 {
		return limit - 1
	}
	return limit
}

// minServing returns the number of hosts that must keep serving.
func minServing(p *Pool) int { return max(p.Need, p.Values.MinHosts, 1) }

// dueShare is the share of the maintenance period after which a host is due.
// The rest is slack for paused waves.
const dueShare = 0.8

// DueAfter returns the time since the last maintenance after which a host is
// due, for a maintenance period.
func DueAfter(period time.Duration) time.Duration {
	return time.Duration(dueShare * float64(period))
}

// due reports whether a host serves and is due for maintenance.
func due(p *Pool, h *Host, now time.Time) bool {
	if h.Phase != host.Serving || p.Values.MaintenancePeriod <= 0 {
		return false
	}
	age := now.Sub(h.Maintained)
	return h.Maintained.IsZero() || age >= DueAfter(p.Values.MaintenancePeriod)
}
