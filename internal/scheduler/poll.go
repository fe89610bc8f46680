package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// pollRetry is the first wait after a failed poll or stop. It doubles up to
	// pollRetryMax.
	pollRetry    = 100 * time.Millisecond
	pollRetryMax = 800 * time.Millisecond
	// warmingWait is the wait of a long poll while a long-running task starts
	// up: other tasks of its step may be interrupted only once it is ready. It is
	// also the wait while the worker takes no other tasks because of a suspect.
	warmingWait = 200 * time.Millisecond
	// acknowledgeWithin is how long after an answer of a worker its ends are
	// acknowledged. It is shorter than a restart of the worker and a task, and
	// longer than a slow owner takes from an answer to a decision.
	acknowledgeWithin = time.Second
	// ProbeTimeout is how long the answer to a probe is awaited. A worker
	// answers within milliseconds.
	ProbeTimeout = 500 * time.Millisecond
	// promptAnswer is the time within which this process reads the answer to a
	// probe while it keeps up.
	promptAnswer = ProbeTimeout / 2
	// idlePollInterval is the time between polls of an idle worker, which keep the
	// error of the estimate of its clock within the time that a start has.
	idlePollInterval = 30 * time.Second
	// maxIdlePolls is the maximum number of idle workers that are polled in one
	// sweep: all were first polled at once.
	maxIdlePolls = 4
	// unrecordedPollInterval is the time between polls of a worker whose ends
	// cannot be recorded or acknowledged yet.
	unrecordedPollInterval = 500 * time.Millisecond
)

// pollWorkers emits the polls that are due. A worker without runs and ends
// needs few. Orders without an answer are checked only during a sweep.
func (e *Engine) pollWorkers(now time.Duration, sweep bool) {
	idlePolls := 0
	for _, w := range e.workers {
		if w.probing || now < w.nextPoll {
			continue
		}
		switch {
		case !w.fenced:
			if w.inherited || w.occupied() || w.mayGetTasks(e) {
				e.poll(w, true, now)
			}
		case w.otherEntry != nil:
			e.poll(w, true, now)
		case sweep && w.needsProbe(now):
			e.poll(w, true, now)
		case w.polling:
		case w.failedPolls > 0:
			if w.occupied() || w.listed {
				e.poll(w, true, now)
			}
		case len(w.pendingEnds) > 0 && (w.lastRecordedEnd() == w.lastAckedEnd || e.ownership == OwnershipExpired):
			// A long poll would return at once with ends that are known
			// already. Only the lease has to be renewed until they are
			// recorded.
			if now >= w.lastContact+unrecordedPollInterval {
				e.poll(w, true, now)
			}
		case w.occupied() && !w.recorded:
			// A long poll would delay the renewal of its lease.
			if now >= w.lastContact+unrecordedPollInterval {
				e.poll(w, true, now)
			}
		case w.occupied():
			e.poll(w, false, now)
		case len(w.pendingEnds) > 0:
			// Acknowledge the last ends at once: a worker with pending ends is
			// not idle, and its host may be needed elsewhere.
			e.poll(w, true, now)
		case sweep && idlePolls < maxIdlePolls && w.mayGetTasks(e) && now-w.lastContact > idlePollInterval:
			idlePolls++
			e.poll(w, true, now)
		}
	}
}

// mayGetTasks reports whether the worker is worth a poll though nothing runs there:
// tasks can be started on it.
func (w *worker) mayGetTasks(e *Engine) bool { return w.listed && !w.Draining && !e.standby(w.Pool) }

// probeAnother probes a worker that answers, when another one did not. Its
// answer shows that this process reads answers, so that it would have read the
// other's. One such probe is in flight at a time, to each worker in turn: a slow
// one does not answer in time.
func (e *Engine) probeAnother(silent *worker, now time.Duration) {
	if now < e.nextProbeOfAnother {
		return
	}
	e.nextProbeOfAnother = now + ProbeTimeout
	var first, next *worker // next follows the last one in the order of ids
	for _, w := range e.workers {
		if w == silent || !w.fenced || !w.listed || w.failedPolls > 0 || w.probing {
			continue
		}
		if first == nil || w.ID < first.ID {
			first = w
		}
		if w.ID > e.lastProbeOfAnother && (next == nil || w.ID < next.ID) {
			next = w
		}
	}
	if other := cmp.Or(next, first); other != nil {
		e.lastProbeOfAnother = other.ID
		e.poll(other, true, now)
	}
}

