package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// passInterval is the time after which a pass is repeated if tasks wait and
// nothing changed: workers are set aside and become usable again by time alone.
const passInterval = 100 * time.Millisecond

// candidate is a waiting step with its rank.
type candidate struct {
	*step
	rank rank
}

// compare orders candidates by rank. The order of equal ones is fixed, so that
// a simulation can be repeated.
func (c candidate) compare(o candidate) int {
	if by := c.rank.compare(o.rank); by != 0 {
		return by
	}
	return cmp.Or(cmp.Compare(c.job.ID, o.job.ID), cmp.Compare(c.occ.number, o.occ.number), cmp.Compare(c.index, o.index))
}

// pass starts waiting tasks of a pool, best rank first.
func (e *Engine) pass(p *pool, now time.Duration) {
	p.needsPass = false
	p.nextPass = 0
	e.passes++
	if e.catalog == nil || (len(p.ready) == 0 && !p.speculative()) {
		return
	}
	if p.losesRuns() {
		e.holdCapacity(p, now) // a worker may have become usable since the last sweep
	}
	open, lastResort := p.openWorkers(now)
	// During a surge most passes find hundreds of steps and free capacity for
	// few of them. Only those that may fit are ranked.
	var most, mostUnheld, mostLastResort placement.Resources
	measure := func() {
		most, mostLastResort = maxFree(open, (*worker).free), maxFree(lastResort, (*worker).free)
		mostUnheld = most
		if slices.ContainsFunc(open, (*worker).holds) {
			mostUnheld = maxFree(open, (*worker).unheld)
		}
	}
	measure()
	mayFit := func(s *step) bool {
		size := s.Requests()
		if s.hasSuspects {
			return true // it may have to hold a worker first
		}
		if !s.LongRunning {
			return size.Fits(mostUnheld)
		}
		return size.Fits(most) || (s.hasLastResort() && size.Fits(mostLastResort))
	}
	list := make([]candidate, 0, len(p.ready))
	for s := range p.ready {
		switch {
		case !mayFit(s):
		case e.allBlockedByRecovery(s):
			s.held = true
		default:
			list = append(list, candidate{s, e.rank(s, now)})
		}
	}
	order := e.inOrder(p, list, open, now)
	for c, ok := order.take(mayFit); ok; c, ok = order.take(mayFit) {
		if !mayFit(c.step) || e.waitsForQuota(c.step, now) {
			continue
		}
		started := e.stats.Starts
		if c.Gang {
			e.placeGang(c.step, open, lastResort, now)
		} else {
			e.placeStep(c.step, open, lastResort, now)
		}
		if e.stats.Starts > started {
			measure()
		}
	}
	if now >= p.nextCopySearch {
		p.nextCopySearch = now + copyInterval
		e.startCopies(p, open, now)
	}
	if len(p.ready) > 0 || p.speculative() {
		p.nextPass = now + passInterval
	}
}

// maxFree returns, for each resource, the largest free amount on any of the
// workers.
func maxFree(workers []*worker, free func(*worker) placement.Resources) placement.Resources {
	var most placement.Resources
	for _, w := range workers {
		free := free(w)
		most.Processors = max(most.Processors, free.Processors)
		most.MemoryMB = max(most.MemoryMB, free.MemoryMB)
		most.Accelerators = max(most.Accelerators, free.Accelerators)
	}
	return most
}

// speculative reports whether a task that permits copies runs in the pool.
func (p *pool) speculative() bool {
	return slices.ContainsFunc(p.workers, func(w *worker) bool { return w.speculative > 0 })
}

// openWorkers returns the workers that may get tasks, and those that are the
// last resort of long-running tasks, both in the order of their ids.
func (p *pool) openWorkers(now time.Duration) (usable, lastResort []*worker) {
	usable = make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		switch {
		case w.usable(now):
			usable = append(usable, w)
		case w.closed(now) == "":
			lastResort = append(lastResort, w)
		}
	}
	return usable, lastResort
}

// hasLastResort reports whether tasks of the step that fit on no usable worker
// may start on one that is being emptied or is set aside: a long-running task
// is useful all the time, also on a worker that it has to leave later.
func (s *step) hasLastResort() bool { return s.LongRunning && !s.Gang }

