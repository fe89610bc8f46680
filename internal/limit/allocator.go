package limit

import "slices"

// Allocator keeps what every holder may be using of each host's connections, so
// that all of them together never have more than the host accepts. It belongs
// to the pool's owner and is not safe for concurrent use.
//
// The rules: a raise counts from the moment it is issued. A reduction counts
// once it is acknowledged, as until then the holder may not have heard of it.
// A holder counts until it is released, which the owner does when the entry
// is certainly gone: deregistered, or off the platform's list for longer than
// the pause bound. A restarted entry is another holder beside the old one.
type Allocator struct {
	rules   Rules
	version uint64
	hosts   map[string]*hostAllocation
	// unreported are the holders that a new owner knows of from the table and
	// that haven't reported yet what they hold.
	unreported map[Holder]bool
}

// hostAllocation is the ledger of one host.
type hostAllocation struct {
	connections int
	holders     map[Holder]*holderGrants
}

// holderGrants is what one holder may use of a host.
type holderGrants struct {
	// grants are the grants from the last acknowledged one on.
	grants []versionedGrant
}

// versionedGrant is a grant at a version.
type versionedGrant struct {
	version     uint64
	connections int
}

// NewAllocator returns an empty ledger.
func NewAllocator(rules Rules) *Allocator {
	return &Allocator{
		rules:      rules,
		hosts:      make(map[string]*hostAllocation),
		unreported: make(map[Holder]bool),
	}
}

// Version returns the version of the last offer.
func (al *Allocator) Version() uint64 { return al.version }

// SetHost adds a host or changes how many connections it accepts. A lowered
// number holds for offers to come.
func (al *Allocator) SetHost(name string, connections int) {
	a := al.hosts[name]
	if a == nil {
		a = &hostAllocation{holders: make(map[Holder]*holderGrants)}
		al.hosts[name] = a
	}
	a.connections = connections
}

// RemoveHost forgets a host. The owner calls it when every entry has
// acknowledged an assignment without it.
func (al *Allocator) RemoveHost(name string) { delete(al.hosts, name) }

// AwaitReport counts a holder at the largest share of every host until it is
// restored or released. A new owner calls it for each registered entry.
func (al *Allocator) AwaitReport(h Holder) { al.unreported[h] = true }

// Restore takes in what a holder reports to hold under an earlier owner. The
// holder takes nothing from that owner any more.
func (al *Allocator) Restore(h Holder, held []Grant) {
	delete(al.unreported, h)
	for _, g := range held {
		if a := al.hosts[g.Host]; a != nil {
			a.holders[h] = &holderGrants{grants: []versionedGrant{{al.version, g.Connections}}}
		}
	}
}

// Acknowledge records that the holder took over the version: it has no more
// connections than that granted, and takes no earlier version any more.
func (al *Allocator) Acknowledge(h Holder, version uint64) {
	for _, a := range al.hosts {
		if k := a.holders[h]; k != nil {
			k.acknowledge(version)
		}
	}
}

// Release frees what the holder held. The holder must be certainly gone.
func (al *Allocator) Release(h Holder) {
	delete(al.unreported, h)
	for _, a := range al.hosts {
		delete(a.holders, h)
	}
}

// Offer moves the holders towards the target as far as the hosts have room,
// and returns what each of them is granted now, at a new version. Reductions
// go before raises, but make room only once acknowledged. Holders that are
// not in the target keep what they have.
func (al *Allocator) Offer(target []Grant) []Grant {
	al.version++
	offered := slices.Clone(target)
	for i, g := range offered {
		if a := al.hosts[g.Host]; a != nil {
			offered[i].Connections = a.lower(g, al.version)
		}
	}
	for i, g := range target {
		a := al.hosts[g.Host]
		if a == nil {
			offered[i].Connections = 0
			continue
		}
		g.Connections = min(g.Connections, maxConnections(a.connections, al.rules))
		offered[i].Connections = a.raise(g, al.version, a.free()-al.reserved(a))
	}
	return offered
}

// Held returns the connections that all holders together may have at the
// host.
func (al *Allocator) Held(hostName string) int {
	a := al.hosts[hostName]
	if a == nil {
		return 0
	}
	return a.connections - a.free()
}

// reserved returns the connections set apart for holders not heard of.
func (al *Allocator) reserved(a *hostAllocation) int {
	return len(al.unreported) * maxConnections(a.connections, al.rules)
}

// free returns the connections of the host that no holder may be using.
func (a *hostAllocation) free() int {
	free := a.connections
	for _, k := range a.holders {
		free -= k.maxHeld()
	}
	return free
}

// lower issues the grant if it is lower than the last, and returns what is
// granted now.
func (a *hostAllocation) lower(g Grant, version uint64) int {
	k := a.holders[g.Holder]
	if k == nil {
		return 0
	}
	if g.Connections < k.granted() {
		k.grants = append(k.grants, versionedGrant{version, g.Connections})
	}
	return k.granted()
}

// raise issues the grant as far as there is room, and returns what is granted
// now. What the holder may be using anyway takes no room.
func (a *hostAllocation) raise(g Grant, version uint64, free int) int {
	k := a.holders[g.Holder]
	if k == nil {
		k = &holderGrants{}
		a.holders[g.Holder] = k
	}
	most := k.maxHeld() + max(free, 0)
	if n := min(g.Connections, most); n > k.granted() {
		k.grants = append(k.grants, versionedGrant{version, n})
	}
	return k.granted()
}

// maxHeld returns the most that the holder may be using.
func (k *holderGrants) maxHeld() int {
	most := 0
	for _, i := range k.grants {
		most = max(most, i.connections)
	}
	return most
}

// granted returns the last grant.
func (k *holderGrants) granted() int {
	if len(k.grants) == 0 {
		return 0
	}
	return k.grants[len(k.grants)-1].connections
}

// acknowledge drops the grants before the one in force at the version.
func (k *holderGrants) acknowledge(version uint64) {
	for len(k.grants) > 1 && k.grants[1].version <= version {
		k.grants = k.grants[1:]
	}
}

// maxConnections bounds one holder's connections at a host that accepts n.
func maxConnections(n int, rules Rules) int {
	return max(int(rules.MaxShare*float64(n)), 1)
}