// needsProbe reports whether an order without an answer has to be settled
// before the long poll in flight returns.
func (w *worker) needsProbe(now time.Duration) bool {
	for _, r := range w.runs {
		if (r.phase == runUncertain || (r.phase == runStopping && r.stop.acked)) && r.confirmedAt < r.sentAt {
			return true
		}
	}
	return false
}

// warming reports whether a long-running task on the worker is still starting
// up.
func (w *worker) warming() bool {
	for _, r := range w.runs {
		if r.task.step.LongRunning && r.phase == runConfirmed && r.percent < 100 {
			return true
		}
	}
	return false
}

// lastRecordedEnd returns the number of the last end up to which all are
// recorded.
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

// poll emits a poll order. A probe does not wait for an end. The lease of a
// worker that does not answer is not renewed.
func (e *Engine) poll(w *worker, probe bool, now time.Duration) {
	o := &PollOrder{Worker: w.Worker, worker: w, sentAt: now, probe: probe}
	o.Token = w.token
	// The worker may have a new incarnation, which numbers its ends anew: an
	// acknowledgement that it carries out discards ends that nobody has read. A
	// successor may have to read ends that an expired owner knows.
	fresh := w.failedPolls == 0 && now-w.lastContact <= acknowledgeWithin
	if number := w.lastRecordedEnd(); number > w.lastAckedEnd && fresh && e.ownership != OwnershipExpired {
		o.Acknowledged = number
	}
	if lease := e.lease(); w.fenced && w.recorded && w.failedPolls == 0 && lease > 0 {
		o.DeadlineMS = w.clock(now) + lease.Milliseconds()
		w.leaseMS = max(w.leaseMS, o.DeadlineMS)
	}
	if probe {
		w.probing = true
	} else {
		o.Wait = pollWait
		switch {
		case w.warming(), w.testedJob() != nil:
			o.Wait = warmingWait
		case w.mixed():
			o.Wait = mixedWait
		}
		w.polling = true
	}
	e.stats.Looks++
	e.emit(o)
}

// PollOverdue handles a poll whose answer is not there in time. The answer may
// still come: a slow process reads it late.
func (e *Engine) PollOverdue(o *PollOrder, now time.Duration) {
	if o.answered {
		return
	}
	o.overdue = true
	o.returned()
	w := o.worker
	if e.workers[w.ID] == w && w.lastContact <= o.sentAt { // no answer was read since
		e.pollFailed(w, o, platform.WorkerStatus{}, errOverdue, now)
	}
}

var errOverdue = errors.New("answer is overdue")

// returned permits the next poll of the same kind.
func (o *PollOrder) returned() {
	if o.probe {
		o.worker.probing = false
	} else {
		o.worker.polling = false
	}
}

// Polled handles the answer to a poll.
func (e *Engine) Polled(o *PollOrder, status platform.WorkerStatus, err error, now time.Duration) {
	w := o.worker
	o.answered = true
	if !o.overdue {
		o.returned()
	}
	if e.workers[w.ID] != w {
		return // an incarnation that has ended
	}
	if o.overdue && err != nil {
		return // known already
	}
	if err == nil && o.probe && now-o.sentAt <= promptAnswer {
		e.promptSentAt = max(e.promptSentAt, o.sentAt)
	}
	if err != nil || status.Outcome != platform.OrderDone {
		e.pollFailed(w, o, status, err, now)
		return
	}
	if w.otherIncarnation(status.StartedMS) {
		e.answeredByOther(w, o, status.StartedMS, now)
		return
	}
	w.StartedMS = cmp.Or(w.StartedMS, status.StartedMS)
	e.answeredAfterSilence(w.ID, w.StartedMS, now)
	w.answeredSentAt = max(w.answeredSentAt, o.sentAt)
	if w.otherEntry != nil && o.sentAt > w.otherEntryAt {
		w.otherEntry = nil // it was of a previous incarnation
	}
	e.answeredAt = now
	overtaken := status.ClockMS > 0 && status.ClockMS < w.clockMS // a later answer was handled before
	if !overtaken {
		w.unpolled = max(0, o.sentAt-w.lastContact)
		w.recordContact(status.ClockMS, now, e)
	}
	w.receivedLeaseMS = max(w.receivedLeaseMS, o.DeadlineMS)
	w.lastAckedEnd = max(w.lastAckedEnd, o.Acknowledged)
	w.pendingEnds = slices.DeleteFunc(w.pendingEnds, func(p pendingEnd) bool { return p.number <= w.lastAckedEnd })
	if !w.fenced {
		w.fenced = true
		w.inherited = false
		w.inheritedLeaseEnd = min(w.inheritedLeaseEnd, now+atSlowClock(e.opts.MaxLease)) // the worker accepts no earlier order any more
		w.pool.needsPass = true
		event.WorkerFenced.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("token", w.token),
			zap.Int("runs", len(status.Runs)), zap.Int("ends", len(status.Ends)))
	}
	e.processEnds(w, status.Ends, now)
	if !overtaken {
		e.reconcileRuns(w, o, status, now)
	}
}

