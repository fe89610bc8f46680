package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/fairshare"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// pool holds the workers and the waiting steps of a pool.
type pool struct {
	name    string
	workers []*worker
	// overcommits is set if the workers start whatever they are told to.
	overcommits bool
	// capacityValidity limits the age of its workers' entries at a start, 0 for
	// no limit.
	capacityValidity time.Duration
	ready            map[*step]struct{}
	// readyLongRunning counts the long-running steps among them.
	readyLongRunning int
	// needsPass is set if a scheduling pass may have something to start.
	needsPass bool
	// released are the teams of whose quotas something was released, and for which
	// steps of the pool wait, since the last call of takesReleased.
	released []*team
	// nextPass is the time of the next pass if nothing changes before, 0 for
	// none.
	nextPass time.Duration
	// nextCopySearch is the time of the next search for tasks that lag behind.
	nextCopySearch time.Duration
	queues         map[string]*queueStats
	// undiscovered is what previous owners may have left on workers that have not
	// answered a poll yet, as of the last sweep.
	undiscovered undiscovered
	// inheritedWork holds the teams of the jobs that previous owners may have started
	// in the pool.
	inheritedWork map[*team]inheritedWork
	// shares holds what teams have had of the pool in the last seconds.
	shares fairshare.Pool
	// recoveredAt is when the last of these workers had answered or was given up,
	// and lastUnread its id.
	recoveredAt time.Duration
	lastUnread  string
	// arrivals are the jobs accepted in the last seconds. Jobs that run until
	// cancelled do not count.
	arrivals []fleetplan.Arrival
	// completed is the estimated work in core-seconds of the tasks that are done, and
	// completions its latest samples.
	completed   float64
	completions []completionSample
}

// queueStats holds statistics of the past jobs of a queue.
type queueStats struct {
	// work is the moving mean of the work of a job in core-seconds, count the
	// number of jobs in it.
	work  float64
	count float64
}

func (e *Engine) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{name: name, ready: map[*step]struct{}{}, queues: map[string]*queueStats{}, overcommits: e.overcommits(name), capacityValidity: e.capacityValidity(name)}
		e.pools[name] = p
		e.poolsByName = slices.SortedFunc(maps.Values(e.pools), func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	}
	return p
}

// add inserts a worker in the order of ids: tasks are packed onto the first
// workers, so that the others stay free to be moved or maintained.
func (p *pool) add(w *worker) {
	i, _ := slices.BinarySearchFunc(p.workers, w.ID, func(other *worker, id string) int { return cmp.Compare(other.ID, id) })
	p.workers = slices.Insert(p.workers, i, w)
}

func (p *pool) remove(w *worker) {
	for i, other := range p.workers {
		if other == w {
			p.workers = append(p.workers[:i], p.workers[i+1:]...)
			return
		}
	}
}

// observeJob adds a job to the statistics of its pool and queue.
func (p *pool) observeJob(spec *workload.Job, accepted time.Duration) {
	const memory = 50 // jobs over which the mean is taken
	q := p.queues[spec.Queue]
	if q == nil {
		q = &queueStats{}
		p.queues[spec.Queue] = q
	}
	if !spec.RunsUntilCancelled() {
		p.arrivals = append(p.arrivals, fleetplan.Arrival{At: accepted, Work: spec.Work()})
	}
	q.count = min(q.count+1, memory)
	q.work += (spec.Work() - q.work) / q.count
}
