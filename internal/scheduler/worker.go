package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// worker is one incarnation of a worker, with its known runs.
type worker struct {
	estate.Worker
	pool *pool
	// token is the fencing token of all orders to this incarnation. It is above
	// those of every previous incarnation under the same id, whose orders may be
	// carried out late.
	token int64
	// knownSince is when the first entry or answer of this incarnation was read.
	knownSince time.Duration
	// listed is set while discovery has an entry of the worker.
	listed bool
	// ownEntry is set once an entry of this incarnation was read. otherEntry is
	// the latest entry if it is of another incarnation and may be older: the
	// answer to a poll that is sent after otherEntryAt decides.
	ownEntry bool
	// full is the largest capacity that this incarnation had so far.
	full placement.Resources
	// entryAt is when the latest entry was read.
	entryAt      time.Duration
	otherEntry   *estate.Worker
	otherEntryAt time.Duration
	// fenced is set once the worker has answered a poll with this owner's
	// token, so that it refuses the orders of every previous owner.
	fenced bool
	// recorded is set once it is stored that this worker may be used, so that a
	// successor finds it and waits for the leases of this owner. Without it, the
	// worker gets no lease and no tasks.
	recorded bool
	// inherited is set while the worker may have undiscovered runs of a
	// previous owner.
	inherited bool
	// inheritedPool is the pool in which previous owners have used the worker, if it is
	// inherited. It may have restarted in another one since.
	inheritedPool *pool
	// leavesAt is the earliest time at which a draining worker ends, 0 if it
	// has not announced one.
	leavesAt time.Duration
	// reservation is set if the worker's host is to be moved or maintained.
	reservation fleetplan.Reservation
	// evacuating is set while the long-running tasks of the worker are to move to
	// other workers.
	evacuating bool
	// held is the capacity that only long-running tasks may take. holdCapacity
	// computes it anew in each sweep.
	held placement.Resources
	// pendingRemoval is set if the worker's host is to be maintained or moved
	// soon.
	pendingRemoval bool
	// plannedEnd is set once the end of the worker is known to have been ordered.
	plannedEnd bool
	// crashCounted is set once the end of this incarnation is recorded with its
	// tasks.
	crashCounted bool
	// heldUntil is until when only suspects may start on the worker, and heldAt
	// when that was last decided.
	heldUntil, heldAt time.Duration

	runs map[runKey]*run
	// orphans are runs that no job needs and that are being stopped.
	orphans map[runKey]*orphan
	// longRunning are the runs of long-running tasks. Sweeps look for those that
	// need another worker, and workers have many other runs.
	longRunning []*run
	// suspects are the runs of tasks that were suspects when they started.
	suspects []*run
	// speculative counts the runs of tasks that permit copies.
	speculative int
	// used is the sum of the requests of runs and orphans.
	used placement.Resources

	// polling is set while a long poll is in flight, probing while a poll that
	// does not wait is.
	polling, probing bool
	nextPoll         time.Duration
	failedPolls      int
	lastContact      time.Duration
	// unpolled is for how long no poll was waiting at the worker before the one that
	// it answered last.
	unpolled time.Duration
	// silentSince is when the first of the failed polls failed.
	silentSince time.Duration
	// answeredSentAt is when the latest answered poll was sent, 0 if none was
	// answered. silentAt is when the first poll failed that was sent after the
	// worker's lease, 0 if none did since its last answer.
	answeredSentAt, silentAt time.Duration
	// clockMS is the worker's clock at clockAt, from its last answer.
	clockMS int64
	clockAt time.Duration
	// leaseMS is the latest lease deadline that was sent, on the worker's clock.
	leaseMS int64
	// receivedLeaseMS is the latest one in an order that the worker has answered.
	receivedLeaseMS int64
	// inheritedLeaseEnd is when the last lease that a previous owner can have
	// granted has expired.
	inheritedLeaseEnd time.Duration
	// inheritedTasks and inheritedTasksKnown are the Tasks and TasksKnown of UsedWorker.
	inheritedTasks      []workload.TaskID
	inheritedTasksKnown bool
	// leaseFrozen is set while the record of workers in use may state when the
	// worker's lease ends. The lease is not renewed then.
	leaseFrozen bool

	// lastSeenEnd is the number of the last end that was handled, lastAckedEnd
	// that of the last one that the worker may discard.
	lastSeenEnd, lastAckedEnd int64
	pendingEnds               []pendingEnd

	health
	neighbourhood
}

