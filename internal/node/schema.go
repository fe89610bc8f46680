package node

import (
	"context"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Tables of ours. Rows that one transaction conditions on each other share a
// part. The control part holds the owner's record, its beat and what else only
// the owner writes; jobs are spread over parts of their own, each with a copy
// of the owner's token as its fence, so that neither a queue of submissions
// nor a slow part holds up the beats.
const (
	controlTable     = "egretpitch-control"
	usedWorkersTable = "egretpitch-fenced"
	waveTable        = "egretpitch-waves"
	fenceTable       = "egretpitch-fence"
	jobTable         = "egretpitch-jobs"
	progressTable    = "egretpitch-progress"
	controlPart      = "control"
)

// jobParts is the number of parts that jobs are spread over. A part takes
// about 125 transactions a second at 8 ms each; 340 workers are offered up to
// 130 jobs a second.
const jobParts = 4

// cancelSuffix after a job's id is the key of its cancellation.
const cancelSuffix = "-cancel"

func controlRow(table, key string) platform.RowKey {
	return platform.RowKey{Table: table, Part: controlPart, Key: key}
}

var (
	ownerRow     = controlRow(controlTable, "owner")
	heartbeatRow = controlRow(controlTable, "beat")
)

// partOf is the number of a job's part.
func partOf(job string) int { return int(xxhash.Sum64String(job) % jobParts) }

func partName(n int) string { return "jobs-" + strconv.Itoa(n) }

// jobRow is the key of a job's row, or with a suffix of its cancellation.
func jobRow(table, job, suffix string) platform.RowKey {
	return platform.RowKey{Table: table, Part: partName(partOf(job)), Key: job + suffix}
}

// fenceRow holds the owner's token in a part of the jobs.
func fenceRow(part int) platform.RowKey {
	return platform.RowKey{Table: fenceTable, Part: partName(part), Key: "token"}
}

// cancelledJob returns the id of the job that a key cancels.
func cancelledJob(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// readJobParts reads a table of all parts of the jobs. The stamp is the oldest:
// later changes are found by a feed that starts there.
func (n *Node) readJobParts(ctx context.Context, table string) ([]platform.PartRow, platform.Stamp, error) {
	var parts [jobParts][]platform.PartRow
	var stamps [jobParts]platform.Stamp
	group, ctx := errgroup.WithContext(ctx)
	for i := range jobParts {
		group.Go(func() error {
			var err error
			parts[i], stamps[i], err = n.Rows.ReadRows(ctx, table, partName(i), "", "")
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, platform.Stamp{}, err
	}
	var all []platform.PartRow
	oldest := stamps[0]
	for i := range parts {
		all = append(all, parts[i]...)
		if stamps[i].Version < oldest.Version {
			oldest = stamps[i]
		}
	}
	return all, oldest, nil
}
