package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
)

// HostRows returns the host rows in a manager's state.
func HostRows(m *Manager) []host.Row {
	var rows []host.Row
	m.exec.Do(context.Background(), func() {
		for _, row := range m.fleet.rows {
			rows = append(rows, row.Row)
		}
	})
	return rows
}

// StartMove starts to move one host, chosen by pick, between the two test
// pools. It does nothing if the manager does not own the spare pool, a host
// drains or has a commit in progress, or the pool would lose its last host.
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

// ListFrom returns how a manager gets the host list: "here" if it reads the
// platform, "another" if it fetches the list from another process, or "" before
// the first read.
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

// AssumeKnownDemand makes a manager's demand histories long enough to be relied
// on, with the last sample as the demand.
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

// Wave is the state of a pool's maintenance wave at the owner of the spare
// pool.
type Wave struct {
	Paused bool
	// Planned is the time of the pool's last demand sample, which is taken in
	// each round of planning.
	Planned time.Time
}

// WaveOf returns the state of a pool's wave. owns is false if the manager does
// not own the spare pool.
func WaveOf(m *Manager, pool string) (wave Wave, owns bool) {
	m.exec.Do(context.Background(), func() {
		owns = m.spareShard() != nil
		wave = Wave{Paused: m.waves.paused[pool], Planned: m.sizing.histories[pool].Last.At}
	})
	return wave, owns
}

// Debug describes a manager's state for the log of a failed test.
func Debug(m *Manager) string {
	var b strings.Builder
	m.exec.Do(context.Background(), func() {
		fmt.Fprintf(&b, "%s: settings %d\n", m.name, m.adopter.Version())
		for name, s := range m.shards {
			fmt.Fprintf(&b, "  shard %s epoch %d ready %v entries %d busy %v\n", name, s.epoch, s.ready(&m.fleet), len(s.entries), s.committing)
			for h, e := range s.entries {
				fmt.Fprintf(&b, "    %v assignment log %d/%d reflects %d seen %v ago in flight %v\n", h, e.assignmentLog.Set().Epoch, e.assignmentLog.Set().Version, e.assignmentLog.Set().Reflects, m.now().Sub(e.lastExchange), e.inFlight)
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
