package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// minRemainingToMove is how long a batch task on a worker that is being evacuated
// must still take, and have run there, before it moves. A move takes a stop and the
// restore of a checkpoint, up to 2 s on the platform; a shorter task ends sooner.
const minRemainingToMove = 3 * time.Second

// evacuationStop is why the run of a task that moves is stopped.
const evacuationStop = "worker is being evacuated"

// moveCheckpointed stops batch tasks that save their progress and would hold up the
// evacuation of their workers for long, as far as other workers of the pool have
// free capacity for them. A host of a wave waits for its last task.
func (e *Engine) moveCheckpointed(p *pool, now time.Duration) {
	var moving []*run
	for _, w := range p.workers {
		if !w.evacuating || w.failedPolls > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.movable(now) || (r.phase == runStopping && r.stopReason == evacuationStop && !r.task.step.LongRunning) {
				moving = append(moving, r)
			}
		}
	}
	if len(moving) == 0 {
		return
	}
	slices.SortFunc(moving, func(a, b *run) int {
		if a.phase != b.phase {
			return cmp.Compare(b.phase, a.phase) // those that are being stopped need their places
		}
		return a.task.compare(b.task)
	})
	open, _ := p.openWorkers(now)
	places := newPlaces(slices.DeleteFunc(open, func(w *worker) bool { return w.evacuating || w.holds() }))
	for _, r := range moving {
		if places.assign(r.task.step, r.task.step.permitted) && r.phase == runConfirmed {
			r.task.moved, r.task.movedPercent = true, r.percent
			e.stop(r, evacuationStop, now)
		}
	}
}

// movable reports whether the run is of a batch task that continues elsewhere from
// its checkpoint and will take long. Gangs and tasks with a second run stay.
func (r *run) movable(now time.Duration) bool {
	s := r.task.step
	return s.Checkpoints && !s.Gang && !s.LongRunning && !s.job.ended() && r.phase == runConfirmed && r.listed &&
		len(r.task.runs) == 1 && !r.task.suspect() && now-r.sentAt > minRemainingToMove && r.remaining(now) > minRemainingToMove &&
		(!r.task.moved || r.gained() > minRemainingToMove)
}

// gained returns how much longer the run has worked than it took to get as far as the
// task was when it last moved, at least. A task may lose much of its progress when it
// moves, and must get on before it is moved again.
func (r *run) gained() time.Duration {
	from, since := r.measuredFrom()
	moved := max(r.task.movedPercent, from)
	if r.percent <= moved {
		return 0
	}
	return time.Duration(float64(r.confirmedAt-since) * (r.percent - moved) / (r.percent - from))
}

// mayBeginWithProgress reports whether the run was started with a checkpoint or under
// a previous owner.
func (r *run) mayBeginWithProgress() bool { return r.order == nil || r.order.Checkpoint != "" }

// measuredFrom returns the progress from which that of the run is measured, and when
// the run had it.
func (r *run) measuredFrom() (percent float64, at time.Duration) {
	if r.firstPercent > 0 {
		return r.firstPercent, r.firstAt
	}
	return 0, r.sentAt
}

// progressKnown reports whether the run has made enough progress to measure its speed.
// Workers report whole percents, so a run that began with progress is measured over at
// least a sample span.
func (r *run) progressKnown() bool {
	from, since := r.measuredFrom()
	return r.percent > from && (from == 0 || r.confirmedAt-since >= r.task.step.sampleSpan())
}

// remaining returns how long the run still takes by its progress, or by the estimate
// until that is known.
func (r *run) remaining(now time.Duration) time.Duration {
	from, since := r.measuredFrom()
	if !r.progressKnown() {
		return time.Duration(float64(r.task.step.Estimate)*(100-from)/100) - (now - since)
	}
	return time.Duration(float64(r.confirmedAt-since)*(100-r.percent)/(r.percent-from)) - (now - r.confirmedAt)
}
