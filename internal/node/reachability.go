package node

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// unreachableAfter is how long every call to the table service has to fail before
	// the service counts as away: longer than a lost answer and its next try.
	unreachableAfter = 600 * time.Millisecond
	// unreadyAfter is how long the service has to be away before the balancer is
	// told to choose other processes: it asks once a second.
	unreadyAfter = time.Second
)

// reachability tells whether this process reaches the table service. Others may reachability
// it while this one does not, so a caller that is told at once finds one of
// them with its next try.
type reachability struct {
	// failingSince is the Unix time in nanoseconds of the first failure since
	// the last success, 0 for none.
	failingSince atomic.Int64
}

// observe takes in the outcome of a call.
func (r *reachability) observe(err error) {
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrHistoryGone):
		r.failingSince.Store(0)
	default:
		r.failingSince.CompareAndSwap(0, time.Now().UnixNano())
	}
}

// failingFor is how long every call has failed, 0 if the last one did not.
func (r *reachability) failingFor() time.Duration {
	since := r.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

// unreachable reports whether the service is known not to be reached.
func (r *reachability) unreachable() bool { return r.failingFor() > unreachableAfter }
