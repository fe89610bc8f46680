package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// BenchmarkTeams measures decisions with 1,000 waiting steps of 20 teams, against
// the same steps without teams: none fits ("decide", "surge"), one task ends and any
// of the steps can take its place ("start"), or one task ends and all teams wait for
// their quotas in five pools ("quota").
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{0, 20} {
		b.Run(fmt.Sprintf("decide_%dteams", teams), func(b *testing.B) {
			e := teamsEngine(5, 68, 1, 1000, teams, func(int) float64 { return 2 })
			benchmarkPasses(b, e, func() {})
		})
		b.Run(fmt.Sprintf("surge_%dteams", teams), func(b *testing.B) {
			e := teamsEngine(1, 160, 1, 1000, teams, func(n int) float64 { return 2 + float64(n%11) })
			benchmarkPasses(b, e, func() {})
		})
		b.Run(fmt.Sprintf("start_%dteams", teams), func(b *testing.B) {
			e := teamsEngine(1, 160, 16, 1160, teams, func(int) float64 { return 2 })
			e.Decide(time.Second, OwnershipValid)
			worker := 0
			benchmarkPasses(b, e, func() {
				worker++
				for _, r := range e.workers[fmt.Sprintf("w0-%d", worker%160)].runs {
					e.endRun(r, time.Second)
					return
				}
			})
		})
	}
	b.Run("quota_20teams", func(b *testing.B) {
		e := teamsEngine(5, 32, 16, 1000, 20, func(int) float64 { return 2 })
		for _, team := range e.catalog.Teams {
			team.Quota.Processors = 50
		}
		e.quotas.SetTeams(e.catalog.Teams)
		e.Decide(time.Second, OwnershipValid)
		n := 0
		benchmarkChanges(b, e, func() {
			for ; ; n++ {
				for _, r := range e.workers[fmt.Sprintf("w%d-%d", n%5, n/5%32)].runs {
					n++
					e.endRun(r, time.Second)
					return
				}
			}
		})
	})
}

func benchmarkPasses(b *testing.B, e *Engine, change func()) {
	benchmarkChanges(b, e, func() {
		change()
		for _, p := range e.pools {
			p.needsPass = true
		}
	})
}

func benchmarkChanges(b *testing.B, e *Engine, change func()) {
	now, starts, passes := time.Second, e.stats.Starts, e.passes
	for b.Loop() {
		now += time.Millisecond
		change()
		e.Decide(now, OwnershipValid)
	}
	b.ReportMetric(float64(e.stats.Starts-starts)/float64(b.N), "starts/op")
	b.ReportMetric(float64(e.passes-passes)/float64(b.N), "passes/op")
}

// teamsEngine returns an engine with workers of the given cores and jobs of eight
// tasks that wait in its pools, of the given number of teams.
func teamsEngine(pools, workers int, workerCores float64, jobs, teams int, size func(n int) float64) *Engine {
	e := fullEngine(pools, workers, 0)
	if teams > 0 {
		e.catalog.Teams = map[string]*estate.Team{}
		for i := range teams {
			e.catalog.Teams[teamName(i)] = &estate.Team{Name: teamName(i), Weight: 5, Quota: placement.Resources{Processors: 1000, MemoryMB: 1 << 20}}
		}
		e.quotas.SetTeams(e.catalog.Teams)
	}
	for _, w := range e.workers {
		w.Capacity = placement.Resources{Processors: workerCores, MemoryMB: 128 << 10}
	}
	for n := range jobs {
		pool := fmt.Sprintf("p%d", n%pools)
		job := &workload.Job{ID: fmt.Sprintf("%016x", n), Queue: pool, Pool: pool}
		if teams > 0 {
			job.Team = teamName(n / pools % teams)
		}
		job.Steps = []workload.Step{{Count: 8, Estimate: time.Second, Size: placement.Resources{Processors: size(n), MemoryMB: 100}}}
		e.AddJob(job, &workload.Progress{State: workload.Queued}, 1, 0, false, 0)
	}
	return e
}
