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
	// rateReserve is the room kept for work that arrives, against its rate:
	// tasks do not fill a worker evenly.
	rateReserve = 1.1
	// lendShare is the part of its initial size that a pool keeps before its
	// first surge while another one lacks hosts.
	lendShare = 0.5
	// headroom is how many workers a pool keeps beyond what it uses.
	headroom = 1
	// minWorkers is the least size of a pool.
	minWorkers = 2
	// idleBeforeMove is how long a worker must have been idle before it leaves
	// for standby. A move costs as much as some two seconds in the pool.
	idleBeforeMove = time.Second
	// maxShrinkShare bounds how much of a pool leaves for standby at once.
	maxShrinkShare = 0.5
)

// want is what a pool needs.
type want struct {
	pool *Pool
	// size is the number of workers that it should have, keep the number that
	// it may keep while no other pool lacks hosts.
	size, keep int
	// have counts the workers that it has or will have.
	have int
}

// move gives hosts to the pools that need them, from those that have too many.
func (v *view) move() {
	wants := v.wanted
	slices.SortFunc(wants, func(a, b want) int { return cmp.Compare(b.size-b.have, a.size-a.have) })
	for i := range wants {
		v.reopen(&wants[i])
	}
	spare := v.spareHosts(wants)
	v.short = 0
	for _, w := range wants {
		lacks := max(0, w.size-w.have)
		v.short += max(0, lacks-len(spare))
		spare = v.give(w.pool, lacks, spare, "demand")
	}
	for _, w := range wants {
		spare = v.give(w.pool, v.expected[w.pool.Name]-max(w.have, w.size), spare, "expected surge")
	}
	v.park(spare)
	lend := max(0, v.short-len(v.draining))
	for _, w := range wants {
		lent := min(lend, max(0, min(w.have, w.keep)-w.size))
		lend -= lent
		v.drain(w, max(0, w.have-w.keep)+lent)
	}
}

// give moves up to n spare hosts to a pool and returns the others.
func (v *view) give(pool *Pool, n int, spare []spareHost, reason string) []spareHost {
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
func (v *view) drain(w want, over int) {
	var list []*estate.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		worker := v.workers[h.WorkerID]
		if h.Pool != w.pool.Name || !v.free(h) || worker == nil || v.emptying[h.Name] != "" || worker.LongRunningTasks > 0 {
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
func (v *view) reopen(w *want) {
	var list []*estate.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if h.Pool == w.pool.Name && v.draining[h.Name] && v.free(h) && v.workers[h.WorkerID] != nil {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(a, b *estate.Host) int {
		return cmp.Compare(v.workers[b.WorkerID].Used, v.workers[a.WorkerID].Used)
	})
	enough := w.keep
	if v.short > 0 {
		enough = w.size
	}
	for _, h := range list {
		if w.have >= enough {
			return
		}
		w.have++
		delete(v.draining, h.Name)
		v.decide(Decision{Kind: Open, Host: h.Name, Worker: h.WorkerID, Reason: "needed again"})
	}
}

// wants works out what each pool needs and has.
func (v *view) wants() []want {
	have, members := map[string]int{}, map[string]int{}
	for i := range v.Hosts {
		h := &v.Hosts[i]
		members[h.Pool]++
		if v.serves(h) {
			have[v.poolOf(h)]++
		}
	}
	var names []string
	for i := range v.Pools {
		if !v.Pools[i].Standby {
			names = append(names, v.Pools[i].Name)
		}
	}
	v.expected = v.rhythm.expect(names, v.Now, v.migration)
	var wants []want
	for i := range v.Pools {
		pool := &v.Pools[i]
		d := v.demands[pool.Name]
		if !d.counted {
			d.counted, d.initial = true, members[pool.Name]
		}
		if pool.Standby {
			continue
		}
		s := v.size(pool, have[pool.Name])
		wants = append(wants, want{pool: pool, size: s.Size, keep: s.Keep, have: s.Have})
		if s.Size != d.told {
			d.told = s.Size
			v.decide(Decision{Kind: Resize, To: pool.Name, Sizing: s})
		}
	}
	return wants
}

// poolOf is the pool that a host is in or on its way to.
func (v *view) poolOf(h *estate.Host) string {
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
		Have: have, Rate: d.rate, Waiting: pool.Waiting, Steady: pool.LongRunningCores, Used: pool.used(), Late: pool.late(),
	}
	there := s.Used - s.Late + waitingShare*pool.Waiting
	coming := rateReserve*d.rate + pool.LongRunningCores
	need := int(math.Ceil(max(there, coming)/cores)) + headroom
	if _, surged := v.rhythm.last(pool.Name); !surged {
		// Nobody knows yet when the pool's turn comes: it keeps what it has.
		keep := d.initial
		if v.lacking {
			keep = int(math.Ceil(lendShare * float64(d.initial)))
		}
		need = max(need, min(have, keep))
	}
	need = max(need, minWorkers, pool.Spread)
	s.Expected = v.expected[pool.Name]
	need = max(need, min(have, s.Expected))
	s.Size = need
	s.Keep = max(need, int(math.Ceil((s.Used+waitingShare*pool.Waiting)/cores))+headroom)
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
func (v *view) spareHosts(wants []want) []spareHost {
	over := map[string]int{}
	for _, w := range wants {
		over[w.pool.Name] = w.have - w.keep
		if v.short > 0 {
			over[w.pool.Name] = w.have - w.size
		}
	}
	var spare []spareHost
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if !v.free(h) || !v.idle(h) || v.emptying[h.Name] != "" {
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

// park sends hosts to standby that nobody needs.
func (v *view) park(spare []spareHost) {
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
		if s.standby || s.idleFor < idleBeforeMove || !v.mayOrder() {
			continue
		}
		if parked[pool.Name] >= max(1, int(maxShrinkShare*float64(len(pool.Workers)))) {
			continue
		}
		parked[pool.Name]++
		v.decide(Decision{Kind: Move, Host: s.host.Name, Worker: s.host.WorkerID, From: s.host.Pool, To: standby, Reason: "idle"})
	}
}
