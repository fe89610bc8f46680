package fleetplan

import (
	"cmp"
	"slices"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// maintain goes on with every wave.
func (v *view) maintain() {
	waves := slices.Clone(v.Waves)
	slices.SortFunc(waves, func(a, b estate.Wave) int { return cmp.Compare(a.Number, b.Number) })
	wanted := map[string]bool{}
	for _, w := range waves {
		if !v.completed[w.Number] {
			v.maintainWave(w, wanted)
		}
	}
	for host, worker := range v.emptying {
		if _, ordered := v.orders[host]; !wanted[host] && !ordered {
			delete(v.emptying, host)
			v.decide(Decision{Kind: Open, Host: host, Worker: worker, Reason: "not to be maintained now"})
		}
	}
}

// maintainWave takes down what is idle, within the wave's bound, and empties
// the next hosts.
func (v *view) maintainWave(w estate.Wave, wanted map[string]bool) {
	if _, ok := v.waveSeen[w.Number]; !ok {
		v.waveSeen[w.Number] = v.Now
	}
	down := 0
	var left []*estate.Host
	missing := 0
	for _, name := range w.Hosts {
		h := v.hosts[name]
		if o, ok := v.orders[name]; ok && o.kind == Maintain && o.wave == w.Number {
			down++
		} else if h != nil && h.State == estate.HostMaintenance {
			down++
		}
		if v.begun[w.Number][name] || h == nil {
			continue // maintained, or it has left the estate
		}
		missing++
		if v.free(h) {
			left = append(left, h)
		}
	}
	if missing == 0 {
		v.completed[w.Number] = true
		v.decide(Decision{Kind: Complete, Wave: w.Number})
		return
	}
	slices.SortStableFunc(left, func(a, b *estate.Host) int { return cmp.Compare(v.burden(a), v.burden(b)) })
	room := w.MaxDown - down
	unmet := v.unmet()
	due := float64(v.Now-v.waveSeen[w.Number]) / (paceShare * float64(w.Duration)) * float64(len(w.Hosts))
	urgent := float64(len(w.Hosts)-missing) < due
	for _, h := range left {
		if room <= 0 || !v.mayOrder() {
			return
		}
		room--
		if v.idle(h) && unmet > 0 && !urgent {
			continue // it is about to serve a surge
		}
		if v.idle(h) {
			v.decide(Decision{Kind: Maintain, Host: h.Name, Worker: h.WorkerID, From: h.Pool, Wave: w.Number})
			continue
		}
		if v.mayEmpty(h, wanted, urgent) {
			wanted[h.Name] = true
			v.emptying[h.Name] = h.WorkerID
			v.decide(Decision{Kind: Evacuate, Host: h.Name, Worker: h.WorkerID, Wave: w.Number})
		}
	}
}

// unmet counts the workers that pools lack.
func (v *view) unmet() int {
	n := 0
	for _, w := range v.wanted {
		n += max(0, w.size-w.have)
	}
	return n
}

// burden is what taking a host down costs its pool, for the order within a
// wave: idle hosts first, those that are being emptied next, then those with
// few lasting tasks in pools with little to do.
func (v *view) burden(h *estate.Host) float64 {
	w := v.workers[h.WorkerID]
	switch {
	case v.standby(h):
		return 0
	case v.idle(h):
		return 0.5 + v.pressure(h.Pool)/10
	case v.emptying[h.Name] != "":
		return 1
	case w == nil:
		return 1000
	}
	const lastingWeight = 10 // a lasting task counts as ten fully used workers
	return 2 + lastingWeight*float64(w.LongRunningTasks) + w.Used/max(w.Cores, 1) + v.pressure(h.Pool)
}

// pressure is the share of a pool's cores that are used or asked for.
func (v *view) pressure(name string) float64 {
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
	// emptyShare bounds the part of a pool's workers that are emptied at once.
	emptyShare = 0.34
	// busyPressure is the pressure above which a pool's workers are not
	// emptied while others can be.
	busyPressure = 0.8
)

// paceShare is the part of a wave's time in which its hosts are to be
// maintained, at an even pace. A wave that is behind takes hosts from busy pools
// and from surges too.
const paceShare = 0.65

// mayEmpty reports whether a host's worker may be emptied now.
func (v *view) mayEmpty(h *estate.Host, wanted map[string]bool, urgent bool) bool {
	pool := v.pools[h.Pool]
	if pool == nil || v.workers[h.WorkerID] == nil {
		return false
	}
	if v.emptying[h.Name] != "" {
		return true
	}
	if v.pressure(h.Pool) > busyPressure && !urgent {
		return false
	}
	emptying := 0
	for name := range wanted {
		if other := v.hosts[name]; other != nil && other.Pool == h.Pool {
			emptying++
		}
	}
	return emptying < max(1, int(emptyShare*float64(len(pool.Workers))))
}
