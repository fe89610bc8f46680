package job

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// place runs a placement pass and applies its decisions.
func (p *Pool) place(view *View, now time.Time) {
	decisions := placement.Pass(p.placementState(view, now))
	waits := 0
	for _, d := range decisions {
		if d.Kind == placement.SetAside {
			p.setAside(d)
			continue
		}
		s := p.jobs[d.Job]
		if s == nil || s.inFlight || s.Placed() && s.startState != startConfirmed {
			continue
		}
		if d.Kind == placement.Wait {
			// A later pass records the remaining wait reasons.
			if waits++; waits > BatchSize {
				continue
			}
		}
		p.applyDecision(s, d, view, now)
	}
}

// applyDecision applies one placement decision to a job.
func (p *Pool) applyDecision(s *state, d placement.Decision, view *View, now time.Time) {
	switch d.Kind {
	case placement.Place:
		p.placeJob(s, d, view, now)
	case placement.Wait, placement.Never:
		p.recordReason(s, d, now)
	case placement.Drop:
		event.JobDropped.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name))
		p.requeueOrCancel(s, d.Reason, now)
	case placement.Checkpoint:
		p.stopTask(s, CallCheckpoint, d.Reason, now)
	case placement.Stop:
		if !s.Cancelled { // reconcile stops cancelled jobs
			p.stopTask(s, CallStop, d.Reason, now)
		}
	case placement.Throttle:
		event.TaskThrottled.Log(p.log, zap.String("job", s.ID), zap.String("host", s.Host))
		p.addCall(s, now, Call{Kind: CallThrottle, Share: throttleShare})
	case placement.Unthrottle:
		event.TaskUnthrottled.Log(p.log, zap.String("job", s.ID), zap.String("host", s.Host))
		p.addCall(s, now, Call{Kind: CallThrottle, Share: 1})
	}
}

// placeJob writes a placement. The start is sent after the commit, so that a
// successor finds a row for every task that may have started.
func (p *Pool) placeJob(s *state, d placement.Decision, view *View, now time.Time) {
	next := s.Row
	next.State = adminapi.JobRunning
	next.Reason = ""
	next.Host = d.Host
	next.Epoch = d.Epoch
	next.PlacedMS = now.UnixMilli()
	event.JobPlaced.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("host", d.Host),
		zap.Uint64("epoch", d.Epoch), zap.Float64("processors", d.Size.Processors), zap.Int("memory_mb", d.Size.MemoryMB))
	s.placingOn = d.Host
	p.replaceRow(s, next, platform.Condition{Key: host.Key(d.Host), Version: view.Workers[d.Host].RowVersion})
}

// recordReason writes why a job waits or cannot run.
func (p *Pool) recordReason(s *state, d placement.Decision, now time.Time) {
	if d.Reason == placement.ReasonBackoff {
		s.waitReason = d.Reason // the row keeps the failure of the last run
		return
	}
	next := s.Row
	next.Reason = string(d.Reason)
	next.State = adminapi.JobPending
	e := event.JobWaits
	if d.Kind == placement.Never {
		e = event.JobImpossible
		next.State = adminapi.JobImpossible
		if d.Reason == placement.ReasonFailsEverywhere {
			next.setTerminal(adminapi.JobFailed, next.Reason, now)
		}
	}
	e.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("reason", string(d.Reason)))
	p.replaceRow(s, next, platform.Condition{})
}

// setAside excludes a worker from placement until d.Until.
func (p *Pool) setAside(d placement.Decision) {
	p.setAsideUntil[d.Host] = d.Until
	event.WorkerSetAside.Log(p.log, zap.String("host", d.Host), zap.String("pool", p.name),
		zap.Time("until", d.Until), zap.String("reason", string(d.Reason)))
}

// placementState returns the input of a placement pass.
func (p *Pool) placementState(view *View, now time.Time) placement.State {
	state := placement.State{
		Now: now, Teams: view.Teams, Usage: p.classUsage, Outcomes: p.outcomes,
	}
	for _, j := range view.Placed {
		if j.Pool != p.name {
			state.Jobs = append(state.Jobs, j)
		}
	}
	for name, w := range view.Workers {
		w.SetAsideUntil = p.setAsideUntil[name]
		state.Workers = append(state.Workers, w.Worker)
	}
	// Placement fills workers in order of their names.
	slices.SortFunc(state.Workers, func(a, b placement.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	// A fixed job order makes decisions deterministic.
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		if s := p.jobs[id]; !s.Terminal() {
			state.Jobs = append(state.Jobs, p.placementJob(s))
		}
	}
	return state
}

// placementJob returns a job as package placement represents it. A job whose
// placement is being committed already counts against its worker.
func (p *Pool) placementJob(s *state) placement.Job {
	j := placementJob(&s.Row)
	j.LastReason = s.waitReason
	switch {
	case s.Placed():
		j.Task = &placement.Task{
			Host: s.Host, Started: time.UnixMilli(s.PlacedMS), Used: s.used, UsedAt: s.usedAt,
			Throttled: s.throttled, Stopping: s.stopReason != "" || s.Cancelled,
		}
	case s.placingOn != "":
		j.Task = &placement.Task{Host: s.placingOn, Started: time.UnixMilli(s.PlacedMS)}
	}
	return j
}

// placementJob returns the job that a row describes, as package placement
// represents it.
func placementJob(r *Row) placement.Job {
	j := placement.Job{
		ID: r.ID, Team: r.Team, Class: usageClass(r), Pool: r.Pool, Priority: r.Priority,
		Submitted: time.UnixMilli(r.SubmittedMS), Checkpoints: r.Checkpoints, Idempotent: r.Idempotent,
		Cancelled: r.Cancelled, Epoch: r.Epoch, Failed: r.Failed,
		Declared: placement.Resources{
			Processors: float64(r.Processors), MemoryMB: r.MemoryMB, Accelerators: r.Accelerators,
		},
		DeclaredRun: time.Duration(r.RunMS) * time.Millisecond,
	}
	if r.DeadlineMS > 0 {
		j.Deadline = time.UnixMilli(r.DeadlineMS)
	}
	if r.NotBeforeMS > 0 {
		j.NotBefore = time.UnixMilli(r.NotBeforeMS)
	}
	return j
}
