package placement

import "slices"

// pass is the working state of one call of Pass.
type pass struct {
	state      *State
	pools      map[string]*poolState
	workers    map[string]*workerState
	heldByTeam map[string]Resources
	decisions  []Decision
}

// poolState is what the workers of one pool have left.
type poolState struct {
	workers []*workerState
	tree    *capacityTree
	// largest is the most of each kind that one worker ever gives to jobs.
	largest []Resources
	// serving counts the workers that may get tasks.
	serving int
	// noFit holds sizes that found no room in this pass. Room only shrinks, so
	// nothing that is at least as large needs a search.
	noFit []Resources
	// infeasible holds sizes for which no victims were found in this pass. Jobs
	// come in the order of their rank, so no later one finds more.
	infeasible []Resources
	// victimSearches counts the victimSearches for victims.
	victimSearches int
}

// workerState is a worker with its tasks.
type workerState struct {
	*Worker
	index int
	// tasks are the running jobs, in the order of their rank once sorted.
	tasks  []*Job
	sorted bool
	// used is what the tasks hold, those that are stopping included.
	used Resources
	// releasing is what the tasks hold that are stopping or to be stopped.
	releasing Resources
}

// Pass decides what to do with every job and worker. Equal states decide
// equally. A job that waits for the reason that it was last told gets no new
// decision.
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

// newPass indexes the state.
func newPass(state *State) *pass {
	p := &pass{
		state:      state,
		pools:      map[string]*poolState{},
		workers:    make(map[string]*workerState, len(state.Workers)),
		heldByTeam: make(map[string]Resources, len(state.Teams)),
		// Most pending jobs get one decision.
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

// addLargest remembers a worker's size unless another one is at least as
// large. Workers come in few sizes, so the list stays short.
func (r *poolState) addLargest(size Resources) {
	if slices.ContainsFunc(r.largest, size.Fits) {
		return
	}
	r.largest = append(r.largest, size)
}

// addTask counts what a running job holds of its worker and its team's quota.
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

// buildTrees builds the search trees, once it is known which workers may get
// tasks. Others have no room.
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

// schedulable reports whether a worker may get new tasks.
func (w *workerState) schedulable(p *pass) bool {
	return w.Serving && !p.state.Now.Before(w.SetAsideUntil)
}

// free returns what a worker has left for jobs.
func (w *workerState) free() Resources {
	return w.Capacity.Sub(w.Reserved).Sub(w.used)
}

// decide places one pending job or says why not.
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

// place starts a job on worker i of its pool.
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

// find returns a worker with room on which the job has not failed, or else any
// worker with room, or -1.
func (r *poolState) find(job pendingJob) int {
	if slices.ContainsFunc(r.noFit, func(f Resources) bool { return f.Fits(job.size) }) {
		return -1
	}
	first := r.tree.next(0, job.size)
	if first < 0 {
		r.noFit = append(r.noFit, job.size)
		return -1
	}
	// A job gives up after maxFailures workers, so this passes over few.
	for i := first; i >= 0; i = r.tree.next(i+1, job.size) {
		if !slices.Contains(job.job.Failed, r.workers[i].Name) {
			return i
		}
	}
	return first
}

// report records why a job does not start, unless it was told so before.
func (p *pass) report(kind Kind, j *Job, reason Reason) {
	if j.LastReason != reason {
		p.decisions = append(p.decisions, Decision{Kind: kind, Job: j.ID, Reason: reason})
	}
}
