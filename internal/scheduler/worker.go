package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// worker is one life of a worker, with what is known to run on it.
type worker struct {
	estate.Worker
	pool *pool
	// listed says that discovery has an entry.
	listed bool
	// fenced says that the worker answered a look with this owner's token, so
	// that it obeys no earlier owner any more.
	fenced bool
	// recorded says that a successor will know that this worker was used.
	recorded bool
	// inherited workers may run tasks of a former owner.
	inherited bool
	// reserved workers get no new tasks: they are to move or be maintained.
	reserved bool
	// pendingRemoval workers are to be taken down soon.
	pendingRemoval bool

	runs map[runKey]*run
	// orphans are runs that nobody wants and that are being stopped.
	orphans map[runKey]*orphan
	// speculative counts the runs of tasks that permit copies.
	speculative int
	// unanswered are starts of the last time that got no answer.
	unanswered []unanswered
	// used is the room that runs and strays take.
	used placement.Resources

	polling, probing bool
	nextPoll         time.Duration
	failedPolls      int
	lastContact      time.Duration
	// clockMS is the worker's clock at clockAt, by its last answer.
	clockMS int64
	clockAt time.Duration
	// leaseMS is the latest deadline that was sent, on the worker's clock.
	leaseMS  int64
	leasedAt time.Duration

	// lastSeenEnd is the number of the last end that was taken in, lastAckedEnd the last one
	// that the worker may forget.
	lastSeenEnd, lastAckedEnd int64
	pendingEnds               []pendingEnd

	health
}

type runKey struct {
	task workload.TaskID
	run  int
}

// pendingEnd is an end that the worker lists until it is recorded.
type pendingEnd struct {
	number int64
	job    *job
	seq    uint64
}

// WorkerListed takes in a worker's entry.
func (e *Engine) WorkerListed(entry estate.Worker, now time.Duration) {
	w := e.workers[entry.ID]
	if w != nil && w.otherIncarnation(entry.StartedMS) {
		if entry.StartedMS < w.StartedMS {
			return // an entry of a life that is over
		}
		w = e.replaceIncarnation(w, entry.StartedMS, now)
	}
	if w == nil {
		w = e.addWorker(entry, now)
	}
	w.pool.needsPass = true
	w.listed = true
	if entry.Pool != w.Pool {
		w.pool.remove(w)
		w.pool = e.pool(entry.Pool)
		w.pool.add(w)
	}
	if entry.Draining && !w.Draining {
		event.WorkerDraining.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("remaining", entry.Remaining))
	}
	w.Worker = entry
}

// otherIncarnation reports whether startedMS is of another incarnation of the worker.
func (w *worker) otherIncarnation(startedMS int64) bool {
	return startedMS != 0 && w.StartedMS != 0 && startedMS != w.StartedMS
}

func (e *Engine) addWorker(entry estate.Worker, now time.Duration) *worker {
	p := e.pool(entry.Pool)
	w := &worker{
		Worker: entry, pool: p, runs: map[runKey]*run{}, orphans: map[runKey]*orphan{}, lastContact: now,
	}
	p.add(w)
	e.workers[entry.ID] = w
	event.WorkerSeen.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.String("address", w.Address))
	return w
}

// add keeps the pool's workers in the order of their ids: tasks are packed onto
// the first ones, so that others stay free to be moved or maintained.
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

// WorkerUnlisted takes in that a worker's entry was removed. What runs there is
// given up only when its lease has run out.
func (e *Engine) WorkerUnlisted(id string, now time.Duration) {
	if w := e.workers[id]; w != nil && w.listed {
		w.listed = false
		w.pool.needsPass = true
		event.WorkerUnlisted.Log(e.opts.Log, zap.String("worker", id), zap.String("pool", w.Pool), zap.Int("runs", len(w.runs)))
	}
}

// incarnationEnded takes in that an incarnation of a worker has certainly ended: nothing that
// it ran is left.
func (e *Engine) incarnationEnded(w *worker, reason string, now time.Duration) {
	event.WorkerLost.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.String("reason", reason), zap.Int("runs", len(w.runs)),
		zap.Duration("silent", now-w.lastContact))
	for _, r := range w.runs {
		e.loseRun(r, now)
	}
	w.pool.remove(w)
	w.pool.needsPass = true
	delete(e.workers, w.ID)
}

