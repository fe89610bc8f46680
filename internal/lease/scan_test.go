package lease

import (
	"context"
	"fmt"
	"testing"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// racingTable lets another process write the row of a shard just before each
// commit of the process under test.
type racingTable struct {
	*standin.Table
	other int
}

// Commit implements platform.Table.
func (t *racingTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	t.other++
	row := Row{Shard: shardName(t.other), Owner: "other", Incarnation: 7, Epoch: uint64(t.other)}
	write := platform.Write{Key: Key(row.Shard), Value: encode(row)}
	if _, err := t.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{write}}); err != nil {
		return 0, err
	}
	return t.Table.Commit(ctx, txn)
}

func shardName(i int) string { return fmt.Sprintf("pool-%d", i) }

// TestScanOfChangesMissesNoOtherOwner guards against a scan for changes that
// misses the rows of other owners. Another process acquires shards between the
// scan and the commits of the process under test, so its rows have lower
// versions than the process's own commits. The next round must still read
// them.
func TestScanOfChangesMissesNoOtherOwner(t *testing.T) {
	const shards = 6
	table := &racingTable{Table: standin.NewTable()}
	members := &membership.Snapshot{Joined: true, Members: []membership.Member{
		{MemberRow: membership.MemberRow{Name: "self", Incarnation: 1}, Live: true},
		{MemberRow: membership.MemberRow{Name: "other", Incarnation: 7}, Live: true},
	}}
	var names []string
	for i := range shards {
		names = append(names, shardName(i))
	}
	m := NewManager(Config{
		Table: table, Self: Identity{Name: "self", Incarnation: 1},
		Members: func() *membership.Snapshot { return members }, Shards: func() []string { return names },
	})
	for range 2 * shards {
		_ = m.Step(t.Context()) // the other writes cause conflicts
		members.Members[0].Leaving = true
	}
	table.other = shards * shards // later writes are for unconfigured shards
	if err := m.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	rows, err := table.Scan(t.Context(), KeyPrefix, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		want, err := Decode(r)
		if err != nil {
			t.Fatal(err)
		}
		for _, got := range m.Directory().Owners {
			if got.Shard == want.Shard && (got.Owner != want.Owner || got.Epoch != want.Epoch) {
				t.Errorf("%s: directory says %q at epoch %d, the table %q at %d",
					got.Shard, got.Owner, got.Epoch, want.Owner, want.Epoch)
			}
		}
	}
}
