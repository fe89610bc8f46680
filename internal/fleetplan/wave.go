package fleetplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// maintain continues the maintenance waves that are not complete, lowest number
// first, and reopens workers whose evacuation is no longer needed.
func (v *view) maintain() {
	waves := slices.Clone(v.Waves)
	slices.SortFunc(waves, func(a, b estate.Wave) int { return cmp.Compare(a.Number, b.Number) })
	selected := map[string]bool{}
	v.borrowing = map[string]int{}
	v.idleToMaintain = -v.lackingWorkers()
	for i := range v.Hosts {
		if h := &v.Hosts[i]; v.available(h) && v.idle(h) && v.mayLend(h) {
			v.idleToMaintain++
		}
	}
	for _, w := range waves {
		if !v.completed[w.Number] {
			v.maintainWave(w, selected)
		}
	}
	for host := range v.evacuating {
		if _, ordered := v.orders[host]; !selected[host] && !ordered {
			delete(v.evacuating, host)
		}
	}
}

// countAbsences counts the host lists that lack a host of a wave.
func (v *view) countAbsences() {
	if v.HostsAt == v.countedList || len(v.Hosts) == 0 {
		return
	}
	v.countedList = v.HostsAt
	absent := map[string]int{}
	for _, w := range v.Waves {
		for _, name := range w.Hosts {
			if v.hosts[name] == nil {
				absent[name] = v.absentLists[name] + 1
			}
		}
	}
	v.absentLists = absent
}

// maintainWave takes down idle hosts of a wave, up to the wave's MaxDown at a
// time, and evacuates the next hosts. It adds the hosts that it evacuates to
// selected.
func (v *view) maintainWave(w estate.Wave, selected map[string]bool) {
	if _, ok := v.waveFirstSeen[w.Number]; !ok {
		v.waveFirstSeen[w.Number] = v.Now
	}
	down := 0
	var candidates []*estate.Host
	remaining := 0
	for _, name := range w.Hosts {
		h := v.hosts[name]
		if v.mayBeDown(name, w.Number) {
			down++
		}
		if v.maintenanceStarted[w.Number][name] || v.absentLists[name] >= MinListsWithoutHost {
			continue // maintenance has started, or the host has left the estate
		}
		remaining++
		v.toMaintain[name] = true
		if h != nil && v.available(h) {
			candidates = append(candidates, h)
		}
	}
	if remaining == 0 {
		v.completed[w.Number] = true
		v.decide(Decision{Kind: Complete, Wave: w.Number})
		return
	}
	slices.SortStableFunc(candidates, func(a, b *estate.Host) int { return cmp.Compare(v.maintenanceCost(a), v.maintenanceCost(b)) })
	slots := w.MaxDown - down
	expectedStarted := float64(v.Now-v.waveFirstSeen[w.Number]) / (scheduleShare * float64(w.Duration)) * float64(len(w.Hosts))
	behindSchedule := float64(len(w.Hosts)-remaining) < expectedStarted
	waiting := 0 // hosts that can be emptied once their pools have borrowed others
	for _, h := range candidates {
		if slots <= 0 || !v.mayOrder() {
			return
		}
		switch {
		case v.idle(h):
			if v.maintainIdle(h, w.Number, selected, behindSchedule) {
				slots--
			}
		case !v.mayEvacuate(h, selected, behindSchedule):
		case v.workers[h.WorkerID].LackingToEmpty > 0:
			// The worker serves on until its tasks have places elsewhere.
			delete(v.evacuatingSince, h.Name)
			if lacking := v.workers[h.WorkerID].LackingToEmpty; lacking != NoNumber && waiting < slots {
				waiting++
				v.borrowing[h.Pool] += lacking
			}
		default:
			slots--
			selected[h.Name] = true
			v.evacuate(h, w.Number)
		}
	}
}

// maintainIdle takes an idle host of a wave down, unless it is left to pools or was
// refused a short while ago. It reports whether it gave the order.
func (v *view) maintainIdle(h *estate.Host, wave int64, selected map[string]bool, behindSchedule bool) bool {
	if v.refused(h) {
		if v.evacuating[h.Name] != "" {
			selected[h.Name] = true // its worker stays empty
		}
		return false
	}
	if v.leftToPools(h, behindSchedule) {
		return false
	}
	if v.mayLend(h) {
		v.idleToMaintain--
	}
	v.decide(Decision{Kind: Maintain, Host: h.Name, Worker: h.WorkerID, From: h.Pool, Wave: wave})
	return true
}

// evacuate begins or continues the evacuation of a host of a wave.
func (v *view) evacuate(h *estate.Host, wave int64) {
	first := v.evacuating[h.Name] != h.WorkerID
	if first {
		v.servesNoMore(h)
	}
	if _, ok := v.evacuatingSince[h.Name]; !ok || (v.evacuating[h.Name] == "" && v.evacuationTimedOut(h)) {
		v.evacuatingSince[h.Name] = v.Now
	}
	v.evacuating[h.Name] = h.WorkerID
	v.decide(Decision{Kind: Evacuate, Host: h.Name, Worker: h.WorkerID, Wave: wave, First: first})
}

// servesNoMore counts a host that is evacuated from now on as not serving. Its tasks
// are about to use the idle hosts of its pool.
func (v *view) servesNoMore(h *estate.Host) {
	if need := v.need(h.Pool); need != nil {
		need.serving--
		need.evacuates = true
	}
}

