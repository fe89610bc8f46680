// Package permit decides when an entry may route to the hosts of a pool, and
// when a host may leave a pool without any entry still routing to it.
//
// A host leaves a pool only after every registered entry has acknowledged an
// assignment without it, has deregistered, or is gone with its host (Drain).
// An entry that is cut off may therefore go on routing for any length of time,
// since no host that it holds is moved. Only an entry that took no step for
// longer than MaxPause may have been given up meanwhile, so it drops
// everything and starts again at its registration (Registration, Permit).
package permit

import (
	"cmp"
	"time"
)

const (
	// MaxPause is how long an entry may go without a tick before it drops
	// its right to route.
	MaxPause = 30 * time.Second
	// relistingDelay is how long a host that runs again may take to come back to
	// the platform's list.
	relistingDelay = 90 * time.Second
	// MaxAbsence is how long an entry's host must have been gone before a move
	// does without the entry.
	MaxAbsence = MaxPause + relistingDelay
)

// AssignmentVersion orders the assignments of a pool. An assignment with a mark lacks every
// host that the pool's owner had committed to drain under a mark not above it.
//
// Version is a version of the table, never above what the assignment reflects:
// for an assignment read from the table the highest version among all host
// rows of one scan, with the epoch of a shard row read before that scan.
type AssignmentVersion struct {
	// Epoch is the epoch of the pool's shard.
	Epoch uint64
	// Version is the table's version.
	Version uint64
}

// Compare returns -1, 0 or 1 as m is before, equal to or after o.
func (v AssignmentVersion) Compare(o AssignmentVersion) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Version, o.Version))
}
