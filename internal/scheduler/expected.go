package scheduler

import (
	"cmp"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/interference"
)

const (
	// costStep is the difference of two costs of interference, in logarithms of
	// slowdowns, that changes the order of workers. Less is not worth leaving a
	// packed worker.
	costStep = 0.1
	// mixedCost is added to the cost of a serving task beside fillers, and of a
	// filler beside serving tasks, whatever is known of their images.
	mixedCost = 1
	// criticalShare of the critical path that is left makes a step part of it.
	criticalShare = 0.9
)

// expected is what a run of a task on a worker is expected to be like. The zero
// value is that of a worker about which nothing is known.
type expected struct {
	// late is set on a slow worker on which the task would end too late.
	late bool
	// duration is how many times its estimate a task on the critical path takes, 0
	// if no worker is slow or the task is not on it.
	duration float64
	// cost is the cost of interference in steps of costStep.
	cost int
}

// expect returns what a run of the task on the worker is expected to be like.
func (e *Engine) expect(t *task, w *worker, remote bool, now time.Duration) expected {
	var x expected
	if !e.opts.LearnPerformance {
		return x
	}
	s := t.step
	if e.speeds.AnySlow() {
		e.expectDuration(&x, s, w, remote, now)
	}
	if s.Image != "" {
		cost := 0.0
		if e.interference.Active() {
			cost = e.interference.Cost(s.Image, w.neighbours())
		}
		if s.mixesWith(w) {
			cost += mixedCost
		}
		x.cost = int(math.Round(cost / costStep))
	}
	return x
}

// expectDuration compares workers of different speeds. On the critical path the
// expected end decides. Another step may take a slow worker as well as any as long
// as its job ends in time.
func (e *Engine) expectDuration(x *expected, s *step, w *worker, remote bool, now time.Duration) {
	slow := e.speeds.SlowFactor(w.ID, now)
	distance := 1.0
	if remote {
		distance = e.remoteFactor()
	}
	if s.LongRunning {
		x.late = slow > 1 // it would be slow for as long as it runs
		return
	}
	if float64(s.criticalPath) >= criticalShare*float64(s.occ.criticalPathLeft()) {
		x.duration = distance * slow
	}
	if slow > 1 {
		end := now - s.occ.releaseTime(s.job) + time.Duration(distance*slow*float64(s.Estimate)) + s.criticalPath - s.Estimate
		x.late = end > s.job.objective()
	}
}

// mixesWith reports whether the step and a run of the worker are a serving task
// and a filler.
func (s *step) mixesWith(w *worker) bool {
	if !s.Filler && s.TailTarget == 0 {
		return false
	}
	for _, r := range w.runs {
		other := r.task.step
		if other.Image != "" && ((s.Filler && other.TailTarget > 0) || (s.TailTarget > 0 && other.Filler)) {
			return true
		}
	}
	return false
}

// withoutSlow returns the workers that are not slow: a gang is as fast as its
// slowest task.
func (e *Engine) withoutSlow(workers []*worker, now time.Duration) []*worker {
	if !e.speeds.AnySlow() {
		return workers
	}
	var list []*worker
	for _, w := range workers {
		if e.speeds.SlowFactor(w.ID, now) == 1 {
			list = append(list, w)
		}
	}
	return list
}

// noteStart counts a start on a slow worker as a trial if one is due, and one
// beside tasks that are known to disturb it or to be disturbed by it. The run must
// not be among those of its worker yet.
func (e *Engine) noteStart(t *task, w *worker, now time.Duration) {
	if !e.opts.LearnPerformance {
		return
	}
	if e.speeds.Started(w.ID, now) {
		e.stats.SlowWorkerTrials++
	}
	image := t.step.Image
	if image == "" || !e.interference.Active() {
		return
	}
	beside := w.neighbours()
	cost := e.interference.Cost(image, beside)
	if cost < costStep {
		return
	}
	e.stats.StartsBesideKnown++
	if now < e.nextLog {
		return
	}
	e.nextLog = now + observedInterval
	event.StartedBesideKnown.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.String("image", boundedName(image)), zap.String("worker", w.ID),
		zap.Float64("cost", rounded(cost)), zap.String("neighbour", boundedName(e.worstNeighbour(image, beside))))
}

// worstNeighbour returns the image that disturbs a task of the given one most, or is
// disturbed most by it.
func (e *Engine) worstNeighbour(image string, beside []interference.Neighbour) string {
	worst, name := 0.0, ""
	for _, n := range beside {
		if cost := e.interference.Cost(image, []interference.Neighbour{n}); cost > worst {
			worst, name = cost, n.Image
		}
	}
	return name
}

// compareEnd orders workers by the expected end of a task, the earliest first.
func (x expected) compareEnd(o expected) int {
	if x.late != o.late {
		if o.late {
			return -1
		}
		return 1
	}
	return cmp.Compare(x.duration, o.duration)
}
