package scheduler

import (
	"cmp"
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
