package fleetplan

import (
	"math"
	"slices"
	"time"
)

const (
	// leadTime is how long before an expected surge hosts are moved, beyond the
	// time of the move.
	leadTime = 400 * time.Millisecond
	// overdueAfter is how long after its expected begin a surge is waited for.
	overdueAfter = 1200 * time.Millisecond
	// maxIntervalDeviation is the share by which the times between surges may differ and
	// still make a rhythm.
	maxIntervalDeviation = 0.35
	// maxMissed is how many expected surges may fail to come before nothing is
	// expected any more until one comes by itself.
	maxMissed = 2
	// maxSurgeHistory bounds the history.
	maxSurgeHistory = 12
)

// Surge is a surge of a pool's demand.
type Surge struct {
	Pool string
	// At is when it was noticed.
	At time.Duration
	// Workers is how many workers it needed: the mean while it lasted.
	Workers int
	// sizeSum and sizeSamples make up the mean.
	sizeSum, sizeSamples int
}

// forecast is the history of surges. Queues surge in turn, so the time of the
// next surge is known after two, and its pool after each has had its turn.
type forecast struct {
	surges []Surge
	missed int
	// awaited is the surge that is expected, zero for none.
	awaited time.Duration
}

// recordStart notes a surge.
func (r *forecast) recordStart(pool string, at time.Duration) {
	r.surges = append(r.surges, Surge{Pool: pool, At: at})
	if len(r.surges) > maxSurgeHistory {
		r.surges = r.surges[1:]
	}
	r.missed = 0
	r.awaited = 0
}

// recordSize notes the size that the last surge of a pool needs now.
func (r *forecast) recordSize(pool string, size int) {
	for i := len(r.surges) - 1; i >= 0; i-- {
		if s := &r.surges[i]; s.Pool == pool {
			s.sizeSum += size
			s.sizeSamples++
			s.Workers = (s.sizeSum + s.sizeSamples - 1) / s.sizeSamples
			return
		}
	}
}

// lastSurge returns the last surge of a pool.
func (r *forecast) lastSurge(pool string) (Surge, bool) {
	for i := len(r.surges) - 1; i >= 0; i-- {
		if r.surges[i].Pool == pool {
			return r.surges[i], true
		}
	}
	return Surge{}, false
}

// interval is the time from one surge to the next, 0 if there is no rhythm.
func (r *forecast) interval() time.Duration {
	var intervals []time.Duration
	for i := 1; i < len(r.surges); i++ {
		intervals = append(intervals, r.surges[i].At-r.surges[i-1].At)
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

// expectedSizes returns the pools that may surge about now, given how long a move
// takes, and the size that each of them should have for it.
func (r *forecast) expectedSizes(pools []string, now, migration time.Duration) map[string]int {
	interval := r.interval()
	if interval < minSurgeInterval || r.missed >= maxMissed {
		return nil
	}
	next := r.surges[len(r.surges)-1].At + interval*time.Duration(r.missed+1)
	if now > next+overdueAfter {
		r.missed++
		return nil
	}
	if now < next-migration-leadTime {
		return nil
	}
	candidates := r.candidates(pools)
	sizes := make(map[string]int, len(candidates))
	for _, pool := range candidates {
		if s, ok := r.lastSurge(pool); ok {
			sizes[pool] = s.Workers
			continue
		}
		sizes[pool] = int(math.Ceil(r.meanSize() / float64(len(candidates))))
	}
	return sizes
}

// candidates are the pools that have not surged yet, or else the one whose
// surge is longest ago.
func (r *forecast) candidates(pools []string) []string {
	var withoutSurge []string
	oldest, oldestAt := "", time.Duration(math.MaxInt64)
	for _, pool := range pools {
		s, ok := r.lastSurge(pool)
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

// meanSize is the mean size of the surges.
func (r *forecast) meanSize() float64 {
	sum := 0
	for _, s := range r.surges {
		sum += s.Workers
	}
	return float64(sum) / float64(max(len(r.surges), 1))
}
