package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// submitChecked is submit, and returns the row of the job if an earlier attempt or
// request had stored it, nil otherwise. The row may lack its value.
func (a *acceptor) submitChecked(ctx context.Context, job *workload.Job, deadline time.Time) (submitOutcome, *platform.PartRow) {
	s, err := newSubmission(job, deadline)
	if err != nil {
		return submitNotStored, nil
	}
	s.teams = a.node.hasTeams()
	outcome := a.await(ctx, s)
	if outcome != submitStored {
		return outcome, nil
	}
	return outcome, s.existing
}

// storedTeam returns the team and the queue of a job whose row a submission found.
// It reads them until ctx ends if the row lacks its value.
func (n *Node) storedTeam(ctx context.Context, id string, row *platform.PartRow) (team, queue string, err error) {
	if len(row.Value) > 0 {
		job, err := workload.DecodeJob(row.Value)
		if err != nil {
			return "", "", err
		}
		return job.Team, job.Queue, nil
	}
	for {
		p, err := n.readProgress(ctx, id)
		switch {
		case err == nil && p != nil:
			return p.Team, p.Queue, nil
		case err == nil:
			return "", "", errors.New("job has no progress row")
		case ctxtime.Sleep(ctx, acceptRetryDelay) != nil:
			return "", "", err
		}
	}
}

// maxAcceptEntries is the number of conditions and writes that the platform allows
// in one transaction.
const maxAcceptEntries = 100

// storeByTeam is store for submissions of several teams. One transaction stores a
// job of each id, and its outcome is that of all submissions of the id, so those of
// other teams wait for the next one, as do those that do not fit.
func (a *acceptor) storeByTeam(ctx context.Context, batch []*submission) []*submission {
	first, later := splitTeams(batch)
	return append(a.store(ctx, first), later...)
}

// splitTeams separates the submissions of another team than the first one of their
// id, and those beyond maxAcceptEntries.
func splitTeams(batch []*submission) (first, later []*submission) {
	entries := 0
	for i, s := range batch {
		earlier := slices.IndexFunc(batch[:i], func(o *submission) bool { return o.job.ID == s.job.ID })
		entries += len(s.cancelRows()) + 1 + len(s.rows)
		switch {
		case earlier >= 0 && batch[earlier].job.Team != s.job.Team, entries > maxAcceptEntries:
			if later == nil {
				first = slices.Clone(batch[:i])
			}
			later = append(later, s)
		case later != nil:
			first = append(first, s)
		}
	}
	if later == nil {
		return batch, nil
	}
	return first, later
}
