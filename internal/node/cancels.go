package node

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// cancelFeedDelay is the delay between two calls of the feed of cancellations,
// which come many at a time. It is small beside the bound on their age.
const cancelFeedDelay = 100 * time.Millisecond

// cancelChanges are cancellations that were read.
type cancelChanges struct {
	rows  []platform.PartRow
	stamp platform.Stamp
	// sent is when the read was sent, and read when its answer was read.
	sent, read time.Duration
	// more is set if there may be further changes that were stored before sent.
	more bool
}

// readCancels reads all cancellations.
func (n *Node) readCancels(ctx context.Context) (cancelChanges, error) {
	c := cancelChanges{sent: n.Clock.Now()}
	var err error
	c.rows, c.stamp, err = n.readJobParts(ctx, cancelTable)
	c.read = n.Clock.Now()
	return c, err
}

// watchCancels passes cancellations to the engine until ctx ends.
func (o *owner) watchCancels(ctx context.Context, version int64) {
	n := o.node
	answer := func(c cancelChanges, err error) (handleAnswer, error) {
		return func() (int64, error) {
			o.post(ctx, func(now time.Duration) { o.applyCancels(c, now) })
			return c.stamp.Version, nil
		}, err
	}
	f := feed{
		name: "cancellations", log: n.Log, version: version, wait: feedLongPollWait, delay: cancelFeedDelay,
		readAll: func(ctx context.Context) (handleAnswer, error) { return answer(n.readCancels(ctx)) },
		readChanges: func(ctx context.Context, after int64) (handleAnswer, error) {
			c := cancelChanges{sent: n.Clock.Now()}
			var err error
			c.rows, c.stamp, err = n.Rows.Changes(ctx, cancelTable, after, feedLongPollWait)
			c.read, c.more = n.Clock.Now(), mayHaveMore(c.rows, c.stamp)
			return answer(c, err)
		},
	}
	_ = f.run(ctx) // ends with ctx
}

// applyCancels passes cancellations to the engine, and the time up to which all
// are known.
func (o *owner) applyCancels(c cancelChanges, now time.Duration) {
	for _, r := range c.rows {
		if !r.Deleted && !isTeamCancelRow(r.Key) {
			o.engine.Cancel(r.Key, r.Version, now)
		}
	}
	o.engine.CancelsRead(o.knownUpTo(&o.cancelMarks, c.stamp.Version, c.sent, c.more), now-c.read)
}
