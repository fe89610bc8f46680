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

// actLoop decides at least once in actInterval.
func (m *Manager) actLoop(ctx context.Context) {
	ticker := time.NewTicker(actInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.exec.Do(ctx, func() { m.act(m.now()) })
		case <-ctx.Done():
			return
		}
	}
}

// act brings everything that this process owns one step on.
func (m *Manager) act(now time.Time) {
	m.syncShards(now)
	m.forgetInstances(now)
	if d := m.leases.Directory(); d.Version > m.directoryVersion {
		m.directoryVersion = d.Version
		m.wakeAll()
	}
	current := m.adopter.Current()
	if current == nil {
		return
	}
	for _, s := range m.shards {
		if !s.ready(&m.world) {
			continue
		}
		m.claimHosts(s, current.Value)
		m.followList(s)
		m.finishDrains(s)
		s.forget(&m.world)
		s.sample(now)
		m.record(s, now)
		s.assign(&m.world, now)
	}
	m.updateJobs(current.Value)
}

// forgetInstances drops the entries that were not heard for long.
func (m *Manager) forgetInstances(now time.Time) {
	maps.DeleteFunc(m.instances, func(_ holder, i instance) bool { return now.Sub(i.seen) > instanceKept })
}

// wakeAll ends the wait of all exchanges.
func (m *Manager) wakeAll() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// syncShards starts and ends shards as the leases say.
func (m *Manager) syncShards(now time.Time) {
	held := map[string]bool{}
	for _, l := range m.leases.Held() {
		held[l.Name()] = true
		if s := m.shards[l.Name()]; s != nil && s.lease == l {
			continue
		}
		m.dropOldList(now)
		m.shards[l.Name()] = newShard(l, now)
		m.readSoon()
	}
	for name, s := range m.shards {
		if !held[name] {
			s.wake()
			delete(m.shards, name)
		}
	}
}

// claimHosts writes the first row of the pool's hosts.
func (m *Manager) claimHosts(s *shard, effective *settings.Effective) {
	for name, pool := range effective.HomePool {
		if _, known := m.world.rows[name]; known || pool != s.pool {
			continue
		}
		if _, listed := m.world.hostOf(name); !listed {
			continue
		}
		row := host.Row{Host: name, Pool: s.pool, Phase: host.Serving, Since: m.now().UnixMilli()}
		row.Maintained = firstMaintained(name, effective.Pools[pool].MaintenancePeriod, m.now())
		m.commitRow(s, hostRow{Row: row, version: platform.NoVersion}, platform.Txn{}, event.HostAssigned)
	}
}
