package pool

import (
	"math"
	"time"
)

// lendingPlan divides the surge capacity between hosts that pools hold
// permanently and a shared reserve in the spare pool.
type lendingPlan struct {
	// reserve is the number of hosts that the spare pool holds available for
	// loans.
	reserve int
	// loan is the number of hosts that one pool may borrow for a surge.
	loan int
	// pools reports, for each pool, whether its size relies on a loan.
	pools []bool
	// forced reports that pools borrow because hosts are short, although
	// holding hosts permanently would cost less.
	forced bool
}

// loanFor returns the number of hosts that pool i may borrow.
func (l lendingPlan) loanFor(i int) int {
	if l.pools[i] {
		return l.loan
	}
	return 0
}

// movesPerLoan is the number of moves for each lent host: one to lend it and
// one to return it.
const movesPerLoan = 2

// chooseLending returns the plan with the lowest hourly cost among those that
// the hosts of the estate suffice for. If they suffice for none, the
// availability budgets take precedence over cost, and it returns the plan that
// needs the fewest hosts.
//
// Pools don't all surge at once, so the reserve holds one loan for each that is
// expected to be in use at a time, not one for each pool. The spare pool may
// borrow from it like any other pool, for its own requests.
func chooseLending(s *sizing) lendingPlan {
	best := lendingPlan{pools: make([]bool, len(s.needs))}
	if s.spare < 0 {
		return best
	}
	available, largest := 0, 0
	for i := range s.needs {
		available += len(s.serving[i]) + s.incoming[i]
		largest = max(largest, s.needs[i].baseSize()-s.needs[i].bridgeSize())
	}
	bestCost, bestHosts := s.cost(best)
	for loan := 1; loan <= largest; loan++ {
		for _, forced := range []bool{false, true} {
			l := s.lendingPlanFor(loan, forced)
			cost, hosts := s.cost(l)
			better := cost < bestCost
			if max(hosts, bestHosts) > available {
				better = hosts < bestHosts
			}
			if better {
				best, bestCost, bestHosts = l, cost, hosts
			}
		}
	}
	return best
}

// lendingPlanFor returns the plan with the given loan. The loan is used by the
// pools that it saves cost for or, if forced, by all pools that it makes
// smaller.
func (s *sizing) lendingPlanFor(loan int, forced bool) lendingPlan {
	l := lendingPlan{loan: loan, forced: forced, pools: make([]bool, len(s.needs))}
	loansOut := 0.0
	for i := range s.needs {
		p, n := &s.state.Pools[i], &s.needs[i]
		l.pools[i] = n.sizeWithLoan(loan) < n.baseSize() && (forced || loanSaving(p, n, loan) > 0)
		if l.pools[i] {
			loansOut += max(surgeLength(p.Demand), l.maxIdleTime(p)).Seconds() / surgeInterval(p.Demand).Seconds()
		}
	}
	l.reserve = loan * concurrentLoans(loansOut)
	return l
}

// cost returns the hourly cost of a plan, and the number of hosts that it needs
// at releaseMargin times the demand. Without the margin a plan that barely fits
// would be adopted and dropped in turn, at the cost of moves.
func (s *sizing) cost(l lendingPlan) (cost float64, hosts int) {
	hosts = l.reserve
	cost = float64(l.reserve) * s.state.Pools[s.spare].Values.BufferWeight
	for i := range s.needs {
		p, n := &s.state.Pools[i], &s.needs[i]
		hosts += s.releaseNeeds[i].sizeWithLoan(l.loanFor(i))
		cost += float64(n.baseSize()) * p.Values.BufferWeight
		if l.pools[i] {
			cost -= loanSaving(p, n, l.loan)
		}
	}
	return cost, hosts
}

// concurrentLoans returns how many loans to keep available, given the mean
// number in use. Pools seldom surge at once: up to a mean of one there is a
// single loan, and the requests of a second surge at the same time wait within
// their deadlines. Above that, the square root allows for overlapping surges.
func concurrentLoans(mean float64) int {
	if mean <= 1 {
		return 1
	}
	return int(math.Ceil(mean + math.Sqrt(mean)))
}

// maxIdleTime returns how long a pool keeps an idle borrowed host: until the
// cost of keeping it exceeds that of the move back or, if hosts are short, the
// minimum stay.
func (l lendingPlan) maxIdleTime(p *Pool) time.Duration {
	if l.forced {
		return p.Values.MinStay
	}
	return max(p.Values.MinStay, breakEven(p))
}

// loanSaving returns the hourly cost that a pool saves by borrowing: that of
// the hosts that it doesn't hold, less that of the moves.
func loanSaving(p *Pool, n *need, loan int) float64 {
	base := n.sizeWithLoan(loan)
	saved := float64(n.baseSize() - base)
	lent := float64(max(0, n.surgeSize(base)-base))
	surges := time.Hour.Seconds() / surgeInterval(p.Demand).Seconds()
	moves := movesPerLoan * lent * surges
	return saved*p.Values.BufferWeight - moves*p.Values.MoveWeight
}
