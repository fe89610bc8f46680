package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretpitch/egretpitch/internal/host"
)

// Links returns for each host the indices of the holders that link to it, in
// rising order (subsetting). Each holder has its own order of the hosts, by
// rendezvous hashing, so that adding or removing a host changes few links. In
// each round every holder links to the next host in its order that has a free
// connection, skipping full ones, until it has SubsetSize links or no host has
// a free connection. Rounds keep the holders' numbers of links about equal
// even where the hosts have too few connections for all. A holder that finds
// no free connection in the first round has no link in the pool.
func Links(hosts []host.Host, demand []Demand, rules Rules) [][]int {
	links := make([][]int, len(hosts))
	orders := make([][]ranked, len(demand))
	for e, d := range demand {
		orders[e] = rank(d.Entry, hosts)
	}
	for range min(rules.SubsetSize, len(hosts)) {
		for e := range orders {
			orders[e] = link(links, hosts, orders[e], e)
		}
	}
	for _, linked := range links {
		slices.Sort(linked)
	}
	return links
}

// link links the holder to the next host in its order that accepts another
// holder, and returns the rest of the order.
func link(links [][]int, hosts []host.Host, order []ranked, holder int) []ranked {
	for i, r := range order {
		if len(links[r.host]) < maxHolders(hosts[r.host]) {
			links[r.host] = append(links[r.host], holder)
			return order[i+1:]
		}
	}
	return nil
}

// maxHolders returns how many holders may link to the host: one per
// connection, with one connection left for a new entry.
func maxHolders(h host.Host) int { return max(h.Connections-1, 0) }

// ranked is a host with its rendezvous hash.
type ranked struct {
	host int
	hash uint64
}

// rank returns the hosts in the entry's order. A restarted entry keeps its
// order, as the incarnation is not part of the hash.
func rank(entry string, hosts []host.Host) []ranked {
	order := make([]ranked, 0, len(hosts))
	key := append([]byte(entry), 0)
	for i, h := range hosts {
		order = append(order, ranked{host: i, hash: xxhash.Sum64(append(key, h.Name...))})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	return order
}
