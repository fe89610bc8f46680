package fleetplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

const (
	// waitingShare is the share of the waiting cores for which a pool is sized:
	// part of the waiting work is done before another host can serve.
	waitingShare = 0.8
	// rateHeadroom is the factor on the arrival rate that allows for workers
	// that tasks fill unevenly.
	rateHeadroom = 1.1
	// minShareBeforeSurge is the share of its initial size that a pool keeps
	// before its first surge while another pool lacks hosts.
	minShareBeforeSurge = 0.5
	// spareWorkers is the number of workers a pool keeps beyond those that it
	// uses.
	spareWorkers = 1
	// minWorkers is the minimum size of a pool.
	minWorkers = 2
	// minIdleBeforeStandby is how long a worker must be idle before its host
	// moves to standby. A move costs about as much as two seconds in the pool.
	minIdleBeforeStandby = time.Second
	// maxDiscovery is how long after its start a worker may have no discovery
	// entry, according to the platform's bound.
	maxDiscovery = 3 * time.Second
	// maxStandbyShare bounds the share of a pool's workers that one plan moves
	// to standby.
	maxStandbyShare = 0.5
)

// poolNeed is the number of workers that a pool needs and has.
type poolNeed struct {
	pool *Pool
	// size is the number of workers that the pool needs, keep the number that
	// it may keep while no other pool lacks hosts.
	size, keep int
	// loaded is the number of workers that the pool's load fills.
	loaded int
	// serving is the number of workers that serve the pool or soon will.
	serving int
	// lacking is how many workers long-running tasks lack. They come first.
	// borrow is how many more the pool needs so that a host of a wave can be
	// emptied. They come next.
	lacking, borrow int
	// evacuates is set if this plan begins to empty a worker of the pool.
	evacuates bool
}

// move moves hosts from pools with too many workers to pools that lack some, to
// pools with a forecast surge, and to standby.
func (v *view) move() {
	poolNeeds := v.needs
	slices.SortFunc(poolNeeds, func(a, b poolNeed) int { return cmp.Compare(b.size-b.serving, a.size-a.serving) })
	for i := range poolNeeds {
		v.reopen(&poolNeeds[i])
	}
	spare := v.spareHosts(poolNeeds)
	for i := range poolNeeds {
		need := &poolNeeds[i]
		before := len(spare)
		n := min(need.lacking, need.size-need.serving)
		spare = v.assignSpare(need.pool, n, spare, "long-running tasks")
		need.serving += before - len(spare) + v.lendIdle(need.pool, n-(before-len(spare)), "long-running tasks", nil)
	}
	v.shortfall = 0
	for _, need := range poolNeeds {
		before := len(spare)
		spare = v.assignSpare(need.pool, need.borrow, spare, "maintenance")
		missing := need.borrow - (before - len(spare))
		v.shortfall += missing - v.lendIdle(need.pool, missing, "maintenance", v.toMaintain)
	}
	for _, need := range poolNeeds {
		missing := max(0, need.size-need.serving)
		v.shortfall += max(0, missing-len(spare))
		spare = v.assignSpare(need.pool, missing, spare, "demand")
	}
	for _, need := range poolNeeds {
		spare = v.assignSpare(need.pool, v.expected[need.pool.Name]-max(need.serving, need.size), spare, "expected surge")
	}
	v.moveToStandby(spare)
	lend := max(0, v.shortfall-len(v.draining))
	for _, need := range poolNeeds {
		lent := min(lend, max(0, min(need.serving, need.keep)-need.size))
		lend -= lent
		v.drain(need, max(0, need.serving-need.keep)+lent)
	}
}

// assignSpare moves up to n spare hosts to a pool and returns the remaining
// ones.
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

// lendIdle moves up to n idle hosts to a pool from those that keep them beyond their
// load, except the given hosts, and returns how many.
func (v *view) lendIdle(pool *Pool, n int, reason string, except map[string]bool) int {
	lent := 0
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if lent >= n || !v.mayOrder() {
			break
		}
		from := v.need(h.Pool)
		if from == nil || from.pool == pool || from.lacking+from.borrow > 0 || from.evacuates || from.serving <= from.loaded {
			continue
		}
		if !v.available(h) || v.refused(h) || !v.idle(h) || v.evacuating[h.Name] != "" || v.workers[h.WorkerID] == nil || except[h.Name] {
			continue
		}
		from.serving--
		lent++
		v.decide(Decision{Kind: Move, Host: h.Name, Worker: h.WorkerID, From: h.Pool, To: pool.Name, Reason: reason})
	}
	return lent
}

