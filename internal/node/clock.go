package node

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Clock is a monotonic clock that includes the time during which the host was
// suspended. It also estimates the table service's clock. The zero value is
// ready to use and safe for concurrent use.
type Clock struct {
	mu sync.Mutex
	// earliest and latest are a lower and an upper estimate of the store's clock
	// minus this clock.
	earliest, latest storeOffset
}

// storeOffset is an estimate of the store's clock minus this clock.
type storeOffset struct {
	known        bool
	offset, asOf time.Duration
}

// drift returns how far the estimate may be off at a later time.
func (o *storeOffset) drift(at time.Duration) time.Duration {
	return time.Duration(float64(max(0, at-o.asOf)) * clockRateError)
}

// Now returns the time since the host started.
func (c *Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

const (
	// driftAllowance is how much every answer widens the estimates of the store's
	// clock, so that they follow one that runs at another rate than this clock.
	driftAllowance = 50 * time.Microsecond
	// clockRateError is the largest difference of the rates of two steady clocks.
	clockRateError = 200e-6
)

// ObserveStore updates the lower estimate of the store's clock from the stamp of an
// answer that was received at the given time. The store read its clock before the
// answer arrived, so the estimate is never ahead of the store, and the answer with
// the shortest delay gives the best estimate.
func (c *Clock) ObserveStore(s platform.Stamp, received time.Duration) {
	if s.NowMS <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &c.earliest
	offset := time.Duration(s.NowMS)*time.Millisecond - received
	if e.known {
		offset = max(offset, e.offset-e.drift(received)-driftAllowance)
	}
	*e = storeOffset{known: true, offset: offset, asOf: max(e.asOf, received)}
}

// ObserveStoreSent is ObserveStore for an answer to a call that was sent at the
// given time. The store read its clock after that, so the upper estimate follows
// as well.
func (c *Clock) ObserveStoreSent(s platform.Stamp, sent, received time.Duration) {
	c.ObserveStore(s, received)
	if s.NowMS <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.latest
	offset := time.Duration(s.NowMS+1)*time.Millisecond - sent
	if l.known {
		offset = min(offset, l.offset+l.drift(received)+driftAllowance)
	}
	*l = storeOffset{known: true, offset: offset, asOf: max(l.asOf, received)}
}

// LatestStoreMS returns an upper estimate of the store's clock at the given time,
// in whole milliseconds, or 0 if there is none yet.
func (c *Clock) LatestStoreMS(at time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.latest.known {
		return 0
	}
	return (at + c.latest.offset + c.latest.drift(at)).Milliseconds() + 1
}

// LatestAt returns the latest time at which the store's clock can have shown a
// number of milliseconds. It reports false if the store's clock is not known yet.
func (c *Clock) LatestAt(ms int64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Duration(ms)*time.Millisecond - c.earliest.offset
	return at + c.earliest.drift(at), c.earliest.known
}

// StoreMS returns a lower estimate of the store's clock at now, in
// milliseconds, or 0 if no answer has carried it yet.
func (c *Clock) StoreMS(now time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.earliest.known {
		return 0
	}
	return (now + c.earliest.offset).Milliseconds()
}

// FromStoreMS converts a time of the store's clock, in milliseconds, to this
// clock. The result is never after now; it is now if ms is 0 or the store's
// clock is not known yet.
func (c *Clock) FromStoreMS(ms int64, now time.Duration) time.Duration {
	at, known := c.LatestAt(ms)
	if !known || ms == 0 {
		return now
	}
	return min(now, at)
}
