package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// throttleAbove and tailLow are the parts of a serving task's target above which
	// fillers beside it are slowed down, and below which they are let on.
	throttleAbove = 0.9
	releaseBelow  = 0.6
	// throttleReleaseStep is by how much percent a filler is let on at a time.
	throttleReleaseStep = 20
	// minThrottlePercent is the pace below which a filler is held at none.
	minThrottlePercent = 15
	// throttleInterval is the time between two changes of a run's pace: the load
	// that workers tell is that of the last half second.
	throttleInterval = 700 * time.Millisecond
	// mixedWait is how long a look waits at a worker where fillers run beside
	// serving tasks.
	mixedWait = 400 * time.Millisecond
)

// mixed reports whether fillers run beside serving tasks.
func (w *worker) mixed() bool {
	serving, filling := false, false
	for _, r := range w.runs {
		serving = serving || r.task.step.TailTarget > 0
		filling = filling || r.task.step.Filler
	}
	return serving && filling
}

// throttleFillers slows fillers down that push a serving task on the worker towards
// its target, to half each time, and lets them on step by step.
func (e *Engine) throttleFillers(w *worker, now time.Duration) {
	if !w.mixed() {
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
		case worst > throttleAbove:
			if percent /= 2; percent < minThrottlePercent {
				percent = 0
			}
		case worst < releaseBelow:
			percent = min(percent+throttleReleaseStep, 100)
		}
		if percent != r.throttledPercent {
			e.throttle(r, percent, worst, now)
		}
	}
}

func (e *Engine) throttle(r *run, percent int, worst float64, now time.Duration) {
	r.throttling = true
	r.throttledAt = now
	e.stats.Paces++
	event.TaskThrottleChanged.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.Int("percent", percent), zap.Float64("tail_of_target", worst))
	e.emit(&ThrottleOrder{Worker: r.worker.Worker, Task: r.task.id(), Run: r.number, Percent: percent, Token: e.opts.Token, run: r})
}

// Throttled takes in the answer to a pace order. One without an answer is given
// again if the load still asks for it.
func (e *Engine) Throttled(o *ThrottleOrder, a platform.OrderAnswer, err error, _ time.Duration) {
	o.run.throttling = false
	if err == nil && a.Outcome == platform.OrderDone {
		o.run.throttledPercent = o.Percent
	}
}
