package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// failurePause is the time before a failed task is started again.
	failurePause = 20 * time.Millisecond
	// refusalPause is how long a worker gets no new tasks after it refused a
	// start or did not answer it. It is also the time before a task whose start
	// was invalid, or a gang that did not start in time, is started again.
	refusalPause = 300 * time.Millisecond
)

// start orders a new run of a task.
func (e *Engine) start(t *task, w *worker, number int, ticket string, now time.Duration) {
	s := t.step
	r := &run{task: t, number: number, worker: w, sentAt: now, progressAt: now, throttledPercent: 100, confirmedAt: -1}
	r.deadlineMS = min(w.startDeadline(now), w.earliestClock(e.startsUntil()))
	w.leaseMS = max(w.leaseMS, r.deadlineMS)
	t.lastRun = number
	if t.startable() {
		s.idle--
		if s.idle == 0 {
			e.dequeue(s)
		}
	}
	t.runs = append(t.runs, r)
	e.noteStart(t, w, now)
	w.addRun(r)
	s.job.liveRuns++
	e.stats.Starts++
	event.TaskPlaced.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("run", number), zap.String("worker", w.ID),
		zap.Duration("waited", now-max(s.job.accepted, s.occ.due)), zap.Int64("catalog", e.catalog.Version), zap.Duration("cancels_age", e.cancelsAge(now)),
		zap.Duration("cancels_waited", e.cancelsWaited))
	if s.LongRunning && (t.lostOn != "" || s.job.inherited) {
		e.logRestart(r, now)
	}
	e.stats.OldestCancelsAtStartMS = max(e.stats.OldestCancelsAtStartMS, e.cancelsAge(now).Milliseconds())
	r.order = &StartOrder{Worker: w.Worker, run: r, NotAfter: e.startsUntil(), Start: platform.Start{
		Task: t.id(), Run: number, Spec: s.job.Spec, DeadlineMS: r.deadlineMS, Token: w.token,
		Checkpoint: t.checkpoint, Ticket: ticket,
	}}
	e.emit(r.order)
	e.isolated(r)
}

// nextRun returns the number of a task's next run.
func (e *Engine) nextRun(t *task) int {
	return max(t.lastRun, int(e.opts.Epoch-1)*runsPerEpoch) + 1
}

// Started handles the answer to a start.
func (e *Engine) Started(o *StartOrder, a platform.OrderAnswer, err error, now time.Duration) {
	r := o.run
	w := r.worker
	r.answered = true
	if w.runs[runKey{r.task.id(), r.number}] != r {
		e.settleOpenCrash(r, a, err, now) // given up meanwhile
		return
	}
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		e.notDelivered(r, err, now)
		return
	case err != nil:
		e.stats.UncertainStarts++
		event.StartUnanswered.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Error(err))
		if r.phase == runSent {
			r.phase = runUncertain
		}
		r.sentAt = now // only a poll sent from now on shows whether the run started
		w.pauseAfterUnanswered(now)
		return
	}
	if r.sentToPrevious() {
		if a.Outcome != platform.OrderDone { // either incarnation may have carried it out
			e.refused(r, a, nil, now)
		}
		return
	}
	switch a.Outcome {
	case platform.OrderDone:
		if r.phase == runSent {
			r.phase = runConfirmed
		}
		r.confirmedAt = now
		r.sampled.startedMS = a.ClockMS
		r.startedHere = a.ClockMS > 0 && a.ClockMS >= w.clockMS
		w.receivedLeaseMS = max(w.receivedLeaseMS, r.deadlineMS)
		e.begin(r.task.step.job, now)
		return
	case platform.OrderFenced:
		e.superseded = true
	case platform.OrderWrongIncarnation:
		e.refused(r, a, nil, now)
		e.incarnationEnded(w, "another worker answers at its address", now)
		return
	}
	e.refused(r, a, nil, now)
}

// notDelivered handles a start that was not sent, because no connection to the
// worker could be set up. A probe shows whether the worker has ended.
func (e *Engine) notDelivered(r *run, err error, now time.Duration) {
	w := r.worker
	w.pauseAfterUnanswered(now)
	e.refused(r, platform.OrderAnswer{Outcome: platform.OrderNotSent}, err, now)
	if !w.probing {
		e.poll(w, true, now)
	}
}

