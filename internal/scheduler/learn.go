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
	"github.com/egretpitch/egretpitch/internal/workerspeed"
)

const (
	// tailWeight is the weight of one observation of a tail as evidence of
	// interference. Successive ones of a task depend on each other; with 2.5 a
	// second at most, a task counts as one independent observation each 2 s.
	tailWeight = 0.2
	// partWeight is the weight of the progress over a second as evidence of a
	// worker's speed.
	partWeight = 0.5
	// minRate is the least progress relative to the estimate that is taken for
	// interference. Less is a stalled or slow worker.
	minRate = 0.1
	// defaultRemoteFactor is how many times as long a task takes on another rack
	// than that of its data until that is learned; the platform's bounds are 1.5
	// and 3.
	defaultRemoteFactor = 2.0
	maxRemoteFactor     = 4.0
	// remoteSuffix marks the groups of runs on another rack than that of their data.
	remoteSuffix = ", remote"
	// maxLoggedPairs is how many of the strongest pairs are logged and counted.
	maxLoggedPairs = 5
)

// performance is what the engine has learned from its runs. The successor of an
// owner learns it anew.
type performance struct {
	observed     observations
	interference interference.Estimator
	speeds       workerspeed.Estimator
	// remote is how many times as long a task takes on another rack than that of its
	// data, 0 until it was learned.
	remote float64
	// others is reused by learn.
	others []interference.Neighbour
	// nextLog is the time from which starts beside known neighbours are logged again.
	nextLog time.Duration
}

// PerformanceStats is the part of Stats about interference and the speed of
// workers. All counts are since the engine was created, and 0 without
// Options.LearnPerformance.
type PerformanceStats struct {
	// SlowWorkers is how many workers were slow at the last report, and
	// SlowWorkerTrials counts the starts on such workers that test whether they
	// still are.
	SlowWorkers, SlowWorkerTrials int64
	// ThrottlesKnownCause counts the throttle orders for fillers that are known to
	// disturb a serving task beside them, ThrottlesUnknownCause those while the cause
	// was not known, and ThrottlesOverTarget those because a tail was over its target
	// for long. Fillers without an image count in Paces alone.
	ThrottlesKnownCause, ThrottlesUnknownCause, ThrottlesOverTarget int64
	// StartsBesideKnown counts the starts beside a task that is known to disturb the
	// started one, or to be disturbed by it: no other worker had the capacity.
	StartsBesideKnown int64
	// StrongestPairs lists the images that slow each other most, each pair with the
	// factor of the slowdown by one task.
	StrongestPairs string
}

// learn takes in an observation of a run on a worker with the given neighbours.
func (e *Engine) learn(o observation, beside []interference.Neighbour, now time.Duration) {
	e.observed.add(o)
	s, w := o.task.step, o.worker
	image := s.Image
	e.others = without(e.others[:0], beside, o.run)
	others := e.others
	if o.rate >= 0 {
		rate := o.rate * math.Exp(e.interference.Slowdown(image, others))
		e.observeSpeed(workerspeed.Observation{
			Worker: w.ID, Job: s.job.ID, Group: s.group(o.remote, false), Rate: rate, Weight: partWeight * min(o.span.Seconds(), 1),
		}, now)
	}
	if image == "" || e.speeds.SlowFactor(w.ID, now) > 1 {
		return
	}
	switch {
	case o.tail > 0:
		e.interference.Observe(interference.Observation{Image: image, Beside: others, Slowdown: o.tail, Weight: tailWeight}, now)
	case o.rate >= minRate:
		slowdown := 1 / o.rate
		if o.remote {
			slowdown /= e.remoteFactor()
		}
		e.interference.Observe(interference.Observation{
			Image: image, Beside: others, Slowdown: slowdown, Weight: min(float64(o.span)/float64(s.Estimate), 1),
		}, now)
	}
}

// learnWhole takes in the time that a run took from the answer to its start to its
// end.
func (e *Engine) learnWhole(r *run, now time.Duration) {
	w, s := r.worker, r.task.step
	took := time.Duration(w.clockMS-r.sampled.startedMS) * time.Millisecond
	if r.sampled.startedMS == 0 || took < minEndSpan {
		return
	}
	remote := s.remoteOn(w)
	o := workerspeed.Observation{
		Worker: w.ID, Job: s.job.ID, Group: s.group(remote, true), ReportedGroup: s.group(remote, false),
		Rate: float64(s.Estimate) / float64(took), Weight: 1, Whole: true,
	}
	if span := r.sampled.clockMS - r.sampled.firstMS; span >= minSampleSpan.Milliseconds() {
		o.Claimed = (r.sampled.percent - r.sampled.firstPercent) / 100 * float64(s.Estimate.Milliseconds()) / float64(span)
	}
	e.observeSpeed(o, now)
}

