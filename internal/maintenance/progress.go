package maintenance

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

const (
	// rateWindow is the maximum age of the completions that the maintenance
	// rate is computed from.
	rateWindow = 24 * time.Hour
	// minCompletions is the minimum number of completions to compute a rate
	// from.
	minCompletions = 3
)

// Progress is the progress of the maintenance of one pool.
type Progress struct {
	Pool string
	// Hosts is the number of hosts of the pool.
	Hosts int
	// Done is the number of hosts that aren't due.
	Done int
	// Active is the number of hosts in maintenance that aren't overdue.
	Active int
	// Overdue lists the hosts that exceeded their drain or return timeout.
	Overdue []string
	// Waiting is why no further host is drained, or ReasonNone.
	Waiting Reason
	// Extra is the number of hosts that pool sizing should add so that a host
	// can be drained.
	Extra int
	// Known reports whether Complete is set. There is no estimate while a host
	// is lost or overdue, while the wave waits with no host in maintenance, and
	// before enough hosts were maintained to compute a rate.
	Known bool
	// Complete is the estimated time at which no host is due any more, at the
	// rate within rateWindow.
	Complete time.Time
}

// Report returns the progress of every pool, in the order of State.Pools.
func Report(state State) []Progress {
	p := newPlanner(&state)
	all := make([]Progress, len(state.Pools))
	for i := range state.Pools {
		all[i] = p.progress(i)
	}
	return all
}

// progress computes the progress of one pool.
func (p *planner) progress(i int) Progress {
	pool := &p.state.Pools[i]
	out := Progress{Pool: pool.Values.Pool, Hosts: len(pool.Hosts)}
	left, lost := 0, 0
	for j := range pool.Hosts {
		h := &pool.Hosts[j]
		switch {
		case overdue(pool, h, p.state.Now):
			out.Overdue = append(out.Overdue, h.Name)
			left++
		case inMaintenance(h):
			out.Active++
			left++
		case h.Phase == host.Lost:
			lost++
		case due(pool, h, p.state.Now):
			left++
		default:
			out.Done++
		}
	}
	out.Waiting = p.health[i].paused
	if out.Waiting == ReasonNone && left+lost > 0 {
		out.Waiting = blockReason(pool, p.health[i])
	}
	if out.Waiting == ReasonNeed {
		out.Extra = 1
	}
	progressing := out.Waiting == ReasonNone || out.Active > 0
	if progressing && lost+len(out.Overdue) == 0 {
		out.Complete, out.Known = estimate(pool, left, p.state.Now)
	}
	return out
}

// estimate returns the time at which the remaining hosts will be done at the
// rate within rateWindow. It returns false without enough completions.
func estimate(p *Pool, left int, now time.Time) (time.Time, bool) {
	if left == 0 {
		return now, true
	}
	done, first := 0, now
	for i := range p.Hosts {
		at := p.Hosts[i].Maintained
		if now.Sub(at) > rateWindow {
			continue
		}
		done++
		if at.Before(first) {
			first = at
		}
	}
	if done < minCompletions {
		return time.Time{}, false
	}
	each := now.Sub(first) / time.Duration(done-1)
	return now.Add(time.Duration(left) * each), true
}
