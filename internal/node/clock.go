package node

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Clock is a monotonic clock that includes the time during which the host was
// suspended. It also estimates the table service's clock. The zero value is
// ready to use and safe for concurrent use.
type Clock struct {
	// storeOffset is the store's clock minus this clock, in nanoseconds, plus
	// one. It is 0 until an answer carried the store's clock.
	storeOffset atomic.Int64
	// latestStoreOffset is an upper estimate of the same.
	latestStoreOffset atomic.Int64
}

// Now returns the time since the host started.
func (c *Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// driftAllowance is how much every answer lowers the estimate of the store's
// clock, so that the estimate follows a store whose clock runs slower than this
// one.
const driftAllowance = 50 * time.Microsecond

// ObserveStore updates the estimate from the stamp of an answer that was
// received at the given time. The store read its clock before the answer
// arrived, so the estimate is never ahead of the store, and the answer with the
// shortest delay gives the best estimate.
func (c *Clock) ObserveStore(s platform.Stamp, received time.Duration) {
	if s.NowMS <= 0 {
		return
	}
	observed := int64(time.Duration(s.NowMS)*time.Millisecond-received) + 1
	for {
		old := c.storeOffset.Load()
		offset := observed
		if old != 0 {
			offset = max(observed, old-int64(driftAllowance))
		}
		if c.storeOffset.CompareAndSwap(old, offset) {
			return
		}
	}
}

// ObserveStoreSent is ObserveStore for an answer to a call that was sent at the
// given time. The store read its clock after that, so an upper estimate follows
// as well.
func (c *Clock) ObserveStoreSent(s platform.Stamp, sent, received time.Duration) {
	c.ObserveStore(s, received)
	if s.NowMS <= 0 {
		return
	}
	observed := int64(time.Duration(s.NowMS+1)*time.Millisecond-sent) + 1
	for {
		old := c.latestStoreOffset.Load()
		offset := observed
		if old != 0 {
			offset = min(observed, old+int64(driftAllowance))
		}
		if c.latestStoreOffset.CompareAndSwap(old, offset) {
			return
		}
	}
}

// LatestStoreMS returns an upper estimate of the store's clock at the given time,
// in whole milliseconds, or 0 if there is none yet.
func (c *Clock) LatestStoreMS(at time.Duration) int64 {
	o := c.latestStoreOffset.Load()
	if o == 0 {
		return 0
	}
	return (at + time.Duration(o-1)).Milliseconds() + 1
}

// LatestAt returns the latest time at which the store's clock can have shown a
// number of milliseconds, or 0 if that is 0 or the store's clock is not known yet.
func (c *Clock) LatestAt(ms int64) time.Duration {
	o := c.storeOffset.Load()
	if o == 0 || ms == 0 {
		return 0
	}
	return time.Duration(ms)*time.Millisecond - time.Duration(o-1)
}

// StoreMS returns a lower estimate of the store's clock at now, in
// milliseconds, or 0 if no answer has carried it yet.
func (c *Clock) StoreMS(now time.Duration) int64 {
	o := c.storeOffset.Load()
	if o == 0 {
		return 0
	}
	return (now + time.Duration(o-1)).Milliseconds()
}

// FromStoreMS converts a time of the store's clock, in milliseconds, to this
// clock. The result is never after now; it is now if ms is 0 or the store's
// clock is not known yet.
func (c *Clock) FromStoreMS(ms int64, now time.Duration) time.Duration {
	if at := c.LatestAt(ms); at != 0 {
		return min(now, at)
	}
	return now
}