// need returns the need of a pool, nil for a standby pool.
func (v *view) need(pool string) *poolNeed {
	for i := range v.needs {
		if v.needs[i].pool.Name == pool {
			return &v.needs[i]
		}
	}
	return nil
}

// drain stops placing tasks on as many of the pool's workers as it has in
// excess, so that their hosts become idle and can move. Workers with the least
// work that can still complete in time come first.
func (v *view) drain(need poolNeed, over int) {
	if need.evacuates {
		return
	}
	var list []*estate.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		worker := v.workers[h.WorkerID]
		if h.Pool != need.pool.Name || !v.available(h) || worker == nil || v.evacuating[h.Name] != "" || worker.LongRunningTasks > 0 || worker.Needed {
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
		case over > 0 && worker.Open && v.draining[h.Name] == "":
			over--
			v.draining[h.Name] = h.WorkerID
		case over > 0 && worker.Idle:
			over--
		}
	}
}

// dropEndedDraining forgets the draining workers that their hosts no longer run, but
// for those that orders are about.
func (v *view) dropEndedDraining() {
	maps.DeleteFunc(v.draining, func(host, worker string) bool {
		h, ordered := v.hosts[host], v.orders[host].worker != ""
		return !ordered && (h == nil || h.WorkerID != worker)
	})
}

// reopen reopens draining workers that have got long-running tasks, and those of a
// pool that needs them again, those with the most used cores first.
func (v *view) reopen(need *poolNeed) {
	var list []*estate.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if h.Pool != need.pool.Name || v.draining[h.Name] == "" || !v.available(h) || v.workers[h.WorkerID] == nil {
			continue
		}
		if v.workers[h.WorkerID].LongRunningTasks > 0 { // does not become idle
			need.serving++
			delete(v.draining, h.Name)
			continue
		}
		list = append(list, h)
	}
	slices.SortStableFunc(list, func(a, b *estate.Host) int {
		return cmp.Compare(v.workers[b.WorkerID].Used, v.workers[a.WorkerID].Used)
	})
	enough := need.keep
	if v.shortfall > 0 {
		enough = need.size
	}
	for _, h := range list {
		if need.serving >= enough {
			return
		}
		need.serving++
		delete(v.draining, h.Name)
	}
}

// poolNeeds computes how many workers each pool except standby ones needs and
// has.
func (v *view) poolNeeds() []poolNeed {
	serving, arriving, members := map[string]int{}, map[string]int{}, map[string]int{}
	for i := range v.Hosts {
		h := &v.Hosts[i]
		members[h.Pool]++
		v.noteUndiscovered(h)
		if v.serves(h) {
			serving[v.targetPool(h)]++
			if v.arriving(h) {
				arriving[v.targetPool(h)]++
			}
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
		s := v.size(pool, serving[pool.Name], arriving[pool.Name])
		poolNeeds = append(poolNeeds, poolNeed{pool: pool, size: s.Size, keep: s.Keep, serving: s.Have, loaded: s.Loaded, lacking: s.Lacking, borrow: s.Borrow})
		if s.Size != d.reportedSize {
			d.reportedSize = s.Size
			v.decide(Decision{Kind: Resize, To: pool.Name, Sizing: s})
		}
	}
	return poolNeeds
}

// targetPool returns the pool that a host belongs to or is moving to.
func (v *view) targetPool(h *estate.Host) string {
	if o, ok := v.orders[h.Name]; ok && o.kind == Move {
		return o.to
	}
	return h.Pool
}

// serves reports whether a host serves its pool or will soon.
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
	return w == nil || w.Open || (w.Idle && v.draining[h.Name] == "")
}

