package control

import (
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/job"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// trafficReserve is the share of a worker's processors and memory reserved for
// request traffic in a pool with services.
const trafficReserve = 0.5

// updateJobs passes the workers of the owned pools to the job manager.
func (m *Manager) updateJobs(effective *settings.Effective) {
	serves := map[string]bool{}
	for _, c := range effective.Services {
		serves[c.Pool] = true
	}
	views := map[string]*job.View{}
	for name, s := range m.shards {
		if s.ready(&m.fleet) {
			views[name] = &job.View{Shard: s.lease, Workers: map[string]job.Worker{}, Teams: effective.Teams}
		}
	}
	for name, row := range m.fleet.rows {
		if view := views[row.Pool]; view != nil {
			view.Workers[name] = m.jobWorker(name, row, serves[row.Pool])
		}
	}
	m.jobs.Update(views)
}

// jobWorker returns the job manager's view of a host. serves is true if its
// pool has services.
func (m *Manager) jobWorker(name string, row hostRow, serves bool) job.Worker {
	listed, ok := m.fleet.listedHost(name)
	w := job.Worker{RowVersion: row.version, Phase: row.Phase}
	w.Name = name
	w.Pool = row.Pool
	w.Capacity = placement.Resources{
		Processors: float64(listed.Processors), MemoryMB: listed.MemoryMB, Accelerators: listed.Accelerators,
	}
	// A commit in progress for the host may be the start of its drain.
	s := m.shards[row.Pool]
	w.Serving = row.Phase == host.Serving && ok && listed.State == platform.HostLive && !s.committing[name]
	if !serves {
		return w
	}
	w.Reserved = placement.Resources{
		Processors: trafficReserve * w.Capacity.Processors, MemoryMB: int(trafficReserve * float64(w.Capacity.MemoryMB)),
	}
	if listed.Slots > 0 {
		w.Traffic.Processors = w.Capacity.Processors * float64(s.inFlight(name)) / float64(listed.Slots)
	}
	return w
}

// inFlight returns the number of requests that entries had in flight at a host
// as of their last exchanges.
func (s *shard) inFlight(name string) int {
	n := 0
	for _, state := range s.entries {
		n += int(state.inFlight[name])
	}
	return n
}
