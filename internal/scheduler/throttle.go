package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// throttleAbove and releaseBelow are fractions of a serving task's latency
	// target. Fillers beside it are throttled further above the first and
	// released below the second.
	throttleAbove = 0.9
	releaseBelow  = 0.6
	// throttleReleaseStep is by how many percentage points a filler is released
	// at a time.
	throttleReleaseStep = 20
	// unknownPercent is the percentage of an adopted filler until it is changed.
	unknownPercent = -1
	// minThrottlePercent is the percentage below which a filler is throttled to
	// 0.
	minThrottlePercent = 15
	// throttleInterval is the time between two throttle changes of a run: the
	// load that workers report covers the last half second.
	throttleInterval = 700 * time.Millisecond
	// mixedWait is the wait of a long poll of a worker where fillers run beside
	// serving tasks.
	mixedWait = 400 * time.Millisecond
)

// mixed reports whether fillers run beside serving tasks on the worker.
func (w *worker) mixed() bool {
	serving, filling := false, false
	for _, r := range w.runs {
		serving = serving || r.task.step.TailTarget > 0
		filling = filling || r.task.step.Filler
	}
	return serving && filling
}

// throttleFillers halves the percentage of fillers while the tail latency of a
// serving task on the worker is close to its target, and releases them step by
// step once it is low, or no serving task is left.
func (e *Engine) throttleFillers(w *worker, now time.Duration) {
	if e.throttlesByCause(w) {
		e.throttleByCause(w, now)
		return
	}
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.TailTarget; target > 0 && r.listed {
			worst = max(worst, r.load/float64(target.Milliseconds()))
		}
	}
	for _, r := range w.runs {
		if !r.task.step.Filler || r.phase != runConfirmed || r.throttling || now-r.throttledAt < throttleInterval {
			continue
		}
		percent := r.throttledPercent
		switch {
		case percent == unknownPercent && worst < releaseBelow:
			percent = 100
		case worst > throttleAbove:
			if percent == unknownPercent {
				percent = 100
			}
			if percent /= 2; percent < minThrottlePercent {
				percent = 0
			}
		case worst < releaseBelow:
			percent = min(percent+throttleReleaseStep, 100)
		}
		if percent != r.throttledPercent {
			e.throttle(r, percent, worst, causeUnknown, now)
		}
	}
}

func (e *Engine) throttle(r *run, percent int, worst float64, cause throttleCause, now time.Duration) {
	r.throttling = true
	r.throttledAt = now
	e.stats.Paces++
	event.TaskThrottleChanged.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.Int("percent", percent), zap.Float64("tail_of_target", worst), zap.String("cause", string(cause)))
	e.emit(&ThrottleOrder{Worker: r.worker.Worker, Task: r.task.id(), Run: r.number, Percent: percent, Token: r.worker.token, run: r})
}

// Throttled handles the answer to a throttle order. One without an answer is
// given again if the load still requires it.
func (e *Engine) Throttled(o *ThrottleOrder, a platform.OrderAnswer, err error, _ time.Duration) {
	o.run.throttling = false
	if err == nil && a.Outcome == platform.OrderDone {
		o.run.throttledPercent = o.Percent
		o.run.worker.neighboursKnown = false
	}
}
