package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// commitRetry is the pause after a commit whose outcome is not known or that
// was refused.
const commitRetry = 100 * time.Millisecond

// commit emits a transaction for each part in which there is something to
// record and none is under way.
func (e *Engine) commit(now time.Duration) {
	if len(e.dirty) == 0 || (now-e.dirtySince < maxCommitDelay && !e.anyUrgent()) {
		return
	}
	parts := make([][]*job, e.opts.Parts)
	for j := range e.dirty {
		if p := e.opts.PartOf(j.ID); e.committing[p] == nil && now >= e.retryAt[p] {
			parts[p] = append(parts[p], j)
		}
	}
	for part, jobs := range parts {
		if len(jobs) > 0 {
			e.commitPart(part, jobs)
		}
	}
}

// commitPart records the progress of jobs of one part, those that somebody
// waits for first.
func (e *Engine) commitPart(part int, jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.seq, b.seq)
	})
	jobs = jobs[:min(len(jobs), maxCommitJobs)]
	c := &Commit{Part: part, Records: make([]Record, len(jobs))}
	for i, j := range jobs {
		progress := j.progress
		progress.Done = slices.Clone(progress.Done)
		progress.Failures = slices.Clone(progress.Failures)
		c.Records[i] = Record{Job: j.ID, Version: j.version, Progress: progress, seq: j.seq, job: j}
	}
	e.committing[part] = c
	e.stats.Commits++
	e.emit(c)
}

func (e *Engine) anyUrgent() bool {
	for j := range e.dirty {
		if j.urgent {
			return true
		}
	}
	return false
}

// Committed takes in that a transaction was applied with a version.
func (e *Engine) Committed(c *Commit, version int64, now time.Duration) {
	e.committing[c.Part] = nil
	e.dirtySince = now
	for i := range c.Records {
		r := &c.Records[i]
		j := r.job
		j.version = version
		j.durable = r.seq
		if j.seq == r.seq {
			j.urgent = false
			delete(e.dirty, j)
		}
		e.forget(j)
	}
}

// CommitFailed takes in that a transaction was not applied, or may not have
// been. current holds the versions of the rows where they were told: an
// earlier transaction without an answer was applied then.
func (e *Engine) CommitFailed(c *Commit, current map[string]int64, now time.Duration) {
	e.committing[c.Part] = nil
	e.retryAt[c.Part] = now + commitRetry
	if current == nil {
		return
	}
	e.retryAt[c.Part] = now
	for i := range c.Records {
		r := &c.Records[i]
		if v, ok := current[r.Job]; ok {
			r.job.version = v
		}
	}
}
