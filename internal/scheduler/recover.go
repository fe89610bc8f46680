package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// firstPollsTimeout is the time that workers get to answer the first polls of a
// new owner, even if every earlier lease has expired: they list ends that no
// owner recorded.
const firstPollsTimeout = 700 * time.Millisecond

// UsedWorker is a worker on which tasks may have been started.
type UsedWorker struct {
	estate.Worker
	// LeaseEnd is when the last lease of the worker has expired, 0 if its owner may
	// still have extended it. An owner that states it neither renews the lease nor
	// starts tasks there before the worker is recorded without it.
	LeaseEnd time.Duration
	// Tasks are the tasks that the worker may run or list the ends of. They are
	// known only with LeaseEnd, and complete only if TasksKnown is set.
	Tasks      []workload.TaskID
	TasksKnown bool
}

// LeasesEnd returns when every lease has expired that owners granted which gave
// their last order at the given time.
func (o *Options) LeasesEnd(lastOrder time.Duration) time.Duration {
	return lastOrder + atSlowClock(o.MaxLease)
}

// LeasesEnd returns when every lease has expired that this owner or a previous one
// has granted so far.
func (e *Engine) LeasesEnd() time.Duration {
	end := time.Duration(0)
	for _, w := range e.workers {
		end = max(end, w.leaseEnd())
	}
	return end
}

// Recover starts an ownership. used are the workers that previous owners may
// have started tasks on, and leasesEnd is when every lease that they granted has
// expired. A task of an inherited job without a known run may have an
// undiscovered one. It is not started until each worker of the job's pool that may
// have it has answered a poll with this owner's token or has certainly ended, or
// until the leases of the others have expired.
func (e *Engine) Recover(used []UsedWorker, leasesEnd, now time.Duration) {
	e.recovering = true
	e.recoverAt = now
	e.firstPollsEnd = now + firstPollsTimeout
	for _, u := range used {
		w := e.workers[u.ID]
		if w == nil {
			w = e.addWorker(u.Worker, now)
		}
		w.inherited, w.inheritedPool = true, e.pool(u.Pool)
		w.leaseFrozen = u.LeaseEnd > 0
		w.inheritedLeaseEnd = leasesEnd
		if w.leaseFrozen {
			w.inheritedLeaseEnd = min(u.LeaseEnd, leasesEnd)
			w.inheritedTasks, w.inheritedTasksKnown = u.Tasks, u.TasksKnown
		}
		w.recorded = !w.leaseFrozen
	}
}

// mayHaveInheritedRuns reports whether the worker may still have undiscovered
// runs of a previous owner, or ends of such runs that it has not listed yet.
func (e *Engine) mayHaveInheritedRuns(w *worker, now time.Duration) bool {
	return w.inherited && now < max(w.inheritedLeaseEnd, e.firstPollsEnd)
}

// inheritedPools returns the pools of whose jobs the inherited worker may have
// undiscovered runs.
func (w *worker) inheritedPools() []*pool {
	if w.inheritedPool == w.pool {
		return []*pool{w.pool}
	}
	return []*pool{w.inheritedPool, w.pool}
}

// undiscovered are the tasks of a pool that may have undiscovered runs or ends of
// previous owners.
type undiscovered struct {
	// workers counts the workers that have not answered a poll yet, and leased
	// those whose leases may not have expired.
	workers, leased int
	// unknown is set if any task may be among them, and unknownLeased if any may
	// run.
	unknown, unknownLeased bool
	// tasks and leasedTasks hold the tasks of the other workers.
	tasks, leasedTasks map[workload.TaskID]struct{}
}

// add adds the tasks of a worker.
func (u *undiscovered) add(w *worker, now time.Duration) {
	u.workers++
	leased := now < w.inheritedLeaseEnd
	if leased {
		u.leased++
	}
	if !w.inheritedTasksKnown {
		u.unknown, u.unknownLeased = true, u.unknownLeased || leased
		return
	}
	if u.tasks == nil {
		u.tasks, u.leasedTasks = map[workload.TaskID]struct{}{}, map[workload.TaskID]struct{}{}
	}
	for _, id := range w.inheritedTasks {
		u.tasks[id] = struct{}{}
		if leased {
			u.leasedTasks[id] = struct{}{}
		}
	}
}

// includes reports whether a task may be among them. Only a run matters for a
// long-running task: it goes on after every end.
func (u *undiscovered) includes(t *task) bool {
	unknown, tasks := u.unknown, u.tasks
	if t.step.LongRunning {
		unknown, tasks = u.unknownLeased, u.leasedTasks
	}
	_, ok := tasks[t.id()]
	return unknown || ok
}

// finishRecovery ends the recovery once there can be no undiscovered runs.
func (e *Engine) finishRecovery(now time.Duration) {
	if !e.recovering {
		return
	}
	before := map[*pool]undiscovered{}
	for _, p := range e.pools {
		before[p], p.undiscovered = p.undiscovered, undiscovered{}
	}
	unpolled := 0
	for _, w := range e.workers {
		switch {
		case e.mayHaveInheritedRuns(w, now):
			unpolled++
			for _, p := range w.inheritedPools() {
				p.undiscovered.add(w, now)
				p.recoveredAt, p.lastUnread = now, w.ID
			}
		case w.inherited:
			w.inherited = false
			e.givenUp++
		}
	}
	e.countUndiscovered()
	for p, b := range before {
		p.needsPass = p.needsPass || p.undiscovered.workers != b.workers || p.undiscovered.leased != b.leased
	}
	if unpolled > 0 {
		return
	}
	e.recovering = false
	event.RecoveryEnded.Log(e.opts.Log, zap.Int("unread", e.givenUp), zap.Int("jobs", len(e.jobs)))
}

// blockedByRecovery reports whether the task may have an undiscovered run, or an
// undiscovered end that matters, so that it may not be started. Tasks run only in
// the pool of their job. A run that was found is the only one, as previous owners
// started no other before its end; other runs may have failed before it.
func (e *Engine) blockedByRecovery(t *task) bool {
	onlyRun := t.found && t.step.LongRunning
	return e.recovering && t.step.job.inherited && !onlyRun && e.pool(t.step.job.Pool).undiscovered.includes(t)
}

// allBlockedByRecovery reports whether no task of the step may be started.
func (e *Engine) allBlockedByRecovery(s *step) bool {
	return e.recovering && s.job.inherited && !slices.ContainsFunc(s.tasks, func(t *task) bool { return !e.blockedByRecovery(t) })
}
