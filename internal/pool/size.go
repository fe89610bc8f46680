package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

// sizing is the working state of one call of Size.
type sizing struct {
	state *State
	// order lists the pools by name, so that the order in which they are given
	// decides nothing.
	order []int
	needs []need
	// keeps are the needs for slightly more demand; a pool gives hosts away
	// only down to these.
	keeps   []need
	targets []Target
	// serving holds, for each pool, the indexes of the hosts that serve it.
	serving [][]int
	// coming counts, for each pool, the hosts on their way to it.
	coming []int
	racks  []spread
	spare  int
	lend   lending
	plan   Plan
}

// Size decides the size of every pool and the moves to start now. Hosts that
// drain, are stopped, lost, pinned or inside their minimum stay never move,
// and no pool falls below its own target by giving.
func Size(state State) Plan {
	s := newSizing(&state)
	s.lend = chooseLending(s)
	s.plan.Reserve = s.lend.reserve
	for i := range state.Pools {
		s.targets[i] = s.target(i)
	}
	s.cover()
	s.giveBack()
	s.plan.Targets = s.targets
	return s.plan
}

// newSizing indexes the state.
func newSizing(state *State) *sizing {
	n := len(state.Pools)
	s := &sizing{
		state:   state,
		needs:   make([]need, n),
		keeps:   make([]need, n),
		targets: make([]Target, n),
		serving: make([][]int, n),
		coming:  make([]int, n),
		racks:   make([]spread, n),
		spare:   -1,
	}
	index := make(map[string]int, n)
	for i := range state.Pools {
		index[state.Pools[i].Values.Pool] = i
		s.racks[i] = newSpread()
	}
	for i := range state.Pools {
		s.indexPool(i, index)
		s.order = append(s.order, i)
	}
	slices.SortFunc(s.order, func(a, b int) int {
		return cmp.Compare(state.Pools[a].Values.Pool, state.Pools[b].Values.Pool)
	})
	return s
}

// indexPool counts the hosts of one pool.
func (s *sizing) indexPool(i int, index map[string]int) {
	p := &s.state.Pools[i]
	s.needs[i] = needOf(p, s.state.Reaction, 1)
	s.keeps[i] = needOf(p, s.state.Reaction, keepMargin)
	if p.Values.Spare {
		s.spare = i
	}
	for j := range p.Hosts {
		h := &p.Hosts[j]
		switch {
		case h.Phase == host.Serving:
			s.serving[i] = append(s.serving[i], j)
			s.racks[i].add(h.Place, 1)
		case h.Purpose == host.ForMove && h.Phase == host.Draining:
			if to, ok := index[h.MoveTo]; ok {
				s.coming[to]++
				s.racks[to].add(h.Place, 1)
			}
		}
	}
}

// target decides the size of one pool.
func (s *sizing) target(i int) Target {
	p, n := &s.state.Pools[i], &s.needs[i]
	loan := s.lend.loanFor(i)
	t := Target{Pool: p.Values.Pool, Need: n.standingWith(loan), Reason: ReasonBaseSize}
	if loan > 0 {
		t.Reason = ReasonBaseSizeWithLoan
	}
	if t.Need == n.minimum {
		t.Reason = ReasonMinimum
	}
	t.Serving = len(s.serving[i]) + s.coming[i]
	if !p.Demand.Known() {
		t.Need = max(t.Serving, p.Values.MinHosts)
		t.Reason = ReasonUnknown
	}
	t.Want = t.Need
	if n.now > t.Need {
		s.raise(&t, p, n)
	}
	t.Want += p.Extra
	if i == s.spare {
		t.Want += s.lend.reserve
		t.Reason = ReasonReserve
	}
	t.Idle = max(0, len(s.serving[i])-n.busy)
	return t
}

// outlast is how many times as long as expected a surge lasts before it is
// taken for a lasting rise.
const outlast = 2

// raise sizes a pool for demand above its standing size. A surge as it was
// expected gets what holds it, and nothing that would come too late. One that
// far outlasts the expectation is taken for a lasting rise.
func (s *sizing) raise(t *Target, p *Pool, n *need) {
	lasted := s.state.Now.Sub(p.Demand.SurgeStart).Seconds()
	switch {
	case !p.Demand.Surging || lasted > outlast*n.length:
		t.Want = n.now
		t.Reason = ReasonSurge
	case lasted+n.reaction >= n.length:
		t.Reason = ReasonTooLate
	default:
		t.Want = max(t.Need, min(n.now, n.lent(t.Need)))
		t.Reason = ReasonSurge
	}
}

// keep returns how many serving hosts a pool keeps when it gives some away.
func (s *sizing) keep(i int) int {
	size := s.keeps[i].standingWith(s.lend.loanFor(i))
	return max(s.targets[i].Want, size+s.state.Pools[i].Extra)
}

// minimumStay reports whether the host has been in its pool long enough. The
// spare pool lends at any time: its hosts are there to go.
func (s *sizing) minimumStay(p *Pool, h *Host) bool {
	return p.Values.Spare || s.state.Now.Sub(h.Since) >= p.Values.MinStay
}

// wanted returns the hosts that a pool wants for its own demand, without what
// the spare pool keeps to lend.
func (s *sizing) wanted(i int) int {
	if i == s.spare {
		return s.targets[i].Want - s.lend.reserve
	}
	return s.targets[i].Want
}

// breakEven is how long an idle host is kept before the move that gives it
// back costs less than keeping it.
func breakEven(p *Pool) time.Duration {
	if p.Values.BufferWeight <= 0 {
		return 1<<63 - 1
	}
	hours := p.Values.MoveWeight / p.Values.BufferWeight
	return time.Duration(min(hours, maxKeepHours) * float64(time.Hour))
}

// maxKeepHours bounds how long an idle lent host is kept.
const maxKeepHours = 24 * 365
