package job

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// observe takes in a reading of a worker. Its rows are written by the next
// Step.
func (p *Pool) observe(r Result, now time.Time) {
	for i := range r.Usage {
		u := &r.Usage[i]
		id, ours := p.jobOf(u.ID)
		if !ours {
			continue
		}
		s := p.jobs[id]
		if s == nil || s.busy || u.Epoch > s.Epoch {
			continue // about to change, or newer than the rows known here
		}
		if s.Placed() && s.Host == r.Call.Host && s.Epoch == u.Epoch {
			p.observeTask(s, u, r.Began)
		} else if running(u) {
			p.unexpected(s, r.Call.Host, now)
		}
	}
}

// running reports whether a task is not over.
func running(u *platform.TaskUsage) bool {
	return u.State == platform.TaskRunning || u.State == platform.TaskThrottled
}

// unexpected marks a task to be stopped that its job's row does not name, such
// as one that a former owner started late.
func (p *Pool) unexpected(s *state, hostName string, now time.Time) {
	event.OrphanedRunFound.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", hostName))
	s.busy = true
	p.orphans = append(p.orphans, &Call{Kind: CallStop, Job: s.ID, Host: hostName, TaskIDs: []string{s.TaskID()}})
}

// observeTask takes in the report of a job's task.
func (p *Pool) observeTask(s *state, u *platform.TaskUsage, began time.Time) {
	s.start = startSettled
	s.seen = began
	s.used = s.used.Max(placement.Resources{Processors: u.Processors, MemoryMB: u.MemoryMB})
	s.usedAt = u.AsOf
	if u.Checkpoint != "" {
		s.checkpoint = u.Checkpoint
	}
	if !running(u) {
		s.ended = u
	}
}

// settleEnd writes back the end of a task that a reading showed.
func (p *Pool) settleEnd(s *state, now time.Time) {
	u := s.ended
	next := s.Row
	if s.checkpoint != "" {
		next.Checkpoint = s.checkpoint
	}
	switch {
	case u.State == platform.TaskDone:
		p.classes[class(&s.Row)] = p.classes[class(&s.Row)].Observe(s.used, now.Sub(time.UnixMilli(s.PlacedMS)))
		p.outcome(s, false, now)
		next.end(adminapi.JobDone, "", now)
	case s.Cancelled:
		next.end(adminapi.JobCancelled, string(placement.ReasonCancelled), now)
	case u.State == platform.TaskFailed:
		p.outcome(s, true, now)
		next.failed(u.Reason, now)
	case s.Idempotent || s.checkpoint != "":
		next.State = adminapi.JobPending
		next.Reason = string(s.ending)
	default:
		next.end(adminapi.JobFailed, string(ReasonStopped), now)
	}
	p.change(s, next, platform.Condition{})
}

// failed sets what follows the failure of a task: a job that may run again
// waits for its next try, on another worker if there is one.
func (r *Row) failed(reason string, now time.Time) {
	if !r.Idempotent {
		r.end(adminapi.JobFailed, reason, now)
		return
	}
	r.Failed = append(r.Failed[:len(r.Failed):len(r.Failed)], r.Host)
	wait := min(firstBackoff<<min(len(r.Failed)-1, 10), maxBackoff)
	r.NotBeforeMS = now.Add(wait).UnixMilli()
	r.State = adminapi.JobPending
	r.Reason = reason
}

// outcome keeps the end of a task as evidence for and against its worker.
func (p *Pool) outcome(s *state, failed bool, now time.Time) {
	for len(p.outcomes) > 0 && now.Sub(p.outcomes[0].At) > evidenceKept {
		p.outcomes = p.outcomes[1:]
	}
	p.outcomes = append(p.outcomes, placement.Outcome{
		Job: s.ID, Class: class(&s.Row), Host: s.Host, At: now, Failed: failed,
	})
}

// class names the jobs that use alike.
func class(r *Row) string { return r.Team + " " + r.Command }