// runKey identifies a run on a worker.
type runKey struct {
	task workload.TaskID
	run  int
}

// pendingEnd is an end that the worker lists until it is recorded and
// acknowledged.
type pendingEnd struct {
	number int64
	job    *job
	seq    uint64
}

// WorkerListed adds or updates a worker from its discovery entry.
func (e *Engine) WorkerListed(entry estate.Worker, now time.Duration) {
	w := e.workers[entry.ID]
	if w != nil && w.otherIncarnation(entry.StartedMS) {
		if w.mayOutlive(entry) {
			w.otherEntry, w.otherEntryAt = &entry, now
			return
		}
		w = e.replaceIncarnation(w, entry.StartedMS, now)
	}
	if w == nil {
		w = e.addWorker(entry, now)
	}
	w.pool.needsPass = true
	w.listed = true
	if w.hasNewerEntry(entry) {
		return
	}
	if entry.Pool != w.Pool {
		w.pool.remove(w)
		w.pool = e.pool(entry.Pool)
		w.pool.add(w)
	}
	if entry.Draining && !w.Draining {
		event.WorkerDraining.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("remaining", entry.Remaining))
	}
	switch {
	case !entry.Draining:
		w.leavesAt = 0
	case entry.Remaining > 0 || w.leavesAt > 0:
		w.leavesAt = now + entry.Remaining
	}
	entry.StartedMS = cmp.Or(entry.StartedMS, w.StartedMS)
	w.recordCapacity(entry.Capacity)
	w.Worker = entry
	w.ownEntry, w.entryAt, w.otherEntry = true, now, nil
}

func (e *Engine) addWorker(entry estate.Worker, now time.Duration) *worker {
	p := e.pool(entry.Pool)
	e.added = min(e.added+1, 1<<incarnationBits-1)
	w := &worker{
		Worker: entry, pool: p, token: e.opts.Token<<incarnationBits | e.added, runs: map[runKey]*run{}, orphans: map[runKey]*orphan{}, knownSince: now, lastContact: now,
	}
	p.add(w)
	e.workers[entry.ID] = w
	event.WorkerSeen.Log(e.opts.Log, zap.String("worker", w.ID), zap.Int64("incarnation", w.StartedMS), zap.String("pool", w.Pool), zap.String("address", w.Address))
	return w
}

// add inserts a worker in the order of ids: tasks are packed onto the first
// workers, so that the others stay free to be moved or maintained.
func (p *pool) add(w *worker) {
	i, _ := slices.BinarySearchFunc(p.workers, w.ID, func(other *worker, id string) int { return cmp.Compare(other.ID, id) })
	p.workers = slices.Insert(p.workers, i, w)
}

func (p *pool) remove(w *worker) {
	for i, other := range p.workers {
		if other == w {
			p.workers = append(p.workers[:i], p.workers[i+1:]...)
			return
		}
	}
}

// WorkerUnlisted handles the removal of a worker's discovery entry. Its runs
// are given up only when its lease has expired.
func (e *Engine) WorkerUnlisted(id string, now time.Duration) {
	w := e.workers[id]
	if w != nil {
		w.otherEntry = nil
	}
	if w != nil && w.listed {
		w.listed = false
		w.pool.needsPass = true
		event.WorkerUnlisted.Log(e.opts.Log, zap.String("worker", id), zap.String("pool", w.Pool), zap.Int("runs", len(w.runs)))
	}
}

// loseRun gives up a run whose end was not seen.
func (e *Engine) loseRun(r *run, reason string, now time.Duration) {
	w := r.worker
	e.stats.LostRuns++
	event.TaskLost.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", w.ID),
		zap.Int64("incarnation", w.StartedMS), zap.String("reason", reason), zap.Duration("silent", now-w.lastContact), zap.Duration("lease_left", w.leaseEnd()-now))
	r.task.settledRuns = append(r.task.settledRuns, r.number)
	r.task.lostOn, r.task.lostReason = w.ID, reason
	e.endRun(r, now)
}

