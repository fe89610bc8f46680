package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

const (
	// maxExchangeWait bounds how long an exchange waits for a change.
	maxExchangeWait = 2 * time.Second
	// entryTimeout is how long after its last exchange an entry's queue is
	// counted.
	entryTimeout = 5 * time.Second
	// instanceRetention is how long an entry is listed after its last exchange.
	instanceRetention = 10 * time.Minute
)

var (
	// errStopping is returned by calls to a process that is stopping.
	errStopping = errors.New("control is stopping")
	// errNoSettings is returned by calls to a process that has not adopted any
	// settings yet.
	errNoSettings = errors.New("no settings in force")
)

// Exchange implements the drpc service. It handles the entry's report
// immediately and replies when there is something new for the entry or its wait
// is over, whichever comes first.
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

// empty reports whether the reply contains nothing new.
func empty(r *controlpb.ExchangeReply) bool {
	return len(r.Settings) == 0 && len(r.Pools) == 0 && len(r.Directory) == 0
}

// waitAny waits until one of wakes is closed. It returns false if the deadline
// passes or ctx ends first.
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

// handleReport records the acknowledgements and the demand of an exchange, and
// reconciles if a shard may need it.
func (m *Manager) handleReport(req *controlpb.ExchangeRequest) {
	now := m.now()
	h := entryID{req.Entry, req.Incarnation}
	m.absences.MessageReceived(m.elapsed(), permit.EntryID{Name: h.entry, Incarnation: h.incarnation})
	if !req.SettingsElsewhere {
		// Only the entry's home process tracks its settings version.
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

// handleReport records one entry's report. It returns true if the report may
// allow progress that should not wait for the next reconciliation.
func (s *shard) handleReport(h entryID, report *controlpb.PoolReport, now time.Time) bool {
	state := s.entry(h)
	state.lastExchange = now
	state.inFlight = map[string]uint32{}
	for _, use := range report.Hosts {
		state.inFlight[use.Host] = use.InFlight
	}
	first := !state.reported
	set := state.assignmentLog.Set()
	current := report.Epoch == set.Epoch && report.Version == set.Version
	if first || current {
		s.grants.report(h, report.Hosts, first, set, state.allocatorVersion)
	}
	state.reported = true
	s.acknowledge(h, report, state.inFlight)
	s.demand.report(state, report.Services)
	return first || len(s.drains) > 0
}

// reply returns what is new for the entry, and the channels whose closing may
// bring something new.
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
			// The entry finds the new owner in the directory.
			continue
		}
		wakes = append(wakes, s.changed)
		if !s.ready(&m.fleet) {
			continue
		}
		if a := s.entry(h).assignmentLog.Since(report.Epoch, report.Version); a != nil {
			reply.Pools = append(reply.Pools, a)
		} else {
			reply.Confirmed = append(reply.Confirmed, report.Pool)
		}
	}
	return reply, wakes
}

// Announce implements the drpc service. Another control process calls it after
// it accepted a newer version of the settings.
func (m *Manager) Announce(ctx context.Context, req *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	m.offerSettings(req.SettingsVersion, req.Settings)
	reply := &controlpb.AnnounceReply{}
	if !m.exec.Do(ctx, func() { reply.SettingsVersion = m.settingsVersion() }) {
		return nil, errStopping
	}
	return reply, nil
}

// Demand implements the drpc service. It returns the demand of the pools owned
// by this process and, unless PoolsOnly is set, the entries whose home it is.
func (m *Manager) Demand(ctx context.Context, req *controlpb.DemandRequest) (*controlpb.DemandReply, error) {
	reply := &controlpb.DemandReply{}
	if !m.exec.Do(ctx, func() { m.fillDemand(reply, req.PoolsOnly) }) {
		return nil, errStopping
	}
	return reply, nil
}
