package permit

import (
	"context"

	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Confirmation is the result of one read of an entry's registration and of the
// epochs of its pools.
type Confirmation struct {
	// Registered reports whether the entry's row exists with Renewal.
	Registered bool
	// Renewal is the renewal that Confirm was called with.
	Renewal uint64
	// Epochs holds the epoch of each pool's shard. Pools without a shard row
	// are missing.
	Epochs map[string]uint64
}

// Confirm reads the entry's row and the shard rows of the pools atomically, for
// Registration.Confirmed. An entry calls it after registering, and then
// regularly while the table is reachable.
func Confirm(ctx context.Context, table platform.Table, row membership.EntryRow, pools []string) (Confirmation, error) {
	keys := []string{row.Key()}
	for _, pool := range pools {
		keys = append(keys, lease.Key(pool))
	}
	rows, err := table.Read(ctx, keys...)
	if err != nil {
		return Confirmation{}, err
	}
	c := Confirmation{Renewal: row.Renewal, Epochs: make(map[string]uint64, len(pools))}
	for _, r := range rows {
		if r.Key == row.Key() {
			entry, err := membership.DecodeEntry(r)
			if err != nil {
				return Confirmation{}, err
			}
			c.Registered = entry.Renewal == row.Renewal
			continue
		}
		shard, err := lease.Decode(r)
		if err != nil {
			return Confirmation{}, err
		}
		c.Epochs[shard.Shard] = shard.Epoch
	}
	return c, nil
}
