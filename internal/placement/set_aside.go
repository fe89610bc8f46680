package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outcomeWindow is how far back outcomes count.
	outcomeWindow = time.Hour
	// minFailedJobs is how many different jobs must fail on a worker, with
	// none finishing after the first of them.
	minFailedJobs = 3
	// minFailedClasses is how many different classes they must belong to, so
	// that one broken release is not held against the worker.
	minFailedClasses = 2
	// setAsideTime is how long a worker stays aside before it is tried again.
	setAsideTime = 30 * time.Minute
	// setAsideJitter spreads the times at which workers that were set aside
	// together come back.
	setAsideJitter = 5 * time.Minute
	// maxSetAsideShare is the share of a pool's workers that may be aside. Where
	// more seem to fail, the cause is not in the workers.
	maxSetAsideShare = 0.2
)

// failureRecord is the evidence against one worker.
type failureRecord struct {
	jobs    map[string]bool
	classes map[string]bool
}

// setAside finds the workers that fail what they start.
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
		// The caller's state is not written to.
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

// failuresByWorker gathers, for each worker, the jobs that failed on it since its
// last success. Jobs that failed on other workers too are left out: the fault
// may be theirs. What happened before a worker was last set aside is spent.
func (p *pass) failuresByWorker() map[string]*failureRecord {
	excluded := p.failingJobs()
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
		if excluded[o.Job] {
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

// relevant reports whether an outcome is recent, and newer than the last time
// that its worker was set aside.
func (p *pass) relevant(o *Outcome) bool {
	w := p.workers[o.Host]
	return w != nil && p.state.Now.Sub(o.At) <= outcomeWindow && !o.At.Before(w.SetAsideUntil)
}

// failingJobs returns the jobs that failed on more than one worker and
// finished on none.
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

// jitter returns a time below setAsideJitter that depends on the name alone.
func jitter(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(setAsideJitter))
}
