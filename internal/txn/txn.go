// Package txn commits conditional transactions to the table service and
// resolves those whose outcome is unknown by reading their rows back.
//
// Every row that a transaction writes must have a condition. A transaction then
// takes effect at most once however often it is sent, and a delayed copy of it
// in the network cannot take effect after another writer changed one of its
// rows.
package txn

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// firstBackoff is the wait before the first retry; it doubles with each.
	firstBackoff = 20 * time.Millisecond
	// maxBackoff is the longest wait between two retries.
	maxBackoff = time.Second
)

// ErrUnconditional means that a transaction writes a row on which it has no
// condition. Nothing was sent.
var ErrUnconditional = errors.New("transaction writes a row without a condition on it")

// Commit commits t and returns the version of the rows that it wrote, or 0 if t
// only deletes rows and its outcome had to be read back.
//
// If the outcome is unknown, Commit reads the rows back and, while t can still
// take effect, sends t again until ctx ends. Written values must therefore be
// unique to the writer, by an epoch, incarnation or change ID in the row.
//
// Errors: platform.ErrConflict and platform.ErrUnavailable mean that nothing
// was written. platform.ErrUnknown means that ctx ended first, or that the
// transaction may have taken effect before another writer replaced its rows;
// in the latter case it cannot take effect any more.
func Commit(ctx context.Context, table platform.Table, t platform.Txn) (int64, error) {
	conditions, err := conditionsByKey(t)
	if err != nil {
		return 0, err
	}
	backoff := firstBackoff
	outcomeUnknown := false
	for {
		version, err := table.Commit(ctx, t)
		if err == nil {
			return version, nil
		}
		definite := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable)
		if definite && !outcomeUnknown {
			return 0, err
		}
		outcomeUnknown = true
		outcome, version := readBack(ctx, table, t, conditions)
		switch outcome {
		case applied:
			return version, nil
		case notApplied:
			return 0, operr.Wrap(platform.ErrConflict, "txn: read back", firstKey(t))
		case overwritten:
			return 0, operr.Wrap(platform.ErrUnknown, "txn: read back replaced row", firstKey(t))
		}
		if ctxtime.Sleep(ctx, backoff) != nil {
			return 0, operr.Wrap(platform.ErrUnknown, "txn: resolve outcome", firstKey(t))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// result is the state of a transaction as found by reading its rows back.
type result int

const (
	// pending transactions may still take effect.
	pending result = iota
	// applied transactions took effect.
	applied
	// notApplied transactions did not take effect and cannot any more.
	notApplied
	// overwritten transactions may have taken effect before another writer
	// changed their rows; they cannot take effect any more.
	overwritten
)

// readBack reads the rows of a transaction whose outcome is unknown and returns
// its state, with the version of the rows if it was applied. It returns pending
// if the rows cannot be read.
func readBack(ctx context.Context, table platform.Table, t platform.Txn, conditions map[string]int64) (result, int64) {
	rows, err := table.Read(ctx, keys(conditions)...)
	if err != nil {
		return pending, 0
	}
	byKey := make(map[string]platform.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	version, all := writesApplied(t.Writes, byKey, conditions)
	if all {
		return applied, version
	}
	for _, w := range t.Writes {
		if byKey[w.Key].Version != conditions[w.Key] {
			return overwritten, 0
		}
	}
	for key, v := range conditions {
		if byKey[key].Version != v {
			return notApplied, 0
		}
	}
	return pending, 0
}

// writesApplied reports whether all rows are as the writes leave them, and
// returns their version, 0 if all writes are deletions.
func writesApplied(writes []platform.Write, byKey map[string]platform.Row, conditions map[string]int64) (int64, bool) {
	var version int64
	for _, w := range writes {
		row := byKey[w.Key]
		if row.Version == conditions[w.Key] {
			return 0, false
		}
		if w.Delete {
			if row.Version != platform.NoVersion {
				return 0, false
			}
			continue
		}
		if !bytes.Equal(row.Value, w.Value) {
			return 0, false
		}
		version = row.Version
	}
	return version, true
}

// conditionsByKey returns the required version of each row by its key. It
// returns ErrUnconditional if a written row has no condition.
func conditionsByKey(t platform.Txn) (map[string]int64, error) {
	conditions := make(map[string]int64, len(t.Conditions))
	for _, c := range t.Conditions {
		conditions[c.Key] = c.Version
	}
	for _, w := range t.Writes {
		if _, ok := conditions[w.Key]; !ok {
			return nil, operr.Wrap(ErrUnconditional, "txn: commit", w.Key)
		}
	}
	return conditions, nil
}

// keys returns the keys of all rows with a condition, in no order.
func keys(conditions map[string]int64) []string {
	list := make([]string, 0, len(conditions))
	for k := range conditions {
		list = append(list, k)
	}
	return list
}

// firstKey returns the key of the first write, which identifies the transaction
// in errors.
func firstKey(t platform.Txn) string {
	if len(t.Writes) == 0 {
		return ""
	}
	return t.Writes[0].Key
}
