package limit

import "math"

// StabilizeDemand returns the demand for Divide: each holder's share of the
// reported demand (0..1), kept at its previous value while it changes by no
// more than rules.Hysteresis times that value. previous is the last result,
// nil at first. Reported demand fluctuates; grants that followed each
// fluctuation would be replaced before they are acknowledged.
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
		// The band is at least that of an equal share: otherwise a share near
		// zero would change with each request.
		old, known := previousShares[d.Holder]
		if known && math.Abs(share-old) <= rules.Hysteresis*max(old, equal) {
			share = old
		}
		stabilized[i] = Demand{Holder: d.Holder, Busy: share}
	}
	return stabilized
}
