package node

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// unreachableAfter is how long every call to the table service must fail
	// before the service counts as unreachable: longer than a lost answer and
	// its retry.
	unreachableAfter = 600 * time.Millisecond
	// failureGap is the time without an outcome of a call after which this process
	// was paused, and earlier failures count no more. A call of a feed fails within
	// 3.1 s: the timeout of one page and the delay of the retry.
	failureGap = 3500 * time.Millisecond
	// unreadyAfter is how long every call must fail before the readiness check,
	// which the balancer makes once a second, reports the process as not ready.
	unreadyAfter = time.Second
)

// reachability tracks whether this process can reach the table service. Other
// processes may reach it while this one cannot, so a caller that is refused at
// once can retry at another process. The zero value means reachable.
type reachability struct {
	// failingSince is the Unix time in nanoseconds of the first failure since
	// the last success, 0 if the last call succeeded.
	failingSince atomic.Int64
	// lastFailure is the Unix time in nanoseconds of the last failure.
	lastFailure atomic.Int64
}

// observe records the outcome of a call. A conflict or a missing history is an
// answer of the service and counts as a success.
func (r *reachability) observe(err error) {
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrHistoryGone):
		r.failingSince.Store(0)
	default:
		now := time.Now()
		if r.outdated(now) {
			r.failingSince.Store(0)
		}
		r.failingSince.CompareAndSwap(0, now.UnixNano())
		r.lastFailure.Store(now.UnixNano())
	}
}

// outdated reports whether the last failure was more than failureGap ago.
func (r *reachability) outdated(now time.Time) bool {
	last := r.lastFailure.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) > failureGap
}

// failingFor returns how long every call has failed, 0 if the last one
// succeeded.
func (r *reachability) failingFor() time.Duration {
	since, now := r.failingSince.Load(), time.Now()
	if since == 0 || r.outdated(now) {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// unreachable reports whether every call has failed for longer than
// unreachableAfter.
func (r *reachability) unreachable() bool { return r.failingFor() > unreachableAfter }
