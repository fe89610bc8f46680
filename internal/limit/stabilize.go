package limit

import "math"

// StabilizeDemand returns the demand to divide by: each holder's share of the demand,
// kept at its previous value while it changes by no more than rules.Keep of
// what it was. previous is the result of the last round, nil at first. What
// entries report jitters; grants that followed each jitter would never be
// acknowledged in time.
func StabilizeDemand(previous, reported []Demand, rules Rules) []Demand {
	total := 0.0
	for _, d := range reported {
		total += d.Busy
	}
	previousShares := make(map[Holder]float64, len(previous))
	for _, d := range previous {
		previousShares[d.Holder] = d.Busy
	}
	equal := 1 / float64(max(len(reported), 1))
	stabilized := make([]Demand, len(reported))
	for i, d := range reported {
		share := equal
		if total > 0 {
			share = d.Busy / total
		}
		// A share near zero would move at each request: the band is that of
		// an equal share at least.
		old, known := previousShares[d.Holder]
		if known && math.Abs(share-old) <= rules.Hysteresis*max(old, equal) {
			share = old
		}
		stabilized[i] = Demand{Holder: d.Holder, Busy: share}
	}
	return stabilized
}