// arriving reports whether a host that serves its pool has no worker yet that
// takes tasks. A worker that has no discovery entry after maxDiscovery is cut off.
func (v *view) arriving(h *estate.Host) bool {
	if !v.available(h) || v.evacuating[h.Name] != "" {
		return true
	}
	return v.workers[h.WorkerID] == nil && v.Now-v.undiscoveredSince[h.Name] < maxDiscovery
}

// noteUndiscovered notes since when a host has been up without a known worker.
func (v *view) noteUndiscovered(h *estate.Host) {
	if h.State != estate.HostUp || v.workers[h.WorkerID] != nil {
		delete(v.undiscoveredSince, h.Name)
	} else if _, ok := v.undiscoveredSince[h.Name]; !ok {
		v.undiscoveredSince[h.Name] = v.Now
	}
}

// size returns how many workers a pool needs. It has the given number of them,
// of which some are arriving.
func (v *view) size(pool *Pool, have, arriving int) Sizing {
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
		Lacking: max(0, pool.LongRunningShortfall-arriving),
	}
	s.Borrow = max(0, pool.LongRunningShortfall+v.borrowing[pool.Name]-arriving) - s.Lacking
	currentCores := s.Used - s.Late + waitingShare*pool.Waiting
	arrivingCores := rateHeadroom*d.rate + pool.LongRunningCores
	s.Loaded = int(math.Ceil(max(currentCores, arrivingCores) / cores))
	need := s.Loaded + spareWorkers
	if _, surged := v.forecast.lastSurge(pool.Name); !surged {
		// Before its first surge the pool's turn cannot be forecast, so it
		// keeps its initial size.
		keep := d.initialHosts
		if v.anyPoolShort {
			keep = int(math.Ceil(minShareBeforeSurge * float64(d.initialHosts)))
		}
		need = max(need, min(have, keep))
	}
	if d.rise.begins(v.Now) {
		s.Usual = v.usualSize(d, pool.Name, d.rise.at-maxRise)
		need = max(need, s.Usual)
	}
	need = max(need, minWorkers)
	if s.Lacking > 0 {
		need = max(need, have+s.Lacking)
	}
	s.Expected = v.expected[pool.Name]
	need = max(need, min(have, s.Expected))
	s.Size = need
	s.Keep = max(need, int(math.Ceil((s.Used+waitingShare*pool.Waiting)/cores))+spareWorkers)
	return s
}

// typicalCores returns the number of cores of a host, 0 if none is known. It
// stands in for workerCores of a pool without workers.
func (v *view) typicalCores() float64 {
	for i := range v.Hosts {
		if cores := v.Hosts[i].Capacity.Processors; cores > 0 {
			return cores
		}
	}
	return 0
}

// spareHost is a host that its pool does not need.
type spareHost struct {
	host    *estate.Host
	standby bool
	// idleFor is how long nothing has run on the host.
	idleFor time.Duration
}

// spareHosts returns the idle hosts that may move: those in standby pools, and
// those that their pools do not need.
func (v *view) spareHosts(poolNeeds []poolNeed) []spareHost {
	over := map[string]int{}
	for _, need := range poolNeeds {
		over[need.pool.Name] = need.serving - need.keep
		if v.shortfall > 0 {
			over[need.pool.Name] = need.serving - need.size
		}
	}
	var spare []spareHost
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if !v.available(h) || v.refused(h) || !v.idle(h) || v.evacuating[h.Name] != "" {
			continue
		}
		if v.standby(h) {
			spare = append(spare, spareHost{host: h, standby: true})
			continue
		}
		if need := v.need(h.Pool); v.workers[h.WorkerID] == nil || (need != nil && need.evacuates) {
			continue
		}
		if v.draining[h.Name] == "" {
			if over[h.Pool] <= 0 {
				continue
			}
			over[h.Pool]--
		}
		spare = append(spare, spareHost{host: h, idleFor: v.Now - v.demands[h.Pool].idleSince[h.WorkerID]})
	}
	return spare
}

// pick returns the index of the best spare host for a pool: one that is not on
// standby if possible, since a standby host costs nothing where it is. It
// returns -1 if there is none.
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

// moveToStandby moves spare hosts that have been idle for long enough to the
// standby pool.
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
