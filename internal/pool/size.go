package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

// sizing holds the working state of one call of Size.
type sizing struct {
	state *State
	// order lists the pools by name, so that the result doesn't depend on the
	// order of State.Pools.
	order []int
	needs []need
	// releaseNeeds are the needs at releaseMargin times the demand. A pool
	// gives up hosts only down to these.
	releaseNeeds []need
	targets      []Target
	// serving holds, for each pool, the indexes of its serving hosts.
	serving [][]int
	// incoming is, for each pool, the number of hosts moving to it.
	incoming []int
	spreads  []spread
	spare    int
	lending  lendingPlan
	plan     Plan
}

// Size returns the size of every pool and the moves to start now. Hosts that
// drain, are stopped, lost or pinned, or are within their minimum stay never
// move. A pool gives up hosts that it wants itself only to share a shortage.
func Size(state State) Plan {
	s := newSizing(&state)
	s.lending = chooseLending(s)
	s.plan.Reserve = s.lending.reserve
	for i := range state.Pools {
		s.targets[i] = s.target(i)
	}
	s.fillShortages()
	s.returnSurplus()
	s.plan.Targets = s.targets
	return s.plan
}

// newSizing indexes the state by pool.
func newSizing(state *State) *sizing {
	n := len(state.Pools)
	s := &sizing{
		state:        state,
		needs:        make([]need, n),
		releaseNeeds: make([]need, n),
		targets:      make([]Target, n),
		serving:      make([][]int, n),
		incoming:     make([]int, n),
		spreads:      make([]spread, n),
		spare:        -1,
	}
	index := make(map[string]int, n)
	for i := range state.Pools {
		index[state.Pools[i].Values.Pool] = i
		s.spreads[i] = newSpread()
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

// indexPool computes the needs of one pool and counts its hosts.
func (s *sizing) indexPool(i int, index map[string]int) {
	p := &s.state.Pools[i]
	s.needs[i] = needOf(p, s.state.Reaction, 1)
	s.releaseNeeds[i] = needOf(p, s.state.Reaction, releaseMargin)
	if p.Values.Spare {
		s.spare = i
	}
	for j := range p.Hosts {
		h := &p.Hosts[j]
		switch {
		case h.Phase == host.Serving:
			s.serving[i] = append(s.serving[i], j)
			s.spreads[i].add(h.Place, 1)
		case h.Purpose == host.ForMove && h.Phase == host.Draining:
			if to, ok := index[h.MoveTo]; ok {
				s.incoming[to]++
				s.spreads[to].add(h.Place, 1)
			}
		}
	}
}

// target returns the size of one pool.
func (s *sizing) target(i int) Target {
	p, n := &s.state.Pools[i], &s.needs[i]
	loan := s.lending.loanFor(i)
	t := Target{Pool: p.Values.Pool, Need: n.sizeWithLoan(loan), Reason: ReasonBaseSize}
	if loan > 0 {
		t.Reason = ReasonBaseSizeWithLoan
	}
	if t.Need == n.minimum {
		t.Reason = ReasonMinimum
	}
	t.Serving = len(s.serving[i]) + s.incoming[i]
	if !p.Demand.Known() {
		t.Need = max(t.Serving, p.Values.MinHosts)
		t.Reason = ReasonUnknown
	}
	t.Want = t.Need
	if n.current > t.Need {
		s.sizeForSurge(&t, p, n)
	}
	t.Want += p.Extra
	if i == s.spare {
		t.Want += s.lending.reserve
		t.Reason = ReasonReserve
	}
	t.Idle = max(0, len(s.serving[i])-n.busy)
	return t
}

// sustainedAfter is the multiple of the expected surge length after which a
// surge is treated as a sustained rise.
const sustainedAfter = 2

// sizeForSurge raises the target of a pool whose present demand exceeds its
// base size. An expected surge gets the hosts that handle it, unless it would
// end before they serve. A demand without a surge, or a surge that lasts
// sustainedAfter times as long as expected, is treated as sustained.
func (s *sizing) sizeForSurge(t *Target, p *Pool, n *need) {
	elapsed := s.state.Now.Sub(p.Demand.SurgeStart).Seconds()
	switch {
	case !p.Demand.Surging || elapsed > sustainedAfter*n.length:
		t.Want = n.current
		t.Reason = ReasonSurge
	case elapsed+n.reaction >= n.length:
		t.Reason = ReasonTooLate
	default:
		t.Want = max(t.Need, min(n.current, n.surgeSize(t.Need)))
		t.Reason = ReasonSurge
	}
}

// releaseFloor returns the number of serving hosts below which a pool returns
// none to the spare pool.
func (s *sizing) releaseFloor(i int) int {
	size := s.releaseNeeds[i].sizeWithLoan(s.lending.loanFor(i))
	return max(s.targets[i].Want, size+s.state.Pools[i].Extra)
}

// minStayOver reports whether a host has been in its pool for MinStay. Hosts of
// the spare pool may always move, since they are there to be lent.
func (s *sizing) minStayOver(p *Pool, h *Host) bool {
	return p.Values.Spare || s.state.Now.Sub(h.Since) >= p.Values.MinStay
}

// wanted returns the number of hosts that a pool wants for its own demand, that
// is without the reserve of the spare pool.
func (s *sizing) wanted(i int) int {
	if i == s.spare {
		return s.targets[i].Want - s.lending.reserve
	}
	return s.targets[i].Want
}

// breakEven returns how long an idle host can be kept before that costs more
// than the move that returns it.
func breakEven(p *Pool) time.Duration {
	if p.Values.BufferWeight <= 0 {
		return 1<<63 - 1
	}
	hours := p.Values.MoveWeight / p.Values.BufferWeight
	return time.Duration(min(hours, maxIdleHours) * float64(time.Hour))
}

// maxIdleHours is the maximum of breakEven, in hours.
const maxIdleHours = 24 * 365
