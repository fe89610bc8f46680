package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// seed writes the rows of an estate that is already running: every host serves
// its pool, and the shards are spread over the members.
func (b *bench) seed(effective *settings.Effective) error {
	var writes []platform.Write
	for name, pool := range effective.HomePool {
		row := host.Row{Host: name, Pool: pool, Phase: host.Serving, Epoch: 1, Since: time.Now().UnixMilli()}
		writes = append(writes, insertRow(host.Key(name), row))
	}
	for i := range b.scenario.Members {
		row := memberRow(i)
		row.Counter = 1
		writes = append(writes, insertRow(membership.MemberKey(row.Name), row))
	}
	for i, name := range b.scenario.poolNames() {
		member := memberRow(i % b.scenario.Members)
		row := lease.Row{
			Shard: name, Owner: member.Name, Incarnation: member.Incarnation, Address: member.Address, Epoch: 1,
		}
		writes = append(writes, insertRow(lease.Key(name), row))
	}
	_, err := b.uncounted.Table.Commit(b.ctx, platform.Txn{Writes: writes})
	return err
}

// insertRow returns the write that creates a row.
func insertRow(key string, row any) platform.Write {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // cannot happen: rows hold only strings and numbers
	}
	return platform.Write{Key: key, Value: value}
}

// memberRow returns the row of member i.
func memberRow(i int) membership.MemberRow {
	return membership.MemberRow{
		Name: fmt.Sprintf("member-%03d", i), Address: "127.0.0.1:9", AdminAddress: "127.0.0.1:9", Incarnation: 1,
	}
}

// poolNames returns the names of all pools.
func (s *Scenario) poolNames() []string {
	var names []string
	for i := range s.Pools {
		names = append(names, fmt.Sprintf("pool-%03d", i))
	}
	return names
}

// checkIdle returns an error if the measured process owns a shard.
func (b *bench) checkIdle() error {
	rows, err := b.uncounted.Table.Scan(b.ctx, lease.KeyPrefix, 0)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if s, err := lease.Decode(row); err != nil || s.Owner == measuredName {
			return errors.Errorf("measured process owns %s", row.Key)
		}
	}
	return nil
}
