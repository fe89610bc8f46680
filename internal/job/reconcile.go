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

// reconcile brings one job with a task a step on.
func (p *Pool) reconcile(s *state, view *View, now time.Time) {
	switch {
	case s.inFlight:
	case s.Terminal():
		p.deleteRow(s, now)
	case !s.Placed():
	case s.endReport != nil:
		p.recordEnd(s, now)
	case s.startState == startUnsent:
		p.reconcileUnsent(s, view, now)
	case s.startState == startUnknown:
		p.reconcileUnknown(s, view, now)
	default:
		p.reconcileStarted(s, view, now)
	}
}

// deleteRow deletes the row of a job that was over for long.
func (p *Pool) deleteRow(s *state, now time.Time) {
	if now.Sub(time.UnixMilli(s.EndedMS)) > Retention {
		s.inFlight = true
		p.writes = append(p.writes, write{state: s, next: s.Row, deleteRow: true})
	}
}

// reconcileUnsent starts a task that this ownership placed. As nothing was sent,
// a job that may not start any more goes back without having run.
func (p *Pool) reconcileUnsent(s *state, view *View, now time.Time) {
	switch {
	case s.Cancelled || !view.serving(s.Host):
		p.requeueOrCancel(s, ReasonNeverStarted, now)
	case now.Sub(s.committedAt) > startWindow:
		p.setAsideUntil[s.Host] = now.Add(setAsideAfterRefusal)
		p.requeueOrCancel(s, ReasonNeverStarted, now)
	case now.Sub(s.lastCallAt) >= retryInterval:
		p.startTask(s, now)
	}
}

// startTask asks for the start of a task.
func (p *Pool) startTask(s *state, now time.Time) {
	p.addCall(s, now, Call{Kind: CallStart, NotAfter: s.committedAt.Add(startWindow), Task: platform.Task{
		ID: s.TaskID(), Host: s.Host, Epoch: s.Epoch, Command: s.Command,
		Processors: s.Processors, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators,
		Lease: TaskLease, Checkpoint: s.Checkpoint,
	}})
}

// reconcileUnknown settles a start of unknown outcome. Where the task may still
// start, the same start is sent again to the same worker, which has it start
// once under one epoch; a reading then shows it. Elsewhere the task is stopped
// if it is there, and given up once no start can arrive any more.
func (p *Pool) reconcileUnknown(s *state, view *View, now time.Time) {
	last := s.observedAt
	if s.committedAt.After(last) {
		last = s.committedAt
	}
	givenUp := now.Sub(last) > startResolveTimeout && p.usageReadSince(s, view, last.Add(startResolveTimeout))
	wanted := !s.Cancelled && !s.epochRejected && view.serving(s.Host) &&
		(!s.Idempotent || now.Sub(s.observedAt) < startResolveTimeout)
	switch {
	case givenUp:
		p.markLost(s, now)
	case now.Sub(s.lastCallAt) < retryInterval || !p.usageReadSince(s, view, s.observedAt):
	case wanted && now.Sub(s.committedAt) < startWindow:
		p.startTask(s, now)
	case wanted:
		p.confirmOwnership(s, view)
	case !view.lost(s.Host) && !s.epochRejected || s.Cancelled:
		p.addCall(s, now, Call{Kind: CallStop})
	}
}

// confirmOwnership writes the row as it is, under the epoch and on the condition that
// the worker serves, before a start is sent again.
func (p *Pool) confirmOwnership(s *state, view *View) {
	p.replaceRow(s, s.Row, platform.Condition{Key: host.Key(s.Host), Version: view.Workers[s.Host].RowVersion})
	p.writes[len(p.writes)-1].confirmOwnership = true
}

// usageReadSince reports whether the job's worker was read since a time, or is gone.
func (p *Pool) usageReadSince(s *state, view *View, since time.Time) bool {
	return view.lost(s.Host) || p.host(s.Host).readAt.After(since)
}

// reconcileStarted follows a task that runs.
func (p *Pool) reconcileStarted(s *state, view *View, now time.Time) {
	switch {
	case view.lost(s.Host):
		if now.Sub(s.lastSeen) > lostTimeout {
			p.markLost(s, now)
		}
	case p.host(s.Host).readAt.Sub(s.lastSeen) > lostTimeout:
		p.markLost(s, now)
	case now.Sub(s.lastCallAt) < retryInterval:
	case s.Cancelled:
		p.stopTask(s, CallStop, placement.ReasonCancelled, now)
	case s.stopReason != "":
		p.stopTask(s, p.stopCall(s), s.stopReason, now)
	case view.draining(s.Host) && (s.Checkpoints || s.Idempotent):
		p.stopTask(s, p.stopCall(s), ReasonDrain, now)
	}
}

// stopCall returns how a task that is to run again is ended.
func (p *Pool) stopCall(s *state) CallKind {
	if s.Checkpoints {
		return CallCheckpoint
	}
	return CallStop
}

// stopTask tells a task to stopTask.
func (p *Pool) stopTask(s *state, kind CallKind, reason placement.Reason, now time.Time) {
	if s.stopReason == "" {
		e := event.TaskStopped
		if kind == CallCheckpoint {
			e = event.TaskCheckpoint
		}
		e.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", s.Host),
			zap.Uint64("epoch", s.Epoch), zap.String("reason", string(reason)))
	}
	s.stopReason = reason
	p.addCall(s, now, Call{Kind: kind})
}

// requeueOrCancel puts a job whose task does not run back among those that wait, or
// ends it if it was cancelled.
func (p *Pool) requeueOrCancel(s *state, reason placement.Reason, now time.Time) {
	next := s.Row
	if s.Cancelled {
		next.setTerminal(adminapi.JobCancelled, string(placement.ReasonCancelled), now)
	} else {
		next.State = adminapi.JobPending
		next.Reason = string(reason)
		next.NotBeforeMS = 0
	}
	p.replaceRow(s, next, platform.Condition{})
}

// markLost settles a task that is gone without having been seen to end. Only a job
// that may run twice goes back.
func (p *Pool) markLost(s *state, now time.Time) {
	event.TaskLost.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", s.Host),
		zap.Uint64("epoch", s.Epoch))
	if s.Cancelled || s.Idempotent {
		p.requeueOrCancel(s, ReasonLost, now)
		return
	}
	next := s.Row
	next.setTerminal(adminapi.JobFailed, string(placement.ReasonMayHaveRun), now)
	p.replaceRow(s, next, platform.Condition{})
}
