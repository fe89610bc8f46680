package scheduler

import (
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// minSampleSpan is the shortest time over which the progress of a run is
	// measured. Workers report whole percents, so a long task is measured over
	// sampleFraction of its estimate instead, but at most over maxSampleSpan.
	minSampleSpan  = 200 * time.Millisecond
	sampleFraction = 0.04
	maxSampleSpan  = 2 * time.Second
	// tailSpan is the least time between two observations of a tail latency. It is
	// that between two polls of a worker with fillers beside serving tasks.
	tailSpan = mixedWait
	// minEndSpan is the shortest time from the last sample to the end of a run
	// over which progress is measured.
	minEndSpan = 100 * time.Millisecond
	// maxUnpolled is the longest time without a poll at a worker for which the answer
	// to the next one tells when the runs in it ended.
	maxUnpolled = 250 * time.Millisecond
)

// runSample is the last sample of a run's progress from which the next
// observation is measured.
type runSample struct {
	// clockMS is the worker's clock in milliseconds, 0 before the first sample.
	clockMS int64
	percent float64
	// startedMS is the worker's clock when it answered the start, and firstMS and
	// firstPercent are the first sample.
	startedMS, firstMS int64
	firstPercent       float64
	// report is the number of the last report that counts the run, from 1 on.
	report int
	// over is set while a serving task is over its target, since overSince. nextLog
	// is when that may be logged again.
	over               bool
	overSince, nextLog time.Duration
}

func (s *runSample) set(clockMS int64, percent float64) {
	s.clockMS, s.percent = clockMS, percent
	if s.firstMS == 0 {
		s.firstMS, s.firstPercent = clockMS, percent
	}
}

// occupancy is how much a worker runs.
type occupancy struct {
	runs, fillers int
	// full is the fraction of the worker's processors that its runs request.
	full float64
}

// occupancy returns how much the worker runs at present.
func (w *worker) occupancy() occupancy {
	c := occupancy{runs: len(w.runs)}
	for _, r := range w.runs {
		if r.task.step.Filler {
			c.fillers++
		}
	}
	if w.Capacity.Processors > 0 {
		c.full = w.used.Processors / w.Capacity.Processors
	}
	return c
}

// observation is what was measured of a run since its last sample.
type observation struct {
	*run
	occupancy occupancy
	span      time.Duration
	// rate is the progress relative to the estimate, 1 for a run that takes as long
	// as estimated. It is negative if it was not measured.
	rate float64
	// tail is the tail latency relative to its target, 0 if it was not measured.
	tail float64
	// remote is set if the worker is not on the rack of the run's data.
	remote bool
}

// learnFromRuns observes the runs that the worker has just listed. It relies on
// the worker's clock, so that a slow owner does not take its workers for slow.
func (e *Engine) learnFromRuns(w *worker, now time.Duration) {
	if !e.opts.LearnPerformance || w.clockAt != now {
		return
	}
	c, beside := w.occupancy(), w.neighbours()
	for _, r := range w.runs {
		if r.phase != runConfirmed || r.confirmedAt != now {
			continue
		}
		o := observation{run: r, occupancy: c, rate: -1, remote: r.task.step.remoteOn(w)}
		if r.measure(&o, r.percent, w.clockMS) {
			e.learn(o, beside, now)
		}
	}
}

// learnFromEnd observes a run that the worker has just listed as done.
func (e *Engine) learnFromEnd(r *run, end platform.RunEnd, now time.Duration) {
	w := r.worker
	if !e.opts.LearnPerformance || end != platform.EndDone || w.clockAt != now || r.throttledPercent != 100 {
		return
	}
	if w.unpolled > maxUnpolled {
		return // it ended at some time since the poll before
	}
	if s := r.task.step; s.LongRunning || s.TailTarget > 0 || s.Estimate <= 0 {
		return
	}
	e.learnWhole(r, now)
	span := time.Duration(w.clockMS-r.sampled.clockMS) * time.Millisecond
	if r.sampled.clockMS == 0 || span < minEndSpan {
		return
	}
	o := observation{run: r, occupancy: w.occupancy(), span: span, remote: r.task.step.remoteOn(w)}
	o.rate = (100 - r.sampled.percent) / 100 * float64(r.task.step.Estimate) / float64(span)
	e.learn(o, w.neighbours(), now)
}

// measure compares the run's progress in percent with the last sample and reports
// whether it has measured anything. Start-up, when there is no progress yet, and
// throttled runs are left out.
func (r *run) measure(o *observation, percent float64, clockMS int64) bool {
	s := r.task.step
	if s.TailTarget > 0 {
		if percent < 100 || r.load <= 0 || clockMS-r.sampled.clockMS < tailSpan.Milliseconds() {
			return false // still starting up, or not a new figure
		}
		o.span = tailSpan
		o.tail = r.load / float64(s.TailTarget.Milliseconds())
		r.sampled.set(clockMS, percent)
		return true
	}
	if s.LongRunning || s.Estimate <= 0 {
		return false // its progress only tells whether it is ready
	}
	last := r.sampled
	if last.clockMS == 0 || percent < last.percent || r.throttledPercent != 100 {
		r.sampled.set(0, 0)
		if percent > 0 && r.throttledPercent == 100 {
			r.sampled.set(clockMS, percent)
		}
		return false
	}
	o.span = time.Duration(clockMS-last.clockMS) * time.Millisecond
	if o.span < s.sampleSpan() || (percent >= 100 && last.percent >= 100) {
		return false
	}
	o.rate = (percent - last.percent) / 100 * float64(s.Estimate) / float64(o.span)
	r.sampled.set(clockMS, percent)
	return true
}

// sampleSpan returns the least time over which the progress of a task of the step
// is measured.
func (s *step) sampleSpan() time.Duration {
	return min(max(minSampleSpan, time.Duration(sampleFraction*float64(s.Estimate))), maxSampleSpan)
}

// remoteOn reports whether the worker is not on the rack of the step's data.
func (s *step) remoteOn(w *worker) bool { return s.Rack != "" && !slices.Contains(w.Labels, s.Rack) }
