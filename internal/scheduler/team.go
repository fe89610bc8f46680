package scheduler

import (
	"cmp"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/quota"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// team is what the engine knows of a team. Jobs without a team have a nil one.
type team struct {
	name    string
	account *quota.Account
	// blockedIn is the number of the last pass in which a task of the team did not
	// fit its quota.
	blockedIn uint64
}

// team returns the team with the given name, nil if the name is empty.
func (e *Engine) team(name string) *team {
	if name == "" {
		return nil
	}
	t := e.teams[name]
	if t == nil {
		t = &team{name: name, account: e.quotas.Account(name)}
		e.teams[name] = t
	}
	return t
}

// observeTeam returns the team of a job and records the sizes of its tasks.
func (e *Engine) observeTeam(spec *workload.Job, progress *workload.Progress, inherited bool) *team {
	t := e.team(cmp.Or(spec.Team, progress.Team))
	if t == nil {
		return nil
	}
	for i := range spec.Steps {
		t.account.Observe(spec.Steps[i].Size)
	}
	if inherited {
		e.pool(spec.Pool).observeInherited(t, spec, progress)
	}
	return t
}

// held returns the account of the team, nil without a team.
func (t *team) held() *quota.Account {
	if t == nil {
		return nil
	}
	return t.account
}

// fitsQuota reports whether n tasks of a step may start by the quota of their
// team. If they have to wait for it, no other task of the team starts in this pass,
// so that small tasks do not keep a large one waiting. Tasks that cannot fit before
// the team's long-running ones are cancelled keep no others waiting.
func (e *Engine) fitsQuota(s *step, n int) bool {
	if s.fitsQuota(n) {
		return true
	}
	if t := s.job.team; t.account.MayFit(n, s.Size) {
		t.blockedIn = e.passes
	}
	return false
}

// fitsQuota reports whether n more tasks of the step fit the quota of their team.
func (s *step) fitsQuota(n int) bool { return s.job.team.held().Fits(n, s.Size, placement.Resources{}) }

// waitsForQuota reports whether a better task of the step's team did not fit its
// quota in this pass.
func (e *Engine) waitsForQuota(s *step) bool {
	t := s.job.team
	return t != nil && t.blockedIn == e.passes
}
