package soak

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/platform/standin"
)

// startQuotas and loweredQuotas are the quotas of the teams in cores, before and
// after they are lowered. They bind with the load of a run and leave room for the
// long-running tasks: 4 of the first team and 2 of the second.
var (
	startQuotas   = [2]int{15, 12}
	loweredQuotas = [2]int{12, 9}
)

// teams returns the estate's two teams. firstKeys are the keys of the first.
func teams(quotas [2]int, firstKeys ...string) []standin.Team {
	cores := func(team int) placement.Resources {
		return placement.Resources{Processors: float64(quotas[team])}
	}
	return []standin.Team{
		{Name: "first", Keys: firstKeys, Weight: 10, Quota: cores(0)},
		{Name: "second", Keys: []string{secondKey}, Weight: 30, Quota: cores(1)},
	}
}

// teamOf returns the index of a job's team, which the last digit of its ID gives.
func teamOf(job string) int { return int(job[len(job)-1]) % 2 }

// keyOf returns the valid key of a job's team.
func keyOf(job string) string { return [2]string{validKey, secondKey}[teamOf(job)] }

// lowerQuotas lowers the quotas after a delay, or as soon after it as no fault keeps
// the operator from it. The checker uses them once they have to be in force.
func (c *callers) lowerQuotas(ctx context.Context, delay time.Duration) {
	time.Sleep(delay)
	for c.world.platform.ConfigureTeams(teams(loweredQuotas, validKey)) != nil {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(configApplied)
	c.world.checker.mu.Lock()
	defer c.world.checker.mu.Unlock()
	c.world.checker.quotas = loweredQuotas
}

// checkQuota checks that the start of a run keeps what its team has running, a core a
// task, within 1.1 times the quota and one task more. Starts that are carried
// out late count, too: a proxy holds one up by some tenths of a second at most, and
// the workers refuse it after its deadline. The caller holds c.mu.
func (c *checker) checkQuota(o standin.Observation) {
	team, running := teamOf(o.Task.Job), 1
	for id, j := range c.jobs {
		if teamOf(id) != team {
			continue
		}
		for _, t := range j.tasks {
			running += len(t.running)
		}
	}
	if running >= c.quotas[team] {
		c.startsAtQuota[team]++
	}
	if 10*running > 11*c.quotas[team]+10 {
		c.addViolation("QUOTA: %v starts on %s as task %d of team %d, whose quota is %d", o.Task, o.Worker, running, team, c.quotas[team])
	}
}
