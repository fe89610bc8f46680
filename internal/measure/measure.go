// Package measure measures the resource usage of one entry or control process
// at several sizes of its surroundings and fits a line through the samples.
//
// The measured process is the real program. It runs as a separate process,
// while the stand-in platform and its peers run inside the measuring process.
// Processor time and bytes are the kernel's counters of the measured process,
// so they don't include the load of the peers and of other processes.
package measure

import (
	"time"

	"github.com/pkg/errors"
)

// Role is the role of the measured process.
type Role string

const (
	// Entry is an entry that serves every pool.
	Entry Role = "entry"
	// Owner is a control process that owns the shards.
	Owner Role = "owner"
	// Idle is a control process that owns no shards.
	Idle Role = "idle"
)

// Scenario is the role of the measured process and the size of its
// surroundings.
type Scenario struct {
	Role Role `json:"role"`
	// Pools, HostsPerPool, ServicesPerPool and Teams are the size of the
	// settings tree. One of the pools is the spare pool.
	Pools           int `json:"pools"`
	HostsPerPool    int `json:"hosts_per_pool"`
	ServicesPerPool int `json:"services_per_pool"`
	Teams           int `json:"teams"`
	// Owners is the number of other complete control processes. They own the
	// shards for the role Entry, and no or few shards for the role Owner.
	Owners int `json:"owners"`
	// Entries is the number of other entries that exchange messages with the
	// owners.
	Entries int `json:"entries"`
	// Members is the number of control processes that only send heartbeats and
	// keep the shards that they own. For the role Idle they own all shards.
	Members int `json:"members"`
	// Registered is the number of entries that exist only as a row.
	Registered int `json:"registered"`
	// Listed is the number of hosts that are on the host list and in no pool.
	Listed int `json:"listed"`
	// Changes is the number of settings changes within the window.
	Changes int `json:"changes"`
}

// validate returns an error for a scenario that cannot be started.
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

// Sample is the resource usage of the measured process in one scenario.
type Sample struct {
	Scenario Scenario `json:"scenario"`
	// Window is the length of the measurement in seconds.
	Window float64 `json:"window_s"`
	// CorePercent is the processor time in percent of one core.
	CorePercent float64 `json:"core_percent"`
	// MemoryMB is the resident memory at the end of the window in MiB.
	MemoryMB float64 `json:"memory_mb"`
	// KBps is the number of kilobytes (1000 bytes) read and written per
	// second, without packet headers.
	KBps float64 `json:"kb_per_s"`
	// PeerKBps is the part of KBps that is not traffic with the platform.
	PeerKBps float64 `json:"peer_kb_per_s"`
	// Load is the rate of the process's calls to the platform.
	Load Load `json:"load"`
}

// value returns the value of a quantity in the sample.
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
	// Bytes is the rate of all bytes in both directions.
	Bytes Quantity = "KB/s"
	// Peers is the rate of the bytes to and from other egretpitch processes.
	Peers Quantity = "KB/s to peers"
	// Commits is the rate of transactions of the table service.
	Commits Quantity = "commits/s"
	// Reads is the rate of reads and scans of the table service, calls of the
	// object store and reads of the host list.
	Reads Quantity = "reads/s"
	// Rows is the rate of rows returned by reads and scans.
	Rows Quantity = "rows read/s"
)

// quantities lists the quantities of the report in its order. A line is fitted
// through the samples of each.
var quantities = []Quantity{Core, Memory, Bytes, Peers, Commits, Reads, Rows}

// warmUpTime is the time for which a scenario runs before its window begins.
const warmUpTime = 4 * time.Second
