package lease

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// hookTable runs a function before the next commit, so that another process
// can act between a scan and a commit.
type hookTable struct {
	*standin.Table
	beforeCommit func()
}

// Commit implements platform.Table.
func (b *hookTable) Commit(ctx context.Context, t platform.Txn) (int64, error) {
	if beforeCommit := b.beforeCommit; beforeCommit != nil {
		b.beforeCommit = nil
		beforeCommit()
	}
	return b.Table.Commit(ctx, t)
}

// TestDirectoryVersionStandsForOneDirectory guards against two different
// directories with the same version. Two processes acquire shards at once. The
// one that commits last has not seen the commits of the other, and must not
// publish its directory under the version of the complete one.
func TestDirectoryVersionStandsForOneDirectory(t *testing.T) {
	table := standin.NewTable()
	hooked := &hookTable{Table: table}
	members := []membership.Member{
		{MemberRow: membership.MemberRow{Name: "control-1", Incarnation: 1}, Live: true},
		{MemberRow: membership.MemberRow{Name: "control-2", Incarnation: 2}, Live: true},
	}
	manager := func(table platform.Table, self Identity) *Manager {
		return NewManager(Config{
			Table: table, Self: self, Shards: func() []string { return []string{"a", "b", "c", "d", "e", "f"} },
			Members: func() *membership.Snapshot {
				return &membership.Snapshot{Members: members, Assessed: true, Joined: true}
			},
		})
	}
	first := manager(hooked, Identity{Name: "control-1", Address: "127.0.0.1:1", Incarnation: 1})
	second := manager(table, Identity{Name: "control-2", Address: "127.0.0.1:2", Incarnation: 2})
	step := func(m *Manager) *Directory {
		if err := m.Step(t.Context()); err != nil {
			t.Log(err)
		}
		return m.Directory()
	}
	hooked.beforeCommit = func() { step(second) }
	early := step(first)
	for range 4 {
		late := step(first)
		if early.Version == late.Version {
			if diff := cmp.Diff(early, late); diff != "" {
				t.Fatalf("two directories of version %d (-early +late):\n%s", early.Version, diff)
			}
		}
		early = late
		step(second)
	}
}
