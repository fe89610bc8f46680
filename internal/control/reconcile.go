package control

import (
	"context"
	"maps"
	"time"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// reconcileLoop calls reconcile every reconcileInterval until ctx ends.
func (m *Manager) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.exec.Do(ctx, func() { m.reconcile(m.now()) })
		case <-ctx.Done():
			return
		}
	}
}

// reconcile compares the owned shards with the last snapshot of the platform
// and starts the commits and assignments that follow.
func (m *Manager) reconcile(now time.Time) {
	m.syncShards(now)
	m.expireInstances(now)
	if d := m.leases.Directory(); d.Version > m.directoryVersion {
		m.directoryVersion = d.Version
		m.wakeAll()
	}
	current := m.adopter.Current()
	if current == nil {
		return
	}
	for _, s := range m.shards {
		if !s.ready(&m.fleet) {
			continue
		}
		m.createHostRows(s, current.Value)
		m.applyHostList(s)
		m.finishDrains(s)
		s.removeUnregistered(&m.fleet)
		s.sample(now)
		m.recordSamples(s, now)
		s.assign(&m.fleet, now)
	}
	m.updateJobs(current.Value)
}

// expireInstances removes the entries that have not exchanged for
// instanceRetention.
func (m *Manager) expireInstances(now time.Time) {
	maps.DeleteFunc(m.instances, func(_ entryID, i instance) bool { return now.Sub(i.lastExchange) > instanceRetention })
}

// wakeAll wakes all waiting exchanges.
func (m *Manager) wakeAll() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// syncShards creates the state of newly leased shards and removes that of
// shards whose lease was lost.
func (m *Manager) syncShards(now time.Time) {
	held := map[string]bool{}
	for _, l := range m.leases.Held() {
		held[l.Name()] = true
		if s := m.shards[l.Name()]; s != nil && s.lease == l {
			continue
		}
		m.dropOldList(now)
		m.shards[l.Name()] = newShard(l, now)
		m.requestRead()
	}
	for name, s := range m.shards {
		if !held[name] {
			s.wake()
			delete(m.shards, name)
		}
	}
}

// createHostRows commits the first row of each listed host whose home is the
// shard's pool and that has no row yet.
func (m *Manager) createHostRows(s *shard, effective *settings.Effective) {
	for name, pool := range effective.HomePool {
		if _, known := m.fleet.rows[name]; known || pool != s.pool {
			continue
		}
		if _, listed := m.fleet.listedHost(name); !listed {
			continue
		}
		row := host.Row{Host: name, Pool: s.pool, Phase: host.Serving, Since: m.now().UnixMilli()}
		row.Maintained = firstMaintained(name, effective.Pools[pool].MaintenancePeriod, m.now())
		m.commitRow(s, hostRow{Row: row, version: platform.NoVersion}, platform.Txn{}, event.HostAssigned)
	}
}