// refused handles a start that the worker refused or that was not sent, for the
// given error if there is one.
func (e *Engine) refused(r *run, a platform.OrderAnswer, err error, now time.Duration) {
	w, t := r.worker, r.task
	event.StartRefused.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Stringer("outcome", a.Outcome), zap.Error(err))
	switch a.Outcome {
	case platform.OrderNoCapacity:
		e.stats.RefusedNoRoom++
		w.pauseUntil(now + refusalPause)
	case platform.OrderBusy:
		w.pauseUntil(now + refusalPause)
		e.penalize(w, t, now)
	case platform.OrderNoTicket:
		e.stats.TicketsRefused++
		t.step.tickets = nil
	case platform.OrderLate:
		w.fenced = false // so that a poll reads its clock again
	case platform.OrderInvalid:
		t.notBefore = now + refusalPause
	}
	r.openCrash = nil // no incarnation has carried the start out
	e.endRun(r, now)
}

// sortedLongRunning returns the runs of long-running tasks on the worker in a fixed
// order, without those that are displaced.
func (w *worker) sortedLongRunning() []*run {
	list := slices.DeleteFunc(slices.Clone(w.longRunning), (*run).displaced)
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(a.task.compare(b.task), cmp.Compare(a.number, b.number))
	})
	return list
}

// endRun removes a run that is over. Its task can be started again, unless it
// is done.
func (e *Engine) endRun(r *run, now time.Duration) {
	t := r.task
	s := t.step
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	r.withdraw()
	r.stop.withdraw()
	t.runs = slices.Delete(t.runs, i, i+1)
	r.worker.removeRun(r)
	r.worker.pool.needsPass = true
	s.job.liveRuns--
	e.reportCancelledRunsEnd(r, now)
	e.leaveOpenCrash(r, now)
	if t.startable() {
		s.idle++
		e.enqueue(s)
	}
	e.forget(s.job)
}

// stop orders the worker to end a run.
func (e *Engine) stop(r *run, reason string, now time.Duration) {
	if r.phase == runStopping {
		return
	}
	r.phase = runStopping
	r.stopReason = reason
	r.withdraw()
	e.sendStop(r, now)
}

// adopt takes over a run of a previous owner. It returns nil if no job needs
// the run.
func (e *Engine) adopt(w *worker, s platform.RunStatus, now time.Duration) *run {
	j := e.jobs[s.Task.Job]
	if j == nil || j.ended() || j.Pool != w.Pool {
		return nil
	}
	t := e.startedTask(j, s.Task, now)
	if t == nil || t.done || len(t.runs) > 0 || slices.Contains(t.settledRuns, s.Run) || s.Run < t.lastRun {
		return nil
	}
	r := &run{task: t, number: s.Run, worker: w, phase: runConfirmed, sentAt: now, confirmedAt: now, progressAt: now, throttledPercent: 100}
	if t.step.Filler {
		r.throttledPercent = unknownPercent
	}
	t.lastRun = s.Run
	t.found = true
	t.step.idle--
	if t.step.idle == 0 {
		e.dequeue(t.step)
	}
	t.runs = append(t.runs, r)
	w.addRun(r)
	j.liveRuns++
	event.TaskAdopted.Log(e.opts.Log, zap.Stringer("task", s.Task), zap.Int("run", s.Run), zap.String("worker", w.ID))
	return r
}

// observe updates a run from its listed state.
func (e *Engine) observe(r *run, s platform.RunStatus, now time.Duration) {
	if r.phase == runSent || r.phase == runUncertain {
		r.phase = runConfirmed
	}
	r.confirmedAt = max(r.confirmedAt, now)
	r.listed = true
	r.openCrash = nil // it runs on the incarnation that lists it
	if r.phase == runConfirmed {
		r.task.listedAt = now
	}
	e.begin(r.task.step.job, now)
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	if s.Percent > r.percent {
		r.progressAt = now
	}
	if r.firstPercent == 0 && r.mayBeginWithProgress() {
		r.firstPercent, r.firstAt = s.Percent, now
	}
	r.percent = s.Percent
	r.load = s.Load
	e.survivedStart(r, now)
}

// processEnds handles the ends that a worker lists, in their order.
func (e *Engine) processEnds(w *worker, ends []platform.EndedRun, now time.Duration) {
	for _, end := range ends {
		if end.Number <= w.lastSeenEnd {
			continue
		}
		w.lastSeenEnd = end.Number
		w.removeOrphan(runKey{end.Task, end.Run})
		j := e.ended(w, end, now)
		p := pendingEnd{number: end.Number, job: j}
		if j != nil {
			p.seq = j.seq
		}
		w.pendingEnds = append(w.pendingEnds, p)
	}
}

