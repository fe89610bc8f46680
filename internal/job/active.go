package job

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/lease"
)

// snapshot holds the task counts that other goroutines read. It is immutable
// once published.
type snapshot struct {
	// pools holds the owned pools whose rows are loaded, by name.
	pools map[string]poolSnapshot
	// scanBegan is the start time of the last scan whose rows were applied.
	scanBegan time.Time
	// hosts holds the task counts of the hosts of all pools, as of that scan.
	hosts map[string]HostTasks
}

// poolSnapshot holds the ownership of a pool and the number of jobs on each of
// its hosts.
type poolSnapshot struct {
	shard  *lease.Shard
	active map[string]int
}

// HostTasks counts the tasks of one host.
type HostTasks struct {
	// Tasks is the number of jobs placed on the host.
	Tasks int
	// Pinned is the number of these jobs that must run to completion on the host,
	// because they can neither write a checkpoint nor run again.
	Pinned int
}

// publish replaces the counts of the owned pools.
func (m *Manager) publish() {
	next := *m.snapshot.Load()
	next.pools = make(map[string]poolSnapshot, len(m.pools))
	for name, o := range m.pools {
		if o.pool != nil {
			next.pools[name] = poolSnapshot{shard: o.shard, active: o.pool.Active()}
		}
	}
	m.snapshot.Store(&next)
}

// publishScan replaces the counts of all hosts after a scan that started at
// began.
func (m *Manager) publishScan(began time.Time) {
	hosts := map[string]HostTasks{}
	for _, r := range m.rows {
		if !r.Placed() {
			continue
		}
		h := hosts[r.Host]
		h.Tasks++
		if !r.Checkpoints && !r.Idempotent {
			h.Pinned++
		}
		hosts[r.Host] = h
	}
	next := *m.snapshot.Load()
	next.hosts = hosts
	next.scanBegan = began
	m.snapshot.Store(&next)
	m.publish()
}

// Active returns the number of jobs on a host of an owned pool, from rows
// scanned after since, which is the time at which this process learnt that the
// host drains. The result is never too low: a placement is conditional on the
// version of the host's row, so none commits after the row changed to
// draining. If no such scan is available, Active requests one and returns 1.
func (m *Manager) Active(shard *lease.Shard, hostName string, since time.Time) int {
	s := m.snapshot.Load()
	p, ok := s.pools[shard.Name()]
	if !ok || p.shard != shard || !s.scanBegan.After(since) {
		m.Wake()
		return 1
	}
	return p.active[hostName]
}

// Tasks returns the task counts of a host of any pool, as of the last scan.
func (m *Manager) Tasks(hostName string) HostTasks { return m.snapshot.Load().hosts[hostName] }
