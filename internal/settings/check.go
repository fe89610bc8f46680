package settings

import (
	"cmp"
	"maps"
	"slices"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// A pool with at least one of these availabilities must survive the loss of a
// failure domain while maintenance has max_unavailable of its other hosts out
// of service.
const (
	// rackLossAvailability requires a remaining host after the loss of any
	// rack.
	rackLossAvailability = 0.995
	// dataCentreLossAvailability requires a remaining host after the loss of
	// any data centre.
	dataCentreLossAvailability = 0.999
)

// resolveDataCentres checks the data centres and records the place of every
// host.
func (r *resolver) resolveDataCentres(path *strictyaml.Path) {
	if len(r.tree.DataCentres) == 0 {
		r.errorf(path, "no data centre; at least one with a rack must be listed")
	}
	seen := map[string]bool{}
	for i := range r.tree.DataCentres {
		dc, at := &r.tree.DataCentres[i], path.Item(i)
		r.checkName(at.Key("name"), dc.Name)
		if seen[dc.Name] {
			r.errorf(at.Key("name"), "data centre %q is listed twice; names of data centres are unique", dc.Name)
		}
		seen[dc.Name] = true
		if !r.regions[dc.Region] {
			r.errorf(at.Key("region"), "unknown region %q; allowed: one listed under regions", dc.Region)
		}
		for _, rack := range slices.Sorted(maps.Keys(dc.Racks)) {
			r.resolveRack(at.Key("racks").Key(rack), dc, rack)
		}
	}
}

// resolveRack checks a rack and records the place of each of its hosts.
func (r *resolver) resolveRack(path *strictyaml.Path, dc *DataCentre, rack string) {
	r.checkName(path, rack)
	if r.racks[rack] {
		r.errorf(path, "rack %q is in two data centres; names of racks are unique in the estate", rack)
	}
	r.racks[rack] = true
	place := datacentre.Place{Region: dc.Region, DataCentre: dc.Name, Rack: rack}
	for i, pattern := range dc.Racks[rack] {
		hosts, err := ExpandHosts(pattern)
		if err != nil {
			r.errorf(path.Item(i), "%v", err)
		}
		r.recordPlaces(path.Item(i), hosts, place)
	}
}

// recordPlaces records the place of hosts. It reports the first host of a range
// that is already in another rack.
func (r *resolver) recordPlaces(path *strictyaml.Path, hosts []string, place datacentre.Place) {
	duplicateReported := false
	for _, h := range hosts {
		other, taken := r.out.Places[h]
		if taken && !duplicateReported {
			r.errorf(path, "host %q is also in rack %q; a host is in exactly one rack", h, other.Rack)
			duplicateReported = true
		}
		if !taken {
			r.out.Places[h] = place
		}
	}
}

// resolvePoolHosts returns the hosts of a pool and records it as their home
// pool.
func (r *resolver) resolvePoolHosts(path *strictyaml.Path, p *Pool) []string {
	var all []string
	for i, pattern := range p.Hosts {
		hosts, err := ExpandHosts(pattern)
		if err != nil {
			r.errorf(path.Item(i), "%v", err)
		}
		all = append(all, r.assignHomePool(path.Item(i), hosts, p.Name)...)
	}
	if len(p.Hosts) == 0 {
		r.errorf(path, "pool without hosts; list at least one")
	}
	return all
}

// assignHomePool records the home pool of hosts and returns those that had
// none. It reports the first host of a range that is already in another pool,
// and the first that is in no rack.
func (r *resolver) assignHomePool(path *strictyaml.Path, hosts []string, pool string) []string {
	var own []string
	duplicate, withoutRack := "", ""
	for _, h := range hosts {
		if _, ok := r.out.HomePool[h]; ok {
			duplicate = cmp.Or(duplicate, h)
			continue
		}
		if _, ok := r.out.Places[h]; !ok {
			withoutRack = cmp.Or(withoutRack, h)
		}
		r.out.HomePool[h] = pool
		own = append(own, h)
	}
	if duplicate != "" {
		r.errorf(path, "host %q is also in pool %q; a host belongs to exactly one pool", duplicate, r.out.HomePool[duplicate])
	}
	if withoutRack != "" {
		r.errorf(path, "host %q is in no rack; list it under datacentres", withoutRack)
	}
	return own
}

// checkHomePools checks that every host of a rack has a home pool.
func (r *resolver) checkHomePools(path *strictyaml.Path) {
	for i := range r.tree.DataCentres {
		dc := &r.tree.DataCentres[i]
		for _, rack := range slices.Sorted(maps.Keys(dc.Racks)) {
			r.checkRackHomePools(path.Item(i).Key("racks").Key(rack), dc.Racks[rack])
		}
	}
}

// checkRackHomePools reports the first host of each pattern that has no home
// pool.
func (r *resolver) checkRackHomePools(path *strictyaml.Path, patterns []string) {
	for i, pattern := range patterns {
		// resolveRack has already reported a malformed pattern.
		hosts, _ := ExpandHosts(pattern)
		unassigned := slices.IndexFunc(hosts, func(h string) bool { return r.out.HomePool[h] == "" })
		if unassigned >= 0 {
			r.errorf(path.Item(i), "host %q is in no pool; list it in exactly one, such as the spare pool", hosts[unassigned])
		}
	}
}

// checkCapacity checks that the pool has enough hosts for its min_hosts, its
// max_unavailable and, if it serves, its availability.
func (r *resolver) checkCapacity(path *strictyaml.Path, pool *PoolValues, serves bool) {
	n := len(pool.Hosts)
	if serves && pool.MinHosts < 1 {
		r.errorf(path, "min_hosts is 0; a pool with services keeps at least 1")
	}
	if need := pool.MinHosts + pool.MaxUnavailable; need > n {
		r.errorf(path, "min_hosts %d and max_unavailable %d need %d hosts, the pool has %d; lower them or add hosts",
			pool.MinHosts, pool.MaxUnavailable, need, n)
		return
	}
	if !serves {
		return
	}
	r.checkDomainLoss(path, pool, "rack", rackLossAvailability, func(p datacentre.Place) string { return p.Rack })
	r.checkDomainLoss(path, pool, "data centre", dataCentreLossAvailability, func(p datacentre.Place) string { return p.DataCentre })
}

// checkDomainLoss checks that a host remains after the loss of any one failure
// domain, if the pool has at least minAvailability. kind names the type of
// domain in the error.
func (r *resolver) checkDomainLoss(path *strictyaml.Path, pool *PoolValues, kind string, minAvailability float64,
	domainOf func(datacentre.Place) string) {
	if pool.Availability < minAvailability {
		return
	}
	perDomain := map[string]int{}
	worst := ""
	for _, h := range pool.Hosts {
		domain := domainOf(r.out.Places[h])
		perDomain[domain]++
		if perDomain[domain] > perDomain[worst] {
			worst = domain
		}
	}
	if len(pool.Hosts)-perDomain[worst]-pool.MaxUnavailable < 1 {
		r.errorf(path, "availability %s can't be given: without %s %q and with max_unavailable %d no host is left; "+
			"allowed from %s on: hosts over more %ss, or a lower availability",
			formatFloat(pool.Availability), kind, worst, pool.MaxUnavailable, formatFloat(minAvailability), kind)
	}
}
