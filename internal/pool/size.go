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
	// releaseNeeds are the needs for slightly more demand; a pool gives hosts away
	// only down to these.
	releaseNeeds []need
	targets      []Target
	// serving holds, for each pool, the indexes of the hosts that serve it.
	serving [][]int
	// incoming counts, for each pool, the hosts on their way to it.
	incoming []int
	spreads  []spread
	spare    int
	lending  lendingPlan
	plan     Plan
}

// Size decides the size of every pool and the moves to start now. Hosts that
// drain, are stopped, lost, pinned or inside their minimum stay never move,
// and no pool falls below its own target by giving.
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

// newSizing indexes the state.
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

// indexPool counts the hosts of one pool.
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

// target decides the size of one pool.
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

// sustainedAfter is how many times as long as expected a surge lasts before it is
// taken for a lasting rise.
const sustainedAfter = 2

// sizeForSurge sizes a pool for demand above its standing size. A surge as it was
// expected gets what holds it, and nothing that would come too late. One that
// far outlasts the expectation is taken for a lasting rise.
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

// releaseFloor returns how many serving hosts a pool keeps when it gives some away.
func (s *sizing) releaseFloor(i int) int {
	size := s.releaseNeeds[i].sizeWithLoan(s.lending.loanFor(i))
	return max(s.targets[i].Want, size+s.state.Pools[i].Extra)
}

// minStayOver reports whether the host has been in its pool long enough. The
// spare pool lends at any time: its hosts are there to go.
func (s *sizing) minStayOver(p *Pool, h *Host) bool {
	return p.Values.Spare || s.state.Now.Sub(h.Since) >= p.Values.MinStay
}

// wanted returns the hosts that a pool wants for its own demand, without what
// the spare pool keeps to lend.
func (s *sizing) wanted(i int) int {
	if i == s.spare {
		return s.targets[i].Want - s.lending.reserve
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
	return time.Duration(min(hours, maxIdleHours) * float64(time.Hour))
}

// maxIdleHours bounds how long an idle lent host is kept.
const maxIdleHours = 24 * 365
