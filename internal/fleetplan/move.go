package fleetplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

const (
	// waitingShare is the part of the cores that are waited for that hosts are
	// to bring: some of the wait is over before a host serves.
	waitingShare = 0.8
	// rateHeadroom is the room kept for work that arrives, against its rate:
	// tasks do not fill a worker evenly.
	rateHeadroom = 1.1
	// minShareBeforeSurge is the part of its initial size that a pool keeps before its
	// first surge while another one lacks hosts.
	minShareBeforeSurge = 0.5
	// spareWorkers is how many workers a pool keeps beyond what it uses.
	spareWorkers = 1
	// minWorkers is the least size of a pool.
	minWorkers = 2
	// minIdleBeforeStandby is how long a worker must have been idle before it leaves
	// for standby. A move costs as much as some two seconds in the pool.
	minIdleBeforeStandby = time.Second
	// maxStandbyShare bounds how much of a pool leaves for standby at once.
	maxStandbyShare = 0.5
)

// poolNeed is what a pool needs.
type poolNeed struct {
	pool *Pool
	// size is the number of workers that it should have, keep the number that
	// it may keep while no other pool lacks hosts.
	size, keep int
	// serving counts the workers that it has or will have.
	serving int
}

// move gives hosts to the pools that need them, from those that have too many.
func (v *view) move() {
	poolNeeds := v.needs
	slices.SortFunc(poolNeeds, func(a, b poolNeed) int { return cmp.Compare(b.size-b.serving, a.size-a.serving) })
	for i := range poolNeeds {
		v.reopen(&poolNeeds[i])
	}
	spare := v.spareHosts(poolNeeds)
	v.shortfall = 0
	for _, w := range poolNeeds {
		missing := max(0, w.size-w.serving)
		v.shortfall += max(0, missing-len(spare))
		spare = v.assignSpare(w.pool, missing, spare, "demand")
	}
	for _, w := range poolNeeds {
		spare = v.assignSpare(w.pool, v.expected[w.pool.Name]-max(w.serving, w.size), spare, "expected surge")
	}
	v.moveToStandby(spare)
	lend := max(0, v.shortfall-len(v.draining))
	for _, w := range poolNeeds {
		lent := min(lend, max(0, min(w.serving, w.keep)-w.size))
		lend -= lent
		v.drain(w, max(0, w.serving-w.keep)+lent)
	}
}

// assignSpare moves up to n spare hosts to a pool and returns the others.
func (v *view) assignSpare(pool *Pool, n int, spare []spareHost, reason string) []spareHost {
	for ; n > 0; n-- {
		i := v.pick(spare, pool)
		if i < 0 || !v.mayOrder() {
			break
		}
		h := spare[i].host
		spare = slices.Delete(spare, i, i+1)
		v.decide(Decision{Kind: Move, Host: h.Name, Worker: h.WorkerID, From: h.Pool, To: pool.Name, Reason: reason})
	}
	return spare
}

// drain gives workers of a pool that has too many no new tasks, so that their
// hosts become idle and can leave: first those with the least work that can
// still be in time.
func (v *view) drain(w poolNeed, over int) {
	var list []*estate.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		worker := v.workers[h.WorkerID]
		if h.Pool != w.pool.Name || !v.available(h) || worker == nil || v.evacuating[h.Name] != "" || worker.LongRunningTasks > 0 {
			continue
		}
		list = append(list, h)
	}
	slices.SortStableFunc(list, func(a, b *estate.Host) int {
		x, y := v.workers[a.WorkerID], v.workers[b.WorkerID]
		return cmp.Or(cmp.Compare(x.Used-x.Late, y.Used-y.Late), cmp.Compare(x.Used, y.Used))
	})
	for _, h := range list {
		worker := v.workers[h.WorkerID]
		switch {
		case over > 0 && worker.Open && !v.draining[h.Name]:
			over--
			v.draining[h.Name] = true
			v.decide(Decision{Kind: Drain, Host: h.Name, Worker: h.WorkerID, From: h.Pool})
		case over > 0 && worker.Idle:
			over--
		}
	}
}

// reopen takes back workers that were to leave a pool, the most used first,
// when the pool needs them again.
func (v *view) reopen(w *poolNeed) {
	var list []*estate.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if h.Pool == w.pool.Name && v.draining[h.Name] && v.available(h) && v.workers[h.WorkerID] != nil {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(a, b *estate.Host) int {
		return cmp.Compare(v.workers[b.WorkerID].Used, v.workers[a.WorkerID].Used)
	})
	enough := w.keep
	if v.shortfall > 0 {
		enough = w.size
	}
	for _, h := range list {
		if w.serving >= enough {
			return
		}
		w.serving++
		delete(v.draining, h.Name)
		v.decide(Decision{Kind: Open, Host: h.Name, Worker: h.WorkerID, Reason: "needed again"})
	}
}

