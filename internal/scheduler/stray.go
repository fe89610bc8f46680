package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// stray is a run that a worker lists and that nobody wants: it is being
// stopped, and takes its room until its end is listed.
type stray struct {
	resources placement.Resources
	// seenAt is when a look last showed the run.
	seenAt time.Duration
	// mayCome strays are not there, but a start without an answer may still
	// bring them until expires, unless a stop that was answered at barredAt
	// keeps them out.
	mayCome          bool
	expires          time.Duration
	stopAt, barredAt time.Duration
}

// unanswered is a start that got no answer. What settled it in one life of its
// worker is forgotten by the next one under the same id.
type unanswered struct {
	key       runKey
	resources placement.Resources
	at        time.Duration
}

// expect keeps starts without an answer to a former life out of this one.
func (e *Engine) expect(w *worker, starts []unanswered, now time.Duration) {
	for _, u := range starts {
		if _, carried := w.runs[u.key]; carried || now-u.at > lateOrder {
			continue
		}
		w.unanswered = append(w.unanswered, u)
		w.strays[u.key] = &stray{resources: u.resources, mayCome: true, expires: u.at + lateOrder}
		w.used = w.used.Add(u.resources)
	}
	e.bar(w, now)
}

// bar sends stops for what may still come, again and again until one is
// answered: a worker refuses a start that is not above a run it was told to
// stop.
func (e *Engine) bar(w *worker, now time.Duration) {
	for key, s := range w.strays {
		switch {
		case !s.mayCome || s.barredAt > 0:
		case now > s.expires:
			w.strayGone(key)
		case s.stopAt == 0 || now-s.stopAt > stopRetry+e.opts.StopGrace:
			s.stopAt = now
			e.orderStop(w, key)
		}
	}
}

// strayRun stops a run that should not be there. A worker that accepts
// whatever it is told to start would go over its capacity if the run's room
// were given to others meanwhile.
func (e *Engine) strayRun(w *worker, s platform.RunStatus, now time.Duration) {
	e.stats.OrphansStopped++
	event.OrphanedRunFound.Log(e.opts.Log, zap.Stringer("task", s.Task), zap.Int("run", s.Run), zap.String("worker", w.ID))
	key := runKey{s.Task, s.Run}
	known := w.strays[key]
	if known == nil {
		known = &stray{resources: e.strayResources(w, s)}
		w.strays[key] = known
		w.used = w.used.Add(known.resources)
	}
	known.seenAt, known.mayCome = now, false
	e.orderStop(w, key)
}

// strayResources is what a run takes of its worker: all of it, if its job is not
// known any more.
func (e *Engine) strayResources(w *worker, s platform.RunStatus) placement.Resources {
	if j := e.jobs[s.Task.Job]; j != nil {
		if t := j.find(s.Task.Occurrence, s.Task.Step, s.Task.Index); t != nil {
			return t.step.Requests()
		}
	}
	return w.Capacity
}

// strayGone gives back the room of a run whose end was listed, or that a look
// which was sent after it was last seen does not list.
func (w *worker) strayGone(key runKey) {
	s := w.strays[key]
	if s == nil {
		return
	}
	delete(w.strays, key)
	w.giveBack(s.resources)
	w.pool.changed = true
}

// dropStrays forgets the strays that the answer to a look does not list.
func (w *worker) dropStrays(listed map[runKey]struct{}, sentAt time.Duration) {
	for key, s := range w.strays {
		barred := !s.mayCome || (s.barredAt > 0 && sentAt > s.barredAt)
		if _, ok := listed[key]; !ok && sentAt > s.seenAt && barred {
			w.strayGone(key)
		}
	}
}

// occupied reports whether anything runs on the worker, wanted or not.
func (w *worker) occupied() bool { return len(w.runs) > 0 || len(w.strays) > 0 }
