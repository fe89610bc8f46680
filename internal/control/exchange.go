package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

const (
	// maxExchangeWait bounds how long an exchange is held.
	maxExchangeWait = 2 * time.Second
	// entryTimeout is how long an entry counts as present after an exchange.
	entryTimeout = 5 * time.Second
	// instanceRetention is how long an entry is remembered after an exchange.
	instanceRetention = 10 * time.Minute
)

var (
	// errStopping ends calls of a process that stops.
	errStopping = errors.New("control is stopping")
	// errNoSettings ends calls of a process that has seen no settings yet.
	errNoSettings = errors.New("no settings in force")
)

// Exchange implements the drpc service. It takes in the report at once and
// answers when something changed or the wait is over.
func (m *Manager) Exchange(ctx context.Context, req *controlpb.ExchangeRequest) (*controlpb.ExchangeReply, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxExchangeWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	if !m.exec.Do(ctx, func() { m.handleReport(req) }) {
		return nil, errStopping
	}
	for {
		var reply *controlpb.ExchangeReply
		var wakes []<-chan struct{}
		if !m.exec.Do(ctx, func() { reply, wakes = m.reply(req) }) {
			return nil, errStopping
		}
		if !empty(reply) || !waitAny(ctx, deadline.C, wakes) {
			return reply, nil
		}
	}
}

// empty reports whether the reply brings nothing new.
func empty(r *controlpb.ExchangeReply) bool {
	return len(r.Settings) == 0 && len(r.Pools) == 0 && len(r.Directory) == 0
}

// waitAny waits for one of the channels and returns false when the deadline or
// ctx came first.
func waitAny(ctx context.Context, deadline <-chan time.Time, wakes []<-chan struct{}) bool {
	woken := make(chan struct{}, 1)
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, wake := range wakes {
		go func() {
			select {
			case <-wake:
				select {
				case woken <- struct{}{}:
				default:
				}
			case <-waitCtx.Done():
			}
		}()
	}
	select {
	case <-woken:
		return true
	case <-deadline:
		return false
	case <-ctx.Done():
		return false
	}
}

// handleReport takes in acknowledgements and demand.
func (m *Manager) handleReport(req *controlpb.ExchangeRequest) {
	now := m.now()
	h := entryID{req.Entry, req.Incarnation}
	m.absences.MessageReceived(m.elapsed(), permit.EntryID{Name: h.entry, Incarnation: h.incarnation})
	if !req.SettingsElsewhere {
		// Its home alone answers for the entry's settings.
		m.instances[h] = instance{settingsVersion: req.SettingsVersion, lastExchange: now}
	}
	acting := false
	for _, report := range req.Pools {
		s := m.shards[report.Pool]
		if s == nil || !s.ready(&m.fleet) {
			continue
		}
		acting = s.handleReport(h, report, now) || acting
	}
	if acting {
		m.reconcile(now)
	}
}

// handleReport takes in one entry's report, and says whether something may
// follow from it at once.
func (s *shard) handleReport(h entryID, report *controlpb.PoolReport, now time.Time) bool {
	state := s.entry(h)
	state.lastExchange = now
	state.inFlight = map[string]uint32{}
	for _, use := range report.Hosts {
		state.inFlight[use.Host] = use.InFlight
	}
	first := !state.reported
	set := state.book.Set()
	current := report.Epoch == set.Epoch && report.Version == set.Version
	if first || current {
		s.grants.report(h, report.Hosts, first, set, state.ledgerVersion)
	}
	state.reported = true
	s.acknowledge(h, report, state.inFlight)
	s.demand.report(state, report.Services)
	return first || len(s.drains) > 0
}

// reply returns what the entry lacks, and what to wait for if that is nothing.
func (m *Manager) reply(req *controlpb.ExchangeRequest) (*controlpb.ExchangeReply, []<-chan struct{}) {
	reply := &controlpb.ExchangeReply{SettingsVersion: m.settingsVersion(), DirectoryVersion: req.DirectoryVersion}
	wakes := []<-chan struct{}{m.changed}
	if reply.SettingsVersion > req.SettingsVersion && !req.SettingsElsewhere {
		reply.Settings = m.packedTree()
	}
	if d := m.leases.Directory(); uint64(d.Version) > req.DirectoryVersion {
		reply.DirectoryVersion = uint64(d.Version)
		for _, o := range d.Owners {
			reply.Directory = append(reply.Directory, &controlpb.ShardOwner{
				Shard: o.Shard, Owner: o.Owner, Address: o.Address, Epoch: o.Epoch,
			})
		}
	}
	h := entryID{req.Entry, req.Incarnation}
	for _, report := range req.Pools {
		s := m.shards[report.Pool]
		if s == nil {
			// The entry learns the new owner from the directory.
			continue
		}
		wakes = append(wakes, s.changed)
		if !s.ready(&m.fleet) {
			continue
		}
		if a := s.entry(h).book.Since(report.Epoch, report.Version); a != nil {
			reply.Pools = append(reply.Pools, a)
		} else {
			reply.Confirmed = append(reply.Confirmed, report.Pool)
		}
	}
	return reply, wakes
}

// Announce implements the drpc service: another process has a newer version of
// the settings.
func (m *Manager) Announce(ctx context.Context, req *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	m.offerSettings(req.SettingsVersion, req.Settings)
	reply := &controlpb.AnnounceReply{}
	if !m.exec.Do(ctx, func() { reply.SettingsVersion = m.settingsVersion() }) {
		return nil, errStopping
	}
	return reply, nil
}

// Demand implements the drpc service.
func (m *Manager) Demand(ctx context.Context, req *controlpb.DemandRequest) (*controlpb.DemandReply, error) {
	reply := &controlpb.DemandReply{}
	if !m.exec.Do(ctx, func() { m.fillDemand(reply, req.PoolsOnly) }) {
		return nil, errStopping
	}
	return reply, nil
}
