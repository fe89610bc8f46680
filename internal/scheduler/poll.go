package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// pollRetry is the first wait after a look that failed; it doubles up to
	// pollRetryMax.
	pollRetry    = 100 * time.Millisecond
	pollRetryMax = 800 * time.Millisecond
	// warmingWait is how long a look waits while a long-running task gets to
	// work: others of its step may be interrupted only then.
	warmingWait = 200 * time.Millisecond
	// unrecordedPollInterval is the time between looks at a worker whose ends cannot
	// be recorded yet, only to keep its lease.
	unrecordedPollInterval = 500 * time.Millisecond
)

// pollWorkers emits the looks that are due. A worker with nothing to tell gets
// none.
// Orders without an answer are looked for only by a tidy one.
func (e *Engine) pollWorkers(now time.Duration, sweep bool) {
	for _, w := range e.workers {
		if w.probing || now < w.nextPoll {
			continue
		}
		switch {
		case !w.fenced:
			if w.inherited || w.occupied() || (w.listed && !w.Draining && w.recorded) {
				e.poll(w, true, now)
			}
		case sweep && w.needsProbe(now):
			e.poll(w, true, now)
		case w.polling:
		case w.failedPolls > 0:
			if w.occupied() || w.listed {
				e.poll(w, true, now)
			}
		case len(w.pendingEnds) > 0 && w.lastRecordedEnd() == w.lastAckedEnd:
			// The worker would answer at once with ends that are known: only its
			// lease matters until they are recorded.
			if now >= w.leasedAt+unrecordedPollInterval {
				e.poll(w, true, now)
			}
		case w.occupied():
			e.poll(w, false, now)
		case len(w.pendingEnds) > 0:
			// Only the acknowledgement is left: the host may be wanted elsewhere.
			e.poll(w, true, now)
		}
	}
}

// needsProbe reports whether an order without an answer has to be settled
// sooner than by the look that is under way.
func (w *worker) needsProbe(now time.Duration) bool {
	for _, r := range w.runs {
		if (r.phase == runUncertain || (r.phase == runStopping && r.stopAcked)) && r.confirmedAt < r.sentAt {
			return true
		}
	}
	return false
}

// warming reports whether a long-running task on the worker is not yet at work.
func (w *worker) warming() bool {
	for _, r := range w.runs {
		if r.task.step.LongRunning && r.phase == runConfirmed && r.percent < 100 {
			return true
		}
	}
	return false
}

// lastRecordedEnd is the number of the last end up to which all are recorded.
func (w *worker) lastRecordedEnd() int64 {
	number := w.lastAckedEnd
	for _, p := range w.pendingEnds {
		if p.job != nil && p.job.durable < p.seq {
			break
		}
		number = p.number
	}
	return number
}

// poll emits a poll order. A short one does not wait for an end. While the worker
// does not answer, its lease is left to run out.
func (e *Engine) poll(w *worker, probe bool, now time.Duration) {
	o := &PollOrder{Worker: w.Worker, worker: w, sentAt: now, probe: probe}
	o.Token = e.opts.Token
	switch {
	case w.failedPolls > 0:
		// The worker may have begun another life, whose ends are numbered anew.
	case e.ownership == OwnershipExpired:
		o.Acknowledged = w.lastAckedEnd // a successor may have to find later ends
	default:
		o.Acknowledged = w.lastRecordedEnd()
	}
	if lease := e.lease(); w.fenced && w.failedPolls == 0 && lease > 0 {
		o.DeadlineMS = w.clock(now) + lease.Milliseconds()
		w.leaseMS = max(w.leaseMS, o.DeadlineMS)
		w.leasedAt = now
	}
	if probe {
		w.probing = true
	} else {
		o.Wait = pollWait
		switch {
		case w.warming():
			o.Wait = warmingWait
		case w.mixed():
			o.Wait = mixedWait
		}
		w.polling = true
	}
	e.stats.Looks++
	e.emit(o)
}

