package scheduler

import (
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/admission"
)

const (
	// fullAfter is the time for which the startable tasks of a pool must keep its
	// whole capacity busy for the pool to be full. With less, tasks that wait for
	// earlier steps leave gaps in which a new job starts.
	fullAfter = 2 * time.Second
	// completionWindow is the time over which the rate of completion is taken, and
	// minCompletionWindow the least time that gives one.
	completionWindow    = 3 * time.Second
	minCompletionWindow = time.Second
)

// completionSample is a pool's completed work at a time.
type completionSample struct {
	at        time.Duration
	completed float64
}

// sampleCompletion records the completed work and returns the rate of completion in
// core-seconds a second, 0 if it is not known yet.
func (p *pool) sampleCompletion(now time.Duration) float64 {
	p.completions = append(p.completions, completionSample{now, p.completed})
	p.completions = slices.DeleteFunc(p.completions, func(s completionSample) bool { return now-s.at > completionWindow })
	first := p.completions[0]
	if now-first.at < minCompletionWindow {
		return 0
	}
	return (p.completed - first.completed) / (now - first.at).Seconds()
}

// Loads returns the loads of the pools whose startable tasks keep them busy for
// fullAfter, for the entries. It returns none during recovery.
func (e *Engine) Loads(now time.Duration) []admission.Pool {
	if e.recovering || e.catalog == nil {
		return nil
	}
	waiting := e.waitingWork(now)
	var loads []admission.Pool
	for _, p := range e.pools {
		rate := p.sampleCompletion(now)
		work := waiting[p]
		if work == nil || e.standby(p.name) {
			continue
		}
		load := admission.Pool{Name: p.name, Rate: rate, MeanWork: map[string]float64{}}
		for _, w := range p.workers {
			cores := w.Capacity.Processors - w.longRunningRequests().Processors
			switch {
			case !w.listed:
			case w.usable(now):
				load.Cores += cores
			default:
				load.Due += cores
			}
		}
		if work.startable < fullAfter.Seconds()*load.Capacity() {
			continue
		}
		for name, q := range p.queues {
			load.MeanWork[name] = q.work
		}
		load.Teams = work.byTeam.Teams()
		loads = append(loads, load)
	}
	return loads
}

// waitingWork is the work of a pool whose tasks can start and have not, in core-seconds.
type waitingWork struct {
	byTeam    admission.Builder
	startable float64
}

// waitingWork returns the waiting work of the jobs that can still be of use, by pool.
// Steps that wait for others do not count: while a long step of few tasks runs, a new
// job starts ahead of them, however much work they are.
func (e *Engine) waitingWork(now time.Duration) map[*pool]*waitingWork {
	waiting := map[*pool]*waitingWork{}
	for _, j := range e.jobs {
		if j.ended() || j.RunsUntilCancelled() {
			continue
		}
		p := e.pool(j.Pool)
		work := waiting[p]
		if work == nil {
			work = &waitingWork{}
			waiting[p] = work
		}
		for _, o := range j.occurrences {
			if o.left == 0 || j.timeliness(o, now) == tooLate {
				continue
			}
			startable := 0.0
			for _, s := range o.steps {
				if s.waitsFor == 0 {
					startable += float64(s.idle) * s.Requests().Processors * s.Estimate.Seconds()
				}
			}
			work.startable += startable
			if startable > 0 {
				priority := 0
				if j.queue != nil {
					priority = j.queue.Priority
				}
				slack := j.objective() - (now - o.releaseTime(j)) - o.criticalPathLeft()
				work.byTeam.Add(j.Team, admission.Rank(priority, e.weight(j)/max(o.workLeft(), minWork)),
					slack, slack+(tooLateFactor-1)*j.objective(), startable)
			}
		}
	}
	return waiting
}
