package limit

import (
	"cmp"
	"slices"

	"github.com/egretpitch/egretpitch/internal/host"
)

// Holder is one run of an entry. A restarted entry is another holder.
type Holder struct {
	Entry       string
	Incarnation uint64
}

// compareHolders orders holders by name, then by incarnation.
func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Demand is what an entry reports of a pool.
type Demand struct {
	Holder
	// Busy is the mean number of requests running and queued.
	Busy float64
}

// Grant is a holder's share of a host.
type Grant struct {
	Holder
	Host string
	// Slots is how many requests it may plan to run there. Slots of all
	// holders make up the host's.
	Slots int
	// Connections bounds its connections there.
	Connections int
}

// Rules are the constants of the division.
type Rules struct {
	// SubsetSize is how many of a pool's hosts one entry links to.
	SubsetSize int
	// EqualShare is the part of each host that is shared equally; the rest
	// follows demand (0..1).
	EqualShare float64
	// MaxShare bounds one holder's share of a host's connections (0..1).
	MaxShare float64
	// Hysteresis is by how much a holder's share of the demand must change before
	// its grants do, as a share of what it was.
	Hysteresis float64
}

// DefaultRules returns the product's rules.
func DefaultRules() Rules {
	return Rules{SubsetSize: 32, EqualShare: 0.5, MaxShare: 0.25, Hysteresis: 0.3}
}

// Divide shares the slots and connections of the hosts among the holders that
// link to them. It leaves a holder's worth of connections free on each host,
// so that a new entry gets some before the one that it replaces is gone.
// Hosts and holders each must be listed once.
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

// divideHost shares one host among the linked holders, given by index.
// credit carries what rounding to whole slots left owing to each holder.
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

// holderWeights returns the linked holders' shares, which sum up to 1.
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

// divideSlots gives out whole slots. What a holder is owed from other hosts
// goes before, so that its sum over the pool is off by less than about one.
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

// divideConnections gives each holder its share rounded down, but one at
// least and MaxShare at most. Rounding down keeps the sum in bounds; Links
// keeps holders of a host fewer than its connections.
func divideConnections(h host.Host, weights []float64, rules Rules) []int {
	n := len(weights)
	given := make([]int, n)
	// One for each holder comes first, and one holder's worth stays free.
	free := max(h.Connections-max(h.Connections/(n+1), 1)-n, 0)
	most := maxConnections(h.Connections, rules)
	for k, w := range weights {
		given[k] = min(1+int(w*float64(free)), most)
	}
	return given
}
