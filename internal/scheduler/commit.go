package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// commitRetry is the pause after a commit that was refused or whose outcome is
// unknown.
const commitRetry = 100 * time.Millisecond

// commit emits a transaction for each part that has something to record and no
// transaction in flight.
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

// commitPart emits a transaction with the progress of jobs of one part, urgent
// ones first.
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
	size := 0
	for i, j := range jobs {
		if size += progressSize(&j.progress); i > 0 && size > maxCommitBytes {
			jobs = jobs[:i]
			break
		}
	}
	c := &Commit{Part: part, Records: make([]Record, len(jobs))}
	for i, j := range jobs {
		progress := j.progress
		progress.Done = slices.Clone(progress.Done)
		progress.Failures = slices.Clone(progress.Failures)
		progress.Crashes = slices.Clone(progress.Crashes)
		c.Records[i] = Record{Job: j.ID, Version: j.version, Progress: progress, seq: j.seq, job: j}
	}
	e.committing[part] = c
	e.stats.Commits++
	e.emit(c)
}

// progressSize estimates the size of a record in bytes from above. A larger record
// than a row holds is stored packed.
func progressSize(p *workload.Progress) int {
	const (
		plain  = 150 // queue, state and names of the fields
		number = 8   // digits and separator
		keys   = 30  // names of the fields of a crash
		row    = 64 << 10
	)
	return min(row, plain+len(p.Team)+number*(3*len(p.Done)+4*len(p.Failures)+5*len(p.Crashes))+keys*len(p.Crashes))
}

func (e *Engine) anyUrgent() bool {
	for j := range e.dirty {
		if j.urgent {
			return true
		}
	}
	return false
}

// Committed handles a transaction that was applied. version is the new version
// of its rows.
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
		if len(j.progress.Crashes) > 0 {
			e.pool(j.Pool).needsPass = true // tasks may wait for the record of a crash
		}
		e.forget(j)
	}
}

// CommitFailed handles a transaction that was not applied or whose outcome is
// unknown. current holds the present versions of the rows as far as they are
// known, nil if none is. They differ from the expected ones if an earlier
// transaction without an answer was applied.
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
