package node

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// workerFeedDelay is the delay between two calls of the workers' feed, which
// changes with every worker's heartbeat.
const workerFeedDelay = 200 * time.Millisecond

// watchJobs passes new jobs to the engine until ctx ends.
func (o *owner) watchJobs(ctx context.Context, version int64) {
	n := o.node
	answer := func(rows []platform.PartRow, stamp platform.Stamp, more bool) handleAnswer {
		n.Clock.ObserveStore(stamp, n.Clock.Now())
		return func() (int64, error) {
			o.post(ctx, func(now time.Duration) {
				o.addJobs(rows, nil, now)
				o.engine.JobsRead(stamp.Version)
				o.jobsRead.Version = stamp.Version
				if !more {
					o.jobsRead.NowMS = stamp.NowMS
				}
			})
			return stamp.Version, nil
		}
	}
	f := feed{
		name: "jobs", log: n.Log, version: version, wait: feedLongPollWait,
		readAll: func(ctx context.Context) (handleAnswer, error) {
			rows, stamp, err := n.readJobParts(ctx, jobTable)
			if err != nil {
				return nil, err
			}
			progress, _, err := n.readJobParts(ctx, progressTable)
			if err != nil {
				return nil, err
			}
			return answer(withoutNewerProgress(rows, progress), stamp, false), nil
		},
		readChanges: func(ctx context.Context, after int64) (handleAnswer, error) {
			rows, stamp, err := n.Rows.Changes(ctx, jobTable, after, feedLongPollWait)
			if err != nil {
				return nil, err
			}
			return answer(rows, stamp, mayHaveMore(rows, stamp)), nil
		},
	}
	_ = f.run(ctx) // ends with ctx
}

// withoutNewerProgress drops the jobs whose progress was written after they
// were accepted: this owner wrote it, so its engine already has them.
func withoutNewerProgress(rows, progress []platform.PartRow) []platform.PartRow {
	versions := make(map[string]int64, len(progress))
	for _, p := range progress {
		versions[p.Key] = p.Version
	}
	kept := make([]platform.PartRow, 0, len(rows))
	for _, r := range rows {
		if versions[r.Key] == r.Version {
			kept = append(kept, r)
		}
	}
	return kept
}

// entryChanges are entries of workers that were read.
type entryChanges struct {
	platform.WorkerChanges
	// full is set if they are all entries.
	full bool
	// sent is when the read was sent.
	sent time.Duration
}

// readEntries reads all entries of workers.
func (n *Node) readEntries(ctx context.Context) (entryChanges, error) {
	c := entryChanges{full: true, sent: n.Clock.Now()}
	var err error
	c.WorkerChanges, err = n.Discovery.ReadWorkers(ctx)
	return c, err
}

// watchWorkers passes changes of the workers' entries to the engine until ctx
// ends.
func (o *owner) watchWorkers(ctx context.Context, version int64) {
	n := o.node
	answer := func(c entryChanges, err error) (handleAnswer, error) {
		return func() (int64, error) {
			o.post(ctx, func(now time.Duration) { o.applyEntries(c, now) })
			return c.Version, nil
		}, err
	}
	f := feed{
		name: "workers' entries", log: n.Log, version: version, wait: feedLongPollWait, delay: workerFeedDelay,
		readAll: func(ctx context.Context) (handleAnswer, error) { return answer(n.readEntries(ctx)) },
		readChanges: func(ctx context.Context, after int64) (handleAnswer, error) {
			c := entryChanges{sent: n.Clock.Now()}
			var err error
			c.WorkerChanges, err = n.Discovery.WatchWorkers(ctx, after, feedLongPollWait)
			return answer(c, err)
		},
	}
	_ = f.run(ctx) // ends with ctx
}

// applyEntries passes changed and removed entries to the engine, and the time up
// to which all are known. After a full read, every worker that is not among the
// entries counts as removed.
func (o *owner) applyEntries(c entryChanges, now time.Duration) {
	for _, w := range c.Changed {
		o.engine.WorkerListed(w, now)
	}
	for _, id := range c.Removed {
		o.engine.WorkerUnlisted(id, now)
	}
	if c.full {
		listed := make(map[string]bool, len(c.Changed))
		for _, w := range c.Changed {
			listed[w.ID] = true
		}
		for _, id := range o.engine.Listed() {
			if !listed[id] {
				o.engine.WorkerUnlisted(id, now)
			}
		}
	}
	more := !c.full && c.LastVersion >= c.Version
	o.engine.EntriesRead(o.knownUpTo(&o.entryMarks, c.Version, c.sent, more))
}
