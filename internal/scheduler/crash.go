package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// provenAfter is how long a worker must have survived the start of a run, as
	// its answers show, before a crash is put down to runs that started later.
	provenAfter = 500 * time.Millisecond
	// maxCertainCrashes is the number of crashes right after a start at which a
	// task is given up, if only runs of its job can have caused the last one.
	maxCertainCrashes = 2
	// maxCrashes is the same bound for crashes of any weight, and
	// maxSharedCrashes the one for crashes that other jobs can have caused too.
	maxCrashes       = 3
	maxSharedCrashes = 4
	// strictAfter is the number of crashes from which a task is kept apart for
	// the whole of its run.
	strictAfter = 2
)

// crash is the end of a worker under a run of a task. It is recorded with the
// progress of the job.
type crash struct {
	run    int
	weight workload.CrashWeight
}

// presumedCrash is a crash of a worker that fell silent. It is confirmed or
// withdrawn once the fate of the worker is known.
type presumedCrash struct {
	// startedMS is the incarnation that fell silent, and at when it was given up.
	startedMS int64
	at        time.Duration
	task      *task
	run       int
	alone     bool
}

// workerEnd says how a worker has ended.
type workerEnd int

const (
	// endPresumed means that the worker is silent and may still live.
	endPresumed workerEnd = iota
	// endCertain means that the worker has ended.
	endCertain
	// endReplaced means that the worker has ended, and that its next incarnation may
	// carry out the starts that it was sent.
	endReplaced
)

// crashUnit returns the tasks that start together with the task: itself, or all
// members of its gang.
func (t *task) crashUnit() []*task {
	if t.step.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// unitCrashes returns the recorded crashes under the task or, for a gang, under
// any of its members: one a run, of the greatest weight.
func (t *task) unitCrashes() []crash {
	if !t.step.Gang {
		return t.crashes
	}
	var list []crash
	for _, member := range t.step.tasks {
		for _, c := range member.crashes {
			i := slices.IndexFunc(list, func(other crash) bool { return other.run == c.run })
			if i < 0 {
				list = append(list, c)
				continue
			}
			list[i].weight = max(list[i].weight, c.weight)
		}
	}
	return list
}

// countCrashes returns the number of crashes of at least the given weight.
func countCrashes(list []crash, least workload.CrashWeight) int {
	n := 0
	for _, c := range list {
		if c.weight >= least {
			n++
		}
	}
	return n
}

// proven reports whether the worker has survived the start of the run for a
// while.
func (r *run) proven() bool { return r.listed && r.confirmedAt-r.sentAt >= provenAfter }

// begun reports whether this incarnation of the worker has certainly started the
// run.
func (r *run) begun() bool { return r.listed || r.startedHere }

// leaseRuns reports whether the lease that the worker has certainly received has not
// expired yet: its runs were there until it ended, unless they had ended by
// themselves.
func (w *worker) leaseRuns(now time.Duration) bool { return w.receivedLeaseMS > w.clock(now) }

// endsAsPlanned reports whether the end of the worker was announced or ordered.
func (w *worker) endsAsPlanned() bool {
	return w.plannedEnd || w.Draining || w.leaving() || w.reservation == fleetplan.Ordered
}

// crashSuspects returns the runs under which the worker ends, and those of them
// that can have caused it: the ones that started last. The rest had been running
// for a while. alone is set if all of these belong to one job.
func (w *worker) crashSuspects() (under, causes []*run, alone bool) {
	for _, r := range w.runs {
		unsent := r.phase == runSent && r.order != nil && r.order.Withdrawn()
		if !unsent && !r.task.step.job.ended() && !r.task.done && (r.listed || !r.sentToPrevious()) {
			under = append(under, r)
		}
	}
	slices.SortFunc(under, func(a, b *run) int { return cmp.Or(a.task.compare(b.task), cmp.Compare(a.number, b.number)) })
	causes = slices.DeleteFunc(slices.Clone(under), (*run).proven)
	if len(causes) == 0 {
		causes = slices.DeleteFunc(slices.Clone(under), func(r *run) bool { return !r.task.strict() })
	}
	alone = !slices.ContainsFunc(causes, func(r *run) bool { return r.task.step.job != causes[0].task.step.job })
	return under, causes, alone
}

// countCrash records the unplanned end of a worker with the tasks that ran there.
// A worker that is only silent may still live: its end is presumed. Runs that had
// been listed for a while are no cause; two such crashes keep a task apart. The crash
// stays open for a start that has no answer yet or that the next incarnation may
// carry out.
func (e *Engine) countCrash(w *worker, end workerEnd, now time.Duration) {
	if w.endsAsPlanned() || w.crashCounted {
		return
	}
	presumed := end == endPresumed
	w.crashCounted = !presumed
	under, causes, alone := w.crashSuspects()
	for _, r := range under {
		cause := slices.Contains(causes, r)
		weight := workload.CrashBystander
		switch {
		case !cause && (presumed || r.task.step.LongRunning):
			continue
		case presumed && !r.begun() && !r.answered:
			continue // neither the crash nor the run is certain
		case cause && presumed:
			weight = workload.CrashPresumed
			e.presumed[w.ID] = append(e.presumed[w.ID], presumedCrash{startedMS: w.StartedMS, at: now, task: r.task, run: r.number, alone: alone})
		case cause && r.begun() && w.leaseRuns(now):
			weight = workload.CrashCertain
		case cause && !r.begun() && (!r.answered || end == endReplaced):
			r.openCrash = &openCrash{workerID: w.ID, alone: alone}
			continue
		case cause:
			weight = workload.CrashUncertain
		}
		e.recordCrash(r.task, crash{r.number, weight}, cause && alone, w.ID, now)
		e.pauseRestart(r, now)
	}
}

// fateTimeout is how long after its lease a worker that never answers again counts
// as cut off. After that its crash is no longer presumed.
const fateTimeout = 6 * time.Second

// answeredAfterSilence settles the presumed crashes of a worker that answers: they
// are withdrawn if it is the incarnation that fell silent.
func (e *Engine) answeredAfterSilence(id string, startedMS int64, now time.Duration) {
	list := e.presumed[id]
	if len(list) == 0 {
		return
	}
	silent := list[0].startedMS
	e.settlePresumed(id, silent != 0 && startedMS != 0 && silent != startedMS, now)
}

// confirmPresumed confirms the presumed crashes of workers whose fate stays unknown.
func (e *Engine) confirmPresumed(now time.Duration) {
	for id, list := range e.presumed {
		if len(list) > 0 && now-list[0].at > fateTimeout {
			e.settlePresumed(id, true, now)
		}
	}
}

// settlePresumed confirms or withdraws the presumed crashes of a worker.
func (e *Engine) settlePresumed(id string, crashed bool, now time.Duration) {
	list := e.presumed[id]
	delete(e.presumed, id)
	for _, p := range list {
		if p.task.step.job.ended() {
			continue
		}
		if crashed {
			e.recordCrash(p.task, crash{p.run, workload.CrashUncertain}, p.alone, id, now)
			continue
		}
		p.task.crashes = slices.DeleteFunc(slices.Clone(p.task.crashes), func(c crash) bool {
			return c.run == p.run && c.weight == workload.CrashPresumed
		})
		e.storeCrashes(p.task, now)
	}
}

// recordCrash adds a crash to the record of a task, or raises the weight of a
// recorded one, and gives the task up if that suffices.
func (e *Engine) recordCrash(t *task, c crash, alone bool, workerID string, now time.Duration) {
	if t.step.job.ended() {
		return // it has been given up for another task
	}
	i := slices.IndexFunc(t.crashes, func(other crash) bool { return other.run == c.run })
	switch {
	case i >= 0 && t.crashes[i].weight >= c.weight:
		return
	case i >= 0:
		t.crashes[i].weight = c.weight
	default:
		t.crashes = append(t.crashes, c)
	}
	e.stats.CrashesCounted++
	event.CrashCounted.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("run", c.run), zap.String("worker", workerID),
		zap.Stringer("weight", c.weight), zap.Bool("alone", alone), zap.Int("crashes", len(t.crashes)))
	e.storeCrashes(t, now)
	if t.isGivenUp(c, alone) && e.mayBeGivenUp(t.step.job, workerID) {
		e.stats.TasksGivenUp++
		event.TaskGivenUp.Log(e.opts.Log, zap.Stringer("task", t.id()), zap.Int("crashes", len(t.crashes)),
			zap.Int("certain", countCrashes(t.crashes, workload.CrashCertain)), zap.String("reason", "its workers crash"))
		e.endJob(t.step.job, workload.Failed, now)
	}
}