// Polled takes in the answer to a look.
func (e *Engine) Polled(o *PollOrder, status platform.WorkerStatus, err error, now time.Duration) {
	w := o.worker
	if o.probe {
		w.probing = false
	} else {
		w.polling = false
	}
	if e.workers[w.ID] != w {
		return // a life that is over
	}
	if err != nil || status.Outcome != platform.OrderDone {
		e.pollFailed(w, status, err, now)
		return
	}
	if w.otherIncarnation(status.StartedMS) {
		if status.StartedMS > w.StartedMS {
			e.replaceIncarnation(w, status.StartedMS, now)
		}
		return
	}
	w.recordContact(status.ClockMS, now, e)
	w.lastAckedEnd = max(w.lastAckedEnd, o.Acknowledged)
	w.pendingEnds = slices.DeleteFunc(w.pendingEnds, func(p pendingEnd) bool { return p.number <= w.lastAckedEnd })
	if !w.fenced {
		w.fenced = true
		w.inherited = false
		w.pool.needsPass = true
		event.WorkerFenced.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("token", e.opts.Token),
			zap.Int("runs", len(status.Runs)), zap.Int("ends", len(status.Ends)))
	}
	e.processEnds(w, status.Ends, now)
	e.reconcileRuns(w, o, status.Runs, now)
}

// recordContact notes that the worker answered.
func (w *worker) recordContact(clockMS int64, now time.Duration, e *Engine) {
	if w.failedPolls > 0 {
		event.WorkerReached.Log(e.opts.Log, zap.String("worker", w.ID), zap.Duration("silent", now-w.lastContact))
		w.pool.needsPass = true
	}
	w.failedPolls = 0
	w.nextPoll = 0
	w.lastContact = now
	if clockMS > 0 {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// pollFailed takes in a look without a usable answer.
func (e *Engine) pollFailed(w *worker, status platform.WorkerStatus, err error, now time.Duration) {
	if err == nil {
		switch status.Outcome {
		case platform.OrderWrongIncarnation:
			e.incarnationEnded(w, "another worker answers at its address", now)
			return
		case platform.OrderFenced:
			e.superseded = true
			event.EngineSuperseded.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("token", e.opts.Token))
			return
		}
	}
	if w.failedPolls == 0 {
		event.WorkerSilent.Log(e.opts.Log, zap.String("worker", w.ID), zap.Stringer("outcome", status.Outcome), zap.Error(err),
			zap.Int("runs", len(w.runs)), zap.Duration("lease_left", w.leaseEnd()-now))
	}
	w.failedPolls++
	w.nextPoll = now + min(pollRetry<<min(w.failedPolls-1, 4), pollRetryMax)
}

// reconcileRuns compares what the worker runs with what it should.
func (e *Engine) reconcileRuns(w *worker, o *PollOrder, list []platform.RunStatus, now time.Duration) {
	listed := make(map[runKey]struct{}, len(list))
	for _, s := range list {
		key := runKey{s.Task, s.Run}
		listed[key] = struct{}{}
		r := w.runs[key]
		if r == nil {
			r = e.adopt(w, s, now)
		}
		if r == nil {
			e.stopOrphan(w, s, now)
			continue
		}
		e.observe(r, s, now)
	}
	w.removeUnlistedOrphans(listed, o.sentAt)
	for key, r := range w.runs {
		if _, ok := listed[key]; !ok {
			e.reconcileMissingRun(r, o, now)
		}
	}
	e.throttleFillers(w, now)
}

// reconcileMissingRun settles a run that the worker does not list. An answer to a look
// that was sent before the order's own answer came says nothing about it.
func (e *Engine) reconcileMissingRun(r *run, o *PollOrder, now time.Duration) {
	w := r.worker
	switch {
	case r.phase == runSent || o.sentAt <= r.confirmedAt || o.sentAt <= r.sentAt:
		return
	case r.phase == runUncertain && w.clockMS > r.deadlineMS:
		e.endRun(r, now) // an order that comes still is refused as late
	case r.phase == runUncertain:
		e.stop(r, "start not answered", now)
	case r.phase == runStopping && r.stopAcked && o.sentAt > r.stopAt:
		e.endRun(r, now) // it never began there, and cannot any more
	case r.phase == runStopping && !r.stopAcked:
	case r.phase == runConfirmed:
		e.loseRun(r, now)
	}
}
