package scheduler

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
)

// firstPollsTimeout is the time that workers get to answer the first polls of a
// new owner, even if every earlier lease has expired: they list ends that no
// owner recorded.
const firstPollsTimeout = 700 * time.Millisecond

// UsedWorker is a worker on which tasks may have been started.
type UsedWorker struct {
	estate.Worker
	// LeasedBy is the epoch of the last owner that may have extended the worker's
	// lease or started a task there, 0 if any owner may have. Owners that did not
	// reach the worker did neither.
	LeasedBy int64
}

// Recover starts an ownership. used are the workers that previous owners may
// have started tasks on, and lastOrder returns the latest time at which an owner
// up to the given epoch can have given an order. A task of an inherited job
// without a known run may have an undiscovered one. It is not started until each
// worker of the job's pool has answered a poll with this owner's token or has
// certainly ended, or until every lease that a previous owner gave it has
// expired.
func (e *Engine) Recover(used []UsedWorker, lastOrder func(epoch int64) time.Duration, now time.Duration) {
	e.recovering = true
	e.recoverAt = now
	e.firstPollsEnd = now + firstPollsTimeout
	for _, u := range used {
		w := e.workers[u.ID]
		if w == nil {
			w = e.addWorker(u.Worker, now)
		}
		w.inherited = true
		w.leasedBy = u.LeasedBy
		w.inheritedLeaseEnd = lastOrder(cmp.Or(u.LeasedBy, e.opts.Epoch-1)) + atSlowClock(e.opts.MaxLease)
		w.recorded = u.LeasedBy == 0
	}
}

// mayHaveInheritedRuns reports whether the worker may still have undiscovered
// runs of a previous owner.
func (e *Engine) mayHaveInheritedRuns(w *worker, now time.Duration) bool {
	return w.inherited && now < max(w.inheritedLeaseEnd, e.firstPollsEnd)
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
		switch {
		case e.mayHaveInheritedRuns(w, now):
			unpolled++
			w.pool.unpolled++
			w.pool.recoveredAt, w.pool.lastUnread = now, w.ID
		case w.inherited:
			w.inherited = false
			w.leasedBy = 0
			e.givenUp++
		}
	}
	if unpolled > 0 {
		for _, p := range e.pools {
			p.needsPass = p.needsPass || p.unpolled == 0
		}
		return
	}
	e.recovering = false
	for _, p := range e.pools {
		p.needsPass = true
	}
	event.RecoveryEnded.Log(e.opts.Log, zap.Int("unread", e.givenUp), zap.Int("jobs", len(e.jobs)))
}

// blockedByRecovery reports whether a task of the job may have an undiscovered
// run. Tasks run only in the pool of their job.
func (e *Engine) blockedByRecovery(j *job) bool {
	return e.recovering && j.inherited && e.pool(j.Pool).unpolled > 0
}
