package placement

import (
	"cmp"
	"slices"
)

const (
	// minPreemptGap is by how much a job must outrank a task that makes room for
	// it. A small gap would have jobs push each other out in turn.
	minPreemptGap = 20
	// maxVictimSearches bounds how many jobs of a pool one pass searches
	// victims for. A search visits every worker of the pool.
	maxVictimSearches = 16
)

// preempt makes room for a job that found none. It returns the reason for
// which the job waits.
func (p *pass) preempt(r pendingJob, pool *poolState) Reason {
	dominates := func(infeasible Resources) bool { return infeasible.Fits(r.size) }
	if pool.victimSearches >= maxVictimSearches || slices.ContainsFunc(pool.infeasible, dominates) {
		return ReasonNoCapacity
	}
	pool.victimSearches++
	best, bestVictims := -1, []*Job(nil)
	for i, w := range pool.workers {
		if !w.schedulable(p) {
			continue
		}
		victims, ok := p.victims(r, w, pool.tree.free(i).Add(w.releasing))
		if ok && (best < 0 || len(victims) < len(bestVictims)) {
			best, bestVictims = i, victims
		}
		if ok && len(victims) == 0 {
			break
		}
	}
	if best < 0 {
		pool.infeasible = append(pool.infeasible, r.size)
		return ReasonNoCapacity
	}
	for _, v := range bestVictims {
		p.evict(v, ReasonPreempted)
	}
	p.reserve(r, pool, best, bestVictims)
	return ReasonPreempting
}

// victims returns the tasks of a worker that must end to make room for a job
// where so much is or becomes free, the least important first. It reports
// whether there are enough.
func (p *pass) victims(r pendingJob, w *workerState, free Resources) ([]*Job, bool) {
	if r.size.Fits(free) {
		return nil, true
	}
	var victims []*Job
	for _, j := range p.byRank(w) {
		if j.Task.Stopping || !evictable(j) {
			continue
		}
		class := p.state.Usage[j.Class]
		if Rank(j, class, p.state.Now)+minPreemptGap > r.rank {
			break
		}
		victims = append(victims, j)
		free = free.Add(Estimate(j, class))
		if r.size.Fits(free) {
			return victims, true
		}
	}
	return nil, false
}

// reserve takes the room of a worker for a job that waits for tasks to end, so
// that no job after it takes that room in this pass.
func (p *pass) reserve(r pendingJob, pool *poolState, i int, victims []*Job) {
	w := pool.workers[i]
	for _, v := range victims {
		w.releasing = w.releasing.Add(Estimate(v, p.state.Usage[v.Class]))
	}
	pool.tree.set(i, pool.tree.free(i).Sub(r.size))
}

// byRank returns the tasks of a worker, the least important first.
func (p *pass) byRank(w *workerState) []*Job {
	if w.sorted {
		return w.tasks
	}
	w.sorted = true
	slices.SortFunc(w.tasks, func(a, b *Job) int {
		rankA := Rank(a, p.state.Usage[a.Class], p.state.Now)
		rankB := Rank(b, p.state.Usage[b.Class], p.state.Now)
		return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(a.ID, b.ID))
	})
	return w.tasks
}

// evictable reports whether a task may be ended for the sake of another: one
// that cannot checkpoint and may not be started again runs to its end.
func evictable(j *Job) bool { return j.Checkpoints || j.Idempotent }

// evict asks a task to make room, by checkpoint where it can.
func (p *pass) evict(j *Job, reason Reason) {
	kind := Stop
	if j.Checkpoints {
		kind = Checkpoint
	}
	p.decisions = append(p.decisions, Decision{
		Kind:   kind,
		Job:    j.ID,
		Host:   j.Task.Host,
		Epoch:  j.Epoch,
		Reason: reason,
	})
}
