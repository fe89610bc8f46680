package job

import (
	"maps"
	"slices"
	"time"
)

// host returns the state of a worker and creates it if necessary.
func (p *Pool) host(name string) *hostState {
	h := p.hosts[name]
	if h == nil {
		h = &hostState{}
		p.hosts[name] = h
	}
	return h
}

// readHosts adds calls that read the usage of workers, more often for workers
// with tasks.
func (p *Pool) readHosts(view *View, now time.Time) {
	active := p.Active()
	for _, name := range slices.Sorted(maps.Keys(view.Workers)) {
		h := p.host(name)
		interval := idleUsageInterval
		if active[name] > 0 {
			interval = usageInterval
		}
		if h.reading || view.lost(name) || now.Sub(h.requestedAt) < interval {
			continue
		}
		h.reading = true
		h.requestedAt = now
		p.calls = append(p.calls, &Call{Kind: CallUsage, Host: name})
	}
}

// renew adds calls that renew task leases, one call for each worker.
func (p *Pool) renew(view *View, now time.Time) {
	ids := map[string][]string{}
	for _, s := range p.jobs {
		if s.Placed() && s.startState == startConfirmed && s.stopReason == "" && !s.Cancelled {
			ids[s.Host] = append(ids[s.Host], s.TaskID())
		}
	}
	for name, list := range ids {
		h := p.host(name)
		if h.renewing || view.lost(name) || now.Sub(h.renewedAt) < renewInterval {
			continue
		}
		h.renewing = true
		p.calls = append(p.calls, &Call{Kind: CallRenew, Host: name, TaskIDs: list})
	}
}