// recordContact records an answer of the worker with its clock in milliseconds,
// 0 if the answer has none.
func (w *worker) recordContact(clockMS int64, now time.Duration, e *Engine) {
	if w.failedPolls > 0 {
		event.WorkerReached.Log(e.opts.Log, zap.String("worker", w.ID), zap.Duration("silent", now-w.lastContact))
		w.pool.needsPass = true
		w.restartStops()
	}
	w.failedPolls = 0
	w.silentAt = 0
	w.nextPoll = 0
	w.lastContact = now
	if clockMS > 0 {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// pollFailed handles a poll without a usable answer.
func (e *Engine) pollFailed(w *worker, o *PollOrder, status platform.WorkerStatus, err error, now time.Duration) {
	if err == nil {
		switch status.Outcome {
		case platform.OrderWrongIncarnation:
			e.incarnationEnded(w, "another worker answers at its address", now)
			return
		case platform.OrderFenced:
			e.superseded = true
			event.EngineSuperseded.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("token", w.token))
			return
		}
	}
	if err != nil && (o.DeadlineMS > 0 || o.Acknowledged > 0) {
		e.stats.UnansweredPolls++
		event.PollUnanswered.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("incarnation", w.StartedMS), zap.Duration("age", now-o.sentAt),
			zap.Int64("acknowledged", o.Acknowledged), zap.Int64("lease_until_ms", o.DeadlineMS), zap.Int64("clock_ms", w.clock(now)))
	}
	if o.sentAt < w.answeredSentAt {
		return // the worker has answered a later poll
	}
	if w.failedPolls == 0 {
		event.WorkerSilent.Log(e.opts.Log, zap.String("worker", w.ID), zap.Stringer("outcome", status.Outcome), zap.Error(err),
			zap.Int("runs", len(w.runs)), zap.Duration("lease_left", w.leaseEnd()-now))
	}
	if w.failedPolls == 0 {
		w.silentSince = now
	}
	if w.silentAt == 0 && o.sentAt > w.leaseEnd() {
		w.silentAt = now
	}
	w.failedPolls++
	w.nextPoll = now + retryDelay(w.failedPolls)
	if end := w.leaseEnd(); end >= now && end < w.nextPoll+ProbeTimeout {
		w.nextPoll = end + time.Millisecond // this probe decides whether its runs are given up
	}
}

// retryDelay returns the wait after a number of failed polls or stops.
func retryDelay(failed int) time.Duration {
	return min(pollRetry<<min(failed-1, 4), pollRetryMax)
}

// reconcileRuns compares the runs that a worker lists with the expected ones.
// The end of a missing one may be beyond the ends that one answer holds.
func (e *Engine) reconcileRuns(w *worker, o *PollOrder, status platform.WorkerStatus, now time.Duration) {
	listed := make(map[runKey]struct{}, len(status.Runs))
	for _, s := range status.Runs {
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
		if _, ok := listed[key]; !ok && len(status.Ends) < platform.MaxListedEnds {
			e.reconcileMissingRun(r, o, now)
		}
	}
	e.learnFromRuns(w, now)
	e.throttleFillers(w, now)
}

// reconcileMissingRun settles a run that the worker does not list. The answer
// to a poll that was sent before the answer to the start order is no evidence
// about the run.
func (e *Engine) reconcileMissingRun(r *run, o *PollOrder, now time.Duration) {
	w := r.worker
	switch {
	case r.sentToPrevious():
		e.endRun(r, now) // a start that arrives from now on is refused for its token
	case r.phase == runSent || o.sentAt <= r.confirmedAt || o.sentAt <= r.sentAt:
		return
	case r.phase == runUncertain && w.clockMS > r.deadlineMS:
		e.endRun(r, now) // a start that arrives from now on is refused as late
	case r.phase == runUncertain:
		e.stop(r, "start not answered", now)
	case r.phase == runStopping && r.stop.acked && o.sentAt > r.stop.at:
		e.endRun(r, now) // it never started there, and cannot any more
	case r.phase == runStopping && !r.stop.acked:
	case r.phase == runConfirmed:
		e.loseRun(r, "not listed", now)
	}
}
