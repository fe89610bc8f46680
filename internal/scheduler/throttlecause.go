package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/interference"
)

const (
	// overTarget is the tail of a serving task, relative to its target, from which
	// it counts as over it: the figure that workers report is rough.
	overTarget = 0.95
	// maxOverTarget is how long a serving task may be over its target before all
	// fillers beside it are throttled to 0. The platform allows 4 s. Up to 0.9 s
	// pass before a poll shows a tail (a wait of 0.4 s and the half second that it
	// covers), 0.4 s until the next poll, and 0.1 s until the throttle acts: 2.6 s
	// together.
	maxOverTarget = 1200 * time.Millisecond
	// nearTargetInterval is the time between two log lines about a serving task that
	// is near its target.
	nearTargetInterval = time.Second
)

// throttleCause is why a filler is throttled or released.
type throttleCause string

const (
	causeKnown   throttleCause = "known"
	causeUnknown throttleCause = "unknown"
	// causeOver means that a serving task was over its target for maxOverTarget.
	causeOver throttleCause = "over target"
)

// throttlesByCause reports whether fillers of the worker are throttled by what is
// known of their images: a serving task and a filler have one.
func (e *Engine) throttlesByCause(w *worker) bool {
	if !e.opts.LearnPerformance {
		return false
	}
	serving, filling := false, false
	for _, r := range w.runs {
		s := r.task.step
		serving = serving || (s.TailTarget > 0 && s.Image != "")
		filling = filling || (s.Filler && s.Image != "")
	}
	return serving && filling
}

// throttleByCause throttles the fillers on a worker that are known to disturb a
// serving task near its target, by as much as is needed. If they do not suffice
// the others are halved as throttleFillers does.
func (e *Engine) throttleByCause(w *worker, now time.Duration) {
	var serving []interference.Serving
	var fillers []interference.Filler
	var runs []*run
	worst := 0.0
	over := false
	for _, r := range w.sortedRuns() {
		s := r.task.step
		if s.TailTarget > 0 && r.listed {
			tail := r.load / float64(s.TailTarget.Milliseconds())
			serving = append(serving, interference.Serving{Image: s.Image, TailOfTarget: tail})
			worst = max(worst, tail)
			over = r.overTarget(tail, now) || over
			e.logNearTarget(r, tail, now)
		}
		if s.Filler && r.phase == runConfirmed {
			runs = append(runs, r)
			fillers = append(fillers, interference.Filler{Image: s.Image, Percent: int(100 * r.share())})
		}
	}
	percents, explained := e.interference.Throttle(serving, fillers)
	caused := slices.ContainsFunc(fillers, func(f interference.Filler) bool { return e.disturbs(f, serving) })
	for i, r := range runs {
		percent, cause := percents[i], causeKnown
		switch {
		case over:
			percent, cause = 0, causeOver
		case r.throttling || now-r.throttledAt < throttleInterval:
			continue
		case percent != fillers[i].Percent:
		case worst > throttleAbove && !explained:
			if percent, cause = fillers[i].Percent/2, causeUnknown; percent < minThrottlePercent {
				percent = 0
			}
		case caused && worst <= throttleAbove && !e.disturbs(fillers[i], serving):
			// It was throttled before the cause was known, which is throttled instead if
			// the tail rises.
			percent = min(percent+throttleReleaseStep, 100)
		case worst < releaseBelow && r.throttledPercent == unknownPercent:
			percent, cause = 100, causeUnknown
		case worst < releaseBelow:
			percent, cause = min(percent+throttleReleaseStep, 100), causeUnknown
		}
		if percent == r.throttledPercent || r.throttling || (percent == fillers[i].Percent && r.throttledPercent == unknownPercent && worst >= releaseBelow) {
			continue
		}
		switch cause {
		case causeKnown:
			e.stats.ThrottlesKnownCause++
		case causeUnknown:
			e.stats.ThrottlesUnknownCause++
		case causeOver:
			e.stats.ThrottlesOverTarget++
		}
		e.throttle(r, percent, worst, cause, now)
	}
}

// disturbs reports whether the filler is known to disturb one of the serving tasks.
func (e *Engine) disturbs(f interference.Filler, serving []interference.Serving) bool {
	return slices.ContainsFunc(serving, func(s interference.Serving) bool { return e.interference.Known(s.Image, f.Image) > 0 })
}

// sortedRuns returns the worker's runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Or(a.task.compare(b.task), cmp.Compare(a.number, b.number)) })
	return list
}

// overTarget notes since when the tail of a serving task is over its target, and
// reports whether that is too long.
func (r *run) overTarget(tail float64, now time.Duration) bool {
	switch {
	case tail <= overTarget:
		r.sampled.over = false
	case !r.sampled.over:
		r.sampled.over, r.sampled.overSince = true, now
	}
	return r.sampled.over && now-r.sampled.overSince >= maxOverTarget
}

// logNearTarget logs what runs beside a serving task near its target.
func (e *Engine) logNearTarget(r *run, tail float64, now time.Duration) {
	if tail <= throttleAbove || now < r.sampled.nextLog {
		return
	}
	r.sampled.nextLog = now + nearTargetInterval
	image := r.task.step.Image
	var beside []string
	for _, n := range without(nil, r.worker.neighbours(), r) {
		if n.Tasks > 0 && len(beside) < maxLoggedPairs {
			beside = append(beside, fmt.Sprintf("%s tasks %d share %.2f slowdown %.2f", boundedName(n.Image), n.Tasks, n.Share, math.Exp(e.interference.Known(image, n.Image)*n.Share)))
		}
	}
	event.ServingNearTarget.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.String("image", boundedName(image)), zap.String("worker", r.worker.ID),
		zap.Float64("tail_of_target", rounded(tail)), zap.String("beside", strings.Join(beside, ", ")))
}
