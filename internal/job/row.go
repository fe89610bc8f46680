// Package job keeps jobs from their submission to their end: it writes them to
// the table service, carries out what placement decides, and settles the
// starts whose outcome is unknown, so that a placement starts at most once.
//
// Submission and cancellation are conditional on the version of each row and
// need no owner. Everything else is written by the owner of the job's pool
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

// TaskID names a job's task on workers. It is unique within the estate.
func TaskID(pool, id string) string { return pool + "/" + id }

// Row is the record of a job in the table service, under Key(Pool, ID).
type Row struct {
	adminapi.JobSpec
	// State is one of the states of package adminapi. A job in state running
	// was placed; its task may not have started yet.
	State string `json:"state"`
	// Reason says why the state is what it is.
	Reason string `json:"reason,omitempty"`
	// Host and Epoch are those of the last placement.
	Host  string `json:"host,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	// SubmittedMS, PlacedMS and EndedMS are Unix times in milliseconds.
	SubmittedMS int64 `json:"submitted_ms"`
	PlacedMS    int64 `json:"placed_ms,omitempty"`
	EndedMS     int64 `json:"ended_ms,omitempty"`
	// NotBeforeMS is the earliest next start as a Unix time in milliseconds.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
	// Cancelled says that the job is to end. It is never taken back.
	Cancelled bool `json:"cancelled,omitempty"`
	// Failed names the hosts on which the job failed, latest last.
	Failed []string `json:"failed,omitempty"`
	// Checkpoint names the object to resume from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Writer is unique to the request or ownership that wrote the row, so that
	// an unknown outcome can be settled by reading back.
	Writer string `json:"writer"`
}

// Terminal reports whether the job has ended for good.
func (r *Row) Terminal() bool {
	switch r.State {
	case adminapi.JobDone, adminapi.JobFailed, adminapi.JobCancelled:
		return true
	}
	return false
}

// Placed reports whether the job holds a worker.
func (r *Row) Placed() bool { return r.State == adminapi.JobRunning }

// TaskID names the job's task on workers.
func (r *Row) TaskID() string { return TaskID(r.Pool, r.ID) }

// APIJob returns the job as the administration API shows it.
func (r *Row) APIJob() adminapi.Job {
	return adminapi.Job{
		JobSpec: r.JobSpec, State: r.State, Reason: r.Reason, Host: r.Host, Epoch: r.Epoch, SubmittedMS: r.SubmittedMS,
	}
}

// setTerminal moves the job to a state that it never leaves.
func (r *Row) setTerminal(state, reason string, now time.Time) {
	r.State = state
	r.Reason = reason
	r.EndedMS = now.UnixMilli()
}

// Stored is a row with its version in the table.
type Stored struct {
	Row
	Version int64
}

// Scan returns the rows with the key prefix that were written after a version.
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

// decode reads a row of the table.
func decode(row platform.Row) (Stored, error) {
	s := Stored{Version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Row); err != nil {
		return s, errors.Wrapf(err, "row %s", row.Key)
	}
	return s, nil
}

// replace adds the replacement of a stored row to a transaction, on the
// condition that nobody wrote it since.
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
