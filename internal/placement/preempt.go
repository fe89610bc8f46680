package placement

import (
	"cmp"
	"slices"
)

const (
	// minPreemptGap is the minimum difference in rank between a job and a task
	// that it preempts. With a small gap jobs would preempt each other in turn.
	minPreemptGap = 20
	// maxVictimSearches is the maximum number of jobs of a pool for which one
	// pass searches victims. A search visits every worker of the pool.
	maxVictimSearches = 16
)

// preempt evicts tasks for a job that fits no worker, and reserves the capacity
// that they release. It picks the worker with the fewest victims. It returns
// the reason for which the job waits.
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

// victims returns the tasks of a worker to evict, the lowest rank first, so
// that a job fits; free is what is free now or being released. It returns false
// if evicting all eligible tasks isn't enough.
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

// reserve reserves capacity on worker i for a job that waits for its victims to
// end, so that no later job of this pass is placed there.
func (p *pass) reserve(r pendingJob, pool *poolState, i int, victims []*Job) {
	w := pool.workers[i]
	for _, v := range victims {
		w.releasing = w.releasing.Add(Estimate(v, p.state.Usage[v.Class]))
	}
	pool.tree.set(i, pool.tree.free(i).Sub(r.size))
}

// byRank returns the tasks of a worker, the lowest rank first.
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

// evictable reports whether a task may be stopped early. A task that can't
// checkpoint and isn't idempotent runs to its end.
func evictable(j *Job) bool { return j.Checkpoints || j.Idempotent }

// evict stops a task, with a checkpoint if the job supports it.
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
