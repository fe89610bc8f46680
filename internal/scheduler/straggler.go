package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// stillFor is how long a run may show no progress before it counts as
	// standing still; progress is told in whole percent, so a long task gets
	// stillShare of its estimate.
	stillFor   = 1500 * time.Millisecond
	stillShare = 0.05
	// copyGain is how much sooner than the running copy another one has to be
	// done, as a factor of a whole run.
	copyGain = 1.3
	// copyPause is the time between two searches for tasks that lag behind.
	copyPause = 50 * time.Millisecond
	// copySlack is added for the start of a copy.
	copySlack = 150 * time.Millisecond
)

// stragglers acts on runs that stand still or take much longer than a new one
// would: hosts that hang or are slow while they report to be healthy.
func (e *Engine) stragglers(now time.Duration) {
	for _, w := range e.workers {
		if w.failedPolls > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runPresent && r.listed && r.standsStill(now) {
				e.stats.StuckRuns++
				event.TaskStalled.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", w.ID),
					zap.Float64("percent", r.percent), zap.Duration("still", now-r.progressAt))
				r.task.failedOn = append(r.task.failedOn, w.ID)
				e.blame(w, r.task, now)
				e.stop(r, "stands still", now)
			}
		}
	}
}

// standsStill reports whether a run shows no progress.
func (r *run) standsStill(now time.Duration) bool {
	if r.percent >= 100 || r.throttledPercent < 100 || r.worker.lastContact-r.progressAt < stillFor {
		return false
	}
	return now-r.progressAt > max(stillFor, time.Duration(stillShare*float64(r.task.step.Estimate)))
}

// copies starts a second run, and no third, of tasks that permit it and that
// lag behind, on room that no other task of the pool can use.
func (e *Engine) copies(p *pool, open []*worker, now time.Duration) {
	for _, w := range p.workers {
		if w.speculative == 0 {
			continue
		}
		for _, r := range w.runs {
			t := r.task
			if !t.step.Speculative || len(t.runs) != 1 || t.done || t.step.job.ended() || r.phase == runStopping || !r.lags(now) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(open), func(o *worker) bool { return o == w })
			target, ticket := e.choose(t, others, now)
			if target == nil {
				continue
			}
			e.stats.Copies++
			event.TaskCopied.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Float64("percent", r.percent))
			e.start(t, target, e.nextRun(t), ticket, now)
		}
	}
}

// lags reports whether a new run would be done well before this one.
func (r *run) lags(now time.Duration) bool {
	if r.worker.failedPolls > 0 {
		return true
	}
	elapsed := r.present - r.sentAt
	if r.percent <= 0 {
		return now-r.sentAt > time.Duration(copyGain*float64(r.task.step.Estimate))+copySlack && r.listed
	}
	left := time.Duration(float64(elapsed) * (100 - r.percent) / r.percent)
	left -= now - r.present
	return left > time.Duration(copyGain*float64(r.task.step.Estimate))+copySlack
}
