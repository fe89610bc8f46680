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

// Reasons recorded by this package, in addition to those of package placement.
const (
	// ReasonNeverStarted is recorded for a placement whose task was not started.
	ReasonNeverStarted placement.Reason = "the worker did not take the task"
	// ReasonLost is recorded for a task that disappeared, alone or with its
	// worker.
	ReasonLost placement.Reason = "the worker is gone or lost the task"
	// ReasonDrain is recorded for a task that is stopped because its worker
	// drains.
	ReasonDrain placement.Reason = "the worker drains"
	// ReasonStopped is recorded for a task that was stopped and cannot run again.
	ReasonStopped placement.Reason = "stopped before its end"
)

// reconcile takes the next action for one job: it starts, stops or settles its
// task, or deletes its row.
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

// deleteRow deletes the row of a job that ended longer than Retention ago.
func (p *Pool) deleteRow(s *state, now time.Time) {
	if now.Sub(time.UnixMilli(s.EndedMS)) > Retention {
		s.inFlight = true
		p.writes = append(p.writes, write{state: s, next: s.Row, deleteRow: true})
	}
}

// reconcileUnsent starts a task that this ownership placed. No start that
// could have had an effect has been sent yet, so a job that may no longer
// start is requeued as not run.
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

// startTask adds a call that starts a task.
func (p *Pool) startTask(s *state, now time.Time) {
	p.addCall(s, now, Call{Kind: CallStart, NotAfter: s.committedAt.Add(startWindow), Task: platform.Task{
		ID: s.TaskID(), Host: s.Host, Epoch: s.Epoch, Command: s.Command,
		Processors: s.Processors, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators,
		Lease: TaskLease, Checkpoint: s.Checkpoint,
	}})
}

// reconcileUnknown resolves a start of unknown outcome. While the task may
// still start, the same start is sent again to the same worker, which starts a
// task at most once under an epoch; a later usage read then shows the task.
// Otherwise the task is stopped in case it runs, and is given up once no start
// can reach the worker any more.
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

// confirmOwnership writes the row unchanged, under the pool's epoch and on the
// condition that the worker still serves, before a start is sent again.
func (p *Pool) confirmOwnership(s *state, view *View) {
	p.replaceRow(s, s.Row, platform.Condition{Key: host.Key(s.Host), Version: view.Workers[s.Host].RowVersion})
	p.writes[len(p.writes)-1].confirmOwnership = true
}

// usageReadSince reports whether the usage of the job's worker was read after
// since, or the worker is lost.
func (p *Pool) usageReadSince(s *state, view *View, since time.Time) bool {
	return view.lost(s.Host) || p.host(s.Host).readAt.After(since)
}

// reconcileStarted handles a task that is known to have started: it detects
// its loss, and stops it after a cancellation or when its worker drains.
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

// stopCall returns the kind of call that stops a task whose job is to run
// again.
func (p *Pool) stopCall(s *state) CallKind {
	if s.Checkpoints {
		return CallCheckpoint
	}
	return CallStop
}

// stopTask adds a call that stops a task, and logs the first such call.
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

// requeueOrCancel sets a job whose task does not run back to pending, or ends
// it if it was cancelled.
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

// markLost handles a task that disappeared without a report of its end. A
// cancelled job ends and an idempotent one is requeued; any other job fails,
// since its task may have run.
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
