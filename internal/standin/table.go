// Package standin implements the platform's services in memory, with fault
// injection: table service, object store, host list and workers. It is used by
// tests and the demo; no product code depends on it.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Faults holds the faults injected into a Table or Rows. The zero value injects
// none.
type Faults struct {
	// Down makes every call fail with platform.ErrUnavailable, without effect.
	Down bool `json:"down,omitempty"`
	// Latency is added to every call.
	Latency time.Duration `json:"latency,omitempty"`
	// LoseAnswers is how many of the next commits take effect and fail with
	// platform.ErrUnknown, as if the response had been lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DropCommits is how many of the next commits have no effect and fail with
	// platform.ErrUnknown, as if the request had been lost.
	DropCommits int `json:"drop_commits,omitempty"`
}

// Load counts the calls that a Table or Rows served.
type Load struct {
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	RowsWrote int64 `json:"rows_wrote"`
	Reads     int64 `json:"reads"`
	Scans     int64 `json:"scans"`
}

// Table is an in-memory transactional table. It implements platform.Table.
type Table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version int64
	faults  Faults
	load    Load
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]platform.Row{}}
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Load returns the counts of the calls served so far.
func (t *Table) Load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if err := t.applyFaults(ctx, "table: commit"); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.DropCommits > 0 {
		t.faults.DropCommits--
		return 0, operr.Wrap(platform.ErrUnknown, "table: commit", "stand-in")
	}
	version, err := t.apply(txn)
	if err == nil && t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return 0, operr.Wrap(platform.ErrUnknown, "table: commit", "stand-in")
	}
	return version, err
}

// apply carries out the transaction if its conditions hold. The caller holds
// t.mu.
func (t *Table) apply(txn platform.Txn) (int64, error) {
	t.load.Commits++
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			t.load.Conflicts++
			return 0, operr.Wrap(platform.ErrConflict, "table: commit", c.Key)
		}
	}
	t.version++
	for _, w := range txn.Writes {
		t.load.RowsWrote++
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		value := append([]byte(nil), w.Value...)
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: value, Version: t.version}
	}
	return t.version, nil
}

// Read implements platform.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := t.applyFaults(ctx, "table: read"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Reads++
	var rows []platform.Row
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	if err := t.applyFaults(ctx, "table: scan"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Scans++
	var rows []platform.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && r.Version > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// applyFaults adds the configured latency and fails while the table is down.
func (t *Table) applyFaults(ctx context.Context, step string) error {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.Latency > 0 {
		if err := ctxtime.Sleep(ctx, f.Latency); err != nil {
			return operr.Wrap(errors.Wrap(platform.ErrUnavailable, err.Error()), step, "stand-in")
		}
	}
	if f.Down {
		return operr.Wrap(platform.ErrUnavailable, step, "stand-in")
	}
	return nil
}
