package scheduler

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
)

// mayOutlive reports whether the worker has something to lose and may still live,
// though the latest entry is of another incarnation: that may be a previous one,
// as entries and answers arrive in any order. Start times alone do not tell, since
// clocks are set back.
func (w *worker) mayOutlive(entry estate.Worker) bool {
	later := w.ownEntry && entry.StartedMS > w.StartedMS
	return !later && w.answeredSentAt > 0 && w.occupied()
}

// otherIncarnation reports whether startedMS belongs to another incarnation of
// the worker. A start time of 0 is unknown and matches any.
func (w *worker) otherIncarnation(startedMS int64) bool {
	return startedMS != 0 && w.StartedMS != 0 && startedMS != w.StartedMS
}

// incarnationEnded handles the certain end of an incarnation of a worker: none
// of its runs is left.
func (e *Engine) incarnationEnded(w *worker, reason string, now time.Duration) {
	event.WorkerLost.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("incarnation", w.StartedMS), zap.String("pool", w.Pool), zap.String("reason", reason), zap.Int("runs", len(w.runs)),
		zap.Duration("silent", now-w.lastContact))
	e.countCrash(w, endCertain, now)
	e.settlePresumed(w.ID, !w.endsAsPlanned(), now)
	for _, r := range w.runs {
		e.loseRun(r, reason, now)
	}
	for _, o := range w.orphans {
		o.account.RemoveOrphan(o.size)
	}
	w.pool.remove(w)
	w.pool.needsPass = true
	delete(e.workers, w.ID)
}

// replaceIncarnation replaces a worker by its next incarnation under the same
// id. Runs that the previous incarnation listed have ended with it. A start
// that it did not list may still reach the next incarnation, until that has
// answered a poll with its own token.
func (e *Engine) replaceIncarnation(w *worker, startedMS int64, now time.Duration) *worker {
	e.countCrash(w, endReplaced, now)
	var open []*run
	for _, r := range w.runs {
		if !r.listed {
			open = append(open, r)
		}
	}
	for _, r := range open {
		w.removeRun(r)
	}
	e.incarnationEnded(w, "reborn", now)
	entry := w.Worker
	entry.StartedMS = startedMS
	next := e.addWorker(entry, now)
	next.listed, next.recorded = w.listed, w.recorded
	next.full = w.full
	next.leaseFrozen = w.leaseFrozen
	next.inherited = w.inherited // starts of a previous owner may arrive until this incarnation has seen a higher token
	next.inheritedPool = w.inheritedPool
	next.inheritedTasks, next.inheritedTasksKnown = w.inheritedTasks, w.inheritedTasksKnown
	if next.inherited || len(open) > 0 {
		next.inheritedLeaseEnd = max(w.inheritedLeaseEnd, now+maxOrderDelay+atSlowClock(e.opts.MaxLease)) // a late start brings a lease
	}
	for _, r := range open {
		r.withdraw()
		r.worker = next
		r.deadlineMS = math.MaxInt64 // the deadline was on the previous incarnation's clock
		r.sentAt = now
		r.stop.withdraw()
		r.stop = stopState{sent: r.stop.sent} // the next incarnation knows nothing of it
		if r.phase != runStopping {
			r.phase = runUncertain
		}
		next.addRun(r)
	}
	return next
}

// answeredByOther handles an answer of another incarnation than the known one. A
// worker answers only while it lives, and the known incarnation had started before
// the poll was sent: the other one is its successor, whatever their start times.
func (e *Engine) answeredByOther(w *worker, o *PollOrder, startedMS int64, now time.Duration) {
	if o.Worker.StartedMS != w.StartedMS {
		return // the known incarnation may have started since
	}
	e.replaceIncarnation(w, startedMS, now)
	if entry := w.otherEntry; entry != nil && entry.StartedMS == startedMS {
		e.WorkerListed(*entry, now)
	}
}