// ended handles one end. It returns the job whose record has to be written
// before the end may be acknowledged, nil if none has to: an end that adds nothing
// still relies on the record that the task is done.
func (e *Engine) ended(w *worker, end platform.EndedRun, now time.Duration) *job {
	j := e.jobs[end.Task.Job]
	if j == nil {
		e.ignoreEnd(w, end, "unknown job")
		return nil
	}
	t := e.startedTask(j, end.Task, now)
	if t == nil {
		e.ignoreEnd(w, end, "unknown task")
		return nil
	}
	r := w.runs[runKey{end.Task, end.Run}]
	t.lastRun = max(t.lastRun, end.Run)
	if end.Checkpoint != "" && (r != nil || len(t.runs) == 0) {
		t.checkpoint = end.Checkpoint
	}
	event.TaskEnded.Log(e.opts.Log, zap.Stringer("task", end.Task), zap.Int("run", end.Run), zap.String("worker", w.ID),
		zap.String("end", string(end.End)), zap.Int64("number", end.Number), zap.Bool("given_up", slices.Contains(t.settledRuns, end.Run)))
	t.settledRuns = append(t.settledRuns, end.Run)
	e.begin(j, now)
	var changed *job
	switch {
	case t.done || j.ended():
		changed = j
	case end.End == platform.EndDone && !t.step.LongRunning:
		e.taskDone(t, r, now)
		changed = j
	case end.End == platform.EndFailed && !t.step.LongRunning:
		e.taskFailed(t, w, end.Run, now)
		changed = j
	case end.End == platform.EndFailed:
		t.failedAt(w)
		e.penalize(w, t, now)
	case end.End == platform.EndAlone:
		t.step.gangRetry = now + refusalPause
	}
	if r != nil {
		if end.End == platform.EndDone {
			w.succeeded(now)
		}
		e.learnFromEnd(r, end.End, now)
		r.openCrash = nil // it has run on the incarnation that lists its end
		e.endRun(r, now)
	}
	return changed
}

// ignoreEnd logs an end that is acknowledged without a record.
func (e *Engine) ignoreEnd(w *worker, end platform.EndedRun, reason string) {
	e.stats.EndsIgnored++
	event.EndIgnored.Log(e.opts.Log, zap.Stringer("task", end.Task), zap.Int("run", end.Run), zap.String("worker", w.ID),
		zap.Int64("incarnation", w.StartedMS), zap.String("end", string(end.End)), zap.Int64("number", end.Number), zap.String("reason", reason))
}

// taskDone records that a task has finished. The end of one member of a gang
// finishes the whole gang.
func (e *Engine) taskDone(t *task, by *run, now time.Duration) {
	s := t.step
	finished := []*task{t}
	if s.Gang {
		finished = s.tasks
	}
	e.stats.Done++
	for _, f := range finished {
		if f.done {
			continue
		}
		s.job.progress.Done = append(s.job.progress.Done, [3]int{s.occ.number, s.index, f.index})
		e.markDone(f)
		e.pool(s.job.Pool).completed += s.Requests().Processors * s.Estimate.Seconds()
		if s.Gang {
			continue // the others end by themselves
		}
		for _, other := range slices.Clone(f.runs) {
			if other != by {
				e.stop(other, "another run finished first", now)
			}
		}
	}
	e.markDirty(s.job, true, now)
	if s.job.doneOccurrences == s.job.Occurrences() {
		e.endJob(s.job, workload.Completed, now)
	}
}

// taskFailed records a failed run and ends the job after too many.
func (e *Engine) taskFailed(t *task, w *worker, number int, now time.Duration) {
	j := t.step.job
	record := [4]int{t.step.occ.number, t.step.index, t.index, number}
	if slices.Contains(j.progress.Failures, record) {
		return
	}
	e.stats.FailedRuns++
	j.progress.Failures = append(j.progress.Failures, record)
	t.failures++
	t.notBefore = now + failurePause
	t.failedAt(w)
	e.penalize(w, t, now)
	e.speeds.Failed(w.ID, now)
	e.markDirty(j, true, now)
	if t.failures >= j.maxAttempts() {
		e.endJob(j, workload.Failed, now)
	}
}

// maxAttempts returns the number of failed runs of one task after which the job
// fails.
func (j *job) maxAttempts() int {
	if j.queue != nil && j.queue.MaxAttempts > 0 {
		return j.queue.MaxAttempts
	}
	return 1
}
