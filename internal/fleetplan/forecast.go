package fleetplan

import (
	"math"
	"slices"
	"time"
)

const (
	// leadTime is how long before an expected surge its hosts should have
	// arrived.
	leadTime = 400 * time.Millisecond
	// overdueAfter is how long after its expected start a surge is still waited
	// for before it counts as missed.
	overdueAfter = 1200 * time.Millisecond
	// maxIntervalDeviation is the share by which the latest interval between
	// surges may deviate from the median if the intervals are to count as
	// regular.
	maxIntervalDeviation = 0.35
	// maxMissed is the number of expected surges in a row that may be missed;
	// after that none is forecast until the next surge starts.
	maxMissed = 2
	// maxSurgeHistory bounds the number of surges kept.
	maxSurgeHistory = 12
)

// Surge is a surge of a pool's demand.
type Surge struct {
	Pool string
	// At is when its start was detected.
	At time.Duration
	// Workers is how many workers it needed: the mean over the samples taken
	// while it lasted.
	Workers int
	// sizeSum and sizeSamples are the sum and number of the samples.
	sizeSum, sizeSamples int
}

// forecast predicts the time and pool of the next surge from the history of
// surges. Pools surge in turn: the time of the next surge is predicted from the
// second surge on, and its pool once each pool has surged.
type forecast struct {
	surges []Surge
	missed int
}

// recordStart adds the start of a surge to the history.
func (f *forecast) recordStart(pool string, at time.Duration) {
	f.surges = append(f.surges, Surge{Pool: pool, At: at})
	if len(f.surges) > maxSurgeHistory {
		f.surges = f.surges[1:]
	}
	f.missed = 0
}

// recordSize adds a sample of the number of workers that the pool's last surge
// needs.
func (f *forecast) recordSize(pool string, size int) {
	for i := len(f.surges) - 1; i >= 0; i-- {
		if s := &f.surges[i]; s.Pool == pool {
			s.sizeSum += size
			s.sizeSamples++
			s.Workers = (s.sizeSum + s.sizeSamples - 1) / s.sizeSamples
			return
		}
	}
}

// lastSurge returns the last surge of a pool.
func (f *forecast) lastSurge(pool string) (Surge, bool) {
	for i := len(f.surges) - 1; i >= 0; i-- {
		if f.surges[i].Pool == pool {
			return f.surges[i], true
		}
	}
	return Surge{}, false
}

// interval returns the median time between the starts of consecutive surges, 0
// if there are fewer than two surges or the intervals are not regular.
func (f *forecast) interval() time.Duration {
	var intervals []time.Duration
	for i := 1; i < len(f.surges); i++ {
		intervals = append(intervals, f.surges[i].At-f.surges[i-1].At)
	}
	if len(intervals) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(intervals))
	median := sorted[len(sorted)/2]
	latest := intervals[len(intervals)-1]
	if float64((latest - median).Abs()) > maxIntervalDeviation*float64(median) {
		return 0
	}
	return median
}

// expectedSizes returns the pools that may surge soon and the number of workers
// that each of them should have by then. migration is how long the move of a
// host takes. It returns nil while no surge is due.
func (f *forecast) expectedSizes(pools []string, now, migration time.Duration) map[string]int {
	interval := f.interval()
	if interval < minSurgeInterval || f.missed >= maxMissed {
		return nil
	}
	next := f.surges[len(f.surges)-1].At + interval*time.Duration(f.missed+1)
	if now > next+overdueAfter {
		f.missed++
		return nil
	}
	if now < next-migration-leadTime {
		return nil
	}
	candidates := f.candidates(pools)
	sizes := make(map[string]int, len(candidates))
	for _, pool := range candidates {
		if s, ok := f.lastSurge(pool); ok {
			sizes[pool] = s.Workers
			continue
		}
		sizes[pool] = int(math.Ceil(f.meanSize() / float64(len(candidates))))
	}
	return sizes
}

// candidates returns the pools that have not surged yet or, if all have, the
// one whose last surge is the longest ago.
func (f *forecast) candidates(pools []string) []string {
	var withoutSurge []string
	oldest, oldestAt := "", time.Duration(math.MaxInt64)
	for _, pool := range pools {
		s, ok := f.lastSurge(pool)
		if !ok {
			withoutSurge = append(withoutSurge, pool)
		} else if s.At < oldestAt {
			oldest, oldestAt = pool, s.At
		}
	}
	if len(withoutSurge) > 0 {
		return withoutSurge
	}
	return []string{oldest}
}

// typicalSize returns the number of workers that a surge of a pool usually needs: that
// of its last surge that began before a time, else the mean over other pools. It is 0
// while no surge was recorded.
func (f *forecast) typicalSize(pool string, before time.Duration) int {
	sum, count := 0, 0
	for i := len(f.surges) - 1; i >= 0; i-- {
		s := &f.surges[i]
		if s.At >= before || s.Workers == 0 {
			continue
		}
		if s.Pool == pool {
			return s.Workers
		}
		sum += s.Workers
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// meanSize returns the mean number of workers over all recorded surges.
func (f *forecast) meanSize() float64 {
	sum := 0
	for _, s := range f.surges {
		sum += s.Workers
	}
	return float64(sum) / float64(max(len(f.surges), 1))
}
