package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

var drawnNow = time.Unix(1_800_000_000, 0)

// drawState draws pools with hosts in any phase and any demand.
func drawState(t *rapid.T) State {
	s := State{Now: drawnNow, Reaction: 3 * time.Second}
	n := 0
	for i := range rapid.IntRange(2, 6).Draw(t, "pools") {
		p := Pool{Deadline: 2 * time.Second, Values: &settings.PoolValues{
			Pool: fmt.Sprintf("p%d", i), Spare: i == 0, MinStay: time.Minute, Availability: 0.999,
			MinHosts:     rapid.IntRange(0, 4).Draw(t, "min"),
			BufferWeight: rapid.Float64Range(0, 10).Draw(t, "buffer"),
			MoveWeight:   rapid.Float64Range(0, 2).Draw(t, "move"),
		}}
		for range rapid.IntRange(0, 10).Draw(t, "hosts") {
			h := Host{Name: fmt.Sprintf("h%02d", n), Slots: 8, Since: drawnNow.Add(-time.Duration(rapid.IntRange(0, 120).Draw(t, "stay")) * time.Second)}
			h.Place = datacentre.Place{DataCentre: fmt.Sprint(n % 3), Rack: fmt.Sprint(n % 7)}
			h.Phase = rapid.SampledFrom([]host.Phase{host.Serving, host.Serving, host.Serving, host.Draining, host.Stopped, host.Lost}).Draw(t, "phase")
			if h.Phase == host.Draining {
				h.Purpose = rapid.SampledFrom([]host.Purpose{host.ForMove, host.ForMaintenance, host.ForLeaving}).Draw(t, "purpose")
				h.MoveTo = "p1"
			}
			h.Pinned = rapid.IntRange(0, 3).Draw(t, "pinned") == 0
			p.Hosts = append(p.Hosts, h)
			n++
		}
		p.Demand = drawHistory(t)
		s.Pools = append(s.Pools, p)
	}
	return s
}

// drawHistory draws a constant demand or none, possibly with a surge or a drop
// at the end.
func drawHistory(t *rapid.T) History {
	var h History
	steady := rapid.Float64Range(0, 20).Draw(t, "steady")
	for k := range rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "samples") {
		h = h.Observe(Sample{At: drawnNow.Add(time.Duration(k-41) * 5 * time.Second), Busy: steady})
	}
	last := steady * rapid.SampledFrom([]float64{1, 0.05, 5}).Draw(t, "level")
	return h.Observe(Sample{At: drawnNow, Busy: last})
}

// TestSizeMovesOnlyHostsThatMayGo guards against moving a host twice, moving
// one that isn't serving, is pinned or is within its minimum stay, and leaving
// a pool below its minimum. The states are random.
func TestSizeMovesOnlyHostsThatMayGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		plan := Size(s)
		reversed := s
		reversed.Pools = slices.Clone(s.Pools)
		slices.Reverse(reversed.Pools)
		if diff := cmp.Diff(plan.Moves, Size(reversed).Moves); diff != "" {
			t.Fatalf("equal states give different decisions: %s", diff)
		}
		hosts := map[string]Host{}
		serving := map[string]int{}
		values := map[string]*settings.PoolValues{}
		for _, p := range s.Pools {
			values[p.Values.Pool] = p.Values
			for _, h := range p.Hosts {
				hosts[p.Values.Pool+h.Name] = h
			}
			serving[p.Values.Pool] = servingHosts(&p)
		}
		for _, m := range plan.Moves {
			h, ok := hosts[m.From+m.Host]
			delete(hosts, m.From+m.Host)
			stays := !values[m.From].Spare && s.Now.Sub(h.Since) < values[m.From].MinStay
			if !ok || h.Phase != host.Serving || h.Pinned || stays || m.From == m.To {
				t.Fatalf("move %+v of %+v", m, h)
			}
			serving[m.From]--
			if serving[m.From] < values[m.From].MinHosts {
				t.Fatalf("%s falls to %d hosts, minimum %d", m.From, serving[m.From], values[m.From].MinHosts)
			}
		}
	})
}

