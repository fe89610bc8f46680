package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/fairshare"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/quota"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// team is what the engine knows of a team. Jobs without a team have a nil one.
type team struct {
	name    string
	account *quota.Account
	// blockedIn is the number of the last pass in which a task of the team did not
	// fit its quota, and waits holds such a step of each pool.
	blockedIn uint64
	waits     []quotaWait
	// longRunningAt is when a long-running task last did not fit and had to wait.
	longRunningAt time.Duration
	// reserving are the steps for which quota is reserved.
	reserving []*step
	// blockedAt is when a task last did not fit, and blockedTask that task; tooLarge
	// is set if it cannot fit before long-running tasks of the team end. waitsSince is
	// since when the team waits for its quota, 0 if it does not.
	blockedAt, waitsSince time.Duration
	blockedTask           *task
	tooLarge              bool
	// beyond counts the jobs that the team submitted beyond its weight.
	beyond int64
	// countedShare is the part of its waiting work that fits its quota, as of the
	// last call of Pools.
	countedShare float64
	// entitlement counts the jobs of the team against its weight, and line holds its
	// candidates while those of a pass are ordered.
	entitlement fairshare.Bucket
	line        *line
}

// quotaWait is a step, n tasks of which start together, that does not fit the quota of
// its team and keeps the team's other tasks in its pool waiting.
type quotaWait struct {
	pool *pool
	step *step
	n    int
}

// team returns the team with the given name, nil if the name is empty.
func (e *Engine) team(name string) *team {
	if name == "" {
		return nil
	}
	t := e.teams[name]
	if t == nil {
		t = &team{name: name, account: e.quotas.Account(name)}
		e.teams[name] = t
	}
	return t
}

// observeTeam returns the team of a job and records the sizes of its tasks.
func (e *Engine) observeTeam(spec *workload.Job, progress *workload.Progress, inherited bool) *team {
	t := e.team(cmp.Or(spec.Team, progress.Team))
	if t == nil {
		return nil
	}
	for i := range spec.Steps {
		t.account.Observe(spec.Steps[i].Size)
	}
	if inherited {
		e.pool(spec.Pool).observeInherited(t, spec, progress)
	}
	return t
}

// held returns the account of the team, nil without a team.
func (t *team) held() *quota.Account {
	if t == nil {
		return nil
	}
	return t.account
}

// passPools makes the passes that are due. Where teams have quotas, the pass of one
// pool may take what is left of a quota from the next. Which one is first varies
// without a period, since tasks of equal length would keep step with a fixed turn.
func (e *Engine) passPools(now time.Duration) {
	if !e.quotas.Limited() || len(e.poolsByName) == 0 {
		for _, p := range e.pools {
			e.passIfDue(p, now)
		}
		return
	}
	e.rounds++
	first := int(mix(e.rounds) % uint64(len(e.poolsByName)))
	for i := range e.poolsByName {
		e.passIfDue(e.poolsByName[(first+i)%len(e.poolsByName)], now)
	}
}

// mix spreads consecutive numbers over all values, as SplitMix64 does.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// quotaReleased lets the next decision pass the pools whose tasks can start with what
// was released of the team's quota. Otherwise the pool in which a run of the team ended
// would take what it held.
func (t *team) quotaReleased() {
	if t == nil {
		return
	}
	for _, w := range t.waits {
		if !slices.Contains(w.pool.released, t) {
			w.pool.released = append(w.pool.released, t)
		}
	}
}

// takesReleased reports whether a step of the pool may start that waited for a quota of
// which something was released. The passes of other pools may have taken it since.
func (p *pool) takesReleased(now time.Duration) bool {
	takes := false
	for _, t := range p.released {
		i := slices.IndexFunc(t.waits, func(w quotaWait) bool { return w.pool == p })
		if i < 0 {
			continue
		}
		if w := t.waits[i]; w.step.idle == 0 || w.step.job.ended() || w.step.fitsQuota(w.n, now) {
			takes = true
			t.waits = slices.Delete(t.waits, i, i+1)
		}
	}
	p.released = p.released[:0]
	return takes
}

func (e *Engine) passIfDue(p *pool, now time.Duration) {
	if p.takesReleased(now) || p.needsPass || (p.nextPass > 0 && now >= p.nextPass) {
		e.pass(p, now)
	}
}

