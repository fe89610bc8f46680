package placement

import "slices"

// pass is the working state of one call of Pass.
type pass struct {
	state     *State
	pools     map[string]*poolRoom
	workers   map[string]*workerRoom
	held      map[string]Resources
	decisions []Decision
}

// poolRoom is what the workers of one pool have left.
type poolRoom struct {
	workers []*workerRoom
	tree    *roomTree
	// largest is the most of each kind that one worker ever gives to jobs.
	largest []Resources
	// serving counts the workers that may get tasks.
	serving int
	// full holds sizes that found no room in this pass. Room only shrinks, so
	// nothing that is at least as large needs a search.
	full []Resources
	// stuck holds sizes for which no victims were found in this pass. Jobs
	// come in the order of their rank, so no later one finds more.
	stuck []Resources
	// searches counts the searches for victims.
	searches int
}

// workerRoom is a worker with its tasks.
type workerRoom struct {
	*Worker
	index int
	// tasks are the running jobs, in the order of their rank once sorted.
	tasks  []*Job
	sorted bool
	// used is what the tasks hold, those that are stopping included.
	used Resources
	// leaving is what the tasks hold that are stopping or to be stopped.
	leaving Resources
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
		state:   state,
		pools:   map[string]*poolRoom{},
		workers: make(map[string]*workerRoom, len(state.Workers)),
		held:    make(map[string]Resources, len(state.Teams)),
		// Most pending jobs get one decision.
		decisions: make([]Decision, 0, len(state.Jobs)),
	}
	for i := range state.Workers {
		w := &state.Workers[i]
		pool := p.pools[w.Pool]
		if pool == nil {
			pool = &poolRoom{}
			p.pools[w.Pool] = pool
		}
		room := &workerRoom{Worker: w, index: len(pool.workers)}
		pool.workers = append(pool.workers, room)
		pool.addLargest(w.Capacity.Sub(w.Reserved))
		p.workers[w.Name] = room
	}
	for i := range state.Jobs {
		p.hold(&state.Jobs[i])
	}
	return p
}

// addLargest remembers a worker's size unless another one is at least as
// large. Workers come in few sizes, so the list stays short.
func (r *poolRoom) addLargest(size Resources) {
	if slices.ContainsFunc(r.largest, size.Fits) {
		return
	}
	r.largest = append(r.largest, size)
}

// hold counts what a running job holds of its worker and its team's quota.
func (p *pass) hold(j *Job) {
	if j.Task == nil {
		return
	}
	size := Estimate(j, p.state.Usage[j.Class])
	p.held[j.Team] = p.held[j.Team].Add(size)
	w := p.workers[j.Task.Host]
	if w == nil {
		return
	}
	w.tasks = append(w.tasks, j)
	w.used = w.used.Add(size)
	if j.Task.Stopping || j.Cancelled {
		w.leaving = w.leaving.Add(size)
	}
}

// buildTrees builds the search trees, once it is known which workers may get
// tasks. Others have no room.
func (p *pass) buildTrees() {
	none := Resources{Processors: -1, MemoryMB: -1, Accelerators: -1}
	for _, pool := range p.pools {
		rooms := make([]Resources, len(pool.workers))
		for i, w := range pool.workers {
			rooms[i] = none
			if w.open(p) {
				rooms[i] = w.room()
				pool.serving++
			}
		}
		pool.tree = newRoomTree(rooms)
	}
}

// open reports whether a worker may get new tasks.
func (w *workerRoom) open(p *pass) bool {
	return w.Serving && !p.state.Now.Before(w.SetAsideUntil)
}

// room returns what a worker has left for jobs.
func (w *workerRoom) room() Resources {
	return w.Capacity.Sub(w.Reserved).Sub(w.used)
}

// decide places one pending job or says why not.
func (p *pass) decide(r ranked) {
	pool := p.pools[r.job.Pool]
	if reason := p.impossible(r, pool); reason != ReasonNone {
		p.tell(Never, r.job, reason)
		return
	}
	if reason := p.notYet(r, pool); reason != ReasonNone {
		p.tell(Wait, r.job, reason)
		return
	}
	if i := pool.find(r); i >= 0 {
		p.place(r, pool, i)
		return
	}
	p.tell(Wait, r.job, p.preempt(r, pool))
}

// place starts a job on worker i of its pool.
func (p *pass) place(r ranked, pool *poolRoom, i int) {
	pool.tree.set(i, pool.tree.room(i).Sub(r.size))
	p.held[r.job.Team] = p.held[r.job.Team].Add(r.size)
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
func (r *poolRoom) find(job ranked) int {
	if slices.ContainsFunc(r.full, func(f Resources) bool { return f.Fits(job.size) }) {
		return -1
	}
	first := r.tree.next(0, job.size)
	if first < 0 {
		r.full = append(r.full, job.size)
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

// tell records why a job does not start, unless it was told so before.
func (p *pass) tell(kind Kind, j *Job, reason Reason) {
	if j.LastReason != reason {
		p.decisions = append(p.decisions, Decision{Kind: kind, Job: j.ID, Reason: reason})
	}
}
