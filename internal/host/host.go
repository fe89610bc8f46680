// Package host defines the hosts of the estate: their resources and place, and
// the stored record of the pool and the phase that each is in.
package host

import "github.com/egretpitch/egretpitch/internal/datacentre"

// Host is a host as the platform's host list describes it.
type Host struct {
	// Name is unique within the estate.
	Name string `json:"name"`
	// Address is the IP address and port of its upstream server.
	Address string `json:"address"`
	datacentre.Place
	// Processors is the number of cores.
	Processors int `json:"processors"`
	// MemoryMB is the memory in mebibytes.
	MemoryMB int `json:"memory_mb"`
	// Accelerators is the number of accelerators.
	Accelerators int `json:"accelerators,omitempty"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts from all entries
	// together.
	Connections int `json:"connections"`
}

// Phase is the state of a host within its pool.
type Phase string

const (
	// Serving hosts receive new work.
	Serving Phase = "serving"
	// Draining hosts finish their current work and receive no new work.
	Draining Phase = "draining"
	// Stopped hosts are drained, and are in maintenance, rebooting or being
	// replaced.
	Stopped Phase = "stopped"
	// Lost hosts are no longer on the platform's host list.
	Lost Phase = "lost"
)

// Purpose is the reason why a host is draining or stopped.
type Purpose string

const (
	// ForNothing is the purpose of a serving host.
	ForNothing Purpose = ""
	// ForMove marks a host that moves to another pool.
	ForMove Purpose = "move"
	// ForMaintenance marks a host in a maintenance wave.
	ForMaintenance Purpose = "maintenance"
	// ForLeaving marks a host that the platform lists as leaving the estate.
	ForLeaving Purpose = "leaving"
)

// Row is the record of a host in the table service, under Key(name). No other
// record assigns a host to a pool, so a host cannot belong to two pools.
type Row struct {
	Host string `json:"host"`
	// Pool is the pool that the host belongs to.
	Pool string `json:"pool"`
	// Phase is the state of the host within the pool.
	Phase Phase `json:"phase"`
	// Purpose is the reason why it is draining or stopped.
	Purpose Purpose `json:"purpose,omitempty"`
	// MoveTo is the pool that the host moves to, set with ForMove only.
	MoveTo string `json:"move_to,omitempty"`
	// Epoch is the epoch of the shard owner that last wrote the row.
	Epoch uint64 `json:"epoch"`
	// Since is the Unix time in milliseconds at which the phase began.
	Since int64 `json:"since_ms"`
	// Maintained is the Unix time in milliseconds of the last completed
	// maintenance, 0 if there was none.
	Maintained int64 `json:"maintained_ms,omitempty"`
	// RebootAsked is the Unix time in milliseconds at which the platform was
	// asked to reboot the stopped host, 0 if it was not.
	RebootAsked int64 `json:"reboot_asked_ms,omitempty"`
	// Moves counts the completed moves of the host.
	Moves int `json:"moves,omitempty"`
}

// KeyPrefix is the prefix of the table keys of all host rows.
const KeyPrefix = "host/"

// Key returns the table key of a host's row.
func Key(name string) string { return KeyPrefix + name }
