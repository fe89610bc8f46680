package maintenance

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

const (
	// rateWindow is how far back completed maintenance counts for the rate.
	rateWindow = 24 * time.Hour
	// minCompletions is how many completions a rate needs to be given.
	minCompletions = 3
)

// Progress is how far the maintenance of one pool has got.
type Progress struct {
	Pool string
	// Hosts counts all hosts of the pool.
	Hosts int
	// Done counts the hosts that are not due.
	Done int
	// Active counts the hosts that are in maintenance in time.
	Active int
	// Overdue names the hosts whose drain or return takes too long.
	Overdue []string
	// Waiting is why no further host is taken, or ReasonNone.
	Waiting Reason
	// Extra is how many hosts pool sizing should add so that one can be taken.
	Extra int
	// Known says that Complete is an estimate. It is not given while the wave
	// waits, nor while a host is lost or overdue, nor before enough hosts were
	// maintained to tell a rate.
	Known bool
	// Complete is when no host is due any more, at the rate of the last day.
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

// progress works out the progress of one pool.
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

// estimate returns when so many hosts are done at the rate of the last day.
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
