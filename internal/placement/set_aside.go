package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outcomeWindow is the maximum age of the outcomes that are considered.
	outcomeWindow = time.Hour
	// minFailedJobs is how many different jobs must have failed on a worker
	// since its last success.
	minFailedJobs = 3
	// minFailedClasses is how many different classes these jobs must belong to,
	// so that one broken release doesn't set a worker aside.
	minFailedClasses = 2
	// setAsideTime is how long a worker is set aside before it gets tasks
	// again.
	setAsideTime = 30 * time.Minute
	// setAsideJitter is the maximum time added to setAsideTime, so that workers
	// set aside together don't return together.
	setAsideJitter = 5 * time.Minute
	// maxSetAsideShare is the maximum share of a pool's workers that may be set
	// aside. If more seem to fail, the cause isn't in the workers. At least one
	// worker may always be set aside.
	maxSetAsideShare = 0.2
)

// failureRecord holds the recent failures on one worker.
type failureRecord struct {
	jobs    map[string]bool
	classes map[string]bool
}

// setAside excludes workers on which tasks of several jobs failed.
func (p *pass) setAside() {
	failuresByWorker := p.failuresByWorker()
	asideCount := map[string]int{}
	for i := range p.state.Workers {
		if p.state.Now.Before(p.state.Workers[i].SetAsideUntil) {
			asideCount[p.state.Workers[i].Pool]++
		}
	}
	for i := range p.state.Workers {
		w := p.workers[p.state.Workers[i].Name]
		record := failuresByWorker[w.Name]
		if record == nil || !w.schedulable(p) || len(record.jobs) < minFailedJobs || len(record.classes) < minFailedClasses {
			continue
		}
		allowed := max(1, int(maxSetAsideShare*float64(len(p.pools[w.Pool].workers))))
		if asideCount[w.Pool] >= allowed {
			continue
		}
		asideCount[w.Pool]++
		until := p.state.Now.Add(setAsideTime + jitter(w.Name))
		// Copy the worker, so that the caller's state isn't modified.
		copied := *w.Worker
		copied.SetAsideUntil = until
		w.Worker = &copied
		p.decisions = append(p.decisions, Decision{
			Kind:   SetAside,
			Host:   w.Name,
			Until:  until,
			Reason: ReasonWorkerFails,
		})
	}
}

// failuresByWorker returns, by worker, the jobs that failed on it since its
// last success. Jobs that also failed on other workers are left out, since the
// fault may be in the job. Outcomes from before the worker's SetAsideUntil are
// ignored, since the worker was already set aside for them.
func (p *pass) failuresByWorker() map[string]*failureRecord {
	failing := p.failingJobs()
	found := map[string]*failureRecord{}
	for i := range p.state.Outcomes {
		o := &p.state.Outcomes[i]
		if !p.relevant(o) {
			continue
		}
		if !o.Failed {
			delete(found, o.Host)
			continue
		}
		if failing[o.Job] {
			continue
		}
		record := found[o.Host]
		if record == nil {
			record = &failureRecord{jobs: map[string]bool{}, classes: map[string]bool{}}
			found[o.Host] = record
		}
		record.jobs[o.Job] = true
		record.classes[o.Class] = true
	}
	return found
}

// relevant reports whether an outcome is within outcomeWindow and not before
// the SetAsideUntil of its worker.
func (p *pass) relevant(o *Outcome) bool {
	w := p.workers[o.Host]
	return w != nil && p.state.Now.Sub(o.At) <= outcomeWindow && !o.At.Before(w.SetAsideUntil)
}

// failingJobs returns the jobs that failed on more than one worker and finished
// on none.
func (p *pass) failingJobs() map[string]bool {
	first := map[string]string{}
	failing := map[string]bool{}
	finished := map[string]bool{}
	for i := range p.state.Outcomes {
		o := &p.state.Outcomes[i]
		switch host, seen := first[o.Job]; {
		case !o.Failed:
			finished[o.Job] = true
		case !seen:
			first[o.Job] = o.Host
		case host != o.Host:
			failing[o.Job] = true
		}
	}
	for job := range finished {
		delete(failing, job)
	}
	return failing
}

// jitter returns a duration below setAsideJitter that depends only on the name.
func jitter(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(setAsideJitter))
}
