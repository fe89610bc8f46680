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
	// failures are the calls without a response, or that the service could not carry out.
	failures
	// limited are the calls to which the service responded that there are too many.
	// They show that it is reachable.
	limited failures
}

// failures tracks the calls of one kind that failed since the last one that
// did not.
type failures struct {
	// failingSince is the Unix time in nanoseconds of the first of them, 0 for none.
	failingSince atomic.Int64
	// lastFailure is the Unix time in nanoseconds of the last failure.
	lastFailure atomic.Int64
}

// observe records the outcome of a call. A conflict or a missing history is an
// answer of the service and counts as a success.
func (r *reachability) observe(err error) {
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrHistoryGone):
		r.failures.end()
		r.limited.end()
	case errors.Is(err, platform.ErrLimited):
		r.failures.end()
		r.limited.add()
	default:
		r.failures.add()
	}
}

// refusing reports whether the service has carried out no call of this process for
// longer than unreadyAfter.
func (r *reachability) refusing() bool {
	return r.failingFor() >= unreadyAfter || r.limited.failingFor() >= unreadyAfter
}

// add records a failure.
func (f *failures) add() {
	now := time.Now()
	if f.outdated(now) {
		f.end()
	}
	f.failingSince.CompareAndSwap(0, now.UnixNano())
	f.lastFailure.Store(now.UnixNano())
}

// end records a call that did not fail.
func (f *failures) end() { f.failingSince.Store(0) }

// outdated reports whether the last failure was more than failureGap ago.
func (f *failures) outdated(now time.Time) bool {
	last := f.lastFailure.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) > failureGap
}

// failingFor returns how long calls have failed, 0 if the last one did not.
func (f *failures) failingFor() time.Duration {
	since, now := f.failingSince.Load(), time.Now()
	if since == 0 || f.outdated(now) {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// unreachable reports whether every call has failed for longer than
// unreachableAfter, none of them for the number of calls.
func (r *reachability) unreachable() bool { return r.failingFor() > unreachableAfter }
