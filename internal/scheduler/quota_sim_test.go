package scheduler

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// quotaOverage is the fraction by which the platform lets a team exceed its
	// quota, in addition to one task.
	quotaOverage = 0.1
	// quotaSettles is how long after a quota was lowered starts may still arrive that
	// were decided before.
	quotaSettles = 3 * time.Second
)

// simTeams are the teams of a simulation. The zero value is none.
type simTeams struct {
	teams, before map[string]*estate.Team
	changedAt     time.Duration
	// exact is set if a team may not exceed its quota at all.
	exact bool
}

// cores returns a quota of processors.
func cores(n float64) placement.Resources { return placement.Resources{Processors: n} }

// setTeams replaces the quotas of teams.
func (sim *simulation) setTeams(quotas map[string]placement.Resources, owners ...*testOwner) {
	sim.before, sim.changedAt = sim.teams, sim.now
	if sim.teams == nil {
		sim.changedAt = -2 * quotaSettles // no start before
	}
	sim.teams = map[string]*estate.Team{}
	for name, quota := range quotas {
		sim.teams[name] = &estate.Team{Name: name, Weight: 1, Quota: quota}
	}
	sim.catalogVersion++
	sim.tracef("quotas are %v", quotas)
	for _, o := range owners {
		o.SetCatalog(sim.catalog())
	}
}

// jobOfTeam returns a job of one step.
func jobOfTeam(team string, n, count int, cores float64) *workload.Job {
	job := jobOf(n, count, cores)
	job.Team = team
	return job
}

// heldBy returns what the tasks of a team hold on all workers.
func (sim *simulation) heldBy(team string) placement.Resources {
	var held placement.Resources
	for _, f := range sim.workers {
		for _, r := range f.running {
			if j := sim.records[r.task.Job]; f.up && j != nil && j.spec.Team == team {
				held = held.Add(j.spec.Steps[r.task.Step].Size)
			}
		}
	}
	return held
}

// checkQuota checks that the team of a task that starts stays within its quota.
func (sim *simulation) checkQuota(f *fakeWorker, o platform.Start) {
	spec := sim.records[o.Task.Job].spec
	size := spec.Steps[o.Task.Step].Size
	held := sim.heldBy(spec.Team).Add(size)
	over := func(team *estate.Team) bool {
		if team == nil {
			return false
		}
		exceeds := func(held, size, quota float64) bool {
			if !sim.exact {
				quota = quota*(1+quotaOverage) + size
			}
			return quota > 0 && size > 0 && held > quota+1e-6
		}
		q := team.Quota
		return exceeds(held.Processors, size.Processors, q.Processors) && q.Processors > 0 ||
			exceeds(float64(held.MemoryMB), float64(size.MemoryMB), float64(q.MemoryMB)) && q.MemoryMB > 0
	}
	if over(sim.teams[spec.Team]) && (sim.now > sim.changedAt+quotaSettles || over(sim.before[spec.Team])) {
		sim.violate("task %v run %d starts on %s at %v: team %s holds %+v then, its quota is %+v", o.Task, o.Run, f.ID, sim.now, spec.Team, held, sim.teams[spec.Team].Quota)
	}
}
