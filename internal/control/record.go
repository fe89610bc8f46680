package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/report"
	"github.com/egretpitch/egretpitch/internal/samples"
)

// changes counts the moves, maintenances and failures of a pool's hosts since
// the start of this process, derived from the versions of the host rows that it
// has seen.
type changes struct {
	moves, maintained, failures int
}

// countChange counts the events between two versions of a host's row.
func (f *fleet) countChange(old, next hostRow) {
	c := f.changes[next.Pool]
	if old.Pool != next.Pool {
		c.moves++
	}
	if old.Maintained != next.Maintained {
		c.maintained++
	}
	if next.Phase == host.Lost && old.Phase != host.Lost {
		c.failures++
	}
	f.changes[next.Pool] = c
}

// recordSamples samples a pool and stores the samples at the end of each
// interval.
func (m *Manager) recordSamples(s *shard, now time.Time) {
	list := s.recorder.Observe(now, m.readingOf(s))
	if list == nil {
		return
	}
	// The recorder keeps appending to its slice, so the goroutine below gets a
	// copy.
	list = append([]report.PoolSample(nil), list...)
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, commitTimeout)
		defer cancel()
		if err := m.samples.PutPool(ctx, list[0].At, s.pool, s.epoch, list); err != nil {
			m.log.Debug("failed to write samples", zap.String("pool", s.pool), zap.Error(err))
		}
	}()
}

// readingOf returns the current figures of a pool.
func (m *Manager) readingOf(s *shard) samples.Reading {
	serving := s.serving(&m.fleet)
	slots := 0
	for _, h := range serving {
		slots += h.Slots
	}
	c := m.fleet.changes[s.pool]
	reading := samples.Reading{
		Serving: float64(len(serving)), Moves: c.moves, Maintained: c.maintained, Failures: c.failures,
		Services: map[string]samples.Totals{},
	}
	if slots > 0 {
		reading.Busy = min(s.demand.last.busySlots/float64(slots), 1) * reading.Serving
	}
	for name, t := range s.demand.services {
		reading.Services[name] = samples.Totals{
			Answered: int64(t.answered - t.late), Late: int64(t.late),
			Refused: int64(t.refused), Lost: int64(t.lost),
		}
	}
	return reading
}
