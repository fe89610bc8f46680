package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// The clocks of both hosts are off by hours, and calls take up to a second each way.
func TestTimePassedOnByTheStoresClockIsNeverTakenForEarlierThanItWas(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	delay := func() time.Duration { return time.Duration(random.IntN(1000)) * time.Millisecond }
	for range 1000 {
		ahead, behind := time.Duration(random.IntN(1e13)), time.Duration(random.IntN(1e13)) // of the store's clock
		var writer, reader Clock
		store := time.Hour * 24
		for range 1 + random.IntN(20) {
			sent := store
			store += delay()
			stamp := platform.Stamp{NowMS: store.Milliseconds()}
			store += delay()
			writer.ObserveStoreSent(stamp, sent+ahead, store+ahead)
			reader.ObserveStore(stamp, store+behind)
		}
		at := store + delay()
		got := reader.LatestAt(writer.LatestStoreMS(at + ahead))
		if want := at + behind; got < want || got > want+2500*time.Millisecond {
			t.Fatalf("a time is taken for one %v later, want 0 to 2.5 s", got-want)
		}
	}
}

func TestTimeIsUnknownWithoutTheStoresClock(t *testing.T) {
	var c Clock
	if got := c.LatestStoreMS(time.Hour); got != 0 {
		t.Errorf("the store's clock is taken to show %d ms, want 0", got)
	}
	if got := c.LatestAt(5); got != 0 {
		t.Errorf("the time is taken to be %v, want 0", got)
	}
}
