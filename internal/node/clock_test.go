package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// The clocks of both hosts are off by hours and run at other rates than the store's,
// calls take up to a second each way, and hours may pass between two of them.
func TestTimePassedOnByTheStoresClockIsNeverTakenForEarlierThanItWas(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	delay := func() time.Duration { return time.Duration(random.IntN(1000)) * time.Millisecond }
	hostClock := func() func(store time.Duration) time.Duration {
		ahead, rate := time.Duration(random.IntN(1e13)), 1+(random.Float64()-0.5)*1.9*clockRateError
		return func(store time.Duration) time.Duration { return ahead + time.Duration(rate*float64(store)) }
	}
	for range 1000 {
		writerTime, readerTime := hostClock(), hostClock()
		var writer, reader Clock
		store := time.Hour * 24
		for range 1 + random.IntN(20) {
			if random.IntN(5) == 0 {
				store += time.Duration(random.IntN(3600)) * time.Second
			}
			sent := store
			store += delay()
			stamp := platform.Stamp{NowMS: store.Milliseconds()}
			store += delay()
			writer.ObserveStoreSent(stamp, writerTime(sent), writerTime(store))
			reader.ObserveStore(stamp, readerTime(store))
		}
		at := store + delay()
		got, known := reader.LatestAt(writer.LatestStoreMS(writerTime(at)))
		if want := readerTime(at); !known || got < want || got > want+4*time.Second {
			t.Fatalf("a time is taken for one %v later, known %t; want 0 to 4 s", got-want, known)
		}
	}
}

func TestTimeIsUnknownWithoutTheStoresClock(t *testing.T) {
	var c Clock
	if got := c.LatestStoreMS(time.Hour); got != 0 {
		t.Errorf("the store's clock is taken to show %d ms, want 0", got)
	}
	if got, known := c.LatestAt(5); known {
		t.Errorf("the time is taken to be %v, want unknown", got)
	}
}