func (e *Engine) observeSpeed(o workerspeed.Observation, now time.Duration) {
	if !e.speeds.Observe(o, now) {
		return
	}
	x := e.speeds.Estimate(o.Worker, now)
	what := event.WorkerSpeedNormal
	if x.Class == workerspeed.Slow {
		what = event.WorkerSlow
	}
	what.Log(e.opts.Log, zap.String("worker", o.Worker), zap.Float64("speed", rounded(x.Speed)), zap.Float64("error", rounded(x.Error)),
		zap.Int("trials", x.Trials), zap.Bool("lies", x.Lies))
}

// group names the runs whose progress is compared: those of one image, or queue if
// the step has none, with the same distance to their data.
func (s *step) group(remote, whole bool) string {
	i := 0
	if remote {
		i++
	}
	if whole {
		i += 2
	}
	if s.groups[i] == "" {
		s.groups[i] = s.groupName(remote, whole)
	}
	return s.groups[i]
}

func (s *step) groupName(remote, whole bool) string {
	name := "queue " + s.job.Queue
	if s.Image != "" {
		name = "image " + s.Image
	}
	if remote {
		name += remoteSuffix
	}
	if whole {
		name += ", whole"
	}
	return name
}

// remoteFactor returns how many times as long a task takes on another rack than
// that of its data.
func (e *Engine) remoteFactor() float64 { return cmp.Or(e.remote, defaultRemoteFactor) }

// learnRemoteFactor takes the middle of the factors of all queues and images with
// observations on and off the rack of their data in the last second.
func (e *Engine) learnRemoteFactor(now time.Duration) {
	var list []float64
	for kind, keys := range map[string]map[string]*observedKey{"queue ": e.observed.queues, "image ": e.observed.images} {
		for name, k := range keys {
			if k.remote.rates == 0 {
				continue
			}
			if ratio, ok := e.speeds.Ratio(kind+name, kind+name+remoteSuffix, now); ok {
				list = append(list, ratio)
			}
		}
	}
	if len(list) > 0 {
		slices.Sort(list)
		e.remote = min(max(list[len(list)/2], 1), maxRemoteFactor)
	}
}

// neighbours returns what the worker runs by image, in the order of their names.
// Runs of steps without an image are left out. The list is kept until the runs or
// their throttles change, and must not be changed.
func (w *worker) neighbours() []interference.Neighbour {
	if w.neighboursKnown {
		return w.neighbourList
	}
	w.neighboursKnown = true
	list := w.neighbourList[:0]
	for _, r := range w.runs {
		image := r.task.step.Image
		if image == "" {
			continue
		}
		i := slices.IndexFunc(list, func(n interference.Neighbour) bool { return n.Image == image })
		if i < 0 {
			i = len(list)
			list = append(list, interference.Neighbour{Image: image})
		}
		list[i].Tasks++
		list[i].Share += r.share()
	}
	slices.SortFunc(list, func(a, b interference.Neighbour) int { return cmp.Compare(a.Image, b.Image) })
	w.neighbourList = list
	return list
}

// neighbourhood keeps what neighbours returned.
type neighbourhood struct {
	neighbourList   []interference.Neighbour
	neighboursKnown bool
}

// share returns the share, 0 to 1, to which the run is throttled.
func (r *run) share() float64 {
	if r.throttledPercent == unknownPercent {
		return 1
	}
	return float64(r.throttledPercent) / 100
}

// without appends the neighbours of a run among what its worker runs to others.
func without(others, list []interference.Neighbour, r *run) []interference.Neighbour {
	others = append(others, list...)
	image := r.task.step.Image
	if image == "" {
		return others
	}
	for i := range others {
		if others[i].Image == image {
			others[i].Tasks--
			others[i].Share = max(others[i].Share-r.share(), 0)
		}
	}
	return others
}

// strongestPairs lists the strongest known effects for logs and metrics.
func (e *Engine) strongestPairs() string {
	var list []string
	for _, p := range e.interference.Strongest(maxLoggedPairs) {
		list = append(list, fmt.Sprintf("%s by %s %.2f", boundedName(p.Image), boundedName(p.Cause), math.Exp(p.Log)))
	}
	return strings.Join(list, ", ")
}

// reportPerformance updates the counters and logs what was observed, at most once
// in observedInterval.
func (e *Engine) reportPerformance(now time.Duration) {
	if !e.opts.LearnPerformance || now < e.observed.next {
		return
	}
	e.interference.Advance(now)
	e.learnRemoteFactor(now)
	e.stats.SlowWorkers = int64(e.speeds.Slow())
	e.stats.StrongestPairs = e.strongestPairs()
	if e.stats.StrongestPairs != "" {
		event.InterferenceKnown.Log(e.opts.Log, zap.String("strongest", e.stats.StrongestPairs))
	}
	e.reportObserved(now)
}
