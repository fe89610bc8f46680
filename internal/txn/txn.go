// Package txn commits conditional transactions to the table service and
// settles those whose outcome is unknown.
//
// Every row that a transaction writes must also be among its conditions. Then
// a transaction takes effect at most once however often it is sent, and one
// that is still under way in the network cannot take effect after any of its
// rows was written by somebody else.
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
	// firstBackoff is the wait before the first repetition.
	firstBackoff = 20 * time.Millisecond
	// maxBackoff bounds the wait between two repetitions.
	maxBackoff = time.Second
)

// ErrUnconditional means that a transaction writes a row without a condition
// on it. Nothing was sent.
var ErrUnconditional = errors.New("a written row has no condition")

// Commit commits t and returns the version of the rows it wrote, or 0 where
// it only deleted rows and had to be settled by reading back.
//
// A transaction with an unknown outcome is read back and, while it can still
// take effect, sent again until ctx ends. Written values must therefore be
// unique to the writer, by an epoch, incarnation or change id in the row.
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
			return 0, operr.Wrap(platform.ErrUnknown, "txn: settle", firstKey(t))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// result is what reading back says of a transaction.
type result int

const (
	// pending transactions may still take effect.
	pending result = iota
	// applied transactions took effect.
	applied
	// notApplied transactions did not take effect and cannot any more.
	notApplied
	// overwritten transactions cannot take effect any more and may have done so.
	overwritten
)

// readBack reads the rows of the transaction back.
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

// writesApplied reports whether all rows are as the writes left them, and their
// version.
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

// conditionsByKey checks that every written row has a condition.
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

func keys(conditions map[string]int64) []string {
	list := make([]string, 0, len(conditions))
	for k := range conditions {
		list = append(list, k)
	}
	return list
}

func firstKey(t platform.Txn) string {
	if len(t.Writes) == 0 {
		return ""
	}
	return t.Writes[0].Key
}
