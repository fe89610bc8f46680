// Package lease assigns each shard of control work to at most one control
// process at a time, through conditional writes in the table service. There is
// one shard for each pool.
//
// A process acquires a shard by writing the shard's row with the next epoch,
// conditional on the version that it read. The row then stays unchanged until
// the shard is acquired again or released, so its version identifies the
// ownership, and every write of an owner is conditional on it (Shard.Commit).
// An owner that resumes after a pause, or that is wrongly considered dead, can
// therefore write nothing.
package lease

import (
	"encoding/json"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// KeyPrefix is the prefix of the keys of shard rows.
const KeyPrefix = "shard/"

// Key returns the table key of a shard's row.
func Key(shard string) string { return KeyPrefix + shard }

// Row is the stored record of a shard. It is never deleted, so epochs never
// decrease.
type Row struct {
	// Shard is the name of the pool.
	Shard string `json:"shard"`
	// Owner is the name of the control process, empty for a released shard.
	Owner string `json:"owner"`
	// Incarnation is the incarnation of the owner. It keeps a restarted process
	// from considering itself the owner.
	Incarnation uint64 `json:"incarnation"`
	// Address is the IP address and port of the owner's drpc server.
	Address string `json:"address"`
	// Epoch rises by one with every acquisition of the shard.
	Epoch uint64 `json:"epoch"`
}

// State is the input of Plan for one shard.
type State struct {
	Row
	// Version is the version of the row in the table, 0 if there is no row.
	Version int64
	// UnownedRounds is the number of consecutive rounds in which the shard had no
	// live owner.
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

// Decode decodes a table row.
func Decode(row platform.Row) (State, error) {
	s := State{Version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Row); err != nil {
		return State{}, operr.Wrap(err, "lease: decode", row.Key)
	}
	return s, nil
}
