// Package pool is the autoscaler of the pools: it computes how many hosts each
// pool should have and which hosts move between pools. It is a pure function of
// its input: Size takes a State and returns a Plan, and uses neither a clock
// nor I/O.
//
// Size minimizes the sum of buffer cost (idle hosts times BufferWeight, per
// hour) and move cost (moves times MoveWeight). The availability budget is a
// constraint: a pool holds at least the hosts that keep its budget through the
// surges in its history.
package pool

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Host describes a host for sizing.
type Host struct {
	// Name is unique within the estate.
	Name string
	datacentre.Place
	// Slots is how many requests the host runs at once; 0 if unknown.
	Slots int
	// Phase is the state of the host in its pool.
	Phase host.Phase
	// Purpose is why the host drains or was stopped.
	Purpose host.Purpose
	// MoveTo is the pool that the host moves to, for host.ForMove.
	MoveTo string
	// Since is when the host began to serve its pool.
	Since time.Time
	// Pinned reports that the host must not move, for example because of a task
	// that runs on it.
	Pinned bool
}

// Pool is one pool with its hosts and its demand.
type Pool struct {
	// Values are the effective settings of the pool.
	Values *settings.PoolValues
	// Deadline is the shortest deadline among the pool's services. Zero means
	// that no request can wait.
	Deadline time.Duration
	// BudgetSpent is the spent share of the availability budget; 1 or more
	// means that all of it is spent.
	BudgetSpent float64
	// Extra is the number of hosts that maintenance requests in addition, so
	// that it can take as many out of service.
	Extra int
	// Hosts are all hosts whose row names the pool, in any phase.
	Hosts []Host
	// Demand is the history of the pool's demand.
	Demand History
}

// State is the input of Size.
type State struct {
	// Now is the time of the decision.
	Now time.Time
	// Reaction is the time from a rise of demand until a moved host serves its
	// new pool: report interval, drain and commit.
	Reaction time.Duration
	// Pools are all pools of the estate. One of them is the spare pool.
	Pools []Pool
}

// Reason explains a target or a move.
type Reason string

const (
	// ReasonBaseSize is a size that handles the expected surge without loans.
	ReasonBaseSize Reason = "base size holds the expected surge"
	// ReasonBaseSizeWithLoan is a size that handles a surge until lent hosts
	// serve.
	ReasonBaseSizeWithLoan Reason = "base size bridges a surge until lent hosts serve"
	// ReasonSurge is a size raised to the present demand.
	ReasonSurge Reason = "present demand is above the base size"
	// ReasonTooLate is a size not raised because the surge is expected to end
	// before a moved host would serve.
	ReasonTooLate Reason = "surge is expected to end before a lent host serves"
	// ReasonReserve is the size of the spare pool: its own need and the reserve
	// for loans.
	ReasonReserve Reason = "own demand and the reserve to lend"
	// ReasonUnknown is the size of a pool with less than minHistory of demand.
	// It keeps the hosts that it has.
	ReasonUnknown Reason = "demand is not known yet"
	// ReasonMinimum is a size set by MinHosts or by the mean demand.
	ReasonMinimum Reason = "minimum of the settings or of mean demand"
	// ReasonLend is a move from the spare pool to a pool short of hosts.
	ReasonLend Reason = "lent by the spare pool"
	// ReasonSurplus is a move from a pool with a surplus, other than the spare
	// pool, to a pool short of hosts.
	ReasonSurplus Reason = "surplus of another pool"
	// ReasonShare is a move between two pools that are both short of hosts.
	ReasonShare Reason = "shortage shared with another pool"
	// ReasonReturn is a move back to the spare pool.
	ReasonReturn Reason = "given back to the spare pool"
)

// Target is the computed size of a pool.
type Target struct {
	Pool string
	// Need is the number of serving hosts required by the availability budget.
	// Maintenance leaves at least as many in service.
	Need int
	// Want is the desired number of serving hosts, at least Need.
	Want int
	// Idle is the number of serving hosts that the present demand leaves idle.
	Idle int
	// Serving is the number of hosts that serve the pool or are moving to it.
	Serving int
	// Reason explains Want.
	Reason Reason
}

// Move moves a host from one pool to another.
type Move struct {
	Host   string
	From   string
	To     string
	Reason Reason
}

// Plan is the result of Size.
type Plan struct {
	// Targets are in the order of State.Pools.
	Targets []Target
	// Moves are the moves to start now.
	Moves []Move
	// Reserve is the number of hosts that the spare pool holds available for
	// loans.
	Reserve int
	// Shortage is the number of wanted hosts that no pool could give.
	Shortage int
}
