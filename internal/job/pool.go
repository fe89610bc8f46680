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

// startState is what this ownership knows about the start of a placed task.
type startState int

const (
	// startUnknown means that the task may run, may have run, or was never
	// started. It is the zero value, so that a placement by another process is
	// never treated as unsent.
	startUnknown startState = iota
	// startUnsent means that this ownership placed the task and has sent no start
	// that could have had an effect.
	startUnsent
	// startConfirmed means that the task is known to have started.
	startConfirmed
)

// state is a job row with what this ownership knows about the job.
type state struct {
	Stored
	startState startState
	// observedAt is the time at which this ownership learnt of the placement.
	observedAt time.Time
	// committedAt is the start time of this ownership's last commit of the row,
	// zero if there was none. A start is sent only within startWindow of it, so
	// that a process that does not know that it was replaced stops sending starts
	// before its successor gives them up.
	committedAt time.Time
	// epochRejected is set if the worker rejected a start because it had already
	// seen the task's epoch.
	epochRejected bool
	// lastSeen is the time of the last usage read that showed the task, initially
	// observedAt.
	lastSeen time.Time
	// lastCallAt is the time of the last call about the task.
	lastCallAt time.Time
	// inFlight is set while a commit or a call about the job is in flight.
	inFlight bool
	// commitUnknownAt is the time at which a commit of the row ended with an
	// unknown outcome. A scan that started later resets it to zero.
	commitUnknownAt time.Time
	// placingOn is the host of a placement whose commit is in flight.
	placingOn string
	// stopReason is the reason for which the task is being stopped, empty if it
	// is not.
	stopReason placement.Reason
	// used is the peak usage that was read, and usedAt the time of the last read.
	used      placement.Resources
	usedAt    time.Time
	throttled bool
	// checkpoint is the last checkpoint that a usage read showed.
	checkpoint string
	// endReport is the report of the task's end, until it is written to the row.
	endReport *platform.TaskUsage
	// waitReason is the last recorded reason for waiting.
	waitReason placement.Reason
}

// hostState tracks the calls of a Pool to one worker.
type hostState struct {
	// readAt is the start time of the last successful usage read, requestedAt
	// that of the last usage read.
	readAt, requestedAt time.Time
	reading             bool
	renewedAt           time.Time
	renewing            bool
}

// Pool manages the jobs of one pool during one ownership. It does no I/O: Step
// returns calls, and Done handles their results. It must be used by one
// goroutine at a time.
type Pool struct {
	name   string
	writer string
	log    *zap.Logger

	jobs       map[string]*state
	hosts      map[string]*hostState
	classUsage map[string]placement.ClassUsage
	outcomes   []placement.Outcome
	// setAsideUntil holds the workers that are excluded from placement, and until
	// when.
	setAsideUntil map[string]time.Time
	lastPass      time.Time
	// passRequested is set if the next step must run a placement pass, even
	// within passInterval of the last one.
	passRequested bool
	// stale is set if a commit failed, see Stale.
	stale bool

	// orphans holds the stops of orphaned runs that the next step returns.
	orphans []*Call
	// calls and writes are the calls and row writes of the current step.
	calls  []*Call
	writes []write
}

// NewPool returns a Pool with the given rows, which must come from a scan that
// started after the acquisition of the shard: an earlier scan may miss the
// last placement of the previous owner, and the job could be placed twice.
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

// ApplyScan updates the jobs from the rows of a scan that started at began. It
// ignores rows that are not newer than the known ones.
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
			old.Stored = r // marked as cancelled
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

// resolveUnknownCommits clears the in-flight state of rows whose last commit
// had an unknown outcome before the scan that started at began. A commit that
// still takes effect after the scan is harmless: the next write of its rows
// fails, and a drain is completed only by a later scan.
func (p *Pool) resolveUnknownCommits(began time.Time) {
	for _, s := range p.jobs {
		if !s.commitUnknownAt.IsZero() && began.After(s.commitUnknownAt) {
			s.commitUnknownAt = time.Time{}
			s.inFlight = false
			s.placingOn = ""
		}
	}
}

// Stale reports whether a commit failed, so that the known rows may be out of
// date and a scan is needed. It resets the condition.
func (p *Pool) Stale() bool {
	stale := p.stale
	p.stale = false
	return stale
}

// Active returns the number of jobs on each worker, including jobs whose
// placement is being committed.
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

// Step decides on the next actions and returns the calls to make. The calls of
// one step may be made concurrently and in any order.
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

// addCall adds a call about one job.
func (p *Pool) addCall(s *state, now time.Time, c Call) {
	c.Job = s.ID
	c.Host = s.Host
	c.TaskIDs = []string{s.TaskID()}
	s.inFlight = true
	s.lastCallAt = now
	p.calls = append(p.calls, &c)
}
