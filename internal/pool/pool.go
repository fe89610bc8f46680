// Package pool decides how many hosts each pool holds and which hosts move
// between pools. Its decisions are pure: Size takes a State and returns a
// Plan, without a clock and without I/O.
//
// The objective is the sum of buffer cost (idle hosts times BufferWeight for
// each hour) and move cost (moves times MoveWeight). The availability budget
// is a constraint: a pool holds at least what keeps its budget through the
// surges that its history shows.
package pool

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Host is a host as sizing sees it.
type Host struct {
	// Name is unique within the estate.
	Name string
	datacentre.Place
	// Slots is how many requests it runs at once.
	Slots int
	// Phase is what the host does for its pool.
	Phase host.Phase
	// Purpose is why it drains or stopped.
	Purpose host.Purpose
	// MoveTo is the pool that the host goes to next, with host.ForMove.
	MoveTo string
	// Since is when the host began to serve its pool.
	Since time.Time
	// Pinned says that the host may not move, for example for a task that
	// runs on it.
	Pinned bool
}

// Pool is one pool with its hosts and its demand.
type Pool struct {
	// Values are the effective settings of the pool.
	Values *settings.PoolValues
	// Deadline is the shortest deadline among the pool's services. Zero means
	// that no request can wait.
	Deadline time.Duration
	// BudgetSpent is the share of the availability budget that is spent; 1
	// and above means all of it.
	BudgetSpent float64
	// Extra is how many hosts maintenance asks for on top, so that it can take
	// as many out.
	Extra int
	// Hosts are all hosts whose row names the pool, in any phase.
	Hosts []Host
	// Demand is what the pool was asked for.
	Demand History
}

// State is all that Size decides from.
type State struct {
	// Now is the time of the decision.
	Now time.Time
	// Reaction is how long a move takes from the rise of demand until the host
	// serves its new pool: report interval, drain and commit.
	Reaction time.Duration
	// Pools are all pools of the estate. One of them is the spare pool.
	Pools []Pool
}

// Reason says why Size decided as it did.
type Reason string

const (
	// ReasonBaseSize is the size that keeps the budget through a surge.
	ReasonBaseSize Reason = "standing size holds the expected surge"
	// ReasonBaseSizeWithLoan is the size that bridges a surge until lent hosts arrive.
	ReasonBaseSizeWithLoan Reason = "standing size bridges a surge until lent hosts serve"
	// ReasonSurge is a size raised for present demand.
	ReasonSurge Reason = "present demand is above the standing size"
	// ReasonTooLate is a surge that ends before a move could help.
	ReasonTooLate Reason = "surge is expected to end before a lent host serves"
	// ReasonReserve is the size of the spare pool: its own need and what it
	// keeps to lend.
	ReasonReserve Reason = "own demand and the reserve to lend"
	// ReasonUnknown is the size of a pool whose demand was not watched for long
	// enough: it keeps what it has.
	ReasonUnknown Reason = "demand is not known yet"
	// ReasonMinimum is a size given by MinHosts or by the mean demand.
	ReasonMinimum Reason = "minimum of the settings or of mean demand"
	// ReasonLend is a move from the spare pool to a pool that lacks hosts.
	ReasonLend Reason = "lent by the spare pool"
	// ReasonSurplus is a move between two pools, neither of them the spare.
	ReasonSurplus Reason = "surplus of another pool"
	// ReasonShare is a move between two pools that both lack hosts.
	ReasonShare Reason = "shortage shared with another pool"
	// ReasonReturn is a move back to the spare pool.
	ReasonReturn Reason = "given back to the spare pool"
)

// Target is the size that a pool should have.
type Target struct {
	Pool string
	// Need is how many serving hosts the availability budget asks for.
	// Maintenance leaves at least as many.
	Need int
	// Want is how many serving hosts sizing aims at; never below Need.
	Want int
	// Idle is how many serving hosts present demand leaves idle.
	Idle int
	// Serving is how many hosts serve the pool or are on their way to it.
	Serving int
	// Reason says where Want comes from.
	Reason Reason
}

// Move takes a host from one pool to another.
type Move struct {
	Host   string
	From   string
	To     string
	Reason Reason
}

// Plan is what Size decided.
type Plan struct {
	// Targets are in the order of State.Pools.
	Targets []Target
	// Moves are to be started now.
	Moves []Move
	// Reserve is how many hosts the spare pool keeps to lend.
	Reserve int
	// Shortage is how many wanted hosts no pool could give.
	Shortage int
}
