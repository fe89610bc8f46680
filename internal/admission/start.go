package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStep is the least step of time in which the service of the waiting work is
	// played forward, and maxSteps the number of steps until the last useful start. They
	// bound the time that a decision takes.
	minStep  = 250 * time.Millisecond
	maxSteps = 200
)

// aheadWork is published work of better rank than a job.
type aheadWork struct {
	rank           int64
	timely, useful time.Duration
	// left is the part that is not served yet, in core-seconds.
	left float64
}

// start returns the earliest time from now at which the work of better rank does not
// fill the pool, or 0 if that is certainly before the last useful start of the job. In
// contrast to ahead it also counts work that leaves the class of the job before the job
// does, for the capacity that it takes until then. Work that is submitted later does
// not make the job start earlier: it takes the capacity of what it displaces.
func (p *Pool) start(j *Job, d Decision, chain time.Duration) time.Duration {
	var works []aheadWork
	free := d.Capacity * d.Age.Seconds()
	total := -free
	for i := range p.Teams {
		if p.Teams[i].Name != j.Team {
			continue
		}
		for _, w := range p.Teams[i].Ahead {
			if w.Rank < j.Rank {
				works = append(works, aheadWork{w.Rank, time.Duration(w.Timely)*tenth - d.Age, time.Duration(w.Useful)*tenth - d.Age, float64(w.Work)})
				total += float64(w.Work)
			}
		}
	}
	// Steps that wait for others leave capacity only if they are all the work left.
	least := d.Capacity * chain.Seconds()
	if total <= d.Capacity*d.Useful.Seconds()+least {
		return 0
	}
	slices.SortFunc(works, func(a, b aheadWork) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.useful, b.useful))
	})
	step := max(minStep, d.Useful/maxSteps)
	for t := time.Duration(0); t < d.Useful+maxRetryAfter; t += step {
		free += d.Capacity * step.Seconds()
		end, left := t+step, 0.0
		for i := range works {
			if works[i].timely >= end {
				left += works[i].serve(&free)
			}
		}
		// A job that can still meet its objective comes before late ones.
		for i := range works {
			if t >= d.Timely && works[i].timely < end && works[i].useful >= end {
				left += works[i].serve(&free)
			}
		}
		if free > 0 || left < least {
			return t
		}
	}
	return d.Useful + maxRetryAfter
}

// serve takes the work from the free capacity and returns what is left of it.
func (w *aheadWork) serve(free *float64) float64 {
	part := min(w.left, *free)
	w.left -= part
	*free -= part
	return w.left
}
