// Package maintenance plans the waves in which hosts are drained, rebooted and
// returned to service. Its decisions are pure: Plan takes a State and returns
// steps, without a clock and without I/O.
//
// A wave takes the due hosts of one rack at a time in each region, so that the
// failure of another rack or data centre meets as few stopped hosts as
// possible. Everything that Plan needs is in the host rows, so a wave goes on
// under a new owner where the old one left it.
package maintenance

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Host is a host as maintenance sees it.
type Host struct {
	// Name is unique within the estate.
	Name string
	datacentre.Place
	// Phase is what the host does for its pool.
	Phase host.Phase
	// Purpose is why it drains or stopped.
	Purpose host.Purpose
	// Since is when the phase began.
	Since time.Time
	// Maintained is the end of the last maintenance. A host that was never
	// maintained is due at once.
	Maintained time.Time
	// Drained says that no entry can route to the host any more.
	Drained bool
	// InFlight is how many requests the host still runs.
	InFlight int
	// Tasks is how many tasks on the host are neither finished nor
	// checkpointed and stopped.
	Tasks int
	// Rebooted says that the reboot was carried out.
	Rebooted bool
	// Listed says that the platform lists the host as live.
	Listed bool
}

// Pool is one pool with its hosts.
type Pool struct {
	// Values are the effective settings of the pool.
	Values *settings.PoolValues
	// Need is how many hosts must go on serving (pool.Target.Need).
	Need int
	// BudgetSpent is the share of the availability budget that is spent; 1
	// and above means all of it.
	BudgetSpent float64
	// Paused says that the last step for the pool's wave was Pause.
	Paused bool
	// Hosts are all hosts whose row names the pool, in any phase.
	Hosts []Host
}

// State is all that Plan decides from.
type State struct {
	// Now is the time of the decision.
	Now time.Time
	// Pools are all pools of the estate: a wave spans the pools of a rack.
	Pools []Pool
}

// Action is what a step does.
type Action string

const (
	// Drain commits host.Draining for maintenance.
	Drain Action = "drain"
	// Stop commits host.Stopped; the host has nothing in flight.
	Stop Action = "stop"
	// Reboot asks the platform to reboot a stopped host.
	Reboot Action = "reboot"
	// Return commits host.Serving and, for a rebooted host, the time of its
	// maintenance.
	Return Action = "return"
	// Pause records that a pool takes no further host.
	Pause Action = "pause"
	// Resume records that it does so again.
	Resume Action = "resume"
)

// Reason says why a step is taken or a host waits.
type Reason string

const (
	// ReasonNone stands for no reason to wait.
	ReasonNone Reason = ""
	// ReasonDue is given for a host whose maintenance is due.
	ReasonDue Reason = "maintenance is due"
	// ReasonIdle is given for a drained host with nothing in flight.
	ReasonIdle Reason = "nothing in flight and no task left"
	// ReasonRebooted is given for a host that returned from its reboot.
	ReasonRebooted Reason = "back from its reboot"
	// ReasonCancelled is given for a draining host that is put back because
	// the settings no longer allow it to be away or a failure needs it.
	ReasonCancelled Reason = "too few hosts serve for it to be away"
	// ReasonPoolFailure pauses a pool in which a host failed lately.
	ReasonPoolFailure Reason = "a host of the pool failed lately"
	// ReasonRegionFailure pauses all pools of a region in which several hosts
	// failed lately.
	ReasonRegionFailure Reason = "several hosts of the region failed lately"
	// ReasonBudgetSpent pauses a pool whose availability budget is spent.
	ReasonBudgetSpent Reason = "availability budget is spent"
	// ReasonHealthy resumes a wave.
	ReasonHealthy Reason = "no recent failure"
	// ReasonUnavailable is given while as many hosts are away, for any cause,
	// as the settings allow.
	ReasonUnavailable Reason = "max_unavailable hosts are away"
	// ReasonNeed is given while the pool needs all hosts that serve it.
	ReasonNeed Reason = "the pool needs all its serving hosts"
	// ReasonDisabled is given where the settings give no period or allow no
	// host to be away.
	ReasonDisabled Reason = "settings allow no maintenance"
)

// Step is one thing to do.
type Step struct {
	Action Action
	// Host is empty for Pause and Resume.
	Host   string
	Pool   string
	Reason Reason
}
