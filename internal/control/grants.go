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

// offerInterval is the time between two divisions of a pool's hosts, when
// neither hosts nor entries change.
const offerInterval = time.Second

// grants divides a pool's hosts among its entries. It is owned by the control
// goroutine.
type grants struct {
	rules  limit.Rules
	ledger *limit.Ledger
	// demand is what the last division went by.
	demand []limit.Demand
	// hosts and holders are those of the last offer.
	hosts      []string
	entryCount int
	at         time.Time
	// offered is the last offer, by holder and host.
	offered map[limit.Holder]map[string]assignment.Host
	// known are the hosts of the ledger.
	known map[string]bool
}

// newGrants returns the grants of a new owner over the hosts of its pool. It
// awaits the word of every registered entry on what it holds.
func newGrants(hosts []host.Host, registered []entryID) *grants {
	rules := limit.DefaultRules()
	g := &grants{rules: rules, ledger: limit.NewLedger(rules), known: map[string]bool{}}
	for _, h := range hosts {
		g.setHost(h)
	}
	for _, h := range registered {
		g.ledger.Await(h.limit())
	}
	return g
}

// setHost puts a host into the ledger.
func (g *grants) setHost(h host.Host) {
	g.known[h.Name] = true
	g.ledger.SetHost(h.Name, h.Connections)
}

// removeHosts drops the hosts that no entry can hold any more.
func (g *grants) removeHosts(left func(name string) bool) {
	for name := range g.known {
		if left(name) {
			delete(g.known, name)
			g.ledger.RemoveHost(name)
		}
	}
}

// limit returns the holder as package limit names it.
func (h entryID) limit() limit.Holder {
	return limit.Holder{Entry: h.entry, Incarnation: h.incarnation}
}

// report takes in what an entry holds of each host. first says that it is the
// entry's first word to this owner, set is what the owner gave it last.
func (g *grants) report(h entryID, uses []*controlpb.HostUse, first bool, set *assignment.Set, version uint64) {
	if first {
		held := make([]limit.Grant, 0, len(uses))
		for _, u := range uses {
			held = append(held, limit.Grant{Holder: h.limit(), Host: u.Host, Connections: int(u.Connections)})
		}
		g.ledger.Restore(h.limit(), held)
		return
	}
	for _, u := range uses {
		// A connection above the grant is still closing.
		if int(u.Connections) > set.Hosts[u.Host].Connections {
			return
		}
	}
	g.ledger.Acknowledge(h.limit(), version)
}

// offer returns what each entry is granted of the serving hosts now.
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

// divide divides the hosts anew, as far as the ledger has room.
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
	for _, grant := range g.ledger.Offer(limit.Divide(hosts, g.demand, g.rules)) {
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
