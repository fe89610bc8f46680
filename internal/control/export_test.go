package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

// HostRows returns the host rows that a manager knows.
func HostRows(m *Manager) []host.Row {
	var rows []host.Row
	m.exec.Do(context.Background(), func() {
		for _, row := range m.fleet.rows {
			rows = append(rows, row.Row)
		}
	})
	return rows
}

// StartMove starts a move of one host chosen by pick to the other pool, if the
// manager owns the spare pool, no move is under way and both pools keep a host.
func StartMove(m *Manager, pick func(int) int) {
	m.exec.Do(context.Background(), func() {
		spare := m.spareShard()
		if spare == nil {
			return
		}
		byPool := map[string][]string{}
		for name, row := range m.fleet.rows {
			if row.Phase == host.Draining || spare.committing[name] {
				return
			}
			byPool[row.Pool] = append(byPool[row.Pool], name)
		}
		from, to := "kano-ordering", "shared-administration"
		if pick(2) == 0 {
			from, to = to, from
		}
		if len(byPool[from]) < 2 {
			return
		}
		slices.Sort(byPool[from])
		m.beginDrain(spare, m.fleet.rows[byPool[from][pick(len(byPool[from]))]], host.ForMove, to)
	})
}

// ListFrom returns where a manager has the host list from: "here", "another"
// process, or nowhere yet.
func ListFrom(m *Manager) string {
	from := ""
	m.exec.Do(context.Background(), func() {
		switch {
		case m.fleet.listed == nil:
		case m.fleet.listedLocally:
			from = "here"
		default:
			from = "another"
		}
	})
	return from
}

// AssumeKnownDemand lets a manager believe that it has watched all pools for long, at
// the demand that it saw last.
func AssumeKnownDemand(m *Manager) {
	m.exec.Do(context.Background(), func() {
		for _, name := range m.shardNames() {
			h := m.sizing.histories[name]
			if h.Last.At.IsZero() {
				h.Last.At = m.now()
			}
			h.First = m.now().Add(-time.Hour)
			m.sizing.histories[name] = h
		}
	})
}

// Wave is what the owner of the spare pool knows of a pool's wave.
type Wave struct {
	Paused bool
	// Planned is when the pool was last looked at.
	Planned time.Time
}

// WaveOf returns a pool's wave, if the manager owns the spare pool.
func WaveOf(m *Manager, pool string) (wave Wave, owns bool) {
	m.exec.Do(context.Background(), func() {
		owns = m.spareShard() != nil
		wave = Wave{Paused: m.waves.paused[pool], Planned: m.sizing.histories[pool].Last.At}
	})
	return wave, owns
}

// Debug describes what a manager knows, for the log of a failed test.
func Debug(m *Manager) string {
	var b strings.Builder
	m.exec.Do(context.Background(), func() {
		fmt.Fprintf(&b, "%s: settings %d\n", m.name, m.adopter.Version())
		for name, s := range m.shards {
			fmt.Fprintf(&b, "  shard %s epoch %d ready %v entries %d busy %v\n", name, s.epoch, s.ready(&m.fleet), len(s.entries), s.committing)
			for h, e := range s.entries {
				fmt.Fprintf(&b, "    %v book %d/%d reflects %d seen %v ago in flight %v\n", h, e.book.Set().Epoch, e.book.Set().Version, e.book.Set().Reflects, m.now().Sub(e.lastExchange), e.inFlight)
			}
			for name, d := range s.drains {
				fmt.Fprintf(&b, "    drain %s version %d: %+v\n", name, d.version, d.MayComplete(m.absences.AbsentFor))
			}
		}
		for _, row := range m.fleet.rows {
			fmt.Fprintf(&b, "  %+v\n", row)
		}
		fmt.Fprintf(&b, "  directory %+v rowsVersion %d\n", m.leases.Directory(), m.fleet.rowsVersion)
	})
	return b.String()
}
