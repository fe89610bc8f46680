package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// stallTimeout is how long a run may show no progress before it counts as
	// stalled. Workers report progress in whole percent, so a long task gets
	// stallFraction of its estimate instead.
	stallTimeout  = 1500 * time.Millisecond
	stallFraction = 0.05
	// copySpeedup is the ratio of a run's remaining time to the estimate of a
	// whole run above which a copy is started.
	copySpeedup = 1.3
	// copyInterval is the time between two searches for tasks that lag behind.
	copyInterval = 50 * time.Millisecond
	// copyStartSlack is the time allowed for the start of a copy.
	copyStartSlack = 150 * time.Millisecond
)

// stopStalledRuns stops runs that show no progress: a host may hang while it
// reports to be healthy.
func (e *Engine) stopStalledRuns(now time.Duration) {
	for _, w := range e.workers {
		if w.failedPolls > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runConfirmed && r.listed && r.stalled(now) {
				e.stats.StuckRuns++
				event.TaskStalled.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", w.ID),
					zap.Float64("percent", r.percent), zap.Duration("still", now-r.progressAt))
				r.task.failedAt(w)
				e.penalize(w, r.task, now)
				e.speeds.Stalled(w.ID, now)
				e.stop(r, "no progress", now)
			}
		}
	}
}

// stalled reports whether a run shows no progress. A throttled run is never
// stalled.
func (r *run) stalled(now time.Duration) bool {
	if r.percent >= 100 || r.throttledPercent < 100 || r.worker.lastContact-r.progressAt < stallTimeout {
		return false
	}
	return now-r.progressAt > max(stallTimeout, time.Duration(stallFraction*float64(r.task.step.Estimate)))
}

// startCopies starts a second run, and no third, of tasks that permit it and
// that take much longer than a new run would, as on a slow host. It uses
// capacity that no other task of the pool can use.
func (e *Engine) startCopies(p *pool, open []*worker, now time.Duration) {
	for _, w := range p.workers {
		if w.speculative == 0 {
			continue
		}
		for _, r := range w.runs {
			t := r.task
			if !t.step.Speculative || t.suspect() || len(t.runs) != 1 || t.done || t.step.job.ended() || r.phase == runStopping || !r.lags(now) {
				continue
			}
			if e.waitsForQuota(t.step, now) || !t.step.fitsQuota(1, now) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(open), func(o *worker) bool { return o == w })
			target, ticket, _ := e.chooseWorker(t, others, now)
			if target == nil {
				continue
			}
			e.stats.Copies++
			event.TaskCopied.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Float64("percent", r.percent))
			e.start(t, target, e.nextRun(t), ticket, now)
		}
	}
}

// lags reports whether a new run would end well before this one.
func (r *run) lags(now time.Duration) bool {
	if r.worker.failedPolls > 0 {
		return r.proven() || now-r.worker.silentSince >= silenceBeforeCopy
	}
	if !r.progressKnown() {
		_, since := r.measuredFrom()
		return now-since > time.Duration(copySpeedup*float64(r.task.step.Estimate))+copyStartSlack && r.listed
	}
	return r.remaining(now) > time.Duration(copySpeedup*float64(r.task.step.Estimate))+copyStartSlack
}
