package pool

// cover fills pools that hold less than they want, host by host, always the
// pool that lacks the largest share, from the spare pool, then from pools that
// hold more than they want, then from pools that lack less.
func (s *sizing) cover() {
	full := make([]bool, len(s.targets))
	for {
		to := s.emptiest(full)
		if to < 0 {
			return
		}
		from := s.donor(to)
		if from < 0 {
			from = s.sharer(to)
		}
		if from < 0 {
			s.plan.Shortage += s.wanted(to) - s.targets[to].Serving
			full[to] = true
			continue
		}
		s.move(from, to)
	}
}

// emptiest returns the pool that lacks the largest share of what it wants, or
// -1 if none lacks any.
func (s *sizing) emptiest(full []bool) int {
	best, bestLack := -1, 0.0
	for _, i := range s.order {
		if lack := s.lack(i, 0); !full[i] && lack > bestLack {
			best, bestLack = i, lack
		}
	}
	return best
}

// donor returns the pool that gives a host to pool to, or -1.
func (s *sizing) donor(to int) int {
	if s.spare >= 0 && s.spare != to && s.canGive(s.spare, s.wanted(s.spare)) {
		return s.spare
	}
	best, bestSurplus := -1, 0
	for _, i := range s.order {
		surplus := len(s.serving[i]) - s.targets[i].Want
		if i == to || i == s.spare || surplus <= bestSurplus {
			continue
		}
		if s.canGive(i, s.targets[i].Want) {
			best, bestSurplus = i, surplus
		}
	}
	return best
}

// sharer returns the pool that gives a host to pool to where all hosts are
// needed, or -1: the one that then lacks the smallest share of what it wants,
// if that is no more than pool to then lacks. So the shortage is spread, and
// no host goes back and forth.
func (s *sizing) sharer(to int) int {
	best, bestLack := -1, s.lack(to, 1)
	for _, i := range s.order {
		if i == to || !s.canGive(i, 0) {
			continue
		}
		if lack := s.lack(i, -1); lack < bestLack || best < 0 && lack == bestLack {
			best, bestLack = i, lack
		}
	}
	return best
}

// lack returns the share of the wanted hosts that a pool lacks once it got so
// many more.
func (s *sizing) lack(i, more int) float64 {
	want := s.wanted(i)
	return float64(want-s.targets[i].Serving-more) / float64(max(want, 1))
}

// canGive reports whether a pool keeps its floor and its minimum of hosts
// that serve after it gave one, and has a host that may go.
func (s *sizing) canGive(i, floor int) bool {
	floor = max(floor, s.needs[i].minimum)
	if len(s.serving[i]) <= floor {
		return false
	}
	return s.pick(i, i) >= 0
}

// giveBack returns hosts to the spare pool from pools that have held more
// than they want for longer than keeping them is worth.
func (s *sizing) giveBack() {
	if s.spare < 0 {
		return
	}
	for _, i := range s.order {
		if i == s.spare || !s.settled(i) {
			continue
		}
		for s.canGive(i, s.keep(i)) {
			s.move(i, s.spare)
		}
	}
}

// settled reports whether a pool's last surge is over for longer than an idle
// host is worth keeping.
func (s *sizing) settled(i int) bool {
	p := &s.state.Pools[i]
	if p.Demand.Surging || p.Demand.First.IsZero() {
		return false
	}
	calm := p.Demand.SurgeEnd
	if calm.IsZero() {
		calm = p.Demand.First
	}
	return s.state.Now.Sub(calm) >= s.lend.keepTime(p)
}

// move records the move of the host that fits the spread of both pools best.
func (s *sizing) move(from, to int) {
	k := s.pick(from, to)
	h := &s.state.Pools[from].Hosts[s.serving[from][k]]
	s.serving[from] = append(s.serving[from][:k:k], s.serving[from][k+1:]...)
	s.targets[from].Serving--
	s.targets[to].Serving++
	s.racks[from].add(h.Place, -1)
	s.racks[to].add(h.Place, 1)
	s.plan.Moves = append(s.plan.Moves, Move{
		Host:   h.Name,
		From:   s.targets[from].Pool,
		To:     s.targets[to].Pool,
		Reason: s.reason(from, to),
	})
}

// reason returns the reason of a move that was just recorded.
func (s *sizing) reason(from, to int) Reason {
	switch {
	case s.targets[from].Serving < s.wanted(from):
		return ReasonShare
	case from == s.spare:
		return ReasonLend
	case to == s.spare:
		return ReasonReturn
	}
	return ReasonSurplus
}
