package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// outageInterval is the time between two checks of the long-running tasks
	// for outages.
	outageInterval = time.Second
	// minOutage is how long no answer of a worker must have listed a run of a
	// long-running task before the task is reported. A poll waits up to
	// pollWait.
	minOutage = 2 * time.Second
	// maxOutageLines bounds the tasks that are reported at a time, and
	// maxOutageWorkers the workers in a line.
	maxOutageLines   = 10
	maxOutageWorkers = 32
)

// outage is a long-running task that no worker has listed for a while.
type outage struct {
	task *task
	// since is when a run of the task was last listed, or when the task became
	// ready to start.
	since time.Duration
	// tasks counts the tasks of the same step without a listed run.
	tasks int
}

// reportOutages logs the long-running tasks that have had no run for a while,
// at most one a step, and why each worker of their pool was passed over.
func (e *Engine) reportOutages(now time.Duration) {
	if now < e.nextOutageCheck || e.catalog == nil {
		return
	}
	e.nextOutageCheck = now + outageInterval
	var list []outage
	e.stats.TasksWithoutRun = 0
	for _, j := range e.jobs {
		if j.ended() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if out := s.outage(now); out.tasks > 0 {
					list = append(list, out)
					e.stats.TasksWithoutRun += int64(out.tasks)
					e.stats.LongestWithoutRunMS = max(e.stats.LongestWithoutRunMS, (now - out.since).Milliseconds())
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b outage) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.task.id().String(), b.task.id().String()))
	})
	for _, out := range list[:min(len(list), maxOutageLines)] {
		e.logOutage(out, now)
	}
}

// outage returns the task of a long-running step that has been without a run
// for longest, and how many tasks are, none if that is too short to report.
func (s *step) outage(now time.Duration) outage {
	out := outage{}
	if !s.LongRunning {
		return out
	}
	for _, t := range s.tasks {
		if s.waitsFor > 0 {
			t.listedAt = now
		}
		if t.done || now-t.listedAt < minOutage {
			continue
		}
		out.tasks++
		if out.task == nil || t.listedAt < out.since {
			out.task, out.since = t, t.listedAt
		}
	}
	return out
}

func (e *Engine) logOutage(out outage, now time.Duration) {
	t := out.task
	p := e.pool(t.step.job.Pool)
	fields := []zap.Field{
		zap.Stringer("task", t.id()), zap.Duration("without_run", now-out.since), zap.Int("tasks", out.tasks), zap.String("pool", p.name),
		zap.Float64("processors", t.step.Requests().Processors), zap.Int("memory_mb", t.step.Requests().MemoryMB),
		zap.Int("max_per_worker", t.step.MaxPerWorker), zap.Bool("ownership_expired", e.ownership == OwnershipExpired),
		zap.Bool("recovering", e.blockedByRecovery(t)),
	}
	if e.blockedByRecovery(t) {
		var unpolled []string
		for _, w := range p.workers {
			if w.inherited && len(unpolled) < maxOutageWorkers {
				unpolled = append(unpolled, w.ID)
			}
		}
		fields = append(fields, zap.Strings("unpolled", unpolled))
	}
	if len(t.runs) > 0 {
		r := t.runs[len(t.runs)-1]
		fields = append(fields, zap.Int("run", r.number), zap.String("worker", r.worker.ID), zap.Stringer("phase", r.phase),
			zap.Bool("silent", r.worker.failedPolls > 0), zap.Duration("lease_left", r.worker.leaseEnd()-now))
	} else {
		passedOver := map[string]string{}
		for _, w := range p.workers[:min(len(p.workers), maxOutageWorkers)] {
			passedOver[w.ID] = e.passedOver(t, w, now)
		}
		fields = append(fields, zap.Duration("paused", max(0, t.notBefore-now, t.step.gangRetry-now)), zap.Int("workers", len(p.workers)), zap.Any("passed_over", passedOver))
	}
	event.TaskWithoutRun.Log(e.opts.Log, fields...)
}

// logRestart logs the start of a long-running task that this owner or a previous
// one has started before, with what it waited for.
func (e *Engine) logRestart(r *run, now time.Duration) {
	t, p := r.task, r.worker.pool
	fields := []zap.Field{
		zap.Stringer("task", t.id()), zap.Int("run", r.number), zap.String("worker", r.worker.ID), zap.Duration("without_run", now-t.listedAt),
		zap.String("lost_on", t.lostOn), zap.String("reason", t.lostReason),
	}
	if t.step.held {
		fields = append(fields, zap.Duration("recovery", max(0, p.recoveredAt-e.recoverAt)), zap.String("unread", p.lastUnread))
	}
	event.TaskRestarted.Log(e.opts.Log, fields...)
	t.lostOn, t.lostReason = "", ""
}

// passedOver returns why a worker does not get a task, "" if it could.
func (e *Engine) passedOver(t *task, w *worker, now time.Duration) string {
	s := t.step
	if reason := w.unusable(now); reason != "" && (w.closed(now) != "" || len(t.lastResort([]*worker{w}, now)) == 0) {
		return reason
	}
	switch {
	case s.MaxPerWorker > 0 && s.runsOn(w) >= s.MaxPerWorker:
		return "enough tasks of the step"
	case !s.allows(w):
		return "label"
	case !s.Requests().Fits(w.free()):
		return "no capacity"
	}
	if _, ok := e.ticket(s, w, now); !ok {
		return "no ticket"
	}
	return ""
}
