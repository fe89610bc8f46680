package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Rows is an in-memory table service with parts and a change feed. It implements
// platform.Rows. Its Faults apply as they do to Table.
type Rows struct {
	mu      sync.Mutex
	rows    map[platform.RowKey]platform.PartRow
	version int64
	// droppedVersion is the version up to which the history of changes was
	// dropped.
	droppedVersion int64
	changed        chan struct{}
	faults         Faults
	startedAt      time.Time
	load           Load
}

var _ platform.Rows = (*Rows)(nil)

// NewRows returns an empty table service.
func NewRows() *Rows {
	return &Rows{rows: map[platform.RowKey]platform.PartRow{}, changed: make(chan struct{}), startedAt: time.Now()}
}

// SetFaults replaces the injected faults.
func (r *Rows) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Forget drops the history of changes: Changes after an older version fails with
// platform.ErrHistoryGone.
func (r *Rows) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.droppedVersion = r.version
}

// Load returns the counts of the calls served so far.
func (r *Rows) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}

func (r *Rows) stamp() platform.Stamp {
	return platform.Stamp{Version: r.version, NowMS: time.Since(r.startedAt).Milliseconds() + 1}
}

// applyFaults adds the configured latency and fails while the service is down.
func (r *Rows) applyFaults(ctx context.Context, step string) error {
	r.mu.Lock()
	latency, down := r.faults.Latency, r.faults.Down
	r.mu.Unlock()
	if latency > 0 {
		if err := ctxtime.Sleep(ctx, latency); err != nil {
			return operr.Wrap(platform.ErrUnknown, step, "standin")
		}
	}
	if down {
		return operr.Wrap(platform.ErrUnavailable, step, "standin")
	}
	return nil
}

// CommitRows implements platform.Rows.
func (r *Rows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	const step = "standin: commit"
	if err := r.applyFaults(ctx, step); err != nil {
		return platform.Stamp{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.DropCommits > 0 {
		r.faults.DropCommits--
		return platform.Stamp{}, operr.Wrap(platform.ErrUnknown, step, "standin")
	}
	r.load.Commits++
	if conflict := r.conflict(txn); conflict != nil {
		r.load.Conflicts++
		return r.stamp(), operr.Wrap(conflict, step, "standin")
	}
	r.version++
	for _, w := range txn.Writes {
		r.rows[w.RowKey] = platform.PartRow{RowKey: w.RowKey, Value: w.Value, Version: r.version}
	}
	for _, k := range txn.Deletes {
		r.rows[k] = platform.PartRow{RowKey: k, Version: r.version, Deleted: true}
	}
	r.load.RowsWrote += int64(len(txn.Writes) + len(txn.Deletes))
	close(r.changed)
	r.changed = make(chan struct{})
	if r.faults.LoseAnswers > 0 {
		r.faults.LoseAnswers--
		return platform.Stamp{}, operr.Wrap(platform.ErrUnknown, step, "standin")
	}
	return r.stamp(), nil
}

// conflict returns a *platform.RowConflict if a condition of the transaction does
// not hold, nil otherwise.
func (r *Rows) conflict(txn platform.RowTxn) error {
	satisfied := true
	var current []platform.PartRow
	for _, c := range txn.Conditions {
		row := r.rows[c.RowKey]
		version := row.Version
		if row.Deleted {
			version = platform.NoVersion
		}
		if version != platform.NoVersion {
			current = append(current, row)
		}
		satisfied = satisfied && version == c.Version
	}
	if satisfied {
		return nil
	}
	return &platform.RowConflict{Rows: current}
}

// ReadRows implements platform.Rows.
func (r *Rows) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if err := r.applyFaults(ctx, "standin: read"); err != nil {
		return nil, platform.Stamp{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load.Reads++
	var list []platform.PartRow
	for k, row := range r.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) && !row.Deleted {
			list = append(list, row)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, r.stamp(), nil
}

// Changes implements platform.Rows.
func (r *Rows) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	const step = "standin: feed"
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := r.applyFaults(ctx, step); err != nil {
			return nil, platform.Stamp{}, err
		}
		r.mu.Lock()
		changed := r.changed
		list, stamp, dropped := r.since(table, after), r.stamp(), after < r.droppedVersion
		r.mu.Unlock()
		if dropped {
			return nil, platform.Stamp{}, operr.Wrap(platform.ErrHistoryGone, step, "standin")
		}
		if len(list) > 0 {
			return list, stamp, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, stamp, nil
		case <-ctx.Done():
			return nil, platform.Stamp{}, operr.Wrap(platform.ErrUnknown, step, "standin")
		}
	}
}

// since returns the rows of a table, deleted ones too, that changed after a
// version, in the order of their versions.
func (r *Rows) since(table string, after int64) []platform.PartRow {
	var list []platform.PartRow
	for k, row := range r.rows {
		if k.Table == table && row.Version > after {
			list = append(list, row)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	return list
}
