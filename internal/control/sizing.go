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
	// sizingInterval is the time between two sizing rounds.
	sizingInterval = time.Second
	// moveReaction is the time from a rise of demand until a moved host serves
	// its new pool. It covers a sample, a snapshot, the drain and the commit.
	moveReaction = 4 * time.Second
)

// sizing is the state of pool sizing, kept by the owner of the spare pool. Only
// the control goroutine uses it.
type sizing struct {
	histories map[string]pool.History
	// wanted is the last target size of each pool.
	wanted map[string]int
	// needed is the number of serving hosts that each pool requires to stay
	// within its availability budget.
	needed map[string]int
}

// sizeLoop sizes the pools every sizingInterval while this process owns the
// spare pool.
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

// sizeOnce queries the demand from all owners and starts the resulting moves.
func (m *Manager) sizeOnce(ctx context.Context) {
	owns := false
	m.exec.Do(ctx, func() { owns = m.spareShard() != nil })
	if !owns {
		return
	}
	replies := m.queryOwners(ctx)
	m.exec.Do(ctx, func() { m.size(replies) })
}

// spareShard returns the spare pool's shard if this process owns it and the
// shard is ready, and nil otherwise.
func (m *Manager) spareShard() *shard {
	current := m.adopter.Current()
	if current == nil {
		return nil
	}
	s := m.shards[current.Value.Spare]
	if s == nil || !s.ready(&m.fleet) {
		return nil
	}
	return s
}

// size computes the target sizes of all pools, commits the first step of each
// move and runs maintenance. The moves are written under the epoch of the spare
// pool, whose owner alone sizes pools; the owner of the host's pool then drains
// the host and completes the move.
func (m *Manager) size(replies []*controlpb.DemandReply) {
	spare := m.spareShard()
	if spare == nil {
		return
	}
	demands := m.recordDemand(replies)
	effective := m.adopter.Current().Value
	plan := pool.Size(pool.State{Now: m.now(), Reaction: moveReaction, Pools: m.sizingPools(effective, demands)})
	for _, target := range plan.Targets {
		m.recordTarget(target)
	}
	for _, move := range plan.Moves {
		row, ok := m.fleet.rows[move.Host]
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

// recordDemand adds the owners' samples to the demand histories and returns the
// demand by pool. If two processes report a pool, the one with the higher epoch
// wins.
func (m *Manager) recordDemand(replies []*controlpb.DemandReply) map[string]*controlpb.PoolDemand {
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

// sampleOf converts a pool's demand to a sample for sizing.
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

// sizingPools returns the input of pool sizing.
func (m *Manager) sizingPools(effective *settings.Effective, demands map[string]*controlpb.PoolDemand) []pool.Pool {
	byName := map[string]*pool.Pool{}
	for name, values := range effective.Pools {
		p := &pool.Pool{
			Values:      values,
			Demand:      m.sizing.histories[name],
			BudgetSpent: float64(demands[name].GetBudgetSpentMilli()) / milli,
		}
		if p.Demand.Known() {
			p.Extra = m.waves.progress[name].Extra
		}
		byName[name] = p
	}
	for _, c := range effective.Services {
		if p := byName[c.Pool]; p != nil && (p.Deadline == 0 || c.Deadline < p.Deadline) {
			p.Deadline = c.Deadline
		}
	}
	m.addHosts(byName)
	m.addHostsWithoutRow(byName, effective.HomePool)
	pools := make([]pool.Pool, 0, len(byName))
	for _, p := range byName {
		pools = append(pools, *p)
	}
	return pools
}

// addHosts adds the hosts that have a row to their pools.
func (m *Manager) addHosts(byName map[string]*pool.Pool) {
	for name, row := range m.fleet.rows {
		p := byName[row.Pool]
		if p == nil {
			continue
		}
		lastListed := m.fleet.lastListed[name]
		p.Hosts = append(p.Hosts, pool.Host{
			Name: name, Place: lastListed.Place, Slots: lastListed.Slots, Phase: row.Phase,
			Purpose: row.Purpose, MoveTo: row.MoveTo, Since: time.UnixMilli(row.Since),
			Pinned: m.jobs.Tasks(name).Pinned > 0,
		})
	}
}

// addHostsWithoutRow adds the live hosts whose first row the owners of their
// home pools have not written yet. They count as serving and pinned, so that a
// pool that is about to get its own hosts is not given others.
func (m *Manager) addHostsWithoutRow(byName map[string]*pool.Pool, homes map[string]string) {
	for name, home := range homes {
		p := byName[home]
		listed, ok := m.fleet.listedHost(name)
		if _, hasRow := m.fleet.rows[name]; hasRow || p == nil || !ok || listed.State != platform.HostLive {
			continue
		}
		p.Hosts = append(p.Hosts, pool.Host{
			Name: name, Place: listed.Place, Slots: listed.Slots, Phase: host.Serving, Since: m.now(), Pinned: true,
		})
	}
}

// recordTarget stores a pool's target and logs it if it changed.
func (m *Manager) recordTarget(t pool.Target) {
	m.sizing.needed[t.Pool] = t.Need
	if m.sizing.wanted[t.Pool] == t.Want {
		return
	}
	m.sizing.wanted[t.Pool] = t.Want
	event.PoolSized.Log(m.log, zap.String("pool", t.Pool), zap.Int("want", t.Want), zap.Int("need", t.Need),
		zap.Int("serving", t.Serving), zap.String("reason", string(t.Reason)))
}
