package scheduler

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// BenchmarkDecide measures a decision with full workers and waiting tasks, none
// of which fits.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct{ pools, workers, waiting int }{{5, 12, 200}, {5, 68, 5000}} {
		b.Run(fmt.Sprintf("%dpools_%dworkers_%dwaiting", c.pools, c.pools*c.workers, c.waiting), func(b *testing.B) {
			e := fullEngine(c.pools, c.workers, c.waiting)
			now := time.Second
			for b.Loop() {
				now += time.Millisecond
				for _, p := range e.pools {
					p.needsPass = true
				}
				e.Decide(now, OwnershipValid)
			}
		})
	}
}

// fullEngine returns an engine whose workers have no free capacity, with the
// given number of waiting tasks over all pools.
func fullEngine(pools, workers, waiting int) *Engine {
	const tasksPerJob = 8
	e := New(Options{
		Token: 1, Epoch: 1, MaxLease: time.Hour, Parts: 1, PartOf: func(string) int { return 0 },
		UnixMS: func(time.Duration) int64 { return 0 }, Log: zap.NewNop(),
	})
	var queues []*estate.Queue
	var list []*estate.Pool
	for p := range pools {
		name := fmt.Sprintf("p%d", p)
		list = append(list, &estate.Pool{Name: name})
		queues = append(queues, &estate.Queue{Name: name, Pool: name, Stretch: 1.6, LatencyTarget: time.Hour, MaxAttempts: 2})
	}
	e.SetCatalog(estate.NewCatalog(1, queues, list, estate.Limits{}))
	for p := range pools {
		for w := range workers {
			entry := estate.Worker{ID: fmt.Sprintf("w%d-%d", p, w), Pool: fmt.Sprintf("p%d", p), Capacity: placement.Resources{Processors: 1, MemoryMB: 1}}
			e.WorkerListed(entry, 0)
			e.Recorded([]UsedWorker{{Worker: entry}})
			e.workers[entry.ID].fenced = true
		}
	}
	for i := range waiting / tasksPerJob {
		pool := fmt.Sprintf("p%d", i%pools)
		e.AddJob(&workload.Job{
			ID: fmt.Sprintf("%016x", i), Queue: pool, Pool: pool,
			Steps: []workload.Step{{Count: tasksPerJob, Estimate: time.Second, Size: placement.Resources{Processors: 2}}},
		}, &workload.Progress{State: workload.Queued}, 1, 0, false, 0)
	}
	return e
}

// BenchmarkSurge measures a decision after one task has ended in a pool with
// 160 workers, while 600 jobs of different sizes wait and every worker has
// little free capacity.
func BenchmarkSurge(b *testing.B) {
	e := surgeEngine(160, 600)
	now := time.Second
	p := e.pools["p0"]
	for b.Loop() {
		now += time.Millisecond
		p.needsPass = true
		e.Decide(now, OwnershipValid)
	}
	b.ReportMetric(float64(e.stats.Starts), "starts")
}

// surgeEngine returns an engine with one pool, whose workers have one core free
// each, and jobs that request 2 to 13 cores a task.
func surgeEngine(workers, jobs int) *Engine {
	e := fullEngine(1, workers, 0)
	for _, w := range e.workers {
		w.Capacity = placement.Resources{Processors: 64, MemoryMB: 128 << 10}
		w.used = placement.Resources{Processors: 63, MemoryMB: 60 << 10}
	}
	for i := range jobs {
		step := workload.Step{Count: 8, Estimate: time.Second, Size: placement.Resources{Processors: 2 + float64(i%11), MemoryMB: 3000}}
		e.AddJob(&workload.Job{ID: fmt.Sprintf("%016x", i), Queue: "p0", Pool: "p0", Steps: []workload.Step{step}},
			&workload.Progress{State: workload.Queued}, 1, 0, false, 0)
	}
	return e
}

// BenchmarkHoldSweep measures the search for long-running tasks that need a
// worker, while there are none and 1,000 other steps wait.
func BenchmarkHoldSweep(b *testing.B) {
	e := fullEngine(1, 340, 8000)
	for b.Loop() {
		e.evacuate(time.Second)
	}
}
