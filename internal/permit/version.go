package permit

import (
	"cmp"
	"time"
)

const (
	// MaxPause is how long an entry may go without a tick before it loses its
	// permits.
	MaxPause = 30 * time.Second
	// relistingDelay is how long a host that runs again may take to return to
	// the platform's list.
	relistingDelay = 90 * time.Second
	// MaxAbsence is how long an entry's host must have been missing from the
	// list before a move no longer waits for the entry. An entry whose host is
	// missing for longer has ended, or was paused for longer than MaxPause and
	// so loses its permits.
	MaxAbsence = MaxPause + relistingDelay
)

// AssignmentVersion orders the assignments of a pool. An assignment lacks every
// host that the pool's owner had committed as draining at its version or a lower
// one.
//
// Version is a version of the table, never above the one that the assignment
// reflects. For an assignment read from the table it is the highest version of
// all host rows of one scan, and Epoch is that of a shard row read before the
// scan.
type AssignmentVersion struct {
	// Epoch is the epoch of the pool's shard.
	Epoch uint64
	// Version is the table's version.
	Version uint64
}

// Compare returns -1 if v is before o, 0 if they are equal, and 1 if v is after.
func (v AssignmentVersion) Compare(o AssignmentVersion) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Version, o.Version))
}
