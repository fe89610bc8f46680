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

// UsedWorker is a worker on which tasks may have been started.
type UsedWorker struct {
	estate.Worker
	// LeaseEnd is when the last lease of the worker has expired, 0 if its owner may
	// still have extended it. An owner that states it neither renews the lease nor
	// starts tasks there before the worker is recorded without it.
	LeaseEnd time.Duration
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
// undiscovered one. It is not started until each worker of the job's pool has
// answered a poll with this owner's token or has certainly ended, or until the
// leases of the others have expired.
func (e *Engine) Recover(used []UsedWorker, leasesEnd, now time.Duration) {
	e.recovering = true
	e.recoverAt = now
	e.firstPollsEnd = now + firstPollsTimeout
	for _, u := range used {
		w := e.workers[u.ID]
		if w == nil {
			w = e.addWorker(u.Worker, now)
		}
		w.inherited = true
		w.leaseFrozen = u.LeaseEnd > 0
		w.inheritedLeaseEnd = leasesEnd
		if w.leaseFrozen {
			w.inheritedLeaseEnd = min(u.LeaseEnd, leasesEnd)
		}
		w.recorded = !w.leaseFrozen
	}
}

// mayHaveInheritedRuns reports whether the worker may still have undiscovered
// runs of a previous owner, or ends of such runs that it has not listed yet.
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