// lastResort returns the workers of a list that the task may start on if it fits
// on no usable worker. Where it failed itself, it waits until the worker is not
// set aside any more.
func (t *task) lastResort(workers []*worker, now time.Duration) []*worker {
	if !t.step.hasLastResort() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		return w.setAside(now) && slices.Contains(t.failedOn, w.ID)
	})
}

// placeStep starts the idle tasks of a step as far as there is free capacity.
func (e *Engine) placeStep(s *step, open, lastResort []*worker, now time.Duration) {
	asked := open
	if s.hasLastResort() && len(lastResort) > 0 && !slices.ContainsFunc(open, func(w *worker) bool { return s.fitsOn(w) && !s.denied(w) }) {
		asked = lastResort
	}
	if !e.ensureTickets(s, asked, now) {
		e.reserveQuota(s, 1, asked, now)
		return
	}
	s.reserved.size = placement.Resources{}
	var refused, suspectRefused bool // tasks of the kind have no place
	for _, t := range s.tasks {
		if s.idle == 0 || (refused && suspectRefused) {
			return
		}
		if s.hasSuspects && ((refused && !t.suspect()) || (suspectRefused && t.suspect())) {
			continue
		}
		if !t.startable() || now < t.notBefore || e.waitsForRecord(t) {
			continue
		}
		if e.blockedByRecovery(t) {
			s.held = true
			continue
		}
		if !e.fitsQuota(s, 1, now, open, lastResort) {
			return
		}
		w, ticket, apart := e.chooseWorker(t, open, now)
		if w == nil {
			w, ticket, _ = e.chooseWorker(t, t.lastResort(lastResort, now), now)
		}
		s.keepApart(w == nil && apart, now)
		switch {
		case w != nil:
			e.start(t, w, e.nextRun(t), ticket, now)
		case t.suspect():
			e.holdForSuspect(t, open, now)
			suspectRefused = true
		case s.hasSuspects:
			refused = true
		case !s.hasLastResort() || len(t.failedOn) == 0:
			return // no worker takes any other task of the step
		}
	}
}

// chooseWorker returns the best worker for a task and its ticket, nil if no
// worker is suitable. apart is set if a worker was left out only to keep suspects
// apart.
func (e *Engine) chooseWorker(t *task, open []*worker, now time.Duration) (best *worker, bestTicket string, apart bool) {
	s := t.step
	size := s.Requests()
	var bestFit fit
	for _, w := range open {
		if !s.fitsOn(w) {
			continue
		}
		if !e.separate(t, w, now) && !s.apartForLong(now) {
			apart = true
			continue
		}
		ticket, ok := e.ticket(s, w, now)
		if !ok {
			continue
		}
		f := fitOf(t, w, size)
		f.expected = e.expect(t, w, f.remote, now)
		if best == nil || f.better(bestFit) {
			best, bestFit, bestTicket = w, f, ticket
		}
	}
	return best, bestTicket, apart
}

// fitsOn reports whether the worker has the capacity for a task of the step and
// the placement constraints permit it.
func (s *step) fitsOn(w *worker) bool { return s.Requests().Fits(w.freeFor(s)) && s.allows(w) }

// allows reports whether the placement constraints of the step permit the
// worker.
func (s *step) allows(w *worker) bool {
	return s.hasLabel(w) && (s.MaxPerWorker == 0 || s.runsOn(w) < s.MaxPerWorker)
}

// hasLabel reports whether the worker has the label that the step requires.
func (s *step) hasLabel(w *worker) bool {
	return s.Requires == "" || slices.Contains(w.Labels, s.Requires)
}

// runsOn counts the step's runs on a worker.
func (s *step) runsOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// fit describes how suitable a worker is for a task.
type fit struct {
	// avoided workers failed the task, run something while on probation, or are
	// pending removal while the task is long-running.
	avoided bool
	// remote workers are not on the rack of the task's data.
	remote bool
	expected
	// beside is the number of runs that a suspect would join.
	beside int
	// left is the fraction of the worker's processors that would stay free.
	left float64
}

func (f fit) better(o fit) bool {
	if f.avoided != o.avoided {
		return !f.avoided
	}
	if f.beside != o.beside {
		return f.beside < o.beside
	}
	if by := f.compareEnd(o.expected); by != 0 {
		return by < 0
	}
	if f.remote != o.remote {
		return !f.remote
	}
	if f.cost != o.cost {
		return f.cost < o.cost
	}
	return f.left < o.left
}

