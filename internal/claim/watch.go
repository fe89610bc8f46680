package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// watchTime is for how long a refused attempt is looked at whose commit
	// may still land.
	watchTime = time.Minute
	// maxWatched bounds the attempts that are watched at once.
	maxWatched = 1024
)

// watch is a refused attempt of which a commit may still land.
type watch struct {
	attempt *attempt
	until   time.Time
}

// watchIfOutcomeUnknown sees to it that the row of a refused attempt does not stay:
// its request did not run, so the key must be free for the caller's next try.
func (m *Manager) watchIfOutcomeUnknown(a *attempt) {
	if !a.outcomeUnknown || a.watched || a.runsAnyway {
		return
	}
	if len(m.watched) >= maxWatched {
		event.ClaimOutcomeUnknown.Log(m.opts.Log, zap.String("row", a.key), zap.Error(errFull))
		return
	}
	a.watched = true
	m.watched = append(m.watched, watch{attempt: a, until: time.Now().Add(watchTime)})
}

// checkWatched releases rows of watched attempts that landed.
func (m *Manager) checkWatched(ctx context.Context) {
	for start := 0; start < len(m.watched); start += m.opts.BatchSize {
		part := m.watched[start:min(start+m.opts.BatchSize, len(m.watched))]
		steps := make([]*step, len(part))
		for i, w := range part {
			steps[i] = &step{attempt: w.attempt}
		}
		rows, err := m.read(ctx, steps)
		if err != nil {
			return
		}
		for _, s := range steps {
			if settled, _ := s.compare(rows[s.attempt.key]); !settled {
				m.deferred = append(m.deferred, s)
			}
		}
	}
	m.dropWatched(time.Now())
}

// dropWatched ends the watches that are over.
func (m *Manager) dropWatched(now time.Time) {
	kept := m.watched[:0]
	for _, w := range m.watched {
		if now.Before(w.until) {
			kept = append(kept, w)
		} else {
			w.attempt.watched = false
		}
	}
	clear(m.watched[len(kept):])
	m.watched = kept
}
