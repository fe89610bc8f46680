package node

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// answerShare is the part of a shutdown's time in which requests are served. The
// rest is for the answers to those that are then still in progress.
const answerShare = 0.85

// RequestContext returns the base context of requests, for an http.Server. It ends
// shortly before the end of a shutdown, so that each request in progress is
// answered before the process ends.
func (n *Node) RequestContext(net.Listener) context.Context { return n.requests }

// Server is a server of requests, which Shutdown finishes.
type Server interface {
	Shutdown(context.Context) error
}

// Shutdown keeps serving for linger while it releases the control work and the
// balancer notices that the process is not ready, and then waits for the
// requests in progress. Those that are not answered shortly before the end of
// ctx are refused, or answered that their outcome is unknown.
func (n *Node) Shutdown(ctx context.Context, linger time.Duration, servers ...Server) error {
	n.stopping.Store(true)
	serving := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		serving, cancel = context.WithTimeout(ctx, time.Duration(answerShare*float64(time.Until(deadline))))
		defer cancel()
	}
	defer context.AfterFunc(serving, n.endRequests)()
	lingered := time.After(linger)
	n.release(serving)
	select {
	case <-lingered:
	case <-serving.Done():
	}
	n.release(serving) // acquired since, by a write that was in flight
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	return group.Wait()
}
