package fleetplan

import (
	"math"
	"slices"
	"time"
)

const (
	// lead is how long before an expected surge hosts are moved, beyond the
	// time of the move.
	lead = 400 * time.Millisecond
	// overdue is how long after its expected begin a surge is waited for.
	overdue = 1200 * time.Millisecond
	// gapError is the share by which the times between surges may differ and
	// still make a rhythm.
	gapError = 0.35
	// maxMisses is how many expected surges may fail to come before nothing is
	// expected any more until one comes by itself.
	maxMisses = 2
	// keptSurges bounds the history.
	keptSurges = 12
)

// Surge is a surge of a pool's demand.
type Surge struct {
	Pool string
	// At is when it was noticed.
	At time.Duration
	// Workers is how many workers it needed: the mean while it lasted.
	Workers int
	// sum and count make up the mean.
	sum, count int
}

// rhythm is the history of surges. Queues surge in turn, so the time of the
// next surge is known after two, and its pool after each has had its turn.
type rhythm struct {
	surges []Surge
	misses int
	// awaited is the surge that is expected, zero for none.
	awaited time.Duration
}

// begin notes a surge.
func (r *rhythm) begin(pool string, at time.Duration) {
	r.surges = append(r.surges, Surge{Pool: pool, At: at})
	if len(r.surges) > keptSurges {
		r.surges = r.surges[1:]
	}
	r.misses = 0
	r.awaited = 0
}

// measure notes the size that the last surge of a pool needs now.
func (r *rhythm) measure(pool string, size int) {
	for i := len(r.surges) - 1; i >= 0; i-- {
		if s := &r.surges[i]; s.Pool == pool {
			s.sum += size
			s.count++
			s.Workers = (s.sum + s.count - 1) / s.count
			return
		}
	}
}

// last returns the last surge of a pool.
func (r *rhythm) last(pool string) (Surge, bool) {
	for i := len(r.surges) - 1; i >= 0; i-- {
		if r.surges[i].Pool == pool {
			return r.surges[i], true
		}
	}
	return Surge{}, false
}

// gap is the time from one surge to the next, 0 if there is no rhythm.
func (r *rhythm) gap() time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(r.surges); i++ {
		gaps = append(gaps, r.surges[i].At-r.surges[i-1].At)
	}
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(gaps))
	median := sorted[len(sorted)/2]
	latest := gaps[len(gaps)-1]
	if float64((latest - median).Abs()) > gapError*float64(median) {
		return 0
	}
	return median
}

// expect returns the pools that may surge about now, given how long a move
// takes, and the size that each of them should have for it.
func (r *rhythm) expect(pools []string, now, migration time.Duration) map[string]int {
	gap := r.gap()
	if gap < surgeGap || r.misses >= maxMisses {
		return nil
	}
	next := r.surges[len(r.surges)-1].At + gap*time.Duration(r.misses+1)
	if now > next+overdue {
		r.misses++
		return nil
	}
	if now < next-migration-lead {
		return nil
	}
	candidates := r.candidates(pools)
	sizes := make(map[string]int, len(candidates))
	for _, pool := range candidates {
		if s, ok := r.last(pool); ok {
			sizes[pool] = s.Workers
			continue
		}
		sizes[pool] = int(math.Ceil(r.meanPeak() / float64(len(candidates))))
	}
	return sizes
}

// candidates are the pools that have not surged yet, or else the one whose
// surge is longest ago.
func (r *rhythm) candidates(pools []string) []string {
	var fresh []string
	oldest, oldestAt := "", time.Duration(math.MaxInt64)
	for _, pool := range pools {
		s, ok := r.last(pool)
		if !ok {
			fresh = append(fresh, pool)
		} else if s.At < oldestAt {
			oldest, oldestAt = pool, s.At
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return []string{oldest}
}

// meanPeak is the mean size of the surges.
func (r *rhythm) meanPeak() float64 {
	sum := 0
	for _, s := range r.surges {
		sum += s.Workers
	}
	return float64(sum) / float64(max(len(r.surges), 1))
}