// poolNeeds works out what each pool needs and has.
func (v *view) poolNeeds() []poolNeed {
	serving, members := map[string]int{}, map[string]int{}
	for i := range v.Hosts {
		h := &v.Hosts[i]
		members[h.Pool]++
		if v.serves(h) {
			serving[v.targetPool(h)]++
		}
	}
	var names []string
	for i := range v.Pools {
		if !v.Pools[i].Standby {
			names = append(names, v.Pools[i].Name)
		}
	}
	v.expected = v.forecast.expectedSizes(names, v.Now, v.migration)
	var poolNeeds []poolNeed
	for i := range v.Pools {
		pool := &v.Pools[i]
		d := v.demands[pool.Name]
		if !d.initialKnown {
			d.initialKnown, d.initialHosts = true, members[pool.Name]
		}
		if pool.Standby {
			continue
		}
		s := v.size(pool, serving[pool.Name])
		poolNeeds = append(poolNeeds, poolNeed{pool: pool, size: s.Size, keep: s.Keep, serving: s.Have})
		if s.Size != d.reportedSize {
			d.reportedSize = s.Size
			v.decide(Decision{Kind: Resize, To: pool.Name, Sizing: s})
		}
	}
	return poolNeeds
}

// targetPool is the pool that a host is in or on its way to.
func (v *view) targetPool(h *estate.Host) string {
	if o, ok := v.orders[h.Name]; ok && o.kind == Move {
		return o.to
	}
	return h.Pool
}

// serves reports whether a host serves its pool or is about to.
func (v *view) serves(h *estate.Host) bool {
	if _, ordered := v.orders[h.Name]; ordered {
		return true
	}
	switch h.State {
	case estate.HostMoving, estate.HostMaintenance:
		return true
	case estate.HostDown:
		return false
	}
	w := v.workers[h.WorkerID]
	return w == nil || w.Open || (w.Idle && !v.draining[h.Name])
}

// size is how many workers a pool needs.
func (v *view) size(pool *Pool, have int) Sizing {
	d := v.demands[pool.Name]
	cores := pool.workerCores()
	if cores == 0 {
		cores = v.typicalCores()
	}
	if cores == 0 {
		return Sizing{}
	}
	s := Sizing{
		Have: have, Rate: d.rate, Waiting: pool.Waiting, Steady: pool.LongRunningCores, Used: pool.usedCores(), Late: pool.lateCores(),
	}
	currentCores := s.Used - s.Late + waitingShare*pool.Waiting
	arrivingCores := rateHeadroom*d.rate + pool.LongRunningCores
	need := int(math.Ceil(max(currentCores, arrivingCores)/cores)) + spareWorkers
	if _, surged := v.forecast.lastSurge(pool.Name); !surged {
		// Nobody knows yet when the pool's turn comes: it keeps what it has.
		keep := d.initialHosts
		if v.anyPoolShort {
			keep = int(math.Ceil(minShareBeforeSurge * float64(d.initialHosts)))
		}
		need = max(need, min(have, keep))
	}
	need = max(need, minWorkers, pool.Spread)
	s.Expected = v.expected[pool.Name]
	need = max(need, min(have, s.Expected))
	s.Size = need
	s.Keep = max(need, int(math.Ceil((s.Used+waitingShare*pool.Waiting)/cores))+spareWorkers)
	return s
}

// typicalCores is the capacity of a host.
func (v *view) typicalCores() float64 {
	if len(v.Hosts) == 0 {
		return 0
	}
	return v.Hosts[0].Capacity.Processors
}

// spareHost is a host that its pool can do without.
type spareHost struct {
	host    *estate.Host
	standby bool
	// idleFor is how long nothing ran on it.
	idleFor time.Duration
}

// spareHosts lists hosts that may move, those that stand by last: they cost
// nothing where they are.
func (v *view) spareHosts(poolNeeds []poolNeed) []spareHost {
	over := map[string]int{}
	for _, w := range poolNeeds {
		over[w.pool.Name] = w.serving - w.keep
		if v.shortfall > 0 {
			over[w.pool.Name] = w.serving - w.size
		}
	}
	var spare []spareHost
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if !v.available(h) || !v.idle(h) || v.evacuating[h.Name] != "" {
			continue
		}
		if v.standby(h) {
			spare = append(spare, spareHost{host: h, standby: true})
			continue
		}
		if v.workers[h.WorkerID] == nil {
			continue
		}
		if !v.draining[h.Name] {
			if over[h.Pool] <= 0 {
				continue
			}
			over[h.Pool]--
		}
		spare = append(spare, spareHost{host: h, idleFor: v.Now - v.demands[h.Pool].idleSince[h.WorkerID]})
	}
	return spare
}

// pick returns the index of the spare host that suits a pool best, -1 for
// none.
func (v *view) pick(spare []spareHost, pool *Pool) int {
	best := -1
	for i, s := range spare {
		if s.host.Pool == pool.Name {
			continue
		}
		if best < 0 || (spare[best].standby && !s.standby) {
			best = i
		}
	}
	return best
}

// moveToStandby sends hosts to standby that nobody needs.
func (v *view) moveToStandby(spare []spareHost) {
	standby := ""
	for _, pool := range v.Pools {
		if pool.Standby {
			standby = pool.Name
		}
	}
	if standby == "" {
		return
	}
	parked := map[string]int{}
	for _, s := range spare {
		pool := v.pools[s.host.Pool]
		if s.standby || s.idleFor < minIdleBeforeStandby || !v.mayOrder() {
			continue
		}
		if parked[pool.Name] >= max(1, int(maxStandbyShare*float64(len(pool.Workers)))) {
			continue
		}
		parked[pool.Name]++
		v.decide(Decision{Kind: Move, Host: s.host.Name, Worker: s.host.WorkerID, From: s.host.Pool, To: standby, Reason: "idle"})
	}
}
