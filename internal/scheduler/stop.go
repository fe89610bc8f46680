package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// stopRetry is the time, in addition to StopGrace, after which a stop that the
// worker has acknowledged is repeated if the run is still there.
const stopRetry = 300 * time.Millisecond

// stopState is the state of the stop orders for a run.
type stopState struct {
	// order is the one whose answer is awaited, nil if none is.
	order *StopOrder
	// sent counts the orders, and failed those since the last acknowledgement that
	// the worker did not answer or did not carry out.
	sent, failed int
	// at is when the last one was sent or acknowledged.
	at    time.Duration
	acked bool
}

// due reports whether another order is to be sent. An order that was not carried
// out is repeated soon; one that was needs time to take effect.
func (s *stopState) due(grace, now time.Duration) bool {
	switch {
	case s.order != nil:
		return false
	case s.acked:
		return now-s.at > stopRetry+grace
	case s.failed == 0:
		return true
	}
	return now-s.at >= retryDelay(s.failed)
}

// withdraw keeps the order whose answer is awaited from being sent, if it was not
// yet.
func (s *stopState) withdraw() {
	if s.order != nil {
		s.order.withdrawn.Store(true)
		s.order = nil
	}
}

// restart makes another order due if the worker has not acknowledged the last one.
func (s *stopState) restart() {
	s.withdraw()
	s.failed = 0
}

// waitsFor returns what the end of a run that is being stopped waits for.
func (s *stopState) waitsFor(w *worker) string {
	switch {
	case w.failedPolls > 0:
		return "worker does not answer"
	case s.acked:
		return "stop acknowledged, run still there"
	}
	return "stop not answered"
}

// sendStop logs and emits an order to end a run.
func (e *Engine) sendStop(r *run, now time.Duration) {
	e.stats.Stops++
	event.TaskStopped.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", r.worker.ID), zap.String("reason", r.stopReason))
	e.emitStop(r.worker, runKey{r.task.id(), r.number}, &r.stop, now)
}

// emitStop orders a worker to end a run, or to refuse its start if that arrives
// later.
func (e *Engine) emitStop(w *worker, key runKey, s *stopState, now time.Duration) {
	s.order = &StopOrder{Worker: w.Worker, Task: key.task, Run: key.run, Token: w.token, worker: w}
	s.sent, s.at, s.acked = s.sent+1, now, false
	e.emit(s.order)
}

// Stopped handles the answer to a stop.
func (e *Engine) Stopped(o *StopOrder, a platform.OrderAnswer, err error, now time.Duration) {
	w := o.worker
	s := w.stopState(runKey{o.Task, o.Run})
	if e.workers[w.ID] != w || s == nil {
		return
	}
	current := s.order == o
	if current {
		s.order = nil
	}
	switch {
	case err != nil && !current: // another one was sent since
	case err != nil:
		s.failed++
		w.pauseAfterUnanswered(now)
	case a.Outcome == platform.OrderDone:
		s.acked, s.at, s.failed = true, now, 0
	case a.Outcome == platform.OrderFenced:
		e.superseded = true
	case a.Outcome == platform.OrderWrongIncarnation:
		e.incarnationEnded(w, "another worker answers at its address", now)
	case current:
		s.failed++
	}
}

// stopState returns the state of the stops for a run or orphan, nil if the worker has
// neither.
func (w *worker) stopState(key runKey) *stopState {
	if r := w.runs[key]; r != nil {
		return &r.stop
	}
	if o := w.orphans[key]; o != nil {
		return &o.stop
	}
	return nil
}

// restartStops makes the stops due that the worker has not acknowledged.
func (w *worker) restartStops() {
	for _, r := range w.runs {
		r.stop.restart()
	}
	for _, o := range w.orphans {
		o.stop.restart()
	}
}

// checkRuns repeats stops that are due.
func (e *Engine) checkRuns(now time.Duration) {
	for _, w := range e.workers {
		if w.failedPolls > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runStopping && r.stop.due(e.opts.StopGrace, now) {
				e.sendStop(r, now)
			}
		}
		for key, o := range w.orphans {
			if o.stop.due(e.opts.StopGrace, now) {
				e.sendOrphanStop(w, key, o, now)
			}
		}
	}
}
