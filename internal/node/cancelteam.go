package node

import (
	"context"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// teamCancelSeparator is between the id of a job and its team in the key of a
// cancellation that holds for submissions of that team.
const teamCancelSeparator = "."

// teamCancelRow returns the row of a cancellation by a team of a job that was not
// stored then. It keeps that team's submissions under the id from being stored, and
// no other's. Names of teams may be longer than the key of a row.
func teamCancelRow(id, team string) platform.RowKey {
	name := estate.DigestOf(team)
	key := jobRow(cancelTable, id)
	key.Key += teamCancelSeparator + hex.EncodeToString(name[:8])
	return key
}

// isTeamCancelRow reports whether a row of cancelTable cancels no job that is
// stored.
func isTeamCancelRow(key string) bool { return strings.Contains(key, teamCancelSeparator) }

// cancelRows returns the rows of cancelTable that must not exist when a job is
// stored.
func cancelRows(job *workload.Job) []platform.RowKey {
	rows := []platform.RowKey{jobRow(cancelTable, job.ID)}
	if job.Team != "" || job.Terms != nil && job.Terms.Public {
		rows = append(rows, teamCancelRow(job.ID, job.Team))
	}
	return rows
}

// cancelUnknown cancels a job that was not stored when it was read, for a team. By a
// public queue it cancels the job also if it is submitted without a team: the key may
// not be known yet where the submission arrives, and any team may cancel such a job. If
// it has been stored meanwhile, the progress is returned: its cancellation is not
// recorded, and its team may be another. An error comes with its HTTP status.
func (n *Node) cancelUnknown(ctx context.Context, id, team string, public bool) (progress *workload.Progress, status int, err error) {
	rows := []platform.RowKey{teamCancelRow(id, team)}
	if public {
		rows = append(rows, teamCancelRow(id, ""))
	}
	if err := n.writeCancelRows(ctx, rows...); err != nil {
		return nil, http.StatusGatewayTimeout, err
	}
	progress, err = n.readProgress(ctx, id)
	return progress, http.StatusGatewayTimeout, err
}
