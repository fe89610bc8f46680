package job

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// observeUsage updates job states from the usage of a worker. The next Step
// writes the resulting rows.
func (p *Pool) observeUsage(r Result, now time.Time) {
	for i := range r.Usage {
		u := &r.Usage[i]
		id, ours := p.jobID(u.ID)
		if !ours {
			continue
		}
		s := p.jobs[id]
		if s == nil || s.inFlight || u.Epoch > s.Epoch {
			continue // the job is unknown, has a call in flight, or its row is older than the task
		}
		if s.Placed() && s.Host == r.Call.Host && s.Epoch == u.Epoch {
			p.observeTask(s, u, r.Began)
		} else if running(u) {
			p.addOrphan(s, r.Call.Host, now)
		}
	}
}

// running reports whether a task has not ended.
func running(u *platform.TaskUsage) bool {
	return u.State == platform.TaskRunning || u.State == platform.TaskThrottled
}

// addOrphan adds a stop of an orphaned run: a task on a worker that the job's
// row does not name, for example because a previous owner's start arrived
// late.
func (p *Pool) addOrphan(s *state, hostName string, now time.Time) {
	event.OrphanedRunFound.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", hostName))
	s.inFlight = true
	p.orphans = append(p.orphans, &Call{Kind: CallStop, Job: s.ID, Host: hostName, TaskIDs: []string{s.TaskID()}})
}

// observeTask updates a job from its task in a usage read that was sent at
// began.
func (p *Pool) observeTask(s *state, u *platform.TaskUsage, began time.Time) {
	s.startState = startConfirmed
	s.lastSeen = began
	s.used = s.used.Max(placement.Resources{Processors: u.Processors, MemoryMB: u.MemoryMB})
	s.usedAt = u.AsOf
	if u.Checkpoint != "" {
		s.checkpoint = u.Checkpoint
	}
	if !running(u) {
		s.endReport = u
	}
}

// recordEnd writes the end of a task that a usage read showed.
func (p *Pool) recordEnd(s *state, now time.Time) {
	u := s.endReport
	next := s.Row
	if s.checkpoint != "" {
		next.Checkpoint = s.checkpoint
	}
	switch {
	case u.State == platform.TaskDone:
		p.classUsage[usageClass(&s.Row)] = p.classUsage[usageClass(&s.Row)].Observe(s.used, now.Sub(time.UnixMilli(s.PlacedMS)))
		p.recordOutcome(s, false, now)
		next.setTerminal(adminapi.JobDone, "", now)
	case s.Cancelled:
		next.setTerminal(adminapi.JobCancelled, string(placement.ReasonCancelled), now)
	case u.State == platform.TaskFailed:
		p.recordOutcome(s, true, now)
		next.recordFailure(u.Reason, now)
	case s.Idempotent || s.checkpoint != "":
		next.State = adminapi.JobPending
		next.Reason = string(s.stopReason)
	default:
		next.setTerminal(adminapi.JobFailed, string(ReasonStopped), now)
	}
	p.replaceRow(s, next, platform.Condition{})
}

// recordFailure updates the row after a failed run. A job that may run again
// waits for a backoff and then prefers another worker.
func (r *Row) recordFailure(reason string, now time.Time) {
	if !r.Idempotent {
		r.setTerminal(adminapi.JobFailed, reason, now)
		return
	}
	r.Failed = append(r.Failed[:len(r.Failed):len(r.Failed)], r.Host)
	wait := min(initialBackoff<<min(len(r.Failed)-1, 10), maxBackoff)
	r.NotBeforeMS = now.Add(wait).UnixMilli()
	r.State = adminapi.JobPending
	r.Reason = reason
}

// recordOutcome keeps the result of a run as evidence about its worker, and
// drops outcomes older than outcomeRetention.
func (p *Pool) recordOutcome(s *state, failed bool, now time.Time) {
	for len(p.outcomes) > 0 && now.Sub(p.outcomes[0].At) > outcomeRetention {
		p.outcomes = p.outcomes[1:]
	}
	p.outcomes = append(p.outcomes, placement.Outcome{
		Job: s.ID, Class: usageClass(&s.Row), Host: s.Host, At: now, Failed: failed,
	})
}

// usageClass returns the class of a job. Jobs of one class, which have the
// same team and command, share usage estimates.
func usageClass(r *Row) string { return r.Team + " " + r.Command }
