package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
)

// firstPollsTimeout is the time that workers get to answer the first polls of a
// new owner, even if every earlier lease has expired: they list ends that no
// owner recorded.
const firstPollsTimeout = 700 * time.Millisecond

// Recover starts an ownership. used are the workers that previous owners may
// have started tasks on, and lastOrder is the latest time at which the previous
// owner can have given an order. A task of an inherited job without a known run
// may have an undiscovered one. It is not started until each worker of the
// job's pool has answered a poll with this owner's token or has certainly
// ended, or until every lease that a previous owner gave has expired.
func (e *Engine) Recover(used []estate.Worker, lastOrder, now time.Duration) {
	e.recovering = true
	leaseEnd := lastOrder + atSlowClock(e.opts.MaxLease)
	e.recoveryDeadline = max(leaseEnd, now+firstPollsTimeout)
	for _, entry := range used {
		w := e.workers[entry.ID]
		if w == nil {
			w = e.addWorker(entry, now)
		}
		w.inherited = true
		w.inheritedLeaseEnd = leaseEnd
		w.recorded = true
	}
}

// finishRecovery ends the recovery once there can be no undiscovered runs.
func (e *Engine) finishRecovery(now time.Duration) {
	if !e.recovering {
		return
	}
	unpolled := 0
	for _, p := range e.pools {
		p.unpolled = 0
	}
	for _, w := range e.workers {
		if w.inherited {
			unpolled++
			w.pool.unpolled++
		}
	}
	if unpolled > 0 && now < e.recoveryDeadline {
		for _, p := range e.pools {
			p.needsPass = p.needsPass || p.unpolled == 0
		}
		return
	}
	e.recovering = false
	for _, w := range e.workers {
		w.inherited = false
	}
	for _, p := range e.pools {
		p.unpolled = 0
		p.needsPass = true
	}
	event.RecoveryEnded.Log(e.opts.Log, zap.Int("unread", unpolled), zap.Int("jobs", len(e.jobs)))
}

// blockedByRecovery reports whether a task of the job may have an undiscovered
// run. Tasks run only in the pool of their job.
func (e *Engine) blockedByRecovery(j *job) bool {
	return e.recovering && j.inherited && e.pool(j.Pool).unpolled > 0
}