// isGivenUp reports whether the latest crash suffices to give the task up.
// Presumed ones never do, nor those under other members of its gang.
func (t *task) isGivenUp(latest crash, alone bool) bool {
	if latest.weight < workload.CrashUncertain {
		return false
	}
	confirmed := countCrashes(t.crashes, workload.CrashUncertain)
	for _, c := range t.crashes {
		if c.weight == workload.CrashBystander {
			confirmed++
		}
	}
	switch {
	case confirmed >= maxSharedCrashes:
		return true
	case !alone:
		return false
	}
	return countCrashes(t.crashes, workload.CrashCertain) >= maxCertainCrashes || confirmed >= maxCrashes
}

// storeCrashes writes the crashes of a task to the record of its job. The task is
// not started again before that.
func (e *Engine) storeCrashes(t *task, now time.Duration) {
	j, number, index := t.step.job, t.step.occ.number, t.step.index
	list := slices.DeleteFunc(slices.Clone(j.progress.Crashes), func(c workload.Crash) bool {
		return c.Occurrence == number && c.Step == index && c.Index == t.index
	})
	for _, c := range t.crashes {
		list = append(list, workload.Crash{Occurrence: number, Step: index, Index: t.index, Run: c.run, Weight: c.weight})
	}
	j.progress.Crashes = list
	e.markDirty(j, true, now)
	t.crashSeq = j.seq
	t.step.hasSuspects = t.step.hasSuspects || len(t.crashes) > 0
}

// restoreCrashes applies the recorded crashes to the tasks of an occurrence.
func (j *job) restoreCrashes(o *occurrence) {
	for _, c := range j.progress.Crashes {
		if t := j.find(c.Occurrence, c.Step, c.Index); t != nil && c.Occurrence == o.number {
			weight := c.Weight
			if weight == workload.CrashPresumed {
				weight = workload.CrashUncertain // nobody settles it any more
			}
			t.crashes = append(t.crashes, crash{c.Run, weight})
			t.lastRun = max(t.lastRun, c.Run)
			t.step.hasSuspects = true
		}
	}
}

// survivedStart forgets the crashes of a long-running task that has survived its start.
func (e *Engine) survivedStart(r *run, now time.Duration) {
	t := r.task
	if !t.step.LongRunning || !r.proven() {
		return
	}
	t.step.job.survived = true
	if len(t.crashes) > 0 {
		t.crashes = nil
		e.storeCrashes(t, now)
	}
}
