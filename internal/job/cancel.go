package job

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/txn"
)

// BatchSize is the maximum number of rows that one transaction writes. It
// bounds the size of the transactions that a mass cancellation needs.
const BatchSize = 100

// Cancel marks jobs as cancelled, in batches. It returns the number of jobs
// that it marked and the IDs that are unknown, already cancelled or ended. The
// owner of each pool then stops the marked jobs.
//
// The mark and every placement are conditional on the version of the job's
// row. A job is therefore either marked before it is placed, and never starts,
// or placed before it is marked, and its owner stops it. After an error some
// batches may have been written; the call may be repeated.
func Cancel(ctx context.Context, table platform.Table, ids []string) (*adminapi.JobsReply, error) {
	writer := "cancellation/" + rand.Text()
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	marked := map[string]bool{}
	for range maxConflictAttempts {
		rows, err := Scan(ctx, table, KeyPrefix, 0)
		if err != nil {
			return nil, err
		}
		conflict := false
		for _, batch := range cancelBatches(rows, wanted) {
			err := markCancelled(ctx, table, batch, writer)
			if errors.Is(err, platform.ErrConflict) {
				conflict = true // a row changed since the scan; scan again
				continue
			}
			if err != nil {
				return nil, err
			}
			for _, r := range batch {
				marked[r.ID] = true
			}
		}
		if !conflict {
			return cancelReply(ids, marked), nil
		}
	}
	return nil, operr.Wrap(platform.ErrConflict, "job: cancel", "")
}

// cancelBatches returns the rows of the wanted jobs that have not ended and
// are not yet marked, in batches.
func cancelBatches(rows []Stored, wanted map[string]bool) [][]*Stored {
	var open []*Stored
	for i := range rows {
		if r := &rows[i]; wanted[r.ID] && !r.Terminal() && !r.Cancelled {
			open = append(open, r)
		}
	}
	return slices.Collect(slices.Chunk(open, BatchSize))
}

// markCancelled marks all jobs of one batch in one transaction.
func markCancelled(ctx context.Context, table platform.Table, batch []*Stored, writer string) error {
	var t platform.Txn
	for _, r := range batch {
		r.Cancelled = true
		r.Writer = writer
		if err := replace(&t, r.Version, &r.Row); err != nil {
			return err
		}
	}
	_, err := txn.Commit(ctx, table, t)
	return err
}

// cancelReply returns the number of marked jobs and the IDs of the others.
func cancelReply(ids []string, marked map[string]bool) *adminapi.JobsReply {
	reply := &adminapi.JobsReply{}
	for _, id := range ids {
		if marked[id] {
			reply.Changed++
		} else {
			reply.Unchanged = append(reply.Unchanged, id)
		}
	}
	return reply
}
