package job

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// callTimeout bounds a call, including the read-back that resolves an unknown
// outcome.
const callTimeout = 5 * time.Second

// Execute performs a platform call and returns its result. It may be called
// from any goroutine.
func Execute(ctx context.Context, p *platform.Platform, shard *lease.Shard, c *Call, now func() time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := Result{Call: c, Began: now()}
	switch c.Kind {
	case CallCommit:
		r.Version, r.Err = shard.Commit(ctx, p.Table, c.Txn)
	case CallStart:
		r.Err = sendStart(ctx, p.Workers, shard, c, now)
	case CallStop:
		r.Err = p.Workers.Stop(ctx, c.Host, c.TaskIDs[0])
	case CallCheckpoint:
		// Stop the task only after its checkpoint has been written.
		if r.Err = p.Workers.Checkpoint(ctx, c.Host, c.TaskIDs[0]); r.Err == nil {
			r.Err = p.Workers.Stop(ctx, c.Host, c.TaskIDs[0])
		}
	case CallThrottle:
		r.Err = p.Workers.Throttle(ctx, c.Host, c.TaskIDs[0], c.Share)
	case CallRenew:
		r.Err = p.Workers.Renew(ctx, c.Host, c.TaskIDs)
	case CallUsage:
		r.Usage, r.Err = p.Workers.Usage(ctx, c.Host)
	}
	return r
}

// sendStart sends a start unless its deadline has passed or the shard is lost.
// A process that was paused must not send a start that its successor has
// already given up.
func sendStart(ctx context.Context, workers platform.Workers, shard *lease.Shard, c *Call, now func() time.Time) error {
	if !shard.Held() || now().After(c.NotAfter) {
		return ErrNotSent
	}
	return workers.Start(ctx, c.Task)
}
