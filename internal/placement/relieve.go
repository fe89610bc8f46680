package placement

// throttleThreshold is the share of a worker's processors at which its tasks are
// throttled for the sake of request traffic.
const throttleThreshold = 0.9

// cancel ends cancelled jobs.
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

// relieve throttles tasks that take processors from request traffic, and ends
// tasks of workers whose tasks outgrew the memory for jobs.
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

// relieveProcessors throttles the least important tasks of a worker while
// traffic and tasks together use nearly all of it, and ends the throttling
// where all tasks fit again.
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

// recordThrottle records a change to the processors that a task may use.
func (p *pass) recordThrottle(kind Kind, j *Job, reason Reason) {
	p.decisions = append(p.decisions, Decision{
		Kind:   kind,
		Job:    j.ID,
		Host:   j.Task.Host,
		Epoch:  j.Epoch,
		Reason: reason,
	})
}

// relieveMemory ends the least important tasks of a worker until the rest fit
// the memory that it gives to jobs.
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