// mayBeDown reports whether a host of a wave is in maintenance, or may be. One that
// a single list lacks may be if its maintenance has started.
func (v *view) mayBeDown(name string, wave int64) bool {
	if o, ok := v.orders[name]; ok && o.kind == Maintain && o.wave == wave {
		return true
	}
	if h := v.hosts[name]; h != nil {
		return h.State == estate.HostMaintenance
	}
	return v.maintenanceStarted[wave][name] && v.absentLists[name] < MinListsWithoutHost
}

// leftToPools reports whether an idle host is not taken down now, because a pool
// that lacks workers can use it. The long-running tasks of its own pool can use it
// only if it is reserved: it would be needed otherwise. A host that is idle because
// its worker was evacuated is left to no others: tasks would have moved for nothing.
func (v *view) leftToPools(h *estate.Host, behindSchedule bool) bool {
	evacuated := v.evacuating[h.Name] == h.WorkerID && h.WorkerID != ""
	switch {
	case v.lacking(h.Pool) > 0 && (evacuated || v.draining[h.Name] != ""):
		return true
	case evacuated:
		return false
	case v.idleToMaintain <= 0 && v.mayLend(h):
		return true
	}
	return v.missingWorkers() > 0 && !behindSchedule
}

// mayLend reports whether the host's pool has more workers than it needs, so that
// an idle host of it can move to another pool.
func (v *view) mayLend(h *estate.Host) bool {
	if v.standby(h) {
		return true
	}
	need := v.need(h.Pool)
	return need != nil && need.serving > need.size
}

// missingWorkers returns how many workers all pools together lack.
func (v *view) missingWorkers() int {
	n := 0
	for _, need := range v.needs {
		n += max(0, need.size-need.serving)
	}
	return n
}

// lackingWorkers returns how many workers the long-running tasks of all pools
// together lack.
func (v *view) lackingWorkers() int {
	n := 0
	for _, need := range v.needs {
		n += need.lacking
	}
	return n
}

// lacking returns how many workers the long-running tasks of a pool lack.
func (v *view) lacking(pool string) int {
	if need := v.need(pool); need != nil {
		return need.lacking
	}
	return 0
}

// evacuationTimeout is how long the evacuation of a worker keeps a slot of a wave
// from other hosts: its tasks may fit on no other worker.
const evacuationTimeout = 10 * time.Second

// evacuationTimedOut reports whether the last evacuation of a host did not end in
// time.
func (v *view) evacuationTimedOut(h *estate.Host) bool {
	since, ok := v.evacuatingSince[h.Name]
	return ok && v.Now-since >= evacuationTimeout
}

// maintenanceCost ranks the hosts of a wave by how much their maintenance costs
// their pool, in the order: standby hosts, idle hosts, hosts that are being
// evacuated, hosts with few long-running tasks in pools with a low load, hosts
// whose long-running tasks fit nowhere else, hosts whose evacuation did not end in
// time, the longest ago first.
func (v *view) maintenanceCost(h *estate.Host) float64 {
	w := v.workers[h.WorkerID]
	switch {
	case v.standby(h):
		return 0
	case v.idle(h):
		return 0.5 + v.load(h.Pool)/10
	case w == nil:
		return math.Inf(1)
	case v.evacuationTimedOut(h):
		return 1e6 + v.evacuatingSince[h.Name].Seconds()
	}
	if w.LackingToEmpty > 0 {
		return 900
	}
	if v.evacuating[h.Name] != "" {
		return 1
	}
	const longRunningWeight = 10 // one long-running task counts like ten fully used workers
	return 2 + longRunningWeight*float64(w.LongRunningTasks) + w.Used/max(w.Cores, 1) + v.load(h.Pool)
}

// load returns the share of a pool's cores that are used or waited for. It
// exceeds 1 when tasks wait that the pool has no capacity for.
func (v *view) load(name string) float64 {
	pool := v.pools[name]
	if pool == nil {
		return 0
	}
	used, cores := pool.Waiting, 0.0
	for _, w := range pool.Workers {
		used += w.Used
		cores += w.Cores
	}
	return used / max(cores, 1)
}

const (
	// maxEvacuatingShare bounds the share of a pool's workers that are
	// evacuated at the same time.
	maxEvacuatingShare = 0.34
	// busyLoad is the load above which a pool's workers are evacuated only for
	// a wave that is behind schedule. So are those of a pool whose long-running
	// tasks lack workers.
	busyLoad = 0.8
)

// scheduleShare is the share of a wave's duration in which its hosts are to be
// maintained, at an even rate. A wave that is behind this schedule takes hosts
// from busy pools and during surges too.
const scheduleShare = 0.65

// mayEvacuate reports whether a host's worker may be evacuated now.
func (v *view) mayEvacuate(h *estate.Host, selected map[string]bool, behindSchedule bool) bool {
	pool := v.pools[h.Pool]
	if pool == nil || v.workers[h.WorkerID] == nil {
		return false
	}
	if v.evacuating[h.Name] != "" {
		return true
	}
	busy := v.lacking(h.Pool) > 0 || v.load(h.Pool) > busyLoad
	if v.workers[h.WorkerID].Needed || (busy && !behindSchedule) {
		return false
	}
	evacuating := v.borrowing[h.Pool]
	for name := range selected {
		if other := v.hosts[name]; other != nil && other.Pool == h.Pool {
			if v.workers[other.WorkerID].Open {
				return false // the tasks of the other host may need the same places
			}
			evacuating++
		}
	}
	return evacuating < max(1, int(maxEvacuatingShare*float64(len(pool.Workers))))
}
