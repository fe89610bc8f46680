package limit

import "slices"

// Allocator issues grants of connections such that all holders together never
// have more connections to a host than the host accepts. It belongs to the
// pool's owner and is not safe for concurrent use.
//
// An increase counts from the moment it is issued. A reduction counts once it
// is acknowledged, as until then the holder may not have received it. A holder
// counts until it is released, which the owner does only when the entry has
// certainly ended: deregistered, or absent from the platform's list for longer
// than the bound on process pauses. A restarted entry is a new holder that
// counts beside the old one.
type Allocator struct {
	rules   Rules
	version uint64
	hosts   map[string]*hostAllocation
	// unreported are the holders that a new owner has read from the table and
	// that have not yet reported the grants they hold.
	unreported map[Holder]bool
}

// hostAllocation holds the grants of one host.
type hostAllocation struct {
	connections int
	holders     map[Holder]*holderGrants
}

// holderGrants holds the grants of one holder at one host.
type holderGrants struct {
	// grants are the last acknowledged grant and those issued after it, oldest
	// first. The holder may be using any of them.
	grants []versionedGrant
}

// versionedGrant is the number of connections granted at a version.
type versionedGrant struct {
	version     uint64
	connections int
}

// NewAllocator returns an allocator without hosts.
func NewAllocator(rules Rules) *Allocator {
	return &Allocator{
		rules:      rules,
		hosts:      make(map[string]*hostAllocation),
		unreported: make(map[Holder]bool),
	}
}

// Version returns the version of the last offer, 0 before the first.
func (al *Allocator) Version() uint64 { return al.version }

// SetHost adds a host or changes the number of connections that it accepts. A
// lower number applies from the next offer on.
func (al *Allocator) SetHost(name string, connections int) {
	a := al.hosts[name]
	if a == nil {
		a = &hostAllocation{holders: make(map[Holder]*holderGrants)}
		al.hosts[name] = a
	}
	a.connections = connections
}

// RemoveHost removes a host. The owner calls it when every entry has
// acknowledged an assignment without the host.
func (al *Allocator) RemoveHost(name string) { delete(al.hosts, name) }

// AwaitReport reserves the largest share of every host for a holder until it
// is restored or released. A new owner calls it for each registered entry.
func (al *Allocator) AwaitReport(h Holder) { al.unreported[h] = true }

// Restore records the grants that a holder reports from a previous owner. From
// then on the holder must not adopt offers of that owner.
func (al *Allocator) Restore(h Holder, held []Grant) {
	delete(al.unreported, h)
	for _, g := range held {
		if a := al.hosts[g.Host]; a != nil {
			a.holders[h] = &holderGrants{grants: []versionedGrant{{al.version, g.Connections}}}
		}
	}
}

// Acknowledge records that the holder has adopted the version: it has no more
// connections than that version grants, and adopts no earlier one.
func (al *Allocator) Acknowledge(h Holder, version uint64) {
	for _, a := range al.hosts {
		if k := a.holders[h]; k != nil {
			k.acknowledge(version)
		}
	}
}

// Release frees everything that was granted to the holder, which must have
// certainly ended.
func (al *Allocator) Release(h Holder) {
	delete(al.unreported, h)
	for _, a := range al.hosts {
		delete(a.holders, h)
	}
}

// Offer moves the holders' grants towards the target as far as the hosts have
// free connections, and returns what each holder in the target is granted now,
// at a new version. Reductions are issued before increases, but free
// connections only once they are acknowledged. Holders that are not in the
// target keep their grants.
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

// Held returns the number of connections that all holders together may have at
// the host, 0 for an unknown host. Connections reserved by AwaitReport are not
// included.
func (al *Allocator) Held(hostName string) int {
	a := al.hosts[hostName]
	if a == nil {
		return 0
	}
	return a.connections - a.free()
}

// reserved returns the connections reserved for holders that have not
// reported.
func (al *Allocator) reserved(a *hostAllocation) int {
	return len(al.unreported) * maxConnections(a.connections, al.rules)
}

// free returns the connections of the host that no holder may be using. It is
// negative after SetHost with a number below what was granted.
func (a *hostAllocation) free() int {
	free := a.connections
	for _, k := range a.holders {
		free -= k.maxHeld()
	}
	return free
}

// lower issues the grant if it is below the last one, and returns the holder's
// current grant.
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

// raise issues the grant if it is above the last one, as far as there are free
// connections, and returns the holder's current grant. Connections that the
// holder may be using already need no free ones.
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

// maxHeld returns the most connections that the holder may be using.
func (k *holderGrants) maxHeld() int {
	most := 0
	for _, i := range k.grants {
		most = max(most, i.connections)
	}
	return most
}

// granted returns the last grant, 0 for none.
func (k *holderGrants) granted() int {
	if len(k.grants) == 0 {
		return 0
	}
	return k.grants[len(k.grants)-1].connections
}

// acknowledge drops the grants before the one that applied at the version.
func (k *holderGrants) acknowledge(version uint64) {
	for len(k.grants) > 1 && k.grants[1].version <= version {
		k.grants = k.grants[1:]
	}
}

// maxConnections returns the largest number of connections that one holder is
// granted at a host that accepts n.
func maxConnections(n int, rules Rules) int {
	return max(int(rules.MaxShare*float64(n)), 1)
}