// steady returns the history of a constant demand.
func steady(busy float64) History {
	var h History
	for k := range 60 {
		h = h.Observe(Sample{At: drawnNow.Add(time.Duration(k-60) * 5 * time.Second), Busy: busy})
	}
	return h
}

// smallPool returns a pool with a host in each of the racks.
func smallPool(name string, spare bool, demand History, racks ...string) Pool {
	p := Pool{Demand: demand, Values: &settings.PoolValues{
		Pool: name, Spare: spare, MinHosts: 1, Availability: 0.9999,
	}}
	for i, rack := range racks {
		p.Hosts = append(p.Hosts, Host{
			Name: fmt.Sprint(name, i), Slots: 8, Phase: host.Serving,
			Place: datacentre.Place{DataCentre: rack[:1], Rack: rack},
		})
	}
	return p
}

// TestMoveKeepsRackSpread guards against moves that concentrate a pool in one
// rack: the host comes from the rack that holds two hosts of the spare pool,
// and not from the rack where the receiving pool already has one.
func TestMoveKeepsRackSpread(t *testing.T) {
	busy := steady(1)
	busy.Last.Busy = 14
	plan := Size(State{Now: drawnNow, Reaction: time.Second, Pools: []Pool{
		smallPool("spare", true, steady(1), "1a", "2b", "2b", "2c"),
		smallPool("work", false, busy, "1a"),
	}})
	if len(plan.Moves) != 1 || plan.Moves[0].Host != "spare1" {
		t.Fatalf("moves %+v, want spare1 alone", plan.Moves)
	}
}

// TestShortageIsShared guards against an uneven shortage: of two pools that
// want six hosts each, the one with six gives two to the one with two. With
// four and three hosts nothing moves, since no move would make the shortage
// more even.
func TestShortageIsShared(t *testing.T) {
	s := State{Now: drawnNow, Reaction: time.Second, Pools: []Pool{
		smallPool("spare", true, steady(1), "1a"),
		smallPool("poor", false, steady(9), "1a", "2b"),
		smallPool("rich", false, steady(9), "1a", "2b", "2c", "3d", "3e", "3f"),
	}}
	plan := Size(s)
	if len(plan.Moves) != 2 || plan.Moves[0].From != "rich" || plan.Moves[1].Reason != ReasonShare {
		t.Fatalf("moves %+v, want two from rich to poor", plan.Moves)
	}
	s.Pools[1].Hosts = append(s.Pools[1].Hosts, s.Pools[2].Hosts[5:]...)
	s.Pools[2].Hosts = s.Pools[2].Hosts[:4]
	if plan := Size(s); len(plan.Moves) > 0 || plan.Shortage != 5 {
		t.Fatalf("moves %+v, short %d, want none and 5", plan.Moves, plan.Shortage)
	}
}

// BenchmarkSize180 sizes 180 pools with 3,400 hosts while every tenth pool
// surges.
func BenchmarkSize180(b *testing.B) {
	s := State{Now: drawnNow, Reaction: 3 * time.Second}
	for i := range 180 {
		values := &settings.PoolValues{
			Pool: fmt.Sprintf("p%d", i), Spare: i == 0, Hosts: make([]string, 19),
			BufferWeight: 10, MoveWeight: 0.02, MinHosts: 2, Availability: 0.999,
		}
		d := deployment{[]*settings.PoolValues{values}, []time.Duration{2 * time.Second}}
		p := d.fleet(0)[0]
		for j := range p.Hosts {
			p.Hosts[j].Name = fmt.Sprintf("p%d-%d", i, j)
			p.Hosts[j].Rack = fmt.Sprintf("r%d", (i*19+j)/4)
		}
		for k := range 60 {
			demand := 30.0
			if k >= 58 && i%10 == 0 {
				demand = 150
			}
			p.Demand = p.Demand.Observe(Sample{At: drawnNow.Add(time.Duration(k-60) * 5 * time.Second), Busy: demand})
		}
		s.Pools = append(s.Pools, p)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(Size(s).Moves) == 0 {
			b.Fatal("no move")
		}
	}
}
