package control

import (
	"slices"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/assignment"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/limit"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// offerInterval is the time between two divisions of a pool's hosts while
// neither the hosts nor the number of entries changes.
const offerInterval = time.Second

// grants divides the connections and slots of a pool's hosts among the entries.
// Only the control goroutine uses it.
type grants struct {
	rules     limit.Rules
	allocator *limit.Allocator
	// demand is the stabilized demand that the last division was based on.
	demand []limit.Demand
	// hosts and entryCount are the inputs of the last offer, which was made at
	// the time at.
	hosts      []string
	entryCount int
	at         time.Time
	// offered is the last offer, by entry and host.
	offered map[limit.Holder]map[string]assignment.Host
	// known contains the hosts in the allocator.
	known map[string]bool
}

// newGrants returns the grants of a new owner for the hosts of its pool. For
// each registered entry that has not yet reported what it holds, the allocator
// reserves the most that the entry could hold.
func newGrants(hosts []host.Host, registered []entryID) *grants {
	rules := limit.DefaultRules()
	g := &grants{rules: rules, allocator: limit.NewAllocator(rules), known: map[string]bool{}}
	for _, h := range hosts {
		g.setHost(h)
	}
	for _, h := range registered {
		g.allocator.AwaitReport(h.limit())
	}
	return g
}

// setHost adds or updates a host in the allocator.
func (g *grants) setHost(h host.Host) {
	g.known[h.Name] = true
	g.allocator.SetHost(h.Name, h.Connections)
}

// removeHosts removes the hosts that no entry can hold any more, as reported by
// left.
func (g *grants) removeHosts(left func(name string) bool) {
	for name := range g.known {
		if left(name) {
			delete(g.known, name)
			g.allocator.RemoveHost(name)
		}
	}
}

// limit converts the ID to the type that package limit uses.
func (h entryID) limit() limit.Holder {
	return limit.Holder{Entry: h.entry, Incarnation: h.incarnation}
}

// report records the connections that an entry holds at each host. first is
// true for the entry's first report to this owner, which restores its grants in
// the allocator. Later reports acknowledge the given allocator version once the
// entry has no more connections than set, the last set that the owner sent,
// allows.
func (g *grants) report(h entryID, uses []*controlpb.HostUse, first bool, set *assignment.Set, version uint64) {
	if first {
		held := make([]limit.Grant, 0, len(uses))
		for _, u := range uses {
			held = append(held, limit.Grant{Holder: h.limit(), Host: u.Host, Connections: int(u.Connections)})
		}
		g.allocator.Restore(h.limit(), held)
		return
	}
	for _, u := range uses {
		// Connections above the grant are still being closed.
		if int(u.Connections) > set.Hosts[u.Host].Connections {
			return
		}
	}
	g.allocator.Acknowledge(h.limit(), version)
}

// offer returns what each entry is granted of the serving hosts. It reuses the
// last offer for offerInterval while its inputs are unchanged.
func (g *grants) offer(serving []platform.ListedHost, entries map[entryID]*entryState, now time.Time) map[limit.Holder]map[string]assignment.Host {
	names := make([]string, 0, len(serving))
	for _, h := range serving {
		names = append(names, h.Name)
	}
	fresh := g.offered != nil && now.Sub(g.at) < offerInterval
	if fresh && g.entryCount == len(entries) && slices.Equal(names, g.hosts) {
		return g.offered
	}
	g.at, g.hosts, g.entryCount = now, names, len(entries)
	g.offered = g.divide(serving, entries)
	return g.offered
}

// divide divides the serving hosts by the entries' demand, limited by what the
// allocator has free.
func (g *grants) divide(serving []platform.ListedHost, entries map[entryID]*entryState) map[limit.Holder]map[string]assignment.Host {
	reported := make([]limit.Demand, 0, len(entries))
	for h, state := range entries {
		reported = append(reported, limit.Demand{Holder: h.limit(), Busy: state.busy})
	}
	slices.SortFunc(reported, func(a, b limit.Demand) int { return strings.Compare(a.Entry, b.Entry) })
	g.demand = limit.StabilizeDemand(g.demand, reported, g.rules)
	hosts := make([]host.Host, 0, len(serving))
	byName := map[string]host.Host{}
	for _, h := range serving {
		hosts = append(hosts, h.Host)
		byName[h.Name] = h.Host
		g.setHost(h.Host)
	}
	offered := map[limit.Holder]map[string]assignment.Host{}
	for _, grant := range g.allocator.Offer(limit.Divide(hosts, g.demand, g.rules)) {
		if grant.Connections == 0 {
			continue
		}
		if offered[grant.Holder] == nil {
			offered[grant.Holder] = map[string]assignment.Host{}
		}
		offered[grant.Holder][grant.Host] = assignment.Share(byName[grant.Host], grant.Slots, grant.Connections)
	}
	return offered
}
