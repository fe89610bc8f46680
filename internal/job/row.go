// Package job runs jobs from submission to completion. It stores them in the
// table service, applies the decisions of package placement, and resolves
// starts of unknown outcome, so that each placement starts its task at most
// once.
//
// Submission and cancellation are conditional on the version of each row and
// need no owner. All other writes are made by the owner of the job's pool
// under its epoch.
package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// KeyPrefix is the prefix of all job rows.
const KeyPrefix = "job/"

// Key returns the table key of a job's row.
func Key(pool, id string) string { return KeyPrefix + pool + "/" + id }

// TaskID returns the ID of a job's task on workers. It is unique within the
// estate.
func TaskID(pool, id string) string { return pool + "/" + id }

// Row is the record of a job in the table service, under Key(Pool, ID).
type Row struct {
	adminapi.JobSpec
	// State is one of the job states of package adminapi. A job in state
	// running has been placed; its task may not have started yet.
	State string `json:"state"`
	// Reason is the reason for State.
	Reason string `json:"reason,omitempty"`
	// Host and Epoch are the worker and the epoch of the last placement.
	Host  string `json:"host,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	// SubmittedMS, PlacedMS and EndedMS are Unix times in milliseconds.
	SubmittedMS int64 `json:"submitted_ms"`
	PlacedMS    int64 `json:"placed_ms,omitempty"`
	EndedMS     int64 `json:"ended_ms,omitempty"`
	// NotBeforeMS is the earliest next start as a Unix time in milliseconds.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
	// Cancelled marks a job that is to end. It is never reset.
	Cancelled bool `json:"cancelled,omitempty"`
	// Failed lists the hosts on which the job failed, latest last.
	Failed []string `json:"failed,omitempty"`
	// Checkpoint is the name of the object from which the job resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Writer identifies the request or ownership that wrote the row, so that
	// reading the row back resolves an unknown outcome.
	Writer string `json:"writer"`
}

// Terminal reports whether the job has ended in a state that it never leaves.
func (r *Row) Terminal() bool {
	switch r.State {
	case adminapi.JobDone, adminapi.JobFailed, adminapi.JobCancelled:
		return true
	}
	return false
}

// Placed reports whether the job is placed on a worker.
func (r *Row) Placed() bool { return r.State == adminapi.JobRunning }

// TaskID returns the ID of the job's task on workers.
func (r *Row) TaskID() string { return TaskID(r.Pool, r.ID) }

// APIJob returns the job as the administration API represents it.
func (r *Row) APIJob() adminapi.Job {
	return adminapi.Job{
		JobSpec: r.JobSpec, State: r.State, Reason: r.Reason, Host: r.Host, Epoch: r.Epoch, SubmittedMS: r.SubmittedMS,
	}
}

// setTerminal moves the job to a terminal state.
func (r *Row) setTerminal(state, reason string, now time.Time) {
	r.State = state
	r.Reason = reason
	r.EndedMS = now.UnixMilli()
}

// Stored is a row and its version in the table.
type Stored struct {
	Row
	Version int64
}

// Scan returns the rows with the key prefix that were written after a table
// version. Version 0 returns all rows.
func Scan(ctx context.Context, table platform.Table, prefix string, after int64) ([]Stored, error) {
	rows, err := table.Scan(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	stored := make([]Stored, 0, len(rows))
	for _, row := range rows {
		s, err := decode(row)
		if err != nil {
			return nil, err
		}
		stored = append(stored, s)
	}
	return stored, nil
}

// decode decodes a table row.
func decode(row platform.Row) (Stored, error) {
	s := Stored{Version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Row); err != nil {
		return s, errors.Wrapf(err, "row %s", row.Key)
	}
	return s, nil
}

// replace adds a write of row to a transaction, on the condition that the
// stored row still has the given version.
func replace(t *platform.Txn, version int64, row *Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode job row")
	}
	key := Key(row.Pool, row.ID)
	t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: version})
	t.Writes = append(t.Writes, platform.Write{Key: key, Value: value})
	return nil
}
