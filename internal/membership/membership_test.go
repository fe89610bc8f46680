package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// gate is a table that blocks the scans of a paused member. Each scan needs
// the token, which pause takes away and resume returns.
type gate struct {
	platform.Table
	token chan struct{}
}

func (g *gate) pause()  { <-g.token }
func (g *gate) resume() { g.token <- struct{}{} }

func (g *gate) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	g.pause()
	g.resume()
	return g.Table.Scan(ctx, prefix, after)
}

// start runs n members until ctx ends. Their starts are spread over one
// period.
func start(ctx context.Context, table *standin.Table, n int) ([]*Manager, []*gate) {
	managers := make([]*Manager, n)
	gates := make([]*gate, n)
	for i := range n {
		gates[i] = &gate{Table: table, token: make(chan struct{}, 1)}
		gates[i].resume()
		self := MemberRow{Name: fmt.Sprint("control", i), Incarnation: uint64(i + 1)}
		managers[i] = NewManager(Config{Table: gates[i], Self: self})
		go managers[i].Run(ctx)
		time.Sleep(DefaultPeriod / time.Duration(n))
	}
	time.Sleep(2 * DefaultPeriod)
	return managers, gates
}

// dead returns the names of the members that any of the observers considers
// dead.
func dead(managers ...*Manager) []string {
	var names []string
	for _, m := range managers {
		for _, o := range m.Snapshot().Members {
			if !o.Live {
				names = append(names, o.Name)
			}
		}
	}
	return names
}

// TestNobodyDiesOfTheTable guards against live members being considered dead
// because of a faulty table. The table is unavailable for a minute at a time
// or for nine seconds of every ten (so that the same members reach it each
// time), drops all commits, or is almost as slow as the lease.
func TestNobodyDiesOfTheTable(t *testing.T) {
	faults := map[string]standin.Faults{
		"down":          {Down: true},
		"flaps":         {Down: true},
		"drops commits": {DropCommits: 1 << 30},
		"slow":          {Latency: 9 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				managers, _ := start(t.Context(), table, 3)
				for second := range 400 {
					up := name == "flaps" && second%10 == 9
					if second%100 == 0 || name == "flaps" && !up {
						table.SetFaults(fault)
					}
					if second%100 == 60 || up {
						table.SetFaults(standin.Faults{})
					}
					time.Sleep(time.Second)
					if names := dead(managers...); names != nil {
						t.Fatalf("after %d s %v are considered dead", second, names)
					}
				}
			})
		})
	}
}

// TestPausedMemberIsTakenForDeadAndComesBack guards against a paused member
// staying live, and against a resumed one staying dead. It pauses one of three
// members, once without and once with a table outage during the pause.
func TestPausedMemberIsTakenForDeadAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		managers, gates := start(t.Context(), table, 3)
		for _, outage := range []bool{false, true} {
			gates[2].pause()
			if outage {
				table.SetFaults(standin.Faults{Down: true})
				time.Sleep(time.Minute)
				table.SetFaults(standin.Faults{})
			}
			time.Sleep(DefaultLease + 3*DefaultPeriod)
			if diff := cmp.Diff([]string{"control2", "control2"}, dead(managers[:2]...)); diff != "" {
				t.Errorf("outage %t: dead members differ (-want +got):\n%s", outage, diff)
			}
			gates[2].resume()
			time.Sleep(3 * DefaultPeriod)
			if names := dead(managers...); names != nil {
				t.Errorf("outage %t: %v are still considered dead", outage, names)
			}
		}
	})
}

// TestReplacedMemberStops guards against two processes running under one name:
// the older one must stop.
func TestReplacedMemberStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		stopped := make(chan error, 1)
		old := NewManager(Config{Table: table, Self: MemberRow{Name: "a", Incarnation: 1}})
		go func() { stopped <- old.Run(t.Context()) }()
		time.Sleep(3 * DefaultPeriod)
		successor := NewManager(Config{Table: table, Self: MemberRow{Name: "a", Incarnation: 2}})
		go successor.Run(t.Context())
		if err := <-stopped; !errors.Is(err, ErrReplaced) {
			t.Errorf("the old process ended with %v, want %v", err, ErrReplaced)
		}
		time.Sleep(3 * DefaultPeriod)
		if s := successor.Snapshot(); !s.Joined || s.Members[0].Incarnation != 2 {
			t.Errorf("the successor has not joined: %+v", s)
		}
	})
}

// TestRowOfOlderIncarnationStaysUnlessItsProcessHasEnded guards against the
// removal of the row of an entry that may still route. It registers a second
// incarnation under the same name.
func TestRowOfOlderIncarnationStaysUnlessItsProcessHasEnded(t *testing.T) {
	old := EntryRow{Name: "e", Address: "127.0.0.1:1", Incarnation: 1, Host: "h", Boot: "b"}
	tests := map[string]struct {
		change func(*EntryRow)
		want   []uint64
	}{
		"same kernel and address": {func(*EntryRow) {}, []uint64{2}},
		"same address elsewhere":  {func(e *EntryRow) { e.Boot = "c" }, []uint64{1, 2}},
		"another address":         {func(e *EntryRow) { e.Address = "127.0.0.1:2" }, []uint64{1, 2}},
		"unknown kernels":         {func(e *EntryRow) { e.Boot = "" }, []uint64{1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := standin.NewTable()
			r := NewRegistry(table, nil)
			successor := old
			successor.Incarnation = 2
			test.change(&successor)
			for _, row := range []EntryRow{old, successor, successor} {
				table.SetFaults(standin.Faults{LoseAnswers: 1})
				if err := r.Register(t.Context(), row); err != nil {
					t.Fatal(err)
				}
			}
			entries, err := r.Entries(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			var got []uint64
			for _, e := range entries {
				got = append(got, e.Incarnation)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("incarnations differ (-want +got):\n%s", diff)
			}
		})
	}
}
