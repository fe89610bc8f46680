package placement

// throttleThreshold is the share of a worker's processors in use above which
// its tasks are throttled in favour of request traffic.
const throttleThreshold = 0.9

// cancel drops cancelled pending jobs and stops cancelled tasks.
func (p *pass) cancel() {
	for i := range p.state.Jobs {
		j := &p.state.Jobs[i]
		switch {
		case !j.Cancelled:
		case j.Task == nil:
			p.decisions = append(p.decisions, Decision{Kind: Drop, Job: j.ID, Reason: ReasonCancelled})
		case !j.Task.Stopping:
			p.decisions = append(p.decisions, Decision{
				Kind:   Stop,
				Job:    j.ID,
				Host:   j.Task.Host,
				Epoch:  j.Epoch,
				Reason: ReasonCancelled,
			})
		}
	}
}

// relieve throttles tasks on workers that are short of processors, and evicts
// tasks on workers that are short of memory.
func (p *pass) relieve() {
	for i := range p.state.Workers {
		w := p.workers[p.state.Workers[i].Name]
		if len(w.tasks) == 0 {
			continue
		}
		p.relieveProcessors(w)
		p.relieveMemory(w)
	}
}

// relieveProcessors throttles the tasks of a worker, the lowest rank first,
// while traffic and tasks together exceed the threshold. It ends the throttling
// once the estimated usage of all tasks fits below it.
func (p *pass) relieveProcessors(w *workerState) {
	total, demand := w.Traffic.Processors, w.Traffic.Processors
	for _, j := range w.tasks {
		demand += Estimate(j, p.state.Usage[j.Class]).Processors
		if !j.Task.Throttled {
			total += j.Task.Used.Processors
		}
	}
	limit := throttleThreshold * w.Capacity.Processors
	for _, j := range p.byRank(w) {
		running := !j.Task.Stopping && !j.Cancelled
		switch {
		case running && !j.Task.Throttled && total > limit:
			total -= j.Task.Used.Processors
			p.recordThrottle(Throttle, j, ReasonTraffic)
		case running && j.Task.Throttled && demand <= limit:
			p.recordThrottle(Unthrottle, j, ReasonTrafficLow)
		}
	}
}

// recordThrottle records a Throttle or Unthrottle decision.
func (p *pass) recordThrottle(kind Kind, j *Job, reason Reason) {
	p.decisions = append(p.decisions, Decision{
		Kind:   kind,
		Job:    j.ID,
		Host:   j.Task.Host,
		Epoch:  j.Epoch,
		Reason: reason,
	})
}

// relieveMemory evicts the tasks of a worker, the lowest rank first, until the
// others fit the memory available to jobs.
func (p *pass) relieveMemory(w *workerState) {
	over := w.used.MemoryMB - w.releasing.MemoryMB - (w.Capacity.MemoryMB - w.Reserved.MemoryMB)
	for _, j := range p.byRank(w) {
		if over <= 0 {
			return
		}
		if j.Task.Stopping || j.Cancelled || !evictable(j) {
			continue
		}
		size := Estimate(j, p.state.Usage[j.Class])
		over -= size.MemoryMB
		w.releasing = w.releasing.Add(size)
		p.evict(j, ReasonMemory)
	}
}
