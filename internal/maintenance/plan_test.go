package maintenance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// estate simulates hosts that fail and return late, and carries out the steps
// of Plan on them.
type estate struct {
	State
	fatal func(string, ...any)
}

func newEstate(pools, hosts, maxUnavailable int, fatal func(string, ...any)) *estate {
	e := &estate{State: State{Now: time.Unix(1_800_000_000, 0)}, fatal: fatal}
	for i := range pools {
		p := Pool{Need: 1, Values: &settings.PoolValues{
			Pool: fmt.Sprintf("p%d", i), Region: "r", MinHosts: 1, MaxUnavailable: maxUnavailable,
			MaintenancePeriod: 49 * 24 * time.Hour, DrainTimeout: 10 * time.Minute, ReturnTimeout: 15 * time.Minute,
		}}
		for j := range hosts {
			n := i*hosts + j
			p.Hosts = append(p.Hosts, Host{
				Name: fmt.Sprintf("h%04d", n), Phase: host.Serving, Since: e.Now, Listed: true,
				Place: datacentre.Place{Region: "r", DataCentre: fmt.Sprint(n % 3), Rack: fmt.Sprint(n / 4)},
			})
		}
		e.Pools = append(e.Pools, p)
	}
	return e
}

func (e *estate) count(p *Pool) (serving, unavailable, recentlyLost int) {
	for _, h := range p.Hosts {
		switch {
		case h.Phase == host.Serving:
			serving++
		default:
			unavailable++
		}
		if h.Phase == host.Lost && e.Now.Sub(h.Since) < failurePause {
			recentlyLost++
		}
	}
	return serving, unavailable, recentlyLost
}

// step carries out a plan and checks every step. A drain must respect
// MaxUnavailable, the needed hosts and pauses, and a host may only be stopped
// with nothing in flight.
func (e *estate) step() int {
	steps := Plan(e.State)
	for _, s := range steps {
		var p *Pool
		for i := range e.Pools {
			if e.Pools[i].Values.Pool == s.Pool {
				p = &e.Pools[i]
			}
		}
		var h *Host
		for j := range p.Hosts {
			if p.Hosts[j].Name == s.Host {
				h = &p.Hosts[j]
			}
		}
		serving, unavailable, recentlyLost := e.count(p)
		switch s.Action {
		case Pause, Resume:
			p.Paused = s.Action == Pause
		case Drain:
			if unavailable >= p.Values.MaxUnavailable || serving-1 < max(p.Need, p.Values.MinHosts) {
				e.fatal("drain of %s with %d unavailable of %d and %d serving", s.Host, unavailable, p.Values.MaxUnavailable, serving)
			}
			if recentlyLost > 0 || p.Paused {
				e.fatal("drain of %s shortly after a failure", s.Host)
			}
			h.Phase, h.Purpose, h.Since = host.Draining, host.ForMaintenance, e.Now
			h.Drained, h.Rebooted = false, false
		case Stop:
			if !h.Drained || h.InFlight+h.Tasks > 0 {
				e.fatal("stop of %+v", h)
			}
			h.Phase, h.Since = host.Stopped, e.Now
		case Reboot:
			h.Rebooted, h.Listed = true, false
		case Return:
			if h.Phase == host.Stopped {
				h.Maintained = e.Now
			}
			h.Phase, h.Purpose, h.Since = host.Serving, host.ForNothing, e.Now
		}
	}
	return len(steps)
}

// endFailures ends all failures and finishes all work in flight.
func (e *estate) endFailures() {
	for i := range e.Pools {
		for j := range e.Pools[i].Hosts {
			h := &e.Pools[i].Hosts[j]
			if h.Phase == host.Lost {
				h.Phase, h.Purpose, h.Since = host.Serving, host.ForNothing, e.Now
			}
			h.Listed, h.Drained, h.InFlight, h.Tasks = true, true, 0, 0
		}
	}
}

