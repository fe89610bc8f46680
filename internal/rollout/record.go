// Package rollout stores the accepted settings in the table service and brings
// them into force in every process.
//
// A change is accepted by one conditional transaction on one row. A process
// adopts only versions above its own. It adopts its first version only from
// the table: a process keeps nothing over a restart, so a peer with older
// settings could otherwise make it fall back to settings older than it had
// before. A process that restarts during a table outage therefore has no
// settings. No traffic is lost by that, since during an outage an entry cannot
// register and a control process cannot acquire a shard either.
package rollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// Key is the table key of the accepted settings.
	Key = "settings/current"
	// maxRowBytes is the maximum size of a tree that is stored in the row itself.
	// A larger tree is stored in the object store.
	maxRowBytes = 64 << 10
	// historyLength is the number of changes that the row keeps, from which
	// changes of unknown outcome are resolved.
	historyLength = 64
	// objectPrefix is the name prefix of trees in the object store.
	objectPrefix = "settings/"
)

// Change is an accepted change in the history.
type Change struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// Digest is the SHA-256 of the tree, in hexadecimal.
	Digest string `json:"digest"`
}

// Record is the row of the accepted settings.
type Record struct {
	// Version rises by one with every accepted change.
	Version uint64 `json:"version"`
	// ChangeID is the unique ID of the change.
	ChangeID string `json:"change_id"`
	// Accepted is the Unix time in milliseconds at which it was accepted, on
	// the clock of the accepting process.
	Accepted int64 `json:"accepted_ms"`
	// YAML is the whole tree, nil if Object is set.
	YAML []byte `json:"yaml,omitempty"`
	// Object is the name of the tree in the object store, empty if YAML is set.
	Object string `json:"object,omitempty"`
	// History holds the last changes, including this one, in order of versions.
	History []Change `json:"history"`
}

// find returns the change with the ID from the history, and false if there is
// none.
func (r *Record) find(id string) (Change, bool) {
	for _, c := range r.History {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// tree returns the tree of the record, read from the object store if it is
// stored there.
func (r *Record) tree(ctx context.Context, objects platform.Objects) ([]byte, error) {
	if r.Object == "" {
		return r.YAML, nil
	}
	data, err := objects.Get(ctx, r.Object)
	if err != nil {
		return nil, err
	}
	if objectName(digest(data)) != r.Object {
		return nil, operr.Errorf("rollout: read tree", r.Object, "digest of the object does not match its name")
	}
	return data, nil
}

// decode decodes the table row of a record.
func decode(row platform.Row) (*Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, operr.Wrap(err, "rollout: decode", row.Key)
	}
	return &r, nil
}

// encode returns the JSON of a record.
func encode(r *Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // records hold only strings and numbers
	}
	return data
}

// digest returns the SHA-256 of a tree, in hexadecimal.
func digest(tree []byte) string {
	sum := sha256.Sum256(tree)
	return hex.EncodeToString(sum[:])
}

// objectName returns the object store name of the tree with the digest.
func objectName(digest string) string { return objectPrefix + digest }
