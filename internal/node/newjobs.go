package node

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// newJobsInterval is the minimum time between two reads of the jobs that the
// owner has not read yet.
const newJobsInterval = 500 * time.Millisecond

// newJobs counts the jobs that the owner has not read yet. It reads nothing
// while it is not asked, and each row only once.
type newJobs struct {
	node *Node
	// busy holds a token while a call uses the fields below.
	busy chan struct{}
	// after and through are the versions between which all jobs were read.
	after, through int64
	// readAt is when the last read was requested.
	readAt time.Duration
	// queued holds the jobs accepted in between that have not begun, by id.
	queued map[string]queuedJob
}

// queuedJob is a job that has not begun, with the version of its row.
type queuedJob struct {
	queue   string
	version int64
}

func newNewJobs(n *Node) *newJobs {
	return &newJobs{node: n, busy: make(chan struct{}, 1), queued: map[string]queuedJob{}}
}

// mayHaveMore reports whether an answer about changes may be one page of
// several. The version of such an answer is that of its last row.
func mayHaveMore(rows []platform.PartRow, stamp platform.Stamp) bool {
	return len(rows) > 0 && rows[len(rows)-1].Version >= stamp.Version
}

// count returns how many jobs of a queue were accepted after a version and have
// not begun. Only the acceptance of a job writes a row that says it is queued.
func (j *newJobs) count(ctx context.Context, after int64, queue string) (int, error) {
	select {
	case j.busy <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-j.busy }()
	if err := j.read(ctx, after); err != nil {
		return 0, err
	}
	count := 0
	for _, q := range j.queued {
		if q.queue == queue && q.version > after {
			count++
		}
	}
	return count, nil
}

// read brings queued up to date with the rows after a version.
func (j *newJobs) read(ctx context.Context, after int64) error {
	n := j.node
	now := n.Clock.Now()
	switch {
	case after < j.after || after > j.through:
		j.after, j.through, j.readAt = after, after, now-newJobsInterval
		clear(j.queued)
	case now-j.readAt < newJobsInterval:
		return nil
	}
	for more := true; more; {
		callCtx, cancel := context.WithTimeout(ctx, feedSlack)
		rows, stamp, err := n.Rows.Changes(callCtx, progressTable, j.through, 0)
		cancel()
		if err != nil {
			return err
		}
		n.Clock.ObserveStore(stamp, n.Clock.Now())
		for _, r := range rows {
			j.observe(r)
		}
		j.through = stamp.Version
		more = mayHaveMore(rows, stamp)
	}
	for id, q := range j.queued {
		if q.version <= after {
			delete(j.queued, id)
		}
	}
	j.after, j.readAt = after, now
	return nil
}

// observe updates queued from a changed row.
func (j *newJobs) observe(r platform.PartRow) {
	if !r.Deleted {
		if p, err := workload.DecodeProgress(r.Value); err == nil && p.State == workload.Queued {
			j.queued[r.Key] = queuedJob{queue: p.Queue, version: r.Version}
			return
		}
	}
	delete(j.queued, r.Key)
}
