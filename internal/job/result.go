package job

import (
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Done handles the result of a call.
func (p *Pool) Done(r Result, now time.Time) {
	switch r.Call.Kind {
	case CallCommit:
		p.commitDone(r, now)
	case CallUsage:
		p.host(r.Call.Host).reading = false
		if r.Err == nil {
			p.host(r.Call.Host).readAt = r.Began
			p.observeUsage(r, now)
		}
	case CallRenew:
		h := p.host(r.Call.Host)
		h.renewing = false
		if r.Err == nil {
			h.renewedAt = r.Began
		}
	default:
		p.callDone(r, now)
	}
}

// callDone handles the result of a call about one job.
func (p *Pool) callDone(r Result, now time.Time) {
	s := p.jobs[r.Call.Job]
	if s == nil {
		return
	}
	s.inFlight = false
	if r.Err != nil {
		p.log.Debug("task call failed", zap.String("call", string(r.Call.Kind)), zap.String("job", s.ID),
			zap.String("host", r.Call.Host), zap.Error(r.Err))
	}
	switch r.Call.Kind {
	case CallStart:
		p.startDone(s, r, now)
	case CallThrottle:
		if r.Err == nil {
			s.throttled = r.Call.Share < 1
		}
	}
}

// startDone handles the result of a start. After an unknown outcome the same
// start is sent again: a worker starts a task at most once under an epoch.
func (p *Pool) startDone(s *state, r Result, now time.Time) {
	if !s.Placed() || s.Epoch != r.Call.Task.Epoch {
		return
	}
	switch {
	case r.Err == nil:
		s.startState = startConfirmed
		s.lastSeen = now
		event.TaskStarted.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name),
			zap.String("host", s.Host), zap.Uint64("epoch", s.Epoch))
	case s.startState == startUnsent && startHadNoEffect(r.Err):
		// No call has started the task; it stays unsent.
	default:
		s.startState = startUnknown
		s.epochRejected = s.epochRejected || errors.Is(r.Err, platform.ErrConflict)
	}
}

// jobID returns the job ID in a task ID, and whether the task belongs to this
// pool.
func (p *Pool) jobID(taskID string) (string, bool) {
	pool, id, ok := strings.Cut(taskID, "/")
	return id, ok && pool == p.name
}
