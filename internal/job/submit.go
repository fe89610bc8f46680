package job

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
	"github.com/egretpitch/egretpitch/internal/txn"
)

const (
	// MaxSubmitted is the maximum number of jobs in one submission, which is a
	// single transaction.
	MaxSubmitted = 500
	// maxIDBytes is the maximum length of a job ID.
	maxIDBytes = 200
	// maxConflictAttempts is the number of attempts of a submission or
	// cancellation while other writers change the same rows.
	maxConflictAttempts = 5
	// maxPriority is the highest priority of a job.
	maxPriority = 100
)

// RefusedError is returned for an invalid submission. Nothing was written.
type RefusedError struct {
	// Job is the ID of the refused job, empty if the submission as a whole is
	// refused.
	Job string
	// Problem describes what is invalid.
	Problem string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	if e.Job == "" {
		return "submission refused: " + e.Problem
	}
	return "job " + e.Job + " refused: " + e.Problem
}

// Check returns a RefusedError for the first job that is invalid. A job that
// merely exceeds the size of every worker is accepted and its row records why
// it waits, since settings may change.
func Check(specs []adminapi.JobSpec, effective *settings.Effective) error {
	if len(specs) > MaxSubmitted {
		return &RefusedError{Problem: fmt.Sprintf("%d jobs at once; allowed: %d", len(specs), MaxSubmitted)}
	}
	seen := make(map[string]bool, len(specs))
	for i := range specs {
		problem := checkSpec(&specs[i], effective)
		if seen[specs[i].ID] {
			problem = "the id is given twice"
		}
		if problem != "" {
			return &RefusedError{Job: specs[i].ID, Problem: problem}
		}
		seen[specs[i].ID] = true
	}
	return nil
}

// checkSpec returns what is invalid in a job, or an empty string.
func checkSpec(s *adminapi.JobSpec, effective *settings.Effective) string {
	_, teamKnown := effective.Teams[s.Team]
	switch {
	case s.ID == "" || len(s.ID) > maxIDBytes || strings.ContainsAny(s.ID, "/ \t\r\n"):
		return fmt.Sprintf("bad id; allowed: 1 to %d bytes without slashes and spaces", maxIDBytes)
	case len(s.Steps) > 0 || s.Queue != "" || s.Schedule != nil:
		return "jobs with a queue, steps or a schedule are run by egretpitch-node only"
	case effective.Pools[s.Pool] == nil:
		return "no such pool: " + s.Pool
	case !teamKnown:
		return "no such team: " + s.Team
	case s.Command == "":
		return "the command is empty"
	case s.Priority < 0 || s.Priority > maxPriority:
		return fmt.Sprintf("priority %d is out of range; allowed: 0 to %d", s.Priority, maxPriority)
	case s.Processors < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.RunMS < 0:
		return "a size is negative; allowed: 0 and above"
	}
	return ""
}

// Submit writes the jobs that do not exist yet in one transaction. It returns
// the number of jobs written and the IDs that already existed. It may be
// repeated after an error.
func Submit(ctx context.Context, table platform.Table, specs []adminapi.JobSpec, now time.Time) (*adminapi.JobsReply, error) {
	writer := "submission/" + rand.Text()
	for range maxConflictAttempts {
		known, err := knownKeys(ctx, table, specs)
		if err != nil {
			return nil, err
		}
		reply, t, err := submission(specs, known, writer, now)
		if err != nil || len(t.Writes) == 0 {
			return reply, err
		}
		_, err = txn.Commit(ctx, table, t)
		if errors.Is(err, platform.ErrConflict) {
			continue // another submission wrote one of the jobs
		}
		return reply, err
	}
	return nil, operr.Wrap(platform.ErrConflict, "job: submit", "")
}

// submission returns the reply and the transaction that writes the jobs whose
// keys are not known.
func submission(specs []adminapi.JobSpec, known map[string]bool, writer string, now time.Time) (*adminapi.JobsReply, platform.Txn, error) {
	reply := &adminapi.JobsReply{}
	var t platform.Txn
	for _, s := range specs {
		if known[Key(s.Pool, s.ID)] {
			reply.Unchanged = append(reply.Unchanged, s.ID)
			continue
		}
		row := &Row{JobSpec: s, State: adminapi.JobPending, SubmittedMS: now.UnixMilli(), Writer: writer}
		if err := replace(&t, platform.NoVersion, row); err != nil {
			return nil, t, err
		}
		reply.Changed++
	}
	return reply, t, nil
}

// knownKeys returns the keys of the jobs that already have rows.
func knownKeys(ctx context.Context, table platform.Table, specs []adminapi.JobSpec) (map[string]bool, error) {
	keys := make([]string, len(specs))
	for i, s := range specs {
		keys[i] = Key(s.Pool, s.ID)
	}
	rows, err := table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool, len(rows))
	for _, row := range rows {
		known[row.Key] = true
	}
	return known, nil
}
