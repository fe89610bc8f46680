package lease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/standin"
)

const (
	controls = 9
	entries  = 9
)

// process is a control process, reduced to its use of the table.
type process struct {
	members  *membership.Manager
	leases   *lease.Manager
	settings *rollout.Adopter[string]
	cancel   context.CancelFunc
}

func newAdopter(table *standin.Table) *rollout.Adopter[string] {
	return rollout.NewAdopter(rollout.AdopterConfig[string]{
		Table: table,
		Parse: func(tree []byte) (string, error) { return string(tree), nil },
	})
}

func startControl(ctx context.Context, table *standin.Table, name string, incarnation uint64) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, settings: newAdopter(table)}
	p.members = membership.NewManager(membership.Config{
		Table:           table,
		Self:            membership.MemberRow{Name: name, Incarnation: incarnation},
		SettingsVersion: p.settings.Version,
	})
	p.leases = lease.NewManager(lease.Config{
		Table:   table,
		Self:    lease.Identity{Name: name, Incarnation: incarnation, Address: name},
		Members: p.members.Snapshot,
		Shards:  func() []string { return []string{"kano", "aba", "ibadan", "head-office", "shared"} },
	})
	go p.members.Run(ctx)
	go p.leases.Run(ctx)
	go p.settings.Run(ctx)
	return p
}

// startFleet starts the control processes of one deployment, spread over three
// seconds.
func startFleet(ctx context.Context, table *standin.Table, generation uint64) []*process {
	var fleet []*process
	for i := range controls {
		fleet = append(fleet, startControl(ctx, table, fmt.Sprint("control", i), generation))
		time.Sleep(331 * time.Millisecond)
	}
	return fleet
}

// owners returns the number of processes that hold each shard, and the highest
// epoch.
func owners(fleet []*process) (map[string]int, uint64) {
	held := map[string]int{}
	var epoch uint64
	for _, p := range fleet {
		for _, s := range p.leases.Held() {
			held[s.Name()]++
			epoch = max(epoch, s.Epoch())
		}
	}
	return held, epoch
}

// TestTableWritesStayBelowTarget guards against more table writes than the
// target allows. It counts the writes of one deployment of 9 control
// processes, 9 entries and 5 shards over ten minutes, including the start.
func TestTableWritesStayBelowTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxWritesPerSecond = 50 // target for two deployments together
		table := standin.NewTable()
		began := time.Now()
		startFleet(t.Context(), table, 1)
		for i := range entries {
			row := membership.EntryRow{Name: fmt.Sprint("entry", i), Incarnation: 1}
			if err := membership.NewRegistry(table, nil).Register(t.Context(), row); err != nil {
				t.Fatal(err)
			}
			go newAdopter(table).Run(t.Context())
		}
		time.Sleep(10 * time.Minute)
		load := table.Load()
		seconds := time.Since(began).Seconds()
		t.Logf("one deployment, per second: %.2f rows written, %.2f commits, %.2f reads, %.2f scans",
			float64(load.RowsWrote)/seconds, float64(load.Commits)/seconds, float64(load.Reads)/seconds, float64(load.Scans)/seconds)
		if writes := 2 * float64(max(load.RowsWrote, load.Commits)) / seconds; writes >= maxWritesPerSecond {
			t.Errorf("two deployments write %.1f rows per second, want less than %d", writes, maxWritesPerSecond)
		}
	})
}

// TestAllControlsReplacedAtOnce guards against lost shards or settings when
// all control processes are replaced. In each generation all processes end
// without releasing their shards, the table has an outage, and new processes
// start under the same names. Each shard must be acquired anew by exactly one
// process, and the settings must persist.
func TestAllControlsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		fleet := startFleet(t.Context(), table, 1)
		store := rollout.NewStore(table, nil, nil)
		if _, err := store.Accept(t.Context(), []byte("tree"), 0, "change"); err != nil {
			t.Fatal(err)
		}
		for generation := range uint64(3) {
			time.Sleep(time.Minute)
			held, epoch := owners(fleet)
			if len(held) != 5 || epoch <= generation {
				t.Fatalf("generation %d holds %v under epoch %d", generation, held, epoch)
			}
			for shard, n := range held {
				if n != 1 {
					t.Errorf("%d processes hold %s", n, shard)
				}
			}
			for i, p := range fleet {
				if v := p.settings.Version(); v != 1 {
					t.Errorf("control%d has settings %d, want 1", i, v)
				}
			}
			table.SetFaults(standin.Faults{Down: true}) // no graceful release
			for _, p := range fleet {
				p.cancel()
			}
			time.Sleep(10 * time.Second)
			table.SetFaults(standin.Faults{LoseAnswers: 3})
			fleet = startFleet(t.Context(), table, generation+2)
		}
	})
}

// TestOutageChangesNoOwner guards against a change of owners through a long
// outage of the table. It also checks that a gracefully stopped process hands
// its shards over.
func TestOutageChangesNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		fleet := startFleet(t.Context(), table, 1)
		time.Sleep(time.Minute)
		before := fleet[0].leases.Directory().Version
		for range 2 {
			table.SetFaults(standin.Faults{Down: true})
			time.Sleep(time.Hour)
			table.SetFaults(standin.Faults{})
			time.Sleep(time.Minute)
		}
		if after := fleet[0].leases.Directory().Version; after != before {
			t.Errorf("the directory went from version %d to %d", before, after)
		}
		// After a graceful stop, the others acquire the shards within two rounds.
		held, _ := owners(fleet[1:])
		fleet[0].cancel()
		synctest.Wait()
		if n := len(fleet[0].leases.Held()); n != 0 {
			t.Errorf("the stopped process still holds %d shards", n)
		}
		if err := fleet[0].members.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2*lease.DefaultPeriod + time.Second)
		if after, _ := owners(fleet[1:]); len(after) != 5 {
			t.Errorf("after a graceful stop the others hold %v, before it %v", after, held)
		}
	})
}
