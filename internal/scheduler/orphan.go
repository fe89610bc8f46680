package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// orphan is a run on a worker that no job needs. It is being stopped, and its
// resources count as used until its end is listed.
type orphan struct {
	resources placement.Resources
	// seenAt is when a poll last listed the run.
	seenAt time.Duration
	// mayArrive is set if the worker does not have the run, but a start without
	// an answer may still arrive until expires. A stop that was answered at
	// blockedAt prevents that.
	mayArrive         bool
	expires           time.Duration
	stopAt, blockedAt time.Duration
}

// unanswered is a start that got no answer. A stop that blocked it in one
// incarnation of its worker is unknown to the next one under the same id.
type unanswered struct {
	key       runKey
	resources placement.Resources
	at        time.Duration
}

// expectLateStarts reserves resources for unanswered starts that were sent to
// the previous incarnation and may reach this one, and blocks them.
func (e *Engine) expectLateStarts(w *worker, starts []unanswered, now time.Duration) {
	for _, u := range starts {
		if _, carried := w.runs[u.key]; carried || now-u.at > maxOrderDelay {
			continue
		}
		w.unanswered = append(w.unanswered, u)
		w.orphans[u.key] = &orphan{resources: u.resources, mayArrive: true, expires: u.at + maxOrderDelay}
		w.used = w.used.Add(u.resources)
	}
	e.blockLateStarts(w, now)
}

// blockLateStarts sends stops for starts that may still arrive, and repeats
// each until it is answered: a worker refuses a start that is not above a run
// it was ordered to stop.
func (e *Engine) blockLateStarts(w *worker, now time.Duration) {
	for key, s := range w.orphans {
		switch {
		case !s.mayArrive || s.blockedAt > 0:
		case now > s.expires:
			w.removeOrphan(key)
		case s.stopAt == 0 || now-s.stopAt > stopRetry+e.opts.StopGrace:
			s.stopAt = now
			e.emitStop(w, key)
		}
	}
}

// stopOrphan stops a run that no job needs. Its resources stay in use
// meanwhile: a worker that accepts every start would exceed its capacity if
// they were given to others.
func (e *Engine) stopOrphan(w *worker, s platform.RunStatus, now time.Duration) {
	e.stats.OrphansStopped++
	event.OrphanedRunFound.Log(e.opts.Log, zap.Stringer("task", s.Task), zap.Int("run", s.Run), zap.String("worker", w.ID))
	key := runKey{s.Task, s.Run}
	known := w.orphans[key]
	if known == nil {
		known = &orphan{resources: e.orphanResources(w, s)}
		w.orphans[key] = known
		w.used = w.used.Add(known.resources)
	}
	known.seenAt, known.mayArrive = now, false
	e.emitStop(w, key)
}

// orphanResources returns what a run requests of its worker: all of it if its
// job is unknown.
func (e *Engine) orphanResources(w *worker, s platform.RunStatus) placement.Resources {
	if j := e.jobs[s.Task.Job]; j != nil {
		if t := j.find(s.Task.Occurrence, s.Task.Step, s.Task.Index); t != nil {
			return t.step.Requests()
		}
	}
	return w.Capacity
}

// removeOrphan drops an orphan that has ended or can no longer arrive, and
// releases its resources.
func (w *worker) removeOrphan(key runKey) {
	s := w.orphans[key]
	if s == nil {
		return
	}
	delete(w.orphans, key)
	w.releaseResources(s.resources)
	w.pool.needsPass = true
}

// removeUnlistedOrphans removes the orphans that are not listed in the answer
// to a poll sent at sentAt, unless their start may still arrive.
func (w *worker) removeUnlistedOrphans(listed map[runKey]struct{}, sentAt time.Duration) {
	for key, s := range w.orphans {
		cannotArrive := !s.mayArrive || (s.blockedAt > 0 && sentAt > s.blockedAt)
		if _, ok := listed[key]; !ok && sentAt > s.seenAt && cannotArrive {
			w.removeOrphan(key)
		}
	}
}

// occupied reports whether the worker has any run, including orphans.
func (w *worker) occupied() bool { return len(w.runs) > 0 || len(w.orphans) > 0 }