// replaceIncarnation replaces a worker by its next life under the same id. Runs that were
// seen in the former life have ended with it. A start that was not seen there
// may reach the new life, which does not tell it from one that is meant for it.
func (e *Engine) replaceIncarnation(w *worker, startedMS int64, now time.Duration) *worker {
	var open []*run
	for _, r := range w.runs {
		if !r.listed {
			open = append(open, r)
		}
	}
	for _, r := range open {
		w.removeRun(r)
	}
	e.incarnationEnded(w, "reborn", now)
	entry := w.Worker
	entry.StartedMS = startedMS
	next := e.addWorker(entry, now)
	next.listed, next.recorded = w.listed, w.recorded
	next.inherited = w.inherited // starts of a former owner may come late, until this life has seen a higher token
	for _, r := range open {
		r.worker, r.carriedOver = next, true
		r.deadlineMS = math.MaxInt64 // the deadline was on the former life's clock
		r.sentAt = now
		r.stopAcked = false
		if r.phase != runStopping {
			r.phase = runUncertain
		}
		next.addRun(r)
	}
	e.expectLateStarts(next, w.unanswered, now)
	return next
}

// loseRun gives up a run whose end was not seen.
func (e *Engine) loseRun(r *run, now time.Duration) {
	e.stats.LostRuns++
	event.TaskLost.Log(e.opts.Log, zap.Stringer("task", r.task.id()), zap.Int("run", r.number), zap.String("worker", r.worker.ID))
	r.task.lostRuns = append(r.task.lostRuns, r.number)
	e.endRun(r, now)
}

// expireLeases gives up what runs on workers whose lease has run out without contact.
func (e *Engine) expireLeases(now time.Duration) {
	for _, w := range e.workers {
		if w.failedPolls > 0 && now > w.leaseEnd() {
			for _, r := range w.runs {
				if !r.mayArrive() || now > r.sentAt+maxOrderDelay+e.opts.MaxLease {
					e.loseRun(r, now)
				}
			}
			w.removeUnlistedOrphans(nil, now)
		}
		if !w.listed && len(w.runs) == 0 && len(w.pendingEnds) == 0 && !w.inherited {
			w.pool.remove(w)
			delete(e.workers, w.ID)
		}
	}
}

// leaseEnd is when everything on the worker has been killed if no look or
// start extended its lease after the last one that was sent.
func (w *worker) leaseEnd() time.Duration {
	left := time.Duration(w.leaseMS-w.clockMS) * time.Millisecond
	if left < 0 {
		left = 0
	}
	return w.clockAt + left + time.Duration(float64(left)*clockDrift) + leaseSlack
}

// clock estimates the worker's clock from below.
func (w *worker) clock(now time.Duration) int64 {
	return w.clockMS + (now - w.clockAt).Milliseconds()
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.fenced && w.recorded && !w.Draining && !w.reserved && w.failedPolls == 0 && !w.setAside(now)
}

// free is what the worker has left.
func (w *worker) free() placement.Resources { return w.Capacity.Sub(w.used) }

// addRun takes a run's share of the worker; release gives it back.
func (w *worker) addRun(r *run) {
	w.runs[runKey{r.task.id(), r.number}] = r
	w.used = w.used.Add(r.task.step.Requests())
	if r.task.step.Speculative {
		w.speculative++
	}
}

func (w *worker) removeRun(r *run) {
	key := runKey{r.task.id(), r.number}
	if _, ok := w.runs[key]; !ok {
		return
	}
	delete(w.runs, key)
	w.releaseResources(r.task.step.Requests())
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

// InUse returns the workers that a successor has to fence before it may start
// a task anew.
func (e *Engine) InUse() []estate.Worker {
	var list []estate.Worker
	for _, w := range e.workers {
		if w.inherited || w.occupied() || (w.listed && !e.standby(w.Pool)) {
			list = append(list, w.Worker)
		}
	}
	return list
}

func (e *Engine) standby(poolName string) bool {
	if e.catalog == nil {
		return false
	}
	p := e.catalog.Pools[poolName]
	return p != nil && p.Standby
}

// Recorded takes in that a successor will find these workers.
func (e *Engine) Recorded(list []estate.Worker) {
	for _, entry := range list {
		if w := e.workers[entry.ID]; w != nil && !w.otherIncarnation(entry.StartedMS) && !w.recorded {
			w.recorded = true
			w.pool.needsPass = true
		}
	}
}

// Unrecorded reports whether a worker waits to be recorded before it is used.
func (e *Engine) Unrecorded() bool {
	for _, w := range e.workers {
		if w.listed && !w.recorded && !e.standby(w.Pool) {
			return true
		}
	}
	return false
}
