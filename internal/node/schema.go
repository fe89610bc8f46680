package node

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Tables of the processes. Rows that one transaction writes or conditions on
// together share a part. The control part holds the owner record and the
// heartbeat, the records part what the owner stores for a successor. Jobs are
// spread over parts of their own. The records part and those of the jobs each have
// a copy of the owner's fencing token. A part applies one transaction at a time, so
// neither a backlog of submissions nor the owner's records delay the heartbeats.
const (
	controlTable     = "egretpitch-control"
	usedWorkersTable = "egretpitch-fenced"
	waveTable        = "egretpitch-waves"
	fenceTable       = "egretpitch-fence"
	configTable      = "egretpitch-config"
	jobTable         = "egretpitch-jobs"
	progressTable    = "egretpitch-progress"
	// cancelTable holds a row for each cancelled job, under the job's id. A job is
	// stored only while it has none there, and none of its team: see
	// submission.cancelRows. The table has a feed of its own: a start relies on how
	// old its last answer is, and its rows are small beside those of the jobs.
	cancelTable = "egretpitch-cancels"
	controlPart = "control"
	recordsPart = "records"
)

// jobParts is the number of parts that jobs are spread over. A part commits
// about 125 transactions a second at 8 ms each; up to 130 jobs a second are
// submitted to 340 workers.
const jobParts = 4

func controlRow(table, key string) platform.RowKey {
	return platform.RowKey{Table: table, Part: controlPart, Key: key}
}

// recordsRow returns the key of a row that the owner stores for a successor.
func recordsRow(table, key string) platform.RowKey {
	return platform.RowKey{Table: table, Part: recordsPart, Key: key}
}

var (
	ownerRow     = controlRow(controlTable, "owner")
	heartbeatRow = controlRow(controlTable, "beat")
	offerRow     = controlRow(controlTable, "offer")
)

// partOf returns the number of a job's part.
func partOf(job string) int { return int(xxhash.Sum64String(job) % jobParts) }

var partNames = func() (names [jobParts]string) {
	for i := range names {
		names[i] = "jobs-" + strconv.Itoa(i)
	}
	return names
}()

func partName(n int) string { return partNames[n] }

// jobRow returns the key of a job's row in a table.
func jobRow(table, job string) platform.RowKey {
	return platform.RowKey{Table: table, Part: partName(partOf(job)), Key: job}
}

// fenceRow returns the key of the row that holds the owner's fencing token in a
// part.
func fenceRow(part string) platform.RowKey {
	return platform.RowKey{Table: fenceTable, Part: part, Key: "token"}
}

// readJobParts reads a table in all parts of the jobs. The returned stamp is
// the oldest of the parts, so that a feed which starts there misses no change.
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
