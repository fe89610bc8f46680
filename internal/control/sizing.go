package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/pool"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// sizingInterval is the time between two sizings.
	sizingInterval = time.Second
	// moveReaction is how long a move takes from the rise of demand until the
	// host serves its new pool: sample, reading, drain and commit.
	moveReaction = 4 * time.Second
)

// sizing is the state of the sizing of all pools, at the owner of the spare
// pool. It is owned by the control goroutine.
type sizing struct {
	histories map[string]pool.History
	// wanted is the last target of each pool.
	wanted map[string]int
	// needed is how many serving hosts the budget of each pool asks for.
	needed map[string]int
}

// sizeLoop sizes the pools while this process owns the spare pool.
func (m *Manager) sizeLoop(ctx context.Context) {
	ticker := time.NewTicker(sizingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.sizeOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// sizeOnce asks all owners for their demand and starts the moves that follow.
func (m *Manager) sizeOnce(ctx context.Context) {
	owns := false
	m.exec.Do(ctx, func() { owns = m.spareShard() != nil })
	if !owns {
		return
	}
	replies := m.askOwners(ctx)
	m.exec.Do(ctx, func() { m.size(replies) })
}

// spareShard returns the spare pool's shard, if this process owns it and knows
// all host rows.
func (m *Manager) spareShard() *shard {
	current := m.adopter.Current()
	if current == nil {
		return nil
	}
	s := m.shards[current.Value.Spare]
	if s == nil || !s.ready(&m.world) {
		return nil
	}
	return s
}

// size decides the sizes of all pools and commits the intended moves. The
// intents are written under the epoch of the spare pool, whose owner alone
// sizes; the owner of each host's pool then drains it and completes the move.
func (m *Manager) size(replies []*controlpb.DemandReply) {
	spare := m.spareShard()
	if spare == nil {
		return
	}
	demands := m.observe(replies)
	effective := m.adopter.Current().Value
	plan := pool.Size(pool.State{Now: m.now(), Reaction: moveReaction, Pools: m.sizingPools(effective, demands)})
	for _, target := range plan.Targets {
		m.noteTarget(target)
	}
	for _, move := range plan.Moves {
		row, ok := m.world.rows[move.Host]
		if !ok || row.Pool != move.From || row.Phase != host.Serving {
			continue
		}
		event.MovePlanned.Log(m.log, zap.String("host", move.Host), zap.String("from", move.From),
			zap.String("to", move.To), zap.String("reason", string(move.Reason)))
		m.beginDrain(spare, row, host.ForMove, move.To)
	}
	budgets := map[string]float64{}
	for name, d := range demands {
		budgets[name] = float64(d.BudgetSpentMilli) / milli
	}
	m.maintain(spare, effective, budgets)
}

// observe adds the owners' samples to the histories.
func (m *Manager) observe(replies []*controlpb.DemandReply) map[string]*controlpb.PoolDemand {
	now := m.now()
	demands := map[string]*controlpb.PoolDemand{}
	for _, reply := range replies {
		for _, d := range reply.Pools {
			if old := demands[d.Pool]; old == nil || old.Epoch < d.Epoch {
				demands[d.Pool] = d
			}
		}
	}
	for name, d := range demands {
		m.sizing.histories[name] = m.sizing.histories[name].Observe(sampleOf(now, d))
	}
	return demands
}

// sampleOf returns a pool's demand as sizing sees it.
func sampleOf(now time.Time, d *controlpb.PoolDemand) pool.Sample {
	s := pool.Sample{
		At:          now,
		ArrivalRate: float64(d.ArrivedMilli) / milli,
		RefusalRate: float64(d.RefusedMilli) / milli,
		Busy:        float64(d.BusyMilli) / milli,
		Queued:      float64(d.Queued),
	}
	if served := s.ArrivalRate - s.RefusalRate; served > 0 {
		s.ServiceTime = time.Duration(s.Busy / served * float64(time.Second))
	}
	return s
}

// sizingPools returns the pools as sizing sees them.
func (m *Manager) sizingPools(effective *settings.Effective, demands map[string]*controlpb.PoolDemand) []pool.Pool {
	byName := map[string]*pool.Pool{}
	for name, values := range effective.Pools {
		p := &pool.Pool{
			Values:      values,
			Demand:      m.sizing.histories[name],
			BudgetSpent: float64(demands[name].GetBudgetSpentMilli()) / milli,
		}
		if p.Demand.Known() {
			p.Extra = m.upkeep.progress[name].Extra
		}
		byName[name] = p
	}
	for _, c := range effective.Services {
		if p := byName[c.Pool]; p != nil && (p.Deadline == 0 || c.Deadline < p.Deadline) {
			p.Deadline = c.Deadline
		}
	}
	m.addHosts(byName)
	m.addUnclaimed(byName, effective.HomePool)
	pools := make([]pool.Pool, 0, len(byName))
	for _, p := range byName {
		pools = append(pools, *p)
	}
	return pools
}

// addHosts adds the hosts that have a row to their pools.
func (m *Manager) addHosts(byName map[string]*pool.Pool) {
	for name, row := range m.world.rows {
		p := byName[row.Pool]
		if p == nil {
			continue
		}
		described := m.world.described[name]
		p.Hosts = append(p.Hosts, pool.Host{
			Name: name, Place: described.Place, Slots: described.Slots, Phase: row.Phase,
			Purpose: row.Purpose, MoveTo: row.MoveTo, Since: time.UnixMilli(row.Since),
			Pinned: m.jobs.Tasks(name).Pinned > 0,
		})
	}
}

// addUnclaimed adds the live hosts that the owners of their home pools have not
// claimed yet, as hosts that serve and stay: a pool that is about to claim its
// hosts lacks none.
func (m *Manager) addUnclaimed(byName map[string]*pool.Pool, homes map[string]string) {
	for name, home := range homes {
		p := byName[home]
		listed, ok := m.world.hostOf(name)
		if _, claimed := m.world.rows[name]; claimed || p == nil || !ok || listed.State != platform.HostLive {
			continue
		}
		p.Hosts = append(p.Hosts, pool.Host{
			Name: name, Place: listed.Place, Slots: listed.Slots, Phase: host.Serving, Since: m.now(), Pinned: true,
		})
	}
}

// noteTarget logs a pool's target when it changed.
func (m *Manager) noteTarget(t pool.Target) {
	m.sizing.needed[t.Pool] = t.Need
	if m.sizing.wanted[t.Pool] == t.Want {
		return
	}
	m.sizing.wanted[t.Pool] = t.Want
	event.PoolSized.Log(m.log, zap.String("pool", t.Pool), zap.Int("want", t.Want), zap.Int("need", t.Need),
		zap.Int("serving", t.Serving), zap.String("reason", string(t.Reason)))
}
