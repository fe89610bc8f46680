package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// endAnyRun ends one run on a worker of teamsEngine.
func (e *Engine) endAnyRun(t *testing.T, worker string, now time.Duration) {
	t.Helper()
	for _, r := range e.workers[worker].runs {
		e.endRun(r, now)
		return
	}
	t.Fatalf("no run on %s", worker)
}

// The end of a run has all pools passed in which the team waits, though one task takes the quota.
func TestReleasedQuotaPassesThePoolsThatCanUseIt(t *testing.T) {
	e := teamsEngine(5, 8, 16, 200, 1, func(int) float64 { return 2 })
	e.catalog.Teams[teamName(0)].Quota.Processors = 40
	e.quotas.SetTeams(e.catalog.Teams)
	now := time.Second
	e.Decide(now, OwnershipValid)
	e.Decide(now, OwnershipValid)
	passes, starts := e.passes, e.stats.Starts
	worker := slices.IndexFunc(e.poolsByName, func(p *pool) bool { return len(p.workers[0].runs) > 0 })
	const ends = 4
	for range ends {
		e.endAnyRun(t, fmt.Sprintf("w%d-0", worker), now)
		e.Decide(now, OwnershipValid)
	}
	// The pool of the run is passed because it has free capacity, and one that takes the quota.
	if passes, starts = e.passes-passes, e.stats.Starts-starts; passes > 2*ends || starts != ends {
		t.Errorf("%d passes and %d starts after %d ends, want at most %d and %d", passes, starts, ends, 2*ends, ends)
	}
}

// The task that waits in another pool needs the quota of several runs.
func TestQuotaReleasedPieceByPieceStartsALargeTask(t *testing.T) {
	e := teamsEngine(2, 8, 16, 2, 1, func(n int) float64 { return []float64{1, 8}[n] })
	e.catalog.Teams[teamName(0)].Quota.Processors = 12
	e.quotas.SetTeams(e.catalog.Teams)
	now := time.Second
	for _, p := range e.poolsByName { // the small tasks first
		e.pass(p, now)
	}
	if e.stats.Starts != 8 {
		t.Fatalf("%d starts, want the 8 small tasks only", e.stats.Starts)
	}
	for n := range 4 {
		if e.stats.Starts != 8 {
			t.Errorf("the large task has started after the end of %d small ones", n)
		}
		e.endAnyRun(t, "w0-0", now)
		for s := range e.pools["p0"].ready {
			e.dequeue(s)
		}
		e.Decide(now, OwnershipValid)
	}
	if e.stats.Starts != 9 {
		t.Errorf("%d starts after the end of 4 small tasks, want 9", e.stats.Starts)
	}
}
