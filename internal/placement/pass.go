package placement

import "slices"

// pass holds the working state of one call of Pass.
type pass struct {
	state      *State
	pools      map[string]*poolState
	workers    map[string]*workerState
	heldByTeam map[string]Resources
	decisions  []Decision
}

// poolState holds the workers of one pool and their free capacity.
type poolState struct {
	workers []*workerState
	tree    *capacityTree
	// largest holds worker sizes such that every worker's capacity for jobs
	// fits within one of them. A job that fits none of them fits no worker.
	largest []Resources
	// serving is the number of schedulable workers.
	serving int
	// noFit holds sizes that fit no worker in this pass. Free capacity only
	// shrinks during a pass, so a size at least as large needs no search.
	noFit []Resources
	// infeasible holds sizes for which no victims were found in this pass. Jobs
	// are processed by descending rank, so a later job of at least that size
	// can't find any either.
	infeasible []Resources
	// victimSearches is the number of searches for victims in this pass.
	victimSearches int
}

// workerState is a worker with its tasks.
type workerState struct {
	*Worker
	index int
	// tasks are the running jobs, sorted by ascending rank once sorted is true.
	tasks  []*Job
	sorted bool
	// used is the estimated usage of all tasks, including those that are
	// stopping.
	used Resources
	// releasing is the part of used held by tasks that are stopping or will be
	// stopped by this pass.
	releasing Resources
}

// Pass returns the decisions for all jobs and workers. It is deterministic:
// equal states give equal decisions. A job that still waits for the reason in
// LastReason gets no new decision.
func Pass(state State) []Decision {
	p := newPass(&state)
	p.cancel()
	p.setAside()
	p.relieve()
	p.buildTrees()
	for _, r := range p.order() {
		p.decide(r)
	}
	return p.decisions
}

// newPass indexes the state by pool and worker.
func newPass(state *State) *pass {
	p := &pass{
		state:      state,
		pools:      map[string]*poolState{},
		workers:    make(map[string]*workerState, len(state.Workers)),
		heldByTeam: make(map[string]Resources, len(state.Teams)),
		// Most pending jobs get exactly one decision.
		decisions: make([]Decision, 0, len(state.Jobs)),
	}
	for i := range state.Workers {
		w := &state.Workers[i]
		pool := p.pools[w.Pool]
		if pool == nil {
			pool = &poolState{}
			p.pools[w.Pool] = pool
		}
		ws := &workerState{Worker: w, index: len(pool.workers)}
		pool.workers = append(pool.workers, ws)
		pool.addLargest(w.Capacity.Sub(w.Reserved))
		p.workers[w.Name] = ws
	}
	for i := range state.Jobs {
		p.addTask(&state.Jobs[i])
	}
	return p
}

// addLargest adds a worker's size to largest unless another one covers it.
// Workers have few distinct sizes, so the list stays short.
func (r *poolState) addLargest(size Resources) {
	if slices.ContainsFunc(r.largest, size.Fits) {
		return
	}
	r.largest = append(r.largest, size)
}

// addTask adds a running job to the usage of its worker and of its team.
func (p *pass) addTask(j *Job) {
	if j.Task == nil {
		return
	}
	size := Estimate(j, p.state.Usage[j.Class])
	p.heldByTeam[j.Team] = p.heldByTeam[j.Team].Add(size)
	w := p.workers[j.Task.Host]
	if w == nil {
		return
	}
	w.tasks = append(w.tasks, j)
	w.used = w.used.Add(size)
	if j.Task.Stopping || j.Cancelled {
		w.releasing = w.releasing.Add(size)
	}
}

// buildTrees builds the search trees. It runs after setAside, which changes
// which workers are schedulable. Workers that aren't schedulable get a negative
// capacity, which nothing fits.
func (p *pass) buildTrees() {
	none := Resources{Processors: -1, MemoryMB: -1, Accelerators: -1}
	for _, pool := range p.pools {
		available := make([]Resources, len(pool.workers))
		for i, w := range pool.workers {
			available[i] = none
			if w.schedulable(p) {
				available[i] = w.free()
				pool.serving++
			}
		}
		pool.tree = newCapacityTree(available)
	}
}

// schedulable reports whether new tasks may be placed on the worker.
func (w *workerState) schedulable(p *pass) bool {
	return w.Serving && !p.state.Now.Before(w.SetAsideUntil)
}

// free returns the worker's free capacity for jobs.
func (w *workerState) free() Resources {
	return w.Capacity.Sub(w.Reserved).Sub(w.used)
}

// decide places one pending job, or reports why it isn't placed.
func (p *pass) decide(r pendingJob) {
	pool := p.pools[r.job.Pool]
	if reason := p.impossibleReason(r, pool); reason != ReasonNone {
		p.report(Never, r.job, reason)
		return
	}
	if reason := p.waitReason(r, pool); reason != ReasonNone {
		p.report(Wait, r.job, reason)
		return
	}
	if i := pool.find(r); i >= 0 {
		p.place(r, pool, i)
		return
	}
	p.report(Wait, r.job, p.preempt(r, pool))
}

// place records the placement of a job on worker i of its pool.
func (p *pass) place(r pendingJob, pool *poolState, i int) {
	pool.tree.set(i, pool.tree.free(i).Sub(r.size))
	p.heldByTeam[r.job.Team] = p.heldByTeam[r.job.Team].Add(r.size)
	p.decisions = append(p.decisions, Decision{
		Kind:   Place,
		Job:    r.job.ID,
		Host:   pool.workers[i].Name,
		Epoch:  r.job.Epoch + 1,
		Size:   r.size,
		Reason: ReasonFits,
	})
}

// find returns the index of the first worker that the job fits and on which it
// has not failed. Without one it returns the first worker that the job fits, or
// -1.
func (r *poolState) find(job pendingJob) int {
	if slices.ContainsFunc(r.noFit, func(f Resources) bool { return f.Fits(job.size) }) {
		return -1
	}
	first := r.tree.next(0, job.size)
	if first < 0 {
		r.noFit = append(r.noFit, job.size)
		return -1
	}
	// A job fails for good after maxFailures workers, so this skips only a few.
	for i := first; i >= 0; i = r.tree.next(i+1, job.size) {
		if !slices.Contains(job.job.Failed, r.workers[i].Name) {
			return i
		}
	}
	return first
}

// report records why a job isn't placed, unless that is the last reason
// recorded for it.
func (p *pass) report(kind Kind, j *Job, reason Reason) {
	if j.LastReason != reason {
		p.decisions = append(p.decisions, Decision{Kind: kind, Job: j.ID, Reason: reason})
	}
}
