package node

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// workerRest is the pause between two answers of the feed of workers, which
// changes with every worker's heartbeat.
const workerRest = 200 * time.Millisecond

// watchJobs brings new jobs and cancellations to the engine.
func (o *owner) watchJobs(ctx context.Context, version int64) {
	n := o.node
	take := func(rows []platform.PartRow, stamp platform.Stamp) int64 {
		n.Clock.SeeStore(stamp, n.Clock.Now())
		if len(rows) > 0 {
			o.post(ctx, func(now time.Duration) { o.takeJobs(rows, nil, now) })
		}
		return stamp.Version
	}
	f := feed{
		name: "jobs", log: n.Log, version: version,
		read: func(ctx context.Context) (int64, error) {
			rows, stamp, err := n.readJobParts(ctx, jobTable)
			if err != nil {
				return 0, err
			}
			progress, _, err := n.readJobParts(ctx, progressTable)
			if err != nil {
				return 0, err
			}
			return take(untouched(rows, progress), stamp), nil
		},
		follow: func(ctx context.Context, after int64) (int64, error) {
			rows, stamp, err := n.Rows.Changes(ctx, jobTable, after, feedWait)
			if err != nil {
				return 0, err
			}
			return take(rows, stamp), nil
		},
	}
	_ = f.run(ctx) // ends with ctx
}

// untouched drops the jobs whose progress was written since they were
// accepted: this owner wrote it, and knows the job.
func untouched(rows, progress []platform.PartRow) []platform.PartRow {
	versions := make(map[string]int64, len(progress))
	for _, p := range progress {
		versions[p.Key] = p.Version
	}
	kept := make([]platform.PartRow, 0, len(rows))
	for _, r := range rows {
		if _, isCancel := cancelledJob(r.Key); isCancel || versions[r.Key] == r.Version {
			kept = append(kept, r)
		}
	}
	return kept
}

// watchWorkers brings the workers' entries to the engine.
func (o *owner) watchWorkers(ctx context.Context, version int64) {
	n := o.node
	take := func(c platform.WorkerChanges, full bool, err error) (int64, error) {
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.takeWorkers(c, full, now) })
		}
		return c.Version, err
	}
	f := feed{
		name: "workers' entries", log: n.Log, version: version, rest: workerRest,
		read: func(ctx context.Context) (int64, error) {
			c, err := n.Discovery.ReadWorkers(ctx)
			return take(c, true, err)
		},
		follow: func(ctx context.Context, after int64) (int64, error) {
			c, err := n.Discovery.WatchWorkers(ctx, after, feedWait)
			return take(c, false, err)
		},
	}
	_ = f.run(ctx) // ends with ctx
}

// takeWorkers hands entries to the engine. A full read also tells which are
// gone.
func (o *owner) takeWorkers(c platform.WorkerChanges, full bool, now time.Duration) {
	for _, w := range c.Changed {
		o.engine.WorkerListed(w, now)
	}
	for _, id := range c.Removed {
		o.engine.WorkerGone(id, now)
	}
	if full {
		listed := make(map[string]bool, len(c.Changed))
		for _, w := range c.Changed {
			listed[w.ID] = true
		}
		for _, id := range o.engine.Listed() {
			if !listed[id] {
				o.engine.WorkerGone(id, now)
			}
		}
	}
}