// expireLeases gives up the runs of workers whose lease has expired and that
// have not answered a probe since, though this process reads answers: it has
// read that of a probe sent later. If there is no such answer, another MaxLease
// has to pass. It also drops unlisted workers that have nothing left to settle.
func (e *Engine) expireLeases(now time.Duration) {
	for _, w := range e.workers {
		switch {
		case w.silentAt == 0 || !w.occupied():
		case e.promptSentAt < w.silentAt && now <= w.leaseEnd()+e.opts.MaxLease:
			e.probeAnother(w, now)
		default:
			e.countCrash(w, true, now)
			for _, r := range w.runs {
				if !r.sentToPrevious() || r.listed || now > r.sentAt+maxOrderDelay+e.opts.MaxLease {
					e.loseRun(r, "lease expired", now)
				}
			}
			w.removeUnlistedOrphans(nil, now)
		}
		if !w.listed && !w.occupied() && len(w.pendingEnds) == 0 && !w.inherited {
			w.pool.remove(w)
			delete(e.workers, w.ID)
			e.speeds.Forget(w.ID)
		}
	}
}

// leaseEnd returns when the worker has killed all its runs, if no poll or start
// extends its lease beyond the latest deadline that was sent.
func (w *worker) leaseEnd() time.Duration {
	left := time.Duration(w.leaseMS-w.clockMS) * time.Millisecond
	if left < 0 {
		left = 0
	}
	return max(w.clockAt+atSlowClock(left), w.inheritedLeaseEnd)
}

// atSlowClock returns the time after which a lease has expired by the slowest
// clock of a worker.
func atSlowClock(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockDrift) + leaseSlack
}

// clock estimates the worker's clock in milliseconds from below: it leaves out
// the time that the last answer took to arrive.
func (w *worker) clock(now time.Duration) int64 {
	return w.clockMS + (now - w.clockAt).Milliseconds()
}

// earliestClock returns the least that the worker's clock, which may be slow, can
// show at the given time, in milliseconds.
func (w *worker) earliestClock(at time.Duration) int64 {
	return w.clockMS + time.Duration(float64(at-w.clockAt)*(1-clockDrift)).Milliseconds()
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Duration) bool { return w.unusable(now) == "" }

// unusable returns why the worker gets no new tasks, "" if it does. A worker
// that is only being emptied or set aside is the last resort of long-running
// tasks.
func (w *worker) unusable(now time.Duration) string {
	if reason := w.closed(now); reason != "" {
		return reason
	}
	switch {
	case w.reservation != fleetplan.Unreserved:
		return w.reservation.String()
	case w.setAside(now):
		return "set aside"
	}
	return ""
}

// closed returns why the worker may not get any task, "" if it is usable or a
// last resort.
func (w *worker) closed(now time.Duration) string {
	switch {
	case !w.listed:
		return "not listed"
	case w.pool.overcommits && !w.ownEntry:
		return "capacity unknown"
	case w.Draining:
		return "draining"
	case w.failedPolls > 0:
		return "does not answer"
	case !w.fenced:
		return "not fenced"
	case w.otherEntry != nil:
		return "may have restarted"
	case !w.recorded:
		return "not recorded"
	case w.reservation == fleetplan.Ordered:
		return w.reservation.String()
	case w.paused(now):
		return "paused"
	case w.capacityOutdated(now):
		return "capacity outdated"
	}
	return ""
}

// free returns the resources that the worker has left.
func (w *worker) free() placement.Resources {
	if w.runsUnknown() {
		return placement.Resources{}
	}
	return w.Capacity.Sub(w.used)
}

// holds reports whether the worker holds capacity for long-running tasks.
func (w *worker) holds() bool { return w.held != placement.Resources{} }

// unheld returns the resources that tasks other than long-running ones may take.
func (w *worker) unheld() placement.Resources {
	if !w.holds() {
		return w.free()
	}
	return w.free().Sub(w.held).Max(placement.Resources{}) // held capacity may be in use
}

// freeFor returns the resources that a task of the step may take.
func (w *worker) freeFor(s *step) placement.Resources {
	if s.LongRunning {
		return w.free()
	}
	return w.unheld()
}

// addRun adds a run to the worker and its requests to the used resources.
// removeRun undoes it.
func (w *worker) addRun(r *run) {
	w.runs[runKey{r.task.id(), r.number}] = r
	w.neighboursKnown = false
	w.used = w.used.Add(r.task.step.Requests())
	r.task.step.job.team.held().AddRun(r.task.step.Size, r.task.step.LongRunning)
	r.task.step.job.share.Add(r.task.step.Requests())
	if r.task.step.LongRunning {
		w.longRunning = append(w.longRunning, r)
	}
	if r.task.step.Speculative {
		w.speculative++
	}
	if r.task.suspect() {
		w.suspects = append(w.suspects, r)
	}
}

