package pool

// fillShortages moves hosts one by one to the pool with the largest relative
// shortage. They come from the spare pool, else from a pool with a surplus,
// else from a pool with a smaller shortage.
func (s *sizing) fillShortages() {
	unfillable := make([]bool, len(s.targets))
	for {
		to := s.largestShortage(unfillable)
		if to < 0 {
			return
		}
		from := s.surplusDonor(to)
		if from < 0 {
			from = s.shortageDonor(to)
		}
		if from < 0 {
			s.plan.Shortage += s.wanted(to) - s.targets[to].Serving
			unfillable[to] = true
			continue
		}
		s.move(from, to)
	}
}

// largestShortage returns the pool with the largest relative shortage that
// isn't marked unfillable, or -1 if no pool is short of hosts.
func (s *sizing) largestShortage(unfillable []bool) int {
	best, bestShortage := -1, 0.0
	for _, i := range s.order {
		if shortage := s.shortage(i, 0); !unfillable[i] && shortage > bestShortage {
			best, bestShortage = i, shortage
		}
	}
	return best
}

// surplusDonor returns a pool that can give a host to pool to without a
// shortage of its own, or -1. The spare pool comes first, then the pool with
// the largest surplus.
func (s *sizing) surplusDonor(to int) int {
	if s.spare >= 0 && s.spare != to && s.canRelease(s.spare, s.wanted(s.spare)) {
		return s.spare
	}
	best, bestSurplus := -1, 0
	for _, i := range s.order {
		surplus := len(s.serving[i]) - s.targets[i].Want
		if i == to || i == s.spare || surplus <= bestSurplus {
			continue
		}
		if s.canRelease(i, s.targets[i].Want) {
			best, bestSurplus = i, surplus
		}
	}
	return best
}

// shortageDonor returns the pool that gives a host to pool to although no pool
// has a surplus, or -1. It is the pool with the smallest relative shortage
// after the move, provided that this isn't larger than that of pool to after
// the move. So the shortage is spread evenly, and no host moves back and forth.
func (s *sizing) shortageDonor(to int) int {
	best, bestShortage := -1, s.shortage(to, 1)
	for _, i := range s.order {
		if i == to || !s.canRelease(i, 0) {
			continue
		}
		if shortage := s.shortage(i, -1); shortage < bestShortage || best < 0 && shortage == bestShortage {
			best, bestShortage = i, shortage
		}
	}
	return best
}

// shortage returns the share of the wanted hosts that pool i would lack after
// receiving more hosts.
func (s *sizing) shortage(i, more int) float64 {
	want := s.wanted(i)
	return float64(want-s.targets[i].Serving-more) / float64(max(want, 1))
}

// canRelease reports whether pool i has a host that may move and would still
// have both floor and its minimum of serving hosts without it.
func (s *sizing) canRelease(i, floor int) bool {
	floor = max(floor, s.needs[i].minimum)
	if len(s.serving[i]) <= floor {
		return false
	}
	return s.pickHost(i, i) >= 0
}

// returnSurplus moves surplus hosts back to the spare pool from pools whose
// last surge ended at least maxIdleTime ago.
func (s *sizing) returnSurplus() {
	if s.spare < 0 {
		return
	}
	for _, i := range s.order {
		if i == s.spare || !s.surgeOver(i) {
			continue
		}
		for s.canRelease(i, s.releaseFloor(i)) {
			s.move(i, s.spare)
		}
	}
}

// surgeOver reports whether a pool's last surge ended at least maxIdleTime ago.
// Without a surge the time counts from the first sample.
func (s *sizing) surgeOver(i int) bool {
	p := &s.state.Pools[i]
	if p.Demand.Surging || p.Demand.First.IsZero() {
		return false
	}
	calmSince := p.Demand.SurgeEnd
	if calmSince.IsZero() {
		calmSince = p.Demand.First
	}
	return s.state.Now.Sub(calmSince) >= s.lending.maxIdleTime(p)
}

// move records the move of the host that pickHost selects.
func (s *sizing) move(from, to int) {
	k := s.pickHost(from, to)
	h := &s.state.Pools[from].Hosts[s.serving[from][k]]
	s.serving[from] = append(s.serving[from][:k:k], s.serving[from][k+1:]...)
	s.targets[from].Serving--
	s.targets[to].Serving++
	s.spreads[from].add(h.Place, -1)
	s.spreads[to].add(h.Place, 1)
	s.plan.Moves = append(s.plan.Moves, Move{
		Host:   h.Name,
		From:   s.targets[from].Pool,
		To:     s.targets[to].Pool,
		Reason: s.reason(from, to),
	})
}

// reason returns the reason of the move that was just recorded.
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
