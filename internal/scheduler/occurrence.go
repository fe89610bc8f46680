package scheduler

import (
	"slices"
	"time"
)

// occurrence is one execution of a job's steps. A job without a schedule has
// one.
type occurrence struct {
	number int
	// due is when the occurrence became due, in the engine's time.
	due   time.Duration
	steps []*step
	// left counts the steps that are not done.
	left int
}

// createDueOccurrences creates the occurrences of scheduled jobs that have
// become due.
func (e *Engine) createDueOccurrences(now time.Duration) {
	for _, j := range e.jobs {
		if j.Schedule != nil && j.nextOccurrence < j.Occurrences() {
			e.createJobOccurrences(j, now)
		}
	}
}

// createJobOccurrences creates the occurrences of one scheduled job that have
// become due.
func (e *Engine) createJobOccurrences(j *job, now time.Duration) {
	unix := e.opts.UnixMS(now)
	for j.nextOccurrence < j.Occurrences() {
		due := j.Schedule.StartMS + int64(j.nextOccurrence)*j.Schedule.Interval.Milliseconds()
		if unix < due {
			return
		}
		e.createOccurrence(j, now-time.Duration(unix-due)*time.Millisecond, now)
	}
}

// createOccurrence creates the steps of the next occurrence and applies the
// recorded progress.
func (e *Engine) createOccurrence(j *job, due, now time.Duration) {
	o := j.newOccurrence(j.nextOccurrence, due, now)
	j.nextOccurrence++
	j.occurrences[o.number] = o
	j.criticalPath = o.estimateCriticalPaths()
	for _, d := range j.progress.Done {
		if t := j.find(d[0], d[1], d[2]); t != nil && d[0] == o.number {
			e.markDone(t)
		}
	}
	for _, f := range j.progress.Failures {
		if t := j.find(f[0], f[1], f[2]); t != nil && f[0] == o.number {
			t.failures++
			t.lastRun = max(t.lastRun, f[3])
		}
	}
	j.restoreCrashes(o)
	for _, s := range o.steps {
		e.enqueue(s)
	}
}

// newOccurrence returns an occurrence with its steps and tasks, none of them done.
func (j *job) newOccurrence(number int, due, now time.Duration) *occurrence {
	o := &occurrence{number: number, due: due, left: len(j.Steps)}
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &step{Step: spec, job: j, occ: o, index: i, waitsFor: len(slices.Compact(slices.Sorted(slices.Values(spec.After)))), left: spec.Count}
		for n := range spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: n, listedAt: now})
		}
		s.idle = spec.Count
		o.steps = append(o.steps, s)
	}
	return o
}

// estimateCriticalPaths sets the critical path of each step and returns the
// longest.
func (o *occurrence) estimateCriticalPaths() time.Duration {
	var longest time.Duration
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPath += s.Estimate
		for _, a := range s.After {
			o.steps[a].criticalPath = max(o.steps[a].criticalPath, s.criticalPath)
		}
		longest = max(longest, s.criticalPath)
	}
	return longest
}
