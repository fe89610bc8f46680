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

// cancelRows returns the rows of cancelTable that must not exist when the job is
// stored.
func (s *submission) cancelRows() []platform.RowKey {
	rows := []platform.RowKey{jobRow(cancelTable, s.job.ID)}
	if s.teams || s.job.Team != "" || s.job.Terms != nil && s.job.Terms.Public {
		rows = append(rows, teamCancelRow(s.job.ID, s.job.Team))
	}
	return rows
}

// hasTeams reports whether the configuration has teams, or had some: other processes
// may have such a version in force.
func (n *Node) hasTeams() bool {
	c := n.catalog.Load()
	return n.floor.version.Load() > 0 || c != nil && c.RequiresKeys
}

// cancelUnknown cancels a job that was not stored when it was read, for a team. It
// cancels the job also if it is submitted without a team: the key may not be known
// yet where the submission arrives, and any team may cancel such a job. If it has
// been stored meanwhile, the progress is returned: its cancellation is not recorded,
// and its team may be another. An error comes with its HTTP status.
func (n *Node) cancelUnknown(ctx context.Context, id, team string) (progress *workload.Progress, status int, err error) {
	if err := n.writeCancelRows(ctx, teamCancelRow(id, team), teamCancelRow(id, "")); err != nil {
		return nil, cancelStatus(err), err
	}
	progress, err = n.readProgress(ctx, id)
	return progress, http.StatusGatewayTimeout, err
}
