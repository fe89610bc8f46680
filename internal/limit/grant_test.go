package limit

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/host"
)

// hostsAndDemand returns hosts of 8 slots and 64 connections, and entries of
// equal demand.
func hostsAndDemand(hosts, entries int) ([]host.Host, []Demand) {
	var all []host.Host
	for i := range hosts {
		all = append(all, host.Host{Name: fmt.Sprint("host-", i), Slots: 8, Connections: 64})
	}
	var demand []Demand
	for i := range entries {
		demand = append(demand, Demand{Holder: Holder{Entry: fmt.Sprint("entry-", i)}, Busy: 1})
	}
	return all, demand
}

func TestDivideGrantsAllSlotsAndKeepsConnectionsForANewEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, demand := hostsAndDemand(rapid.IntRange(1, 12).Draw(t, "hosts"), rapid.IntRange(1, 12).Draw(t, "entries"))
		total := 0.0
		for i := range demand {
			demand[i].Busy = rapid.Float64Range(0, 50).Draw(t, "busy")
			total += demand[i].Busy
		}
		slots, connections := map[string]int{}, map[string]int{}
		ofEntry := map[Holder]int{}
		for _, g := range Divide(hosts, demand, DefaultRules()) {
			slots[g.Host] += g.Slots
			connections[g.Host] += g.Connections
			ofEntry[g.Holder] += g.Slots
			if g.Connections < 1 || g.Connections > 16 {
				t.Fatalf("%d connections granted, want 1 to 16", g.Connections)
			}
		}
		for _, h := range hosts {
			free := h.Connections - connections[h.Name]
			if slots[h.Name] != h.Slots || free < h.Connections/(len(demand)+1) {
				t.Fatalf("%s: %d slots granted, %d connections free", h.Name, slots[h.Name], free)
			}
		}
		for _, d := range demand {
			want := float64(8*len(hosts)) / float64(len(demand))
			if total > 0 {
				want = want/2 + float64(4*len(hosts))*d.Busy/total
			}
			if off := math.Abs(float64(ofEntry[d.Holder]) - want); off >= 2 {
				t.Fatalf("%s has %d slots, want about %.2f", d.Entry, ofEntry[d.Holder], want)
			}
		}
	})
}

func TestGrantsDoNotChangeWithSmallDemandChanges(t *testing.T) {
	hosts, demand := hostsAndDemand(9, 9)
	rules := DefaultRules()
	stabilized := StabilizeDemand(nil, demand, rules)
	first := Divide(hosts, stabilized, rules)
	rapid.Check(t, func(t *rapid.T) {
		reported := slices.Clone(demand)
		for i := range reported {
			reported[i].Busy = rapid.Float64Range(0.9, 1.1).Draw(t, "busy")
		}
		again := Divide(hosts, StabilizeDemand(stabilized, reported, rules), rules)
		if diff := cmp.Diff(first, again); diff != "" {
			t.Fatal(diff)
		}
	})
	demand[3].Busy = 9
	if cmp.Equal(first, Divide(hosts, StabilizeDemand(stabilized, demand, rules), rules)) {
		t.Error("grants did not change although an entry's demand rose ninefold")
	}
}

func TestLinksOfALargePoolStayWithinHostConnections(t *testing.T) {
	for _, size := range []struct{ hosts, entries int }{{19, 590}, {400, 590}} {
		hosts, demand := hostsAndDemand(size.hosts, size.entries)
		before := Links(hosts, demand, DefaultRules())
		for i, linked := range before {
			if len(linked) > 63 {
				t.Errorf("%d hosts: %d entries link to %s", size.hosts, len(linked), hosts[i].Name)
			}
		}
		// Removing a host may change only the links of holders that had
		// skipped full hosts.
		after := Links(hosts[1:], demand, DefaultRules())
		lost := 0
		for i, linked := range before[1:] {
			for _, e := range linked {
				if !slices.Contains(after[i], e) {
					lost++
				}
			}
		}
		if all := size.hosts * 63; lost > all/size.hosts*2 {
			t.Errorf("%d hosts: removing one breaks %d of %d other links", size.hosts, lost, all)
		}
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, size := range []struct{ hosts, entries int }{{9, 9}, {19, 59}, {19, 590}, {400, 590}} {
		b.Run(fmt.Sprintf("%dx%d", size.hosts, size.entries), func(b *testing.B) {
			hosts, demand := hostsAndDemand(size.hosts, size.entries)
			b.ReportAllocs()
			for b.Loop() {
				Divide(hosts, demand, DefaultRules())
			}
		})
	}
}
