package control

import (
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// settingsVersion returns the settings version in force in this process.
func (m *Manager) settingsVersion() uint64 { return m.adopter.Version() }

// fillDemand adds to the reply the demand of the pools owned by this process
// and, unless poolsOnly is set, the entries whose home it is.
func (m *Manager) fillDemand(reply *controlpb.DemandReply, poolsOnly bool) {
	reply.Control = m.name
	reply.SettingsVersion = m.settingsVersion()
	for _, s := range m.shards {
		reply.Pools = append(reply.Pools, m.poolDemand(s))
	}
	if poolsOnly {
		return
	}
	now := m.now()
	for h, i := range m.instances {
		reply.Instances = append(reply.Instances, &controlpb.Instance{
			Name: h.entry, Incarnation: h.incarnation, SettingsVersion: i.settingsVersion,
			SeenMs: uint64(now.Sub(i.lastExchange).Milliseconds()),
		})
	}
}

// poolDemand returns the demand of a pool owned by this process.
func (m *Manager) poolDemand(s *shard) *controlpb.PoolDemand {
	last := s.demand.last
	d := &controlpb.PoolDemand{
		Pool: s.pool, Epoch: s.epoch,
		ArrivedMilli: uint64(last.arrivedRate * milli),
		RefusedMilli: uint64(last.refusedRate * milli),
		BusyMilli:    uint64(last.busySlots * milli),
		Queued:       uint32(last.queued),
		Serving:      uint32(len(s.serving(&m.fleet))),
	}
	if current := m.adopter.Current(); current != nil && current.Value.Pools[s.pool] != nil {
		d.BudgetSpentMilli = uint64(s.demand.budgetSpent(current.Value.Pools[s.pool].Availability) * milli)
	}
	return d
}

// getStatus returns an overview of the estate. Only the owner of the spare pool
// has the target sizes; if it does not respond, they are left out.
func (m *Manager) getStatus(c echo.Context) error {
	if owner, err := m.spareOwner(c); err == nil && owner != nil {
		if answer, err := owner.Status(c.Request().Context()); err == nil {
			return c.JSON(http.StatusOK, answer)
		}
	}
	current := m.adopter.Current()
	if current == nil {
		return problem(c, http.StatusServiceUnavailable, errNoSettings)
	}
	members := m.members.Snapshot()
	status := adminapi.Status{
		Estate: current.Value.Estate, SettingsVersion: current.Version,
		TableReachable: members.Assessed, Controls: len(members.Live()),
	}
	m.refresh(c.Request().Context())
	demands := map[string]*controlpb.PoolDemand{}
	for _, reply := range m.queryOwners(c.Request().Context()) {
		for _, d := range reply.Pools {
			demands[d.Pool] = d
		}
	}
	ok := m.exec.Do(c.Request().Context(), func() {
		status.Entries = len(m.fleet.entries)
		for name, values := range current.Value.Pools {
			status.Pools = append(status.Pools, m.poolStatus(name, values, demands[name]))
		}
	})
	if !ok {
		return problem(c, http.StatusServiceUnavailable, errStopping)
	}
	sort.Slice(status.Pools, func(i, j int) bool { return status.Pools[i].Pool < status.Pools[j].Pool })
	return c.JSON(http.StatusOK, status)
}

// poolStatus returns the status of one pool. d is nil if the pool's owner did
// not respond.
func (m *Manager) poolStatus(name string, values *settings.PoolValues, d *controlpb.PoolDemand) adminapi.PoolStatus {
	p := adminapi.PoolStatus{Pool: name, Spare: values.Spare, Epoch: d.GetEpoch()}
	if owner, ok := m.leases.Directory().Lookup(name); ok {
		p.Owner = owner.Owner
		p.Epoch = owner.Epoch
	}
	for _, row := range m.fleet.rows {
		if row.Pool != name {
			continue
		}
		switch row.Phase {
		case host.Serving:
			p.Serving++
		case host.Draining:
			p.Draining++
		case host.Stopped:
			p.Stopped++
		case host.Lost:
			p.Lost++
		}
	}
	p.ArrivedPerSecond = float64(d.GetArrivedMilli()) / milli
	p.RefusedPerSecond = float64(d.GetRefusedMilli()) / milli
	p.BusySlots = float64(d.GetBusyMilli()) / milli
	p.Queued = int(d.GetQueued())
	p.Wanted = m.sizing.wanted[name]
	return p
}

// milli is the number of thousandths in one: rates and ratios are sent in
// thousandths.
const milli = 1000
