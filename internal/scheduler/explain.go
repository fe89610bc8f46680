package scheduler

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// maxExplained bounds the workers whose reasons are listed, since the control
	// work waits meanwhile.
	maxExplained = 200
	// maxNamed bounds the workers that are named for each reason.
	maxNamed = 10
)

// Explanation tells where the tasks of a job, or those of any job of a pool, would
// start.
type Explanation struct {
	// CancelsAge and EntriesAge are the ages of the known cancellations and of the
	// known entries of workers.
	CancelsAge, EntriesAge time.Duration
	// Held is why no task of the job starts now on any worker, empty if it may.
	Held string
	// Workers is the number of workers of the pool, Explained that of those that Steps
	// tell about. WaitingSteps is the number of steps that wait for capacity in the pool
	// and may be served first.
	Workers, Explained, WaitingSteps int
	// Steps has an element for each step of the job. Without a job it has one, which
	// tells which workers may get tasks at all.
	Steps []StepExplanation
}

// StepExplanation tells where the tasks of a step would start.
type StepExplanation struct {
	// Waits is set if other steps have to be done first. The rest is told as if they
	// were.
	Waits bool
	// Chosen are the workers that would be chosen for the first task, or for all of a
	// gang, without duplicates and the first ten at most.
	Chosen []string
	// Reasons are in the order in which they first occur. The empty reason stands for
	// the workers on which a task could start.
	Reasons []ReasonCount
}

// ReasonCount is a reason with the workers that it applies to.
type ReasonCount struct {
	Reason string
	Count  int
	// Workers are the ids of the first ten.
	Workers []string
}

// Explain returns where the tasks of a job would start now, or if spec is nil, which
// workers of the pool may get tasks. It changes nothing. Tickets are not requested, so
// no worker has one for a step that needs them.
func (e *Engine) Explain(poolName string, spec *workload.Job, now time.Duration) Explanation {
	x := Explanation{CancelsAge: e.cancelsAge(now), EntriesAge: e.EntriesAge(now), Held: e.heldReason(spec, now)}
	p := e.pools[poolName]
	if p == nil {
		p = &pool{name: poolName}
	}
	explained := p.workers[:min(len(p.workers), maxExplained)]
	x.Workers, x.Explained, x.WaitingSteps = len(p.workers), len(explained), len(p.ready)
	if spec == nil {
		var step StepExplanation
		for _, w := range explained {
			step.count(w.unusable(now), w.ID)
		}
		x.Steps = []StepExplanation{step}
		return x
	}
	j := &job{Job: spec, team: e.teams[spec.Team], accepted: now, occurrences: map[int]*occurrence{}, queue: spec.Terms}
	e.updateQueue(j)
	o := j.newOccurrence(0, now, now)
	j.occurrences[0] = o
	j.criticalPath = o.estimateCriticalPaths()
	open, lastResort := p.openWorkers(now)
	for _, s := range o.steps {
		step := StepExplanation{Waits: s.waitsFor > 0}
		for _, w := range explained {
			step.count(e.startReason(s.tasks[0], w, now), w.ID)
		}
		for _, w := range e.wouldChoose(s, open, lastResort, now) {
			step.Chosen = appendNamed(step.Chosen, w.ID)
		}
		x.Steps = append(x.Steps, step)
	}
	return x
}

// heldReason returns why no task of a job starts now on any worker, "" if it may. The
// job may be nil.
func (e *Engine) heldReason(spec *workload.Job, now time.Duration) string {
	switch {
	case e.catalog == nil:
		return "no configuration yet"
	case e.ownership == OwnershipExpired:
		return "ownership lease expired"
	case e.startsTooOld(now):
		return "starts held, what they rely on is too old"
	case spec != nil && spec.Schedule != nil && e.opts.UnixMS(now) < spec.Schedule.StartMS:
		return "not due before " + time.UnixMilli(spec.Schedule.StartMS).UTC().Format(time.RFC3339)
	}
	return ""
}

// startReason returns why the task would not start on the worker, "" if it could.
func (e *Engine) startReason(t *task, w *worker, now time.Duration) string {
	if reason := e.passedOver(t, w, now); reason != "" {
		return reason
	}
	switch {
	case !t.step.fitsQuota(t.step.startsTogether(), now):
		return "quota of its team"
	case !t.step.fitsOn(w):
		return "capacity held for long-running tasks"
	case !e.separate(t, w, now):
		return "kept for a suspect"
	}
	if reason := w.unusable(now); reason != "" {
		return "last resort only: " + reason
	}
	return ""
}

// startsTogether returns how many tasks of the step start at once.
func (s *step) startsTogether() int {
	if s.Gang {
		return len(s.tasks)
	}
	return 1
}

// wouldChoose returns the worker that placeStep would choose for the first task of a
// step, or those that placeGang would choose for all of its tasks.
func (e *Engine) wouldChoose(s *step, open, lastResort []*worker, now time.Duration) []*worker {
	t := s.tasks[0]
	if !s.fitsQuota(s.startsTogether(), now) {
		return nil
	}
	if s.Gang {
		return e.separateGang(s, open, e.separated(t, open, now), now)
	}
	w, _, _ := e.chooseWorker(t, open, now)
	if w == nil {
		w, _, _ = e.chooseWorker(t, t.lastResort(lastResort, now), now)
	}
	if w == nil {
		return nil
	}
	return []*worker{w}
}

// count adds a worker to those of a reason.
func (x *StepExplanation) count(reason, id string) {
	for i := range x.Reasons {
		if r := &x.Reasons[i]; r.Reason == reason {
			r.Count++
			r.Workers = appendNamed(r.Workers, id)
			return
		}
	}
	x.Reasons = append(x.Reasons, ReasonCount{Reason: reason, Count: 1, Workers: []string{id}})
}

// appendNamed appends an id to a list of at most maxNamed, unless it is the last one
// already.
func appendNamed(ids []string, id string) []string {
	if len(ids) >= maxNamed || (len(ids) > 0 && ids[len(ids)-1] == id) {
		return ids
	}
	return append(ids, id)
}
