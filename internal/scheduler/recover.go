package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
)

// firstPollsTimeout is the time that workers get to answer a new owner's first looks,
// also if every former lease has run out: they list ends that nobody recorded.
const firstPollsTimeout = 700 * time.Millisecond

// Recover begins an ownership. used are the workers that former owners may
// have started tasks on, and lastOrder is when the former owner can have given
// its last order. Until each worker of a pool has answered a look with this
// owner's token, or has certainly ended, or every lease that a former owner
// gave has run out, a task of an inherited job of the pool that is found
// nowhere may be running out of sight, and is not started.
func (e *Engine) Recover(used []estate.Worker, lastOrder, now time.Duration) {
	e.recovering = true
	lease := e.opts.MaxLease
	e.recoveryDeadline = max(lastOrder+lease+time.Duration(float64(lease)*clockDrift)+leaseSlack, now+firstPollsTimeout)
	for _, entry := range used {
		w := e.workers[entry.ID]
		if w == nil {
			w = e.addWorker(entry, now)
		}
		w.inherited = true
		w.recorded = true
	}
}

// finishRecovery ends the recovery once nothing can run out of sight.
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

// blockedByRecovery reports whether a task of the job may be running out of sight. Tasks
// run in their job's pool only.
func (e *Engine) blockedByRecovery(j *job) bool {
	return e.recovering && j.inherited && e.pool(j.Pool).unpolled > 0
}
