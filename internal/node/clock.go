package node

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Clock is a steady clock that also counts the time during which the host was
// suspended, and an estimate of the table service's clock.
type Clock struct {
	// storeOffset is the store's clock less ours, in nanoseconds, plus one; 0
	// until an answer told it.
	storeOffset atomic.Int64
}

// Now returns the time since the host started.
func (c *Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// driftAllowance is how much the estimate of the store's clock is lowered with
// every answer, so that it follows a store whose clock is slow against ours.
const driftAllowance = 50 * time.Microsecond

// ObserveStore takes in the clock of an answer that was received at a time. The
// store's clock was read before, so the estimate is never ahead of it, and the
// answer that was fastest on its way tells it best.
func (c *Clock) ObserveStore(s platform.Stamp, received time.Duration) {
	if s.NowMS <= 0 {
		return
	}
	told := int64(time.Duration(s.NowMS)*time.Millisecond-received) + 1
	for {
		old := c.storeOffset.Load()
		offset := told
		if old != 0 {
			offset = max(told, old-int64(driftAllowance))
		}
		if c.storeOffset.CompareAndSwap(old, offset) {
			return
		}
	}
}

// StoreMS estimates the store's clock from below, 0 if it is not known.
func (c *Clock) StoreMS(now time.Duration) int64 {
	o := c.storeOffset.Load()
	if o == 0 {
		return 0
	}
	return (now + time.Duration(o-1)).Milliseconds()
}

// FromStoreMS converts a time of the store's clock to ours.
func (c *Clock) FromStoreMS(ms int64, now time.Duration) time.Duration {
	o := c.storeOffset.Load()
	if o == 0 || ms == 0 {
		return now
	}
	return min(now, time.Duration(ms)*time.Millisecond-time.Duration(o-1))
}
