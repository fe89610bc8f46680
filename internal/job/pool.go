package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// startState is what is known of the startState of a placed task.
type startState int

const (
	// startUnknown tasks may run, may have run, or were never started. It is
	// the zero value: what another process placed is never taken for unsent.
	startUnknown startState = iota
	// startUnsent tasks were placed by this ownership, which sent no start
	// that could have had an effect.
	startUnsent
	// startConfirmed tasks are known to have started.
	startConfirmed
)

// state is a job with what this ownership knows of it.
type state struct {
	Stored
	startState startState
	// observedAt is when this ownership learnt of the placement.
	observedAt time.Time
	// committedAt is when the last commit of the row by this ownership began, zero
	// for none. A start is sent only within startWindow of it: a process that
	// does not know of its successor is done with starts before that one gives
	// them up.
	committedAt time.Time
	// epochRejected says that the worker answered that it has seen the epoch.
	epochRejected bool
	// lastSeen is the last reading that showed the task, or since.
	lastSeen time.Time
	// lastCallAt is when the last call about the task was made.
	lastCallAt time.Time
	// inFlight says that a commit or a call about the job is under way.
	inFlight bool
	// commitUnknownAt is when a commit of the row ended with an unknown outcome, zero
	// once a later scan showed the row.
	commitUnknownAt time.Time
	// placingOn is the host of a placement whose commit is under way.
	placingOn string
	// stopReason is why the task was told to stop, empty for a task that was not.
	stopReason placement.Reason
	// used and usedAt are the highest use that was read, and when.
	used      placement.Resources
	usedAt    time.Time
	throttled bool
	// checkpoint is the last one that was read.
	checkpoint string
	// endReport is the report of the task's end that is to be written back.
	endReport *platform.TaskUsage
	// waitReason is the last reason to wait that was waitReason.
	waitReason placement.Reason
}

// hostState is what a Pool does about one worker.
type hostState struct {
	// readAt is when the last good reading began, requestedAt the last one.
	readAt, requestedAt time.Time
	reading             bool
	renewedAt           time.Time
	renewing            bool
}

// Pool keeps the jobs of one pool during one ownership. It does no I/O: Step
// returns calls and Done takes their results. It is used by one goroutine.
type Pool struct {
	name   string
	writer string
	log    *zap.Logger

	jobs          map[string]*state
	hosts         map[string]*hostState
	classUsage    map[string]placement.ClassUsage
	outcomes      []placement.Outcome
	setAsideUntil map[string]time.Time
	lastPass      time.Time
	passRequested bool
	stale         bool

	// orphans are stops of tasks that should not run, for the next step.
	orphans []*Call
	// calls and writes are those of the step under way.
	calls  []*Call
	writes []write
}

// NewPool returns the state of a pool from its rows, which must come from a
// scan that began after the acquisition of the shard: before, a former owner's
// last placement may be missing, and the job could be placed twice.
func NewPool(name string, epoch uint64, rows []Stored, now time.Time, log *zap.Logger) *Pool {
	p := &Pool{
		name:          name,
		writer:        fmt.Sprintf("%s/%d", name, epoch),
		log:           log,
		jobs:          map[string]*state{},
		hosts:         map[string]*hostState{},
		classUsage:    map[string]placement.ClassUsage{},
		setAsideUntil: map[string]time.Time{},
		passRequested: true,
	}
	p.ApplyScan(rows, now, now)
	return p
}

// ApplyScan takes in rows that a scan brought, if they are newer. began is when the
// scan began.
func (p *Pool) ApplyScan(rows []Stored, began, now time.Time) {
	defer p.resolveUnknownCommits(began)
	for _, r := range rows {
		if r.Pool != p.name {
			continue
		}
		old := p.jobs[r.ID]
		if old != nil && old.Version >= r.Version {
			continue
		}
		p.passRequested = true
		if old != nil && old.Epoch == r.Epoch && old.State == r.State {
			old.Stored = r // a cancellation
			continue
		}
		s := &state{Stored: r, observedAt: now, lastSeen: now}
		if !r.Placed() {
			s.waitReason = placement.Reason(r.Reason)
		}
		if old != nil {
			s.inFlight, s.placingOn, s.commitUnknownAt = old.inFlight, old.placingOn, old.commitUnknownAt
		}
		p.jobs[r.ID] = s
	}
}

// resolveUnknownCommits frees the rows of commits whose outcome was unknown before the scan
// that began at a time. A commit that still lands after the scan is safe: the
// next write of its rows fails, and a drain is finished by a later scan only.
func (p *Pool) resolveUnknownCommits(began time.Time) {
	for _, s := range p.jobs {
		if !s.commitUnknownAt.IsZero() && began.After(s.commitUnknownAt) {
			s.commitUnknownAt = time.Time{}
			s.inFlight = false
			s.placingOn = ""
		}
	}
}

// Stale reports, once, whether a commit met rows that this Pool does not know,
// so that a scan is needed.
func (p *Pool) Stale() bool {
	stale := p.stale
	p.stale = false
	return stale
}

// Active counts the jobs that hold each worker, those included whose placement
// may be about to be written.
func (p *Pool) Active() map[string]int {
	active := map[string]int{}
	for _, s := range p.jobs {
		if s.Placed() {
			active[s.Host]++
		}
		if s.placingOn != "" {
			active[s.placingOn]++
		}
	}
	return active
}

// Step decides what to do now and returns the calls to make. Calls of one step
// may be made in any order and at once.
func (p *Pool) Step(view *View, now time.Time) []*Call {
	p.calls, p.orphans, p.writes = p.orphans, nil, nil
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		p.reconcile(p.jobs[id], view, now)
	}
	p.readHosts(view, now)
	p.renew(view, now)
	if p.passRequested || now.Sub(p.lastPass) >= passInterval {
		p.passRequested = false
		p.lastPass = now
		p.place(view, now)
	}
	p.addCommits()
	return p.calls
}

// addCall asks for a addCall about a job.
func (p *Pool) addCall(s *state, now time.Time, c Call) {
	c.Job = s.ID
	c.Host = s.Host
	c.TaskIDs = []string{s.TaskID()}
	s.inFlight = true
	s.lastCallAt = now
	p.calls = append(p.calls, &c)
}