func (w *worker) removeRun(r *run) {
	key := runKey{r.task.id(), r.number}
	if _, ok := w.runs[key]; !ok {
		return
	}
	delete(w.runs, key)
	w.neighboursKnown = false
	w.longRunning = slices.DeleteFunc(w.longRunning, func(other *run) bool { return other == r })
	w.suspects = slices.DeleteFunc(w.suspects, func(other *run) bool { return other == r })
	w.releaseResources(r.task.step.Requests())
	r.task.step.job.team.held().RemoveRun(r.task.step.Size, r.task.step.LongRunning)
	r.task.step.job.team.quotaReleased()
	r.task.step.job.share.Remove(r.task.step.Requests())
	if r.task.step.Speculative {
		w.speculative--
	}
}

func (w *worker) releaseResources(resources placement.Resources) {
	w.used = w.used.Sub(resources)
	if !w.occupied() {
		w.used = placement.Resources{} // sums of fractions of a core leave rounding errors
	}
}

// frozenAfter is how long a worker must not have answered before its lease is
// recorded as no longer renewed. A worker that answers again gets no lease before
// it is recorded anew.
const frozenAfter = 500 * time.Millisecond

// InUse returns the workers that a successor has to fence before it may start a
// task again. A worker that has not answered this owner has no task of it: it may
// have ended long before its entry lapses. One that is left out, or whose lease is
// stated to end, gets no task and no lease before it is recorded again.
func (e *Engine) InUse(now time.Duration) []UsedWorker {
	var list []UsedWorker
	for _, w := range e.workers {
		w.leaseFrozen = w.toFreeze(now) || (w.leaseFrozen && w.inherited)
		inUse := w.inherited || w.occupied() || len(w.pendingEnds) > 0 || w.toRecord(e)
		if inUse {
			u := UsedWorker{Worker: w.Worker}
			if w.inherited {
				u.Pool = w.inheritedPool.name
			}
			if w.leaseFrozen {
				u.LeaseEnd = w.leaseEnd()
				u.Tasks, u.TasksKnown = w.possibleTasks()
			}
			list = append(list, u)
		}
		w.recorded = w.recorded && inUse && !w.leaseFrozen
	}
	slices.SortFunc(list, func(a, b UsedWorker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// toFreeze reports whether the end of the worker's lease is to be recorded.
func (w *worker) toFreeze(now time.Duration) bool {
	return w.failedPolls > 0 && (w.inherited || now-w.silentSince >= frozenAfter)
}

// possibleTasks returns the tasks that the worker may run or list the ends of, and
// whether all of them are known. They are if this owner has read the worker's runs,
// and every end that it listed is recorded.
func (w *worker) possibleTasks() (tasks []workload.TaskID, known bool) {
	switch {
	case w.inherited:
		return w.inheritedTasks, w.inheritedTasksKnown
	case w.lastRecordedEnd() < w.lastSeenEnd:
		return nil, false
	}
	for key := range w.runs {
		tasks = append(tasks, key.task)
	}
	for key := range w.orphans {
		tasks = append(tasks, key.task)
	}
	slices.SortFunc(tasks, workload.TaskID.Compare)
	return tasks, true
}

// toRecord reports whether the worker is to be used as soon as it is recorded.
func (w *worker) toRecord(e *Engine) bool { return w.listed && w.fenced && !e.standby(w.Pool) }

func (e *Engine) standby(poolName string) bool {
	if e.catalog == nil {
		return false
	}
	p := e.catalog.Pools[poolName]
	return p != nil && p.Standby
}

// Recorded marks workers as stored in the record of workers in use, where a
// successor finds them. Tasks may be started on them from then on.
func (e *Engine) Recorded(list []UsedWorker) {
	for _, u := range list {
		if w := e.workers[u.ID]; w != nil && u.LeaseEnd == 0 && !w.leaseFrozen && !w.otherIncarnation(u.StartedMS) && !w.recorded {
			w.recorded = true
			w.pool.needsPass = true
		}
	}
}

// Unrecorded reports whether the record of workers is to be written at once: a
// worker has to be recorded before it can be used, or a successor would wait longer
// than necessary for one that does not answer.
func (e *Engine) Unrecorded(now time.Duration) bool {
	for _, w := range e.workers {
		switch {
		case !w.recorded && w.fenced && w.failedPolls == 0 && (w.occupied() || w.toRecord(e)):
			return true
		case !w.leaseFrozen && w.toFreeze(now) && (w.inherited || w.occupied()):
			return true
		}
	}
	return false
}
