package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// probeInterval is the time between two probes of parts that are unresponsive. With
	// 42 processes they take 210 of the 6,000 reads a second of the service, and
	// none while it answers.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe. It is above the latency of slow days.
	probeTimeout = 1500 * time.Millisecond
	// maxProbes bounds the probes in flight. After a fault several idle connections
	// may be silent.
	maxProbes = 4
)

// probeStore reads one small row of the unresponsive parts in turn until ctx ends, so
// that no caller's job has to test whether the service is back.
func (n *Node) probeStore(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	n.storeHealth.tick()
	probes := semaphore.NewWeighted(maxProbes)
	var unresponsive unresponsiveLog
	for next := 0; ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		n.storeHealth.tick()
		unresponsive.observe(n.unresponsiveParts(), n.Log)
		for range jobParts {
			part := next
			next = (next + 1) % jobParts
			if !n.storeHealth.unresponsive(partName(part)) {
				continue
			}
			if probes.TryAcquire(1) {
				go func() {
					defer probes.Release(1)
					n.probePart(ctx, part)
				}()
			}
			break
		}
	}
}

// unresponsiveParts returns the names of the unresponsive parts of the jobs.
func (n *Node) unresponsiveParts() []string {
	var parts []string
	for i := range jobParts {
		if n.storeHealth.unresponsive(partName(i)) {
			parts = append(parts, partName(i))
		}
	}
	return parts
}

// storeState returns the state of the table service as this process sees it:
// "answers", "unresponsive" if parts of the jobs are, "silent" if parts are, or
// "unreachable".
func (n *Node) storeState() string {
	if n.reachability.unreachable() {
		return "unreachable"
	}
	for i := range jobParts {
		if n.storeHealth.silent(partName(i)) {
			return "silent"
		}
	}
	if len(n.unresponsiveParts()) > 0 {
		return "unresponsive"
	}
	return "answers"
}

// unresponsiveLog logs when parts have become unresponsive and when none is any more. A part
// that answers the first probe is not logged.
type unresponsiveLog struct {
	since  time.Time
	logged bool
}

func (s *unresponsiveLog) observe(parts []string, log *zap.Logger) {
	switch {
	case len(parts) > 0 && s.since.IsZero():
		s.since = time.Now()
	case len(parts) > 0 && !s.logged:
		s.logged = true
		event.StoreUnresponsive.Log(log, zap.Strings("parts", parts))
	case len(parts) == 0:
		if s.logged {
			event.StoreAnswers.Log(log, zap.Duration("after", time.Since(s.since)))
		}
		*s = unresponsiveLog{}
	}
}

// probePart reads the fencing token of a part.
func (n *Node) probePart(ctx context.Context, part int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	call := n.storeHealth.begin(ctx, partName(part), 0, nil)
	row := fenceRow(partName(part))
	_, _, err := n.Rows.ReadRows(ctx, row.Table, row.Part, row.Key, row.Key+"\x00")
	call.end(err)
	n.reachability.observe(err)
}

// confirmPart reports whether a part of the jobs answers calls. Unless it has just
// done so, it probes the part and waits until a call is answered, the probe fails or
// the part is unresponsive.
func (n *Node) confirmPart(ctx context.Context, part int) bool {
	if n.storeHealth.recent(partName(part)) {
		return true
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.probePart(ctx, part)
	}()
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return n.storeHealth.recent(partName(part))
		case <-ticker.C:
		}
		if recent := n.storeHealth.recent(partName(part)); recent || n.storeHealth.unresponsive(partName(part)) {
			return recent
		}
	}
}