func fitOf(t *task, w *worker, size placement.Resources) fit {
	f := fit{
		avoided: slices.Contains(t.failedOn, w.ID) || (w.onProbation && len(w.runs) > 0) || (w.pendingRemoval && t.step.LongRunning),
		remote:  t.step.remoteOn(w),
	}
	if t.suspect() {
		f.beside = len(w.runs)
	}
	if w.Capacity.Processors > 0 {
		f.left = (w.free().Processors - size.Processors) / w.Capacity.Processors
	}
	return f
}

// placeGang starts all tasks of a step together, or none.
func (e *Engine) placeGang(s *step, open, lastResort []*worker, now time.Duration) {
	if s.idle < s.left || now < s.gangRetry || e.waitsForRecord(s.tasks[0]) || slices.ContainsFunc(s.tasks, e.blockedByRecovery) {
		return // members of an earlier start still run, or may
	}
	// Tickets of a long-running gang are requested first: it keeps its team waiting only
	// as long as the recommendation service can be expected to answer.
	if !s.LongRunning && !e.fitsQuota(s, len(s.tasks), now, open, lastResort) {
		return
	}
	if !e.ensureTickets(s, open, now) {
		e.reserveQuota(s, len(s.tasks), open, now)
		return
	}
	s.reserved.size = placement.Resources{}
	if s.LongRunning && !e.fitsQuota(s, len(s.tasks), now, open, lastResort) {
		return
	}
	separated := e.separated(s.tasks[0], open, now)
	chosen := e.separateGang(s, open, separated, now)
	if chosen == nil && len(separated) < len(open) {
		anywhere := e.gangWorkers(s, e.withTicket(s, open, now))
		if s.apartForLong(now) {
			chosen = anywhere
		}
		s.keepApart(anywhere != nil, now)
	}
	if chosen == nil {
		return
	}
	number, checkpoint := 0, ""
	for _, t := range s.tasks {
		number = max(number, e.nextRun(t))
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		ticket, _ := e.ticket(s, chosen[i], now)
		e.start(t, chosen[i], number, ticket, now)
	}
}

// separateGang returns a worker for each task of a gang without bringing a suspect
// together with other tasks, nil if the gang does not fit. separated are the open
// workers that may take its tasks so. A suspect gang may join tasks that are none.
func (e *Engine) separateGang(s *step, open, separated []*worker, now time.Duration) []*worker {
	fast := e.withoutSlow(separated, now)
	chosen := e.gangWorkers(s, e.withTicket(s, fast, now))
	if chosen == nil && len(fast) < len(separated) {
		chosen = e.gangWorkers(s, e.withTicket(s, separated, now))
	}
	if chosen == nil && s.tasks[0].suspect() && !e.exclusive(s.tasks[0]) {
		chosen = e.gangWorkers(s, e.withTicket(s, s.tasks[0].besideNoSuspect(open), now))
	}
	return chosen
}

// gangWorkers returns a worker for each task of a gang, all on one rack if the
// step requests it and one rack has the capacity. It returns nil if the gang
// does not fit.
func (e *Engine) gangWorkers(s *step, open []*worker) []*worker {
	if s.RackLocal {
		for _, rack := range racks(open, s.Rack) {
			local := slices.DeleteFunc(slices.Clone(open), func(w *worker) bool { return w.Rack() != rack })
			if chosen := s.packTasks(local); chosen != nil {
				return chosen
			}
		}
	}
	return s.packTasks(open)
}

// racks lists the racks of workers, the preferred one first.
func racks(open []*worker, preferred string) []string {
	var list []string
	for _, w := range open {
		if !slices.Contains(list, w.Rack()) {
			list = append(list, w.Rack())
		}
	}
	slices.SortStableFunc(list, func(a, b string) int {
		switch {
		case a == preferred:
			return -1
		case b == preferred:
			return 1
		}
		return 0
	})
	return list
}

// packTasks returns a worker for each task, nil if there is too little free
// capacity.
func (s *step) packTasks(workers []*worker) []*worker {
	size := s.Requests()
	chosen := make([]*worker, 0, len(s.tasks))
	for _, w := range workers {
		free := w.freeFor(s)
		for n := s.runsOn(w); len(chosen) < len(s.tasks) && size.Fits(free); n++ {
			if s.MaxPerWorker > 0 && n >= s.MaxPerWorker {
				break
			}
			if !s.hasLabel(w) {
				break
			}
			chosen = append(chosen, w)
			free = free.Sub(size)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
