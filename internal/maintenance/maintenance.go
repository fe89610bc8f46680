// Package maintenance plans the waves in which hosts are drained, rebooted and
// returned to service. It is a pure function of its input: Plan takes a State
// and returns steps, and uses neither a clock nor I/O.
//
// A wave drains the due hosts of one rack at a time in each region, so that a
// failure of another rack or data centre coincides with as few stopped hosts as
// possible. The host rows hold all the state of a wave, so a new owner
// continues it where the previous owner stopped.
package maintenance

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Host describes a host for maintenance.
type Host struct {
	// Name is unique within the estate.
	Name string
	datacentre.Place
	// Phase is the state of the host in its pool.
	Phase host.Phase
	// Purpose is why the host drains or was stopped.
	Purpose host.Purpose
	// Since is when the phase began.
	Since time.Time
	// Maintained is the end of the last maintenance. Zero means never; the host
	// is then due at once.
	Maintained time.Time
	// Drained reports that no entry can route to the host any more.
	Drained bool
	// InFlight is the number of requests that the host still runs.
	InFlight int
	// Tasks is the number of tasks on the host that have neither finished nor
	// been checkpointed and stopped.
	Tasks int
	// Rebooted reports that the reboot was carried out.
	Rebooted bool
	// Listed reports that the platform lists the host as live.
	Listed bool
}

// Pool is one pool with its hosts.
type Pool struct {
	// Values are the effective settings of the pool.
	Values *settings.PoolValues
	// Need is the number of hosts that must keep serving (pool.Target.Need).
	Need int
	// BudgetSpent is the spent share of the availability budget; 1 or more
	// means that all of it is spent.
	BudgetSpent float64
	// Paused reports that the last Pause or Resume step of the pool was Pause.
	Paused bool
	// Hosts are all hosts whose row names the pool, in any phase.
	Hosts []Host
}

// State is the input of Plan and Report.
type State struct {
	// Now is the time of the decision.
	Now time.Time
	// Pools are all pools of the estate, since a rack holds hosts of several
	// pools.
	Pools []Pool
}

// Action is the type of a step.
type Action string

const (
	// Drain sets host.Draining for maintenance.
	Drain Action = "drain"
	// Stop sets host.Stopped. The host has nothing in flight.
	Stop Action = "stop"
	// Reboot orders the platform to reboot a stopped host.
	Reboot Action = "reboot"
	// Return sets host.Serving and, for a rebooted host, the time of its
	// maintenance.
	Return Action = "return"
	// Pause records that no further host of the pool is drained.
	Pause Action = "pause"
	// Resume records the end of a pause.
	Resume Action = "resume"
)

// Reason explains a step, or why no further host is drained. The texts are
// shown to users.
type Reason string

const (
	// ReasonNone means that there is no reason to wait.
	ReasonNone Reason = ""
	// ReasonDue is given for a host whose maintenance is due.
	ReasonDue Reason = "maintenance is due"
	// ReasonIdle is given for a drained host without requests or tasks.
	ReasonIdle Reason = "nothing in flight and no task left"
	// ReasonRebooted is given for a host that is live again after its reboot.
	ReasonRebooted Reason = "back from its reboot"
	// ReasonCancelled is given for a draining host that returns to service
	// because the settings no longer allow it to be unavailable, or because a
	// failure left too few serving hosts.
	ReasonCancelled Reason = "too few hosts serve for it to be away"
	// ReasonPoolFailure pauses a pool with a recent host failure.
	ReasonPoolFailure Reason = "a host of the pool failed lately"
	// ReasonRegionFailure pauses all pools of a region with several recent host
	// failures.
	ReasonRegionFailure Reason = "several hosts of the region failed lately"
	// ReasonBudgetSpent pauses a pool whose availability budget is spent.
	ReasonBudgetSpent Reason = "availability budget is spent"
	// ReasonHealthy resumes a wave.
	ReasonHealthy Reason = "no recent failure"
	// ReasonUnavailable is given while as many hosts are unavailable, for any
	// cause, as the settings allow.
	ReasonUnavailable Reason = "max_unavailable hosts are away"
	// ReasonNeed is given while the pool needs all its serving hosts.
	ReasonNeed Reason = "the pool needs all its serving hosts"
	// ReasonDisabled is given if the settings have no maintenance period or
	// allow no unavailable host.
	ReasonDisabled Reason = "settings allow no maintenance"
)

// Step is one action of a plan.
type Step struct {
	Action Action
	// Host is empty for Pause and Resume.
	Host   string
	Pool   string
	Reason Reason
}
