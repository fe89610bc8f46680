package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/quota"
)

// orphan is a run on a worker that no job needs. It is being stopped, and its
// resources count as used until its end is listed.
type orphan struct {
	resources placement.Resources
	// unknown is set if the run's requests are not known: nothing starts beside
	// it, whatever capacity its worker has by then.
	unknown bool
	// account counts size against the quota of the run's team.
	account *quota.Account
	size    placement.Resources
	// seenAt is when a poll last listed the run.
	seenAt time.Duration
	// foundAt is when a poll first listed it.
	foundAt time.Duration
	// stop is the state of its stop orders.
	stop stopState
}

// stopOrphan stops a run that no job needs. Its resources stay in use
// meanwhile: a worker that accepts every start would exceed its capacity if
// they were given to others.
func (e *Engine) stopOrphan(w *worker, s platform.RunStatus, now time.Duration) {
	key := runKey{s.Task, s.Run}
	known := w.orphans[key]
	if known == nil {
		resources, ok := e.orphanResources(s)
		if !ok {
			resources = w.Capacity
		}
		known = &orphan{resources: resources, unknown: !ok, foundAt: now}
		w.orphans[key] = known
		w.used = w.used.Add(known.resources)
		known.account, known.size = e.recordedTask(s.Task, w)
		known.account.AddOrphan(known.size)
		e.sendOrphanStop(w, key, known, now)
	}
	known.seenAt = now
}

// sendOrphanStop logs and emits an order to end an orphan.
func (e *Engine) sendOrphanStop(w *worker, key runKey, o *orphan, now time.Duration) {
	e.stats.OrphansStopped++
	event.OrphanedRunFound.Log(e.opts.Log, zap.Stringer("task", key.task), zap.Int("run", key.run), zap.String("worker", w.ID), zap.Int("stops", o.stop.sent+1))
	e.emitStop(w, key, &o.stop, now)
}

// orphanResources returns what a run requests of its worker. It reports false if
// its job is unknown.
func (e *Engine) orphanResources(s platform.RunStatus) (placement.Resources, bool) {
	if j := e.jobs[s.Task.Job]; j != nil {
		if t := j.find(s.Task.Occurrence, s.Task.Step, s.Task.Index); t != nil {
			return t.step.Requests(), true
		}
	}
	return placement.Resources{}, false
}

// runsUnknown reports whether the worker has an orphan of unknown requests.
func (w *worker) runsUnknown() bool {
	for _, o := range w.orphans {
		if o.unknown {
			return true
		}
	}
	return false
}

// removeOrphan drops an orphan that has ended and releases its resources.
func (w *worker) removeOrphan(key runKey) {
	s := w.orphans[key]
	if s == nil {
		return
	}
	s.stop.withdraw()
	delete(w.orphans, key)
	w.releaseResources(s.resources)
	s.account.RemoveOrphan(s.size)
	w.pool.needsPass = true
}

// removeUnlistedOrphans removes the orphans that are not listed in the answer
// to a poll sent at sentAt.
func (w *worker) removeUnlistedOrphans(listed map[runKey]struct{}, sentAt time.Duration) {
	for key, s := range w.orphans {
		if _, ok := listed[key]; !ok && sentAt > s.seenAt {
			w.removeOrphan(key)
		}
	}
}

// occupied reports whether the worker has any run, including orphans.
func (w *worker) occupied() bool { return len(w.runs) > 0 || len(w.orphans) > 0 }
