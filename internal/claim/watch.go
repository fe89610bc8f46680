package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// watchDuration is for how long a refused attempt is watched whose commit
	// may still take effect.
	watchDuration = time.Minute
	// maxWatched is the most attempts that are watched at once.
	maxWatched = 1024
)

// watch is a refused attempt with a commit that may still take effect.
type watch struct {
	attempt *attempt
	until   time.Time
}

// watchIfOutcomeUnknown watches a refused attempt whose commit may still take
// effect, so that its row is removed: the request did not run, so the key must
// be free for the caller's next try.
func (m *Manager) watchIfOutcomeUnknown(a *attempt) {
	if !a.outcomeUnknown || a.watched || a.runsUnclaimed {
		return
	}
	if len(m.watched) >= maxWatched {
		event.ClaimOutcomeUnknown.Log(m.opts.Log, zap.String("row", a.key), zap.Error(errFull))
		return
	}
	a.watched = true
	m.watched = append(m.watched, watch{attempt: a, until: time.Now().Add(watchDuration)})
}

// checkWatched removes the rows of watched attempts whose commits took effect.
func (m *Manager) checkWatched(ctx context.Context) {
	for start := 0; start < len(m.watched); start += m.opts.BatchSize {
		batch := m.watched[start:min(start+m.opts.BatchSize, len(m.watched))]
		updates := make([]*rowUpdate, len(batch))
		for i, w := range batch {
			updates[i] = &rowUpdate{attempt: w.attempt}
		}
		rows, err := m.read(ctx, updates)
		if err != nil {
			return
		}
		for _, u := range updates {
			if settled, _ := u.reconcile(rows[u.attempt.key]); !settled {
				m.deferred = append(m.deferred, u)
			}
		}
	}
	m.dropWatched(time.Now())
}

// dropWatched removes the watches whose time is over.
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
