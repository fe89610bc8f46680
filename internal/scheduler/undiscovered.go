package scheduler

import (
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/quota"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// inheritedWork is what an owner knows of the jobs of one team that previous owners
// may have started in a pool.
type inheritedWork struct {
	// fillerProcessors is the sum of the processors of their fillers, which the
	// capacity of a worker does not bound.
	fillerProcessors float64
}

// observeInherited records that workers of the pool may run tasks of a team.
func (p *pool) observeInherited(t *team, spec *workload.Job, progress *workload.Progress) {
	if p.inheritedWork == nil {
		p.inheritedWork = map[*team]inheritedWork{}
	}
	work := p.inheritedWork[t]
	for i := range spec.Steps {
		if s := &spec.Steps[i]; s.Filler && !progress.State.Over() {
			work.fillerProcessors += float64(s.Count) * s.Size.Processors
		}
	}
	p.inheritedWork[t] = work
}

// countUndiscovered counts the undiscovered runs of previous owners against the
// quotas of teams, at their worst case: the tasks in the record of a worker, or its
// whole capacity for each team of which an inherited job is known in its pools.
// Every job that a previous owner can have started was read before.
func (e *Engine) countUndiscovered() {
	if len(e.teams) == 0 {
		return
	}
	e.quotas.ClearUndiscovered()
	workers := map[*pool][]*worker{}
	for _, w := range e.workers {
		switch {
		case !w.inherited:
		case w.inheritedTasksKnown:
			for _, id := range w.inheritedTasks {
				account, size := e.recordedTask(id, w)
				account.AddUndiscovered(size)
			}
		default:
			for _, p := range w.inheritedPools() {
				workers[p] = append(workers[p], w)
			}
		}
	}
	for p, list := range workers {
		var capacity placement.Resources
		unbounded := false
		for _, w := range list {
			unbounded = unbounded || w.Address == "" // it stands for the workers of an unreadable record
			capacity = capacity.Add(e.mostCapacity(w))
		}
		for t, work := range p.inheritedWork {
			t.account.AddUndiscovered(capacity)
			t.account.AddUndiscovered(placement.Resources{Processors: work.fillerProcessors})
			if unbounded {
				t.account.AddUnbounded()
			}
		}
	}
}

// recordedTask returns the account of a task that a worker may run, and what its run
// holds at most.
func (e *Engine) recordedTask(id workload.TaskID, w *worker) (*quota.Account, placement.Resources) {
	if j := e.jobs[id.Job]; j != nil && id.Step < len(j.Steps) {
		return j.team.held(), j.Steps[id.Step].Size
	}
	t, known := e.knownJobs[id.Job]
	switch {
	case !known:
		return e.quotas.Anyone(), e.mostCapacity(w)
	case t == nil:
		return nil, placement.Resources{}
	}
	return t.account, t.account.Largest()
}

// mostCapacity returns what the runs on a worker can take of it at most. For a
// worker that was not listed it is the largest amount of each resource on any.
func (e *Engine) mostCapacity(w *worker) placement.Resources {
	if w.ownEntry {
		return w.full
	}
	var most placement.Resources
	for _, other := range e.workers {
		most = most.Max(other.full)
	}
	return most
}
