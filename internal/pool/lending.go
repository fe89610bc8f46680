package pool

import (
	"math"
	"time"
)

// lendingPlan is the mix of standing hosts and a shared reserve.
type lendingPlan struct {
	// reserve is how many hosts the spare pool keeps to lend.
	reserve int
	// loan is how many of them one surging pool may count on.
	loan int
	// pools says for each pool whether it counts on a loan.
	pools []bool
	// forced says that pools borrow although standing hosts would cost less,
	// because there are not enough hosts.
	forced bool
}

// loanFor returns how many hosts pool i may count on.
func (l lendingPlan) loanFor(i int) int {
	if l.pools[i] {
		return l.loan
	}
	return 0
}

// movesPerLoan is how many moves a loan costs: there and back.
const movesPerLoan = 2

// chooseLending picks the loan with the least cost in an hour among those that
// the hosts of the estate suffice for. Where they suffice for none, the
// availability budgets come first: it picks the one that needs the fewest.
//
// Queues surge in turn, so the reserve holds one loan for each that is
// expected to be out at once, not one for each pool. The spare pool counts on
// it like any other, for its own callers.
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

// lendingPlanFor returns the mix with the given loan, for the pools where it costs
// less than standing hosts or, when forced, for all.
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

// cost returns what a mix costs in an hour, and how many hosts it needs for
// slightly more demand: a mix that barely fits would be chosen and dropped in
// turn, at the cost of moves.
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

// concurrentLoans returns how many loans to have ready for a mean number that is out.
// Queues surge in turn, so below one the chance of two at once is left to the
// callers' deadlines; of many, some overlap.
func concurrentLoans(mean float64) int {
	if mean <= 1 {
		return 1
	}
	return int(math.Ceil(mean + math.Sqrt(mean)))
}

// maxIdleTime returns how long an idle lent host is kept. That is until the move
// that gives it back costs less than keeping it, unless other pools lack it.
func (l lendingPlan) maxIdleTime(p *Pool) time.Duration {
	if l.forced {
		return p.Values.MinStay
	}
	return max(p.Values.MinStay, breakEven(p))
}

// loanSaving returns what a pool saves in an hour when it may borrow: hosts
// that it need not hold, less the moves of its loans.
func loanSaving(p *Pool, n *need, loan int) float64 {
	base := n.sizeWithLoan(loan)
	saved := float64(n.baseSize() - base)
	lent := float64(max(0, n.surgeSize(base)-base))
	surges := time.Hour.Seconds() / surgeInterval(p.Demand).Seconds()
	moves := movesPerLoan * lent * surges
	return saved*p.Values.BufferWeight - moves*p.Values.MoveWeight
}