// fitsQuota reports whether n tasks of a step may start by the quota of their
// team. If they have to wait for it, no other task of the team starts in this pass,
// so that small tasks do not keep a large one waiting. Tasks that cannot fit before
// the team's long-running ones are cancelled keep no others waiting, nor do those for
// which the workers would have no room if they were empty.
func (e *Engine) fitsQuota(s *step, n int, now time.Duration, workers ...[]*worker) bool {
	if s.fitsQuota(n, now) {
		return true
	}
	t := s.job.team
	t.blockedAt, t.blockedTask, t.tooLarge = now, s.tasks[0], !t.account.MayFit(n, s.Size)
	if !t.tooLarge && s.hasRoomFor(n, workers...) {
		t.blockedIn = e.passes
		if s.LongRunning {
			t.longRunningAt = now
		}
		wait := quotaWait{e.pool(s.job.Pool), s, n}
		if i := slices.IndexFunc(t.waits, func(w quotaWait) bool { return w.pool == wait.pool }); i >= 0 {
			t.waits[i] = wait
		} else {
			t.waits = append(t.waits, wait)
		}
	}
	return false
}

// hasRoomFor reports whether the workers would have room for n tasks of the step if
// they were empty. A worker that the recommendation service denies has none.
func (s *step) hasRoomFor(n int, workers ...[]*worker) bool {
	for _, w := range slices.Concat(workers...) {
		if n -= s.placesOn(w, n, w.Capacity, 0); n == 0 {
			return true
		}
	}
	return false
}

// placesOn returns how many more tasks of the step, up to limit, fit into the free
// capacity of a worker on which some of them run: none if the recommendation service
// denies the worker.
func (s *step) placesOn(w *worker, limit int, free placement.Resources, running int) int {
	if !s.hasLabel(w) || s.denied(w) {
		return 0
	}
	n := 0
	for n < limit && s.Requests().Fits(free) && (s.MaxPerWorker == 0 || running+n < s.MaxPerWorker) {
		n++
		free = free.Sub(s.Requests())
	}
	return n
}

// fitsQuota reports whether n more tasks of the step fit the quota of their team beside
// what is reserved.
func (s *step) fitsQuota(n int, now time.Duration) bool {
	t := s.job.team
	return t.held().Fits(n, s.Size, t.reservedBeside(s, now))
}

// waitsForQuota reports whether a better task of the step's team did not fit its
// quota in this pass, or a long-running one in the last pass of another pool.
func (e *Engine) waitsForQuota(s *step, now time.Duration) bool {
	t := s.job.team
	if t == nil {
		return false
	}
	recent := t.longRunningAt > 0 && now-t.longRunningAt <= 2*passInterval
	return t.blockedIn == e.passes || (recent && !s.LongRunning)
}

// withinQuotas leaves out the waiting tasks that do not fit the quotas of their
// teams beside those before them.
func withinQuotas(list []*task) []*task {
	var planned map[*team]placement.Resources
	within := list[:0]
	for _, t := range list {
		if of := t.step.job.team; of != nil && t.startable() {
			if !of.account.Fits(1, t.step.Size, planned[of]) {
				continue
			}
			if planned == nil {
				planned = map[*team]placement.Resources{}
			}
			planned[of] = planned[of].Add(t.step.Size)
		}
		within = append(within, t)
	}
	return within
}

// countShares sets the countedShare of each team.
func (e *Engine) countShares(counts func(*step) bool) {
	if !e.quotas.Limited() {
		for _, t := range e.teams {
			t.countedShare = 1
		}
		return
	}
	wanted := map[*team]placement.Resources{}
	for _, p := range e.pools {
		for s := range p.ready {
			if t := s.job.team; t != nil && counts(s) {
				wanted[t] = wanted[t].Add(times(s.idle, s.Size))
			}
		}
	}
	for _, t := range e.teams {
		t.countedShare = t.account.Share(wanted[t])
	}
}

// times returns n times the resources.
func times(n int, r placement.Resources) placement.Resources {
	return placement.Resources{Processors: float64(n) * r.Processors, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}

// countedCores returns how many cores the waiting tasks of a step request, as far
// as they fit the quota of their team.
func (s *step) countedCores() float64 {
	cores := float64(s.idle) * s.Requests().Processors
	if t := s.job.team; t != nil {
		cores *= t.countedShare
	}
	return cores
}
