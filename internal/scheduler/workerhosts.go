package scheduler

import (
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
)

// WorkerHosts maps the ids of workers to the hosts on which this owner or a
// previous one saw them.
type WorkerHosts map[string]WorkerHost

// WorkerHost is the host of a worker.
type WorkerHost struct {
	// Host is the host's name, empty if no list has shown the worker.
	Host, Pool string
	// missing counts the latest host lists without the host, or without the
	// worker if its host is not known.
	missing int
}

// PossiblyRunning applies a host list and returns the workers in use other than
// those that it shows as ended.
func (m WorkerHosts) PossiblyRunning(used []UsedWorker, list []estate.Host) []UsedWorker {
	ended, _ := m.update(list)
	return slices.DeleteFunc(slices.Clone(used), func(w UsedWorker) bool { return slices.Contains(ended, w.ID) })
}

// update applies a host list. It returns the ids of the workers that have ended,
// because their hosts changed pools or no longer run them, and of those whose
// hosts have left the estate or that no host runs. A worker that is listed has not
// ended; its answers tell whether it is a new incarnation. An empty list tells
// nothing.
func (m WorkerHosts) update(list []estate.Host) (ended, left []string) {
	if len(list) == 0 {
		return nil, nil
	}
	hosts := hostsByName(list)
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.WorkerID] = true
	}
	for id, w := range m {
		h, ok := hosts[w.Host]
		switch {
		case w.Host == "" && listed[id]: // updated below
		case !ok:
			w.missing++
			m[id] = w
			if w.missing >= fleetplan.MinListsWithoutHost {
				left = append(left, id)
			}
		case h.WorkerID != id && (h.Pool != w.Pool || noLongerOn(h)):
			ended = append(ended, id)
		default:
			w.missing = 0
			m[id] = w
		}
	}
	for _, h := range list {
		if h.WorkerID != "" {
			m[h.WorkerID] = WorkerHost{Host: h.Name, Pool: h.Pool}
		}
	}
	slices.Sort(ended)
	slices.Sort(left)
	return ended, left
}

// noLongerOn reports whether a host that ran a worker no longer runs it, if it is
// not listed with that worker. A worker that is only cut off from the network is
// still listed; a host that crashed is listed as down, without a worker.
func noLongerOn(h estate.Host) bool { return h.WorkerID != "" || h.State != estate.HostUp }

// hostsByName indexes a host list by name.
func hostsByName(list []estate.Host) map[string]estate.Host {
	hosts := make(map[string]estate.Host, len(list))
	for _, h := range list {
		hosts[h.Name] = h
	}
	return hosts
}

// HostsListed handles a host list that was requested at the given time. known
// are the hosts of the workers, which it updates.
func (e *Engine) HostsListed(known WorkerHosts, list []estate.Host, requested, now time.Duration) {
	for id := range e.presumed {
		if _, ok := known[id]; !ok {
			known[id] = WorkerHost{} // it started and fell silent between two lists
		}
	}
	ended, left := known.update(list)
	hosts := hostsByName(list)
	for _, id := range ended {
		h := hosts[known[id].Host]
		planned := h.Pool != known[id].Pool || h.State == estate.HostMoving || h.State == estate.HostMaintenance
		if e.HostEnded(id, planned, requested, now) {
			delete(known, id)
		}
	}
	for _, id := range left {
		if e.HostLeft(id, now) {
			delete(known, id)
		}
	}
}
