// Package measure runs the real entry and control programs against the
// stand-in platform, one of them as a process of its own and its peers inside
// the measuring process, and fits slopes through what that process spent.
//
// Processor time and bytes are the kernel's counts for the measured process,
// so the load of the peers and of the machine does not enter them.
package measure

import (
	"time"

	"github.com/pkg/errors"
)

// Role is what the measured process does.
type Role string

const (
	// Entry is an entry that serves every pool.
	Entry Role = "entry"
	// Owner is a control process that owns every shard.
	Owner Role = "owner"
	// Idle is a control process without shards.
	Idle Role = "idle"
)

// Scenario is the surroundings of one measurement.
type Scenario struct {
	Role Role `json:"role"`
	// Pools, HostsPerPool, ServicesPerPool and Teams are the size of the
	// settings tree; one of the pools is the spare pool.
	Pools           int `json:"pools"`
	HostsPerPool    int `json:"hosts_per_pool"`
	ServicesPerPool int `json:"services_per_pool"`
	Teams           int `json:"teams"`
	// Owners are the other control processes. They own the shards for the role
	// Entry, and none or few for the role Owner.
	Owners int `json:"owners"`
	// Entries are the entries that exchange with the owners.
	Entries int `json:"entries"`
	// Members are control processes that only send heartbeats and, for the
	// role Idle, own the shards.
	Members int `json:"members"`
	// Registered are entries that only have their row.
	Registered int `json:"registered"`
	// Listed are hosts that are on the host list and in no pool.
	Listed int `json:"listed"`
	// Changes is the number of changes of settings within the window.
	Changes int `json:"changes"`
}

// validate refuses scenarios that cannot stand.
func (s *Scenario) validate() error {
	switch s.Role {
	case Entry:
		if s.Owners == 0 {
			return errors.New("role entry needs owners")
		}
	case Idle:
		if s.Members == 0 {
			return errors.New("role idle needs members")
		}
	case Owner:
	default:
		return errors.Errorf("unknown role %q", s.Role)
	}
	if s.Pools == 0 || s.HostsPerPool == 0 {
		return errors.New("pools and hosts must be above 0")
	}
	return nil
}

// Sample is what the measured process spent in one scenario. Rates are per
// second.
type Sample struct {
	Scenario Scenario `json:"scenario"`
	// Window is the length of the measurement in seconds.
	Window float64 `json:"window_s"`
	// CorePercent is the processor time in hundredths of a core.
	CorePercent float64 `json:"core_percent"`
	// MemoryMB is the resident memory at the end in MiB.
	MemoryMB float64 `json:"memory_mb"`
	// KBps are the bytes read and written, without the heads of packets.
	KBps float64 `json:"kb_per_s"`
	// PeerKBps is the part of KBps that did not go to the platform.
	PeerKBps float64 `json:"peer_kb_per_s"`
	// Load is what the process asked of the platform.
	Load Load `json:"load"`
}

// value returns one quantity of a sample.
func (s *Sample) value(q Quantity) float64 {
	switch q {
	case Core:
		return s.CorePercent
	case Memory:
		return s.MemoryMB
	case Bytes:
		return s.KBps
	case Peers:
		return s.PeerKBps
	case Commits:
		return s.Load.Commits
	case Reads:
		return s.Load.reads()
	}
	return s.Load.Rows
}

// Quantity is a measured quantity with its unit.
type Quantity string

const (
	// Core is processor time.
	Core Quantity = "% of a core"
	// Memory is resident memory.
	Memory Quantity = "MiB"
	// Bytes are all bytes in both directions.
	Bytes Quantity = "KB/s"
	// Peers are the bytes to and from other egretpitch processes.
	Peers Quantity = "KB/s to peers"
	// Commits are transactions of the table service.
	Commits Quantity = "commits/s"
	// Reads are reads and scans of the table service, and reads of the object
	// store and of the host list.
	Reads Quantity = "reads/s"
	// Rows are the rows that scans and reads brought.
	Rows Quantity = "rows read/s"
)

// quantities are those that are fitted, in the order of the report.
var quantities = []Quantity{Core, Memory, Bytes, Peers, Commits, Reads, Rows}

// warmUpTime is how long a scenario runs before its window begins.
const warmUpTime = 4 * time.Second
