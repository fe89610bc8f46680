package membership

import (
	"context"
	"os"
	"strings"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/txn"
)

// bootIDPath is the file in which Linux publishes the ID of the running
// kernel.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// BootID returns an identifier that changes with every boot of the host.
func BootID() (string, error) {
	data, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", operr.Wrap(err, "membership: read boot id", bootIDPath)
	}
	return strings.TrimSpace(string(data)), nil
}

// Registry registers entries. Every move of a host waits for the registered
// entries that it may concern, so a row may be removed only once its process
// can no longer route.
//
// Each incarnation of an entry has its own row. An equal name or address does
// not prove that an older incarnation has ended: its replacement may have both
// while the old host is merely cut off from the network. An equal boot ID and
// address do prove it: the new process has bound the address under the same
// running kernel, and the old process kept it bound until after its last
// routing decision. Only in that case does the registration replace the old
// row at once. Any other old row stays until a move finds that its host is no
// longer listed (package permit).
type Registry struct {
	table platform.Table
	log   *zap.Logger
}

// NewRegistry returns a Registry that stores its rows in the table. log may be
// nil.
func NewRegistry(table platform.Table, log *zap.Logger) *Registry {
	if log == nil {
		log = zap.NewNop()
	}
	return &Registry{table: table, log: log}
}

// Register writes the entry's row and removes the rows of older incarnations
// that have provably ended. Registering the same incarnation and renewal again
// changes nothing. The entry may fetch its first assignment only after
// Register has returned nil. Errors are those of the scan and of txn.Commit.
func (r *Registry) Register(ctx context.Context, row EntryRow) error {
	known, err := r.scan(ctx, EntryPrefix+row.Name+"/")
	if err != nil {
		return err
	}
	t, needed := registration(row, known)
	if !needed {
		return nil
	}
	if _, err := txn.Commit(ctx, r.table, t); err != nil {
		return operr.Wrap(err, "membership: register", row.Name)
	}
	event.EntryRegistered.Log(r.log, zap.String("entry", row.Name),
		zap.Uint64("incarnation", row.Incarnation), zap.Uint64("renewal", row.Renewal))
	return nil
}

// registration returns the transaction that registers row, given the existing
// rows of the same name, and whether it is needed.
func registration(row EntryRow, known []Entry) (t platform.Txn, needed bool) {
	own := platform.NoVersion
	for _, o := range known {
		switch {
		case o.Incarnation == row.Incarnation && o.Renewal == row.Renewal:
			return t, false
		case o.Incarnation == row.Incarnation:
			own = o.Version
		case o.Boot != "" && o.Boot == row.Boot && o.Address == row.Address:
			t.Conditions = append(t.Conditions, platform.Condition{Key: o.Key(), Version: o.Version})
			t.Writes = append(t.Writes, platform.Write{Key: o.Key(), Delete: true})
		}
	}
	t.Conditions = append(t.Conditions, platform.Condition{Key: row.Key(), Version: own})
	t.Writes = append(t.Writes, platform.Write{Key: row.Key(), Value: encode(row)})
	return t, true
}

// Deregister removes the row of this incarnation. The entry calls it after its
// last routing decision.
func (r *Registry) Deregister(ctx context.Context, row EntryRow) error {
	rows, err := r.table.Read(ctx, row.Key())
	if err != nil || len(rows) == 0 {
		return err
	}
	_, err = txn.Commit(ctx, r.table, platform.Txn{
		Conditions: []platform.Condition{{Key: row.Key(), Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: row.Key(), Delete: true}},
	})
	return operr.Wrap(err, "membership: deregister", row.Name)
}

// Entries returns all registrations as of one scan.
func (r *Registry) Entries(ctx context.Context) ([]Entry, error) {
	return r.scan(ctx, EntryPrefix)
}

// scan returns the registrations with the key prefix.
func (r *Registry) scan(ctx context.Context, prefix string) ([]Entry, error) {
	rows, err := r.table.Scan(ctx, prefix, 0)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		e, err := DecodeEntry(row)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
