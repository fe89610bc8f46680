package maintenance

import (
	"cmp"
	"slices"

	"github.com/egretpitch/egretpitch/internal/host"
)

// candidate is a host that is due for maintenance.
type candidate struct {
	pool int
	host *Host
}

// rack holds the hosts of one rack that are due.
type rack struct {
	region string
	name   string
	due    []candidate
	// inProgress reports whether hosts of the rack are in maintenance and not
	// overdue.
	inProgress bool
}

// startWaves drains due hosts, one rack at a time in each region. A rack in
// progress is continued before another one is started.
func (p *planner) startWaves() {
	racks := p.racks()
	activeRegions := map[string]bool{}
	for _, r := range racks {
		if r.inProgress {
			activeRegions[r.region] = true
			p.drainRack(r)
		}
	}
	for _, r := range racks {
		if !activeRegions[r.region] && p.drainRack(r) > 0 {
			activeRegions[r.region] = true
		}
	}
}

// drainRack drains as many due hosts of a rack as their pools allow, and
// returns how many.
func (p *planner) drainRack(r *rack) int {
	n := 0
	for _, c := range r.due {
		health := &p.health[c.pool]
		if health.paused != ReasonNone || blockReason(&p.state.Pools[c.pool], *health) != ReasonNone {
			continue
		}
		p.add(Drain, c.pool, c.host.Name, ReasonDue)
		health.unavailable++
		health.serving--
		n++
	}
	return n
}

// racks returns the racks with hosts that are due or in maintenance, sorted by
// sortRacks. Overdue hosts are left out.
func (p *planner) racks() []*rack {
	index := map[string]*rack{}
	var racks []*rack
	for i := range p.state.Pools {
		pool := &p.state.Pools[i]
		for j := range pool.Hosts {
			h := &pool.Hosts[j]
			eligible := due(pool, h, p.state.Now)
			active := inMaintenance(h) && !overdue(pool, h, p.state.Now)
			if !eligible && !active {
				continue
			}
			r := index[h.Rack]
			if r == nil {
				// The place of a host that the platform doesn't list may be
				// unknown. Such a host counts for the region of its pool.
				r = &rack{region: cmp.Or(h.Region, pool.Values.Region), name: h.Rack}
				index[h.Rack] = r
				racks = append(racks, r)
			}
			r.inProgress = r.inProgress || active
			if eligible {
				r.due = append(r.due, candidate{i, h})
			}
		}
	}
	sortRacks(racks)
	return racks
}

// sortRacks sorts the due hosts of each rack, and the racks, by the time of the
// last maintenance, oldest first. Ties are broken by name, so that the result
// is deterministic. Racks without due hosts come last.
func sortRacks(racks []*rack) {
	for _, r := range racks {
		slices.SortFunc(r.due, func(a, b candidate) int {
			return cmp.Or(a.host.Maintained.Compare(b.host.Maintained), cmp.Compare(a.host.Name, b.host.Name))
		})
	}
	slices.SortFunc(racks, func(a, b *rack) int {
		if len(a.due) == 0 || len(b.due) == 0 {
			return cmp.Or(cmp.Compare(len(b.due), len(a.due)), cmp.Compare(a.name, b.name))
		}
		byAge := a.due[0].host.Maintained.Compare(b.due[0].host.Maintained)
		return cmp.Or(byAge, cmp.Compare(a.name, b.name))
	})
}

// inMaintenance reports whether a host drains or is stopped for maintenance.
func inMaintenance(h *Host) bool {
	drainedOrStopped := h.Phase == host.Draining || h.Phase == host.Stopped
	return drainedOrStopped && h.Purpose == host.ForMaintenance
}
