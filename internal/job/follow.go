package job

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Reasons of this package, beside those of package placement.
const (
	// ReasonNeverStarted is given for a placement whose task was not started.
	ReasonNeverStarted placement.Reason = "the worker did not take the task"
	// ReasonLost is given for a task that is gone with its worker.
	ReasonLost placement.Reason = "the worker is gone or lost the task"
	// ReasonDrain is given for a task that ends since its worker drains.
	ReasonDrain placement.Reason = "the worker drains"
	// ReasonStopped is given for a task that was stopped for good.
	ReasonStopped placement.Reason = "stopped before its end"
)

// follow brings one job with a task a step on.
func (p *Pool) follow(s *state, view *View, now time.Time) {
	switch {
	case s.busy:
	case s.Terminal():
		p.forget(s, now)
	case !s.Placed():
	case s.ended != nil:
		p.settleEnd(s, now)
	case s.start == startUnsent:
		p.followUnsent(s, view, now)
	case s.start == startUnknown:
		p.followUnknown(s, view, now)
	default:
		p.followSettled(s, view, now)
	}
}

// forget deletes the row of a job that was over for long.
func (p *Pool) forget(s *state, now time.Time) {
	if now.Sub(time.UnixMilli(s.EndedMS)) > Retention {
		s.busy = true
		p.writes = append(p.writes, write{state: s, next: s.Row, forget: true})
	}
}

// followUnsent starts a task that this ownership placed. As nothing was sent,
// a job that may not start any more goes back without having run.
func (p *Pool) followUnsent(s *state, view *View, now time.Time) {
	switch {
	case s.Cancelled || !view.serving(s.Host):
		p.release(s, ReasonNeverStarted, now)
	case now.Sub(s.proved) > startWindow:
		p.aside[s.Host] = now.Add(refusedAside)
		p.release(s, ReasonNeverStarted, now)
	case now.Sub(s.tried) >= retryInterval:
		p.startTask(s, now)
	}
}

// startTask asks for the start of a task.
func (p *Pool) startTask(s *state, now time.Time) {
	p.call(s, now, Call{Kind: CallStart, NotAfter: s.proved.Add(startWindow), Task: platform.Task{
		ID: s.TaskID(), Host: s.Host, Epoch: s.Epoch, Command: s.Command,
		Processors: s.Processors, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators,
		Lease: TaskLease, Checkpoint: s.Checkpoint,
	}})
}

// followUnknown settles a start of unknown outcome. Where the task may still
// start, the same start is sent again to the same worker, which has it start
// once under one epoch; a reading then shows it. Elsewhere the task is stopped
// if it is there, and given up once no start can arrive any more.
func (p *Pool) followUnknown(s *state, view *View, now time.Time) {
	last := s.since
	if s.proved.After(last) {
		last = s.proved
	}
	givenUp := now.Sub(last) > settleWindow && p.readSince(s, view, last.Add(settleWindow))
	wanted := !s.Cancelled && !s.refused && view.serving(s.Host) &&
		(!s.Idempotent || now.Sub(s.since) < settleWindow)
	switch {
	case givenUp:
		p.lose(s, now)
	case now.Sub(s.tried) < retryInterval || !p.readSince(s, view, s.since):
	case wanted && now.Sub(s.proved) < startWindow:
		p.startTask(s, now)
	case wanted:
		p.affirm(s, view)
	case !view.gone(s.Host) && !s.refused || s.Cancelled:
		p.call(s, now, Call{Kind: CallStop})
	}
}

// affirm writes the row as it is, under the epoch and on the condition that
// the worker serves, before a start is sent again.
func (p *Pool) affirm(s *state, view *View) {
	p.change(s, s.Row, platform.Condition{Key: host.Key(s.Host), Version: view.Workers[s.Host].RowVersion})
	p.writes[len(p.writes)-1].affirm = true
}

// readSince reports whether the job's worker was read since a time, or is gone.
func (p *Pool) readSince(s *state, view *View, since time.Time) bool {
	return view.gone(s.Host) || p.host(s.Host).readAt.After(since)
}

// followSettled follows a task that runs.
func (p *Pool) followSettled(s *state, view *View, now time.Time) {
	switch {
	case view.gone(s.Host):
		if now.Sub(s.seen) > lostAfter {
			p.lose(s, now)
		}
	case p.host(s.Host).readAt.Sub(s.seen) > lostAfter:
		p.lose(s, now)
	case now.Sub(s.tried) < retryInterval:
	case s.Cancelled:
		p.end(s, CallStop, placement.ReasonCancelled, now)
	case s.ending != "":
		p.end(s, p.endKind(s), s.ending, now)
	case view.draining(s.Host) && (s.Checkpoints || s.Idempotent):
		p.end(s, p.endKind(s), ReasonDrain, now)
	}
}

// endKind returns how a task that is to run again is ended.
func (p *Pool) endKind(s *state) CallKind {
	if s.Checkpoints {
		return CallCheckpoint
	}
	return CallStop
}

// end tells a task to end.
func (p *Pool) end(s *state, kind CallKind, reason placement.Reason, now time.Time) {
	if s.ending == "" {
		e := event.TaskStopped
		if kind == CallCheckpoint {
			e = event.TaskCheckpoint
		}
		e.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", s.Host),
			zap.Uint64("epoch", s.Epoch), zap.String("reason", string(reason)))
	}
	s.ending = reason
	p.call(s, now, Call{Kind: kind})
}

// release puts a job whose task does not run back among those that wait, or
// ends it if it was cancelled.
func (p *Pool) release(s *state, reason placement.Reason, now time.Time) {
	next := s.Row
	if s.Cancelled {
		next.end(adminapi.JobCancelled, string(placement.ReasonCancelled), now)
	} else {
		next.State = adminapi.JobPending
		next.Reason = string(reason)
		next.NotBeforeMS = 0
	}
	p.change(s, next, platform.Condition{})
}

// lose settles a task that is gone without having been seen to end. Only a job
// that may run twice goes back.
func (p *Pool) lose(s *state, now time.Time) {
	event.TaskLost.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", s.Host),
		zap.Uint64("epoch", s.Epoch))
	if s.Cancelled || s.Idempotent {
		p.release(s, ReasonLost, now)
		return
	}
	next := s.Row
	next.end(adminapi.JobFailed, string(placement.ReasonMayHaveRun), now)
	p.change(s, next, platform.Condition{})
}
