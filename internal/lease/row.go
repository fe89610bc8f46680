// Package lease gives each shard of control work, one for each pool, to one
// control process at a time, through conditional writes in the table service.
//
// A process takes a shard by writing its row with the next epoch, conditional
// on the version that it read. The row does not change again until the shard
// is taken or released, so its version stands for the ownership: every write
// of an owner is conditional on it (Shard.Commit). An owner that was paused
// and wakes, or that is wrongly taken for dead, therefore writes nothing.
package lease

import (
	"encoding/json"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// KeyPrefix is the prefix of all shard rows.
const KeyPrefix = "shard/"

// Key returns the table key of a shard's row.
func Key(shard string) string { return KeyPrefix + shard }

// Row is the record of a shard. It is never deleted, so that epochs only rise.
type Row struct {
	// Shard is the name of the pool.
	Shard string `json:"shard"`
	// Owner is the name of the control process, empty for a released shard.
	Owner string `json:"owner"`
	// Incarnation is the owner's, so that a restarted process does not take
	// itself for the owner.
	Incarnation uint64 `json:"incarnation"`
	// Address is the IP address and port of the owner's drpc server.
	Address string `json:"address"`
	// Epoch rises by one with every taking of the shard.
	Epoch uint64 `json:"epoch"`
}

// State is a shard as the planner sees it.
type State struct {
	Row
	// Version is the table's version of the row, 0 if there is none.
	Version int64
	// UnownedRounds is how many rounds the shard has been seen without a live owner.
	UnownedRounds int
}

// encode returns the JSON of a row.
func encode(row Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // rows hold only strings and numbers
	}
	return data
}

// Decode returns the shard of a table row.
func Decode(row platform.Row) (State, error) {
	s := State{Version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Row); err != nil {
		return State{}, operr.Wrap(err, "lease: decode", row.Key)
	}
	return s, nil
}