// TestWavesKeepBudgetsAndComplete guards against steps that exceed a budget,
// and against waves that never complete. Failures, late returns, work in flight
// and changes of settings occur in random order; after the failures end, every
// host must be maintained.
func TestWavesKeepBudgetsAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEstate(2, rapid.IntRange(4, 9).Draw(t, "hosts"), 2, t.Fatalf)
		anyHost := func(t *rapid.T) (*Pool, *Host) {
			p := &e.Pools[rapid.IntRange(0, 1).Draw(t, "pool")]
			return p, &p.Hosts[rapid.IntRange(0, len(p.Hosts)-1).Draw(t, "host")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(*rapid.T) { e.step() },
			"time": func(t *rapid.T) {
				e.Now = e.Now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
			},
			"lose": func(t *rapid.T) {
				_, h := anyHost(t)
				h.Phase, h.Purpose, h.Since, h.Listed = host.Lost, host.ForNothing, e.Now, false
			},
			"leave": func(t *rapid.T) {
				if _, h := anyHost(t); h.Phase == host.Serving {
					h.Phase, h.Purpose, h.Since = host.Draining, host.ForLeaving, e.Now
				}
			},
			"work": func(t *rapid.T) {
				p, _ := anyHost(t)
				for j := range p.Hosts {
					h := &p.Hosts[j]
					h.InFlight, h.Tasks = rapid.IntRange(0, 1).Draw(t, "in flight"), rapid.IntRange(0, 1).Draw(t, "tasks")
				}
			},
			"drained": func(t *rapid.T) {
				p, _ := anyHost(t)
				for j := range p.Hosts {
					p.Hosts[j].Drained = true
				}
			},
			"listed": func(t *rapid.T) { _, h := anyHost(t); h.Listed = h.Phase != host.Lost },
			"settings": func(t *rapid.T) {
				p, _ := anyHost(t)
				p.Values.MaxUnavailable = rapid.IntRange(0, 3).Draw(t, "max unavailable")
				p.Need = rapid.IntRange(0, len(p.Hosts)).Draw(t, "need")
			},
		})
		for i := range e.Pools {
			e.Pools[i].Need, e.Pools[i].Values.MaxUnavailable = 1, 2
			for j := range e.Pools[i].Hosts {
				if h := &e.Pools[i].Hosts[j]; h.Purpose == host.ForLeaving {
					h.Phase, h.Purpose = host.Serving, host.ForNothing
				}
			}
		}
		for range 1000 {
			e.endFailures()
			e.step()
			e.Now = e.Now.Add(time.Minute)
		}
		for _, p := range Report(e.State) {
			if p.Done != p.Hosts || !p.Known {
				t.Fatalf("not complete without failures: %+v", p)
			}
		}
	})
}

// TestCorrelatedFailurePausesWaveWithinBudget guards against more unavailable
// hosts than the three allowed: one host fails while others are in maintenance,
// and two more fail after those returned.
func TestCorrelatedFailurePausesWaveWithinBudget(t *testing.T) {
	e := newEstate(1, 12, 3, t.Fatalf)
	p := &e.Pools[0]
	lose := func(i int) { p.Hosts[i].Phase, p.Hosts[i].Since = host.Lost, e.Now }
	for minute := range 8 {
		for i := range p.Hosts {
			p.Hosts[i].Drained = true
			p.Hosts[i].Listed = minute >= 4
		}
		e.step()
		switch minute {
		case 2:
			lose(11)
		case 6:
			lose(10)
			lose(9)
		}
		if _, unavailable, _ := e.count(p); unavailable > p.Values.MaxUnavailable {
			t.Fatalf("%d hosts unavailable in minute %d", unavailable, minute)
		}
		e.Now = e.Now.Add(time.Minute)
	}
	if got := Report(e.State)[0]; got.Done == 0 || got.Waiting != ReasonPoolFailure || got.Known {
		t.Errorf("progress %+v, want some done, a pause and no estimate", got)
	}
	e.endFailures()
	e.step()
	if p.Paused {
		t.Error("wave not resumed after the failures ended")
	}
}

// TestHostThatNeverReturnsFreesWaveNotBudget guards against a wave that waits
// forever for a host that doesn't return from its reboot. After the return
// timeout other racks proceed, while the host still counts as unavailable.
func TestHostThatNeverReturnsFreesWaveNotBudget(t *testing.T) {
	e := newEstate(1, 8, 2, t.Fatalf)
	p := &e.Pools[0]
	for range 600 {
		for i := range p.Hosts {
			p.Hosts[i].Drained = true
			p.Hosts[i].Listed = i != 0
		}
		e.step()
		e.Now = e.Now.Add(time.Minute)
	}
	got := Report(e.State)[0]
	if got.Done != 7 || len(got.Overdue) != 1 || got.Known {
		t.Errorf("progress %+v, want 7 done, one overdue and no estimate", got)
	}
	p.Values.MaxUnavailable = 1
	for i := range p.Hosts {
		p.Hosts[i].Maintained = time.Time{}
	}
	e.step()
	if _, unavailable, _ := e.count(p); unavailable != 1 {
		t.Errorf("%d hosts unavailable, the missing host uses the whole budget of 1", unavailable)
	}
}

// TestUnlistedHostKeepsOtherRacksWaiting guards against starting on a second
// rack while a host of the first reboots and its place is unknown, because the
// platform lists live hosts only.
func TestUnlistedHostKeepsOtherRacksWaiting(t *testing.T) {
	e := newEstate(1, 12, 4, t.Fatalf)
	h := &e.Pools[0].Hosts[0]
	h.Phase, h.Purpose, h.Rebooted, h.Listed = host.Stopped, host.ForMaintenance, true, false
	h.Place = datacentre.Place{}
	if steps := Plan(e.State); len(steps) > 0 {
		t.Errorf("steps %+v while a host of the wave is unavailable", steps)
	}
}

// BenchmarkWavePlan180 plans for 180 pools with 3,400 hosts, all of them due.
func BenchmarkWavePlan180(b *testing.B) {
	e := newEstate(180, 19, 2, b.Fatalf)
	b.ReportAllocs()
	for b.Loop() {
		if len(Plan(e.State)) == 0 {
			b.Fatal("no step")
		}
	}
}
