package limit

import (
	"cmp"
	"slices"

	"github.com/egretpitch/egretpitch/internal/host"
)

// Holder is one incarnation of an entry. A restarted entry is another holder.
type Holder struct {
	Entry       string
	Incarnation uint64
}

// compareHolders orders holders by name, then by incarnation.
func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Demand is the load that an entry reports for a pool.
type Demand struct {
	Holder
	// Busy is the mean number of requests running and queued. In the result of
	// StabilizeDemand it is the share of the total (0..1).
	Busy float64
}

// Grant is a holder's share of a host.
type Grant struct {
	Holder
	Host string
	// Slots is the number of requests that the holder may plan to run there.
	// The slots of all holders add up to the host's slots.
	Slots int
	// Connections is the largest number of connections that the holder may
	// have open there.
	Connections int
}

// Rules are the parameters of the division.
type Rules struct {
	// SubsetSize is the number of a pool's hosts that one entry links to.
	SubsetSize int
	// EqualShare is the part of each host that is divided equally; the rest is
	// divided by demand (0..1).
	EqualShare float64
	// MaxShare is the largest share of a host's connections that one holder is
	// granted (0..1).
	MaxShare float64
	// Hysteresis is the relative change of a holder's share of the demand up
	// to which its grants don't change.
	Hysteresis float64
}

// DefaultRules returns the rules that pool owners use.
func DefaultRules() Rules {
	return Rules{SubsetSize: 32, EqualShare: 0.5, MaxShare: 0.25, Hysteresis: 0.3}
}

// Divide divides the slots and connections of the hosts among the holders that
// link to them. It leaves one holder's share of the connections of each host
// free, so that a new entry gets some before the entry that it replaces has
// ended. hosts and demand must not contain duplicates.
func Divide(hosts []host.Host, demand []Demand, rules Rules) []Grant {
	demand = slices.SortedFunc(slices.Values(demand), func(a, b Demand) int {
		return compareHolders(a.Holder, b.Holder)
	})
	links := Links(hosts, demand, rules)
	credit := make([]float64, len(demand))
	var grants []Grant
	for i, h := range hosts {
		grants = append(grants, divideHost(h, demand, links[i], credit, rules)...)
	}
	return grants
}

// divideHost divides one host among the linked holders, given by index. credit
// holds for each holder the fraction of a slot that rounding has withheld so
// far, negative if it got more.
func divideHost(h host.Host, demand []Demand, linked []int, credit []float64, rules Rules) []Grant {
	weights := holderWeights(demand, linked, rules.EqualShare)
	slots := divideSlots(h.Slots, weights, linked, credit)
	connections := divideConnections(h, weights, rules)
	grants := make([]Grant, len(linked))
	for k, e := range linked {
		grants[k] = Grant{
			Holder:      demand[e].Holder,
			Host:        h.Name,
			Slots:       slots[k],
			Connections: connections[k],
		}
	}
	return grants
}

// holderWeights returns the linked holders' shares, which add up to 1.
func holderWeights(demand []Demand, linked []int, equal float64) []float64 {
	total := 0.0
	for _, e := range linked {
		total += demand[e].Busy
	}
	weights := make([]float64, len(linked))
	for k, e := range linked {
		weights[k] = 1 / float64(len(linked))
		if total > 0 {
			weights[k] = equal*weights[k] + (1-equal)*demand[e].Busy/total
		}
	}
	return weights
}

// divideSlots grants whole slots, each to the holder with the highest credit.
// As credit is carried over from host to host, a holder's sum over the pool
// differs from its share by less than about one slot.
func divideSlots(slots int, weights []float64, linked []int, credit []float64) []int {
	for k, e := range linked {
		credit[e] += weights[k] * float64(slots)
	}
	given := make([]int, len(linked))
	for range slots {
		best := -1
		for k, e := range linked {
			if best < 0 || credit[e] > credit[linked[best]] {
				best = k
			}
		}
		if best < 0 {
			break
		}
		given[best]++
		credit[linked[best]]--
	}
	return given
}

// divideConnections grants each holder its share rounded down, but at least
// one connection and at most MaxShare. Rounding down keeps the sum within the
// host's connections; Links keeps the number of holders below it.
func divideConnections(h host.Host, weights []float64, rules Rules) []int {
	n := len(weights)
	given := make([]int, n)
	// Each holder gets one first, and one more share stays free.
	free := max(h.Connections-max(h.Connections/(n+1), 1)-n, 0)
	most := maxConnections(h.Connections, rules)
	for k, w := range weights {
		given[k] = min(1+int(w*float64(free)), most)
	}
	return given
}
