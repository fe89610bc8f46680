package placement

import (
	"slices"

	"github.com/egretpitch/egretpitch/internal/settings"
)

// maxFailures is the number of distinct workers on which a job may fail before
// the failure is attributed to the job.
const maxFailures = 3

// impossibleReason returns why a job can't run with the present settings and
// workers, or ReasonNone. Such a job reserves nothing, so it doesn't delay
// other jobs.
func (p *pass) impossibleReason(r pendingJob, pool *poolState) Reason {
	switch {
	case r.job.Gang > 1:
		return ReasonGang
	case pool == nil:
		return ReasonNoPool
	case r.job.MayHaveRun && !r.job.Idempotent:
		return ReasonMayHaveRun
	case p.countNotSetAside(r.job.Failed) >= maxFailures:
		return ReasonFailsEverywhere
	case !slices.ContainsFunc(pool.largest, r.size.Fits):
		return ReasonTooLarge
	case !withinQuota(r.size, p.state.Teams[r.job.Team]):
		return ReasonOverQuota
	}
	return ReasonNone
}

// waitReason returns why a job must wait regardless of free capacity, or
// ReasonNone.
func (p *pass) waitReason(r pendingJob, pool *poolState) Reason {
	switch {
	case pool.serving == 0:
		return ReasonNoWorker
	case p.state.Now.Before(r.job.NotBefore):
		return ReasonBackoff
	case !withinQuota(p.heldByTeam[r.job.Team].Add(r.size), p.state.Teams[r.job.Team]):
		return ReasonQuota
	}
	return ReasonNone
}

// withinQuota reports whether a team's usage is within its quota. A quota of 0
// means unlimited.
func withinQuota(held Resources, team settings.Team) bool {
	return (team.Processors == 0 || held.Processors <= float64(team.Processors)+processorSlack) &&
		(team.MemoryMB == 0 || held.MemoryMB <= team.MemoryMB) &&
		(team.Accelerators == 0 || held.Accelerators <= team.Accelerators)
}

// countNotSetAside returns the number of distinct workers among the names,
// without those that were set aside: a failure on a faulty worker is no
// evidence against the job.
func (p *pass) countNotSetAside(names []string) int {
	n := 0
	for i, name := range names {
		w := p.workers[name]
		if w != nil && !w.SetAsideUntil.IsZero() {
			continue
		}
		if !slices.Contains(names[:i], name) {
			n++
		}
	}
	return n
}
