package control

import (
	"slices"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/assignment"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/samples"
)

// entryID identifies one incarnation of an entry.
type entryID struct {
	entry       string
	incarnation uint64
}

// entryState is the owner's state of one incarnation of an entry, for one pool.
type entryState struct {
	assignmentLog *assignment.Log
	// lastExchange is the time of its last exchange.
	lastExchange time.Time
	// inFlight is the number of its requests in flight by host, as of its last
	// exchange.
	inFlight map[string]uint32
	// totals are its request counts by service, as of its last exchange.
	totals map[string]*controlpb.ServiceDemand
	// busy is the mean number of its requests that run or wait, over the last
	// sample interval.
	busy float64
	// sampledMicros is its total time at upstreams in microseconds, as of the
	// last sample.
	sampledMicros uint64
	// allocatorVersion is the version of the allocator from which the last set in
	// assignmentLog was made.
	allocatorVersion uint64
	// reported is true once the entry has reported what it holds.
	reported bool
}

// shard is the state of a pool that this process owns. Only the control
// goroutine uses it.
type shard struct {
	pool  string
	lease *lease.Shard
	epoch uint64
	// acquired is when this process noticed that it owns the shard.
	acquired time.Time
	entries  map[entryID]*entryState
	demand   demandMeter
	grants   *grants
	recorder *samples.Recorder
	// changed is closed and replaced whenever the set of an entry changes.
	changed chan struct{}
	// committing contains the hosts with a commit in progress.
	committing map[string]bool
	// drains contains the draining hosts.
	drains map[string]*drain
}

// drain is the drain of a host at one version of its row.
type drain struct {
	*permit.Drain
	version int64
	// observedAt is when this process first saw that version.
	observedAt time.Time
}

// newShard returns the state of a newly acquired shard.
func newShard(l *lease.Shard, now time.Time) *shard {
	return &shard{
		pool:       l.Name(),
		lease:      l,
		epoch:      l.Epoch(),
		acquired:   now,
		entries:    map[entryID]*entryState{},
		recorder:   samples.NewRecorder(l.Name()),
		changed:    make(chan struct{}),
		committing: map[string]bool{},
		drains:     map[string]*drain{},
	}
}

// ready reports whether the host rows and registrations were scanned after the
// shard was acquired and a host list is present. Older rows may lack the
// previous owner's last move, and assigning by them could give a host to two
// pools. The first call that returns true creates the grants.
func (s *shard) ready(f *fleet) bool {
	if !f.rowsAsOf.After(s.acquired) || !f.entriesAsOf.After(s.acquired) || f.listed == nil {
		return false
	}
	if s.grants == nil {
		registered := make([]entryID, 0, len(f.entries))
		for _, e := range f.entries {
			registered = append(registered, entryID{e.Name, e.Incarnation})
		}
		s.grants = newGrants(s.hosts(f), registered)
	}
	return true
}

// entry returns the state of an incarnation of an entry and creates it if
// needed.
func (s *shard) entry(h entryID) *entryState {
	state := s.entries[h]
	if state == nil {
		state = &entryState{
			assignmentLog: assignment.NewLog(s.pool, s.epoch),
			inFlight:      map[string]uint32{},
			totals:        map[string]*controlpb.ServiceDemand{},
		}
		s.entries[h] = state
	}
	return state
}

// assign updates every entry's set to the current host rows and grants, and
// wakes the waiting exchanges if a set changed.
func (s *shard) assign(f *fleet, now time.Time) {
	if !s.ready(f) {
		return
	}
	offered := s.grants.offer(s.serving(f), s.entries, now)
	requiredVersion := s.requiredVersion()
	changed := false
	for h, state := range s.entries {
		if !state.reported {
			continue
		}
		if state.assignmentLog.Update(offered[h.limit()], uint64(f.rowsVersion), requiredVersion) {
			changed = true
		}
		state.allocatorVersion = s.grants.allocator.Version()
	}
	if changed {
		s.wake()
	}
}

// requiredVersion returns the table version that entries must reflect for all
// drains to complete, or 0 if no host drains.
func (s *shard) requiredVersion() uint64 {
	var version int64
	for _, d := range s.drains {
		version = max(version, d.version)
	}
	return uint64(version)
}

// wake wakes all exchanges that wait for this shard.
func (s *shard) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serving returns the hosts that may get new work of the pool, sorted by name.
func (s *shard) serving(f *fleet) []platform.ListedHost {
	var hosts []platform.ListedHost
	defer func() {
		slices.SortFunc(hosts, func(a, b platform.ListedHost) int { return strings.Compare(a.Name, b.Name) })
	}()
	for name, row := range f.rows {
		if row.Pool != s.pool || row.Phase != host.Serving {
			continue
		}
		if h, ok := f.listedHost(name); ok && h.State == platform.HostLive {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// removeUnregistered removes the entries that can no longer route: those not
// registered in a scan that began after their last exchange. It also removes
// hosts that left the pool or stopped from the grants.
func (s *shard) removeUnregistered(f *fleet) {
	registered := map[entryID]bool{}
	for _, e := range f.entries {
		registered[entryID{e.Name, e.Incarnation}] = true
	}
	for h, state := range s.entries {
		if !registered[h] && f.entriesAsOf.After(state.lastExchange) {
			delete(s.entries, h)
			s.grants.allocator.Release(h.limit())
		}
	}
	s.grants.removeHosts(func(name string) bool {
		row := f.rows[name]
		return row.Pool != s.pool || row.Phase == host.Stopped
	})
}

// hosts returns the listed hosts of the pool that entries may still hold
// connections to.
func (s *shard) hosts(f *fleet) []host.Host {
	var hosts []host.Host
	for name, row := range f.rows {
		if row.Pool != s.pool || row.Phase == host.Stopped {
			continue
		}
		if h, ok := f.listedHost(name); ok {
			hosts = append(hosts, h.Host)
		}
	}
	return hosts
}

// syncDrains starts a drain for each host whose row is in the draining phase,
// restarts it when the row has a new version, and removes the drains of other
// hosts.
func (s *shard) syncDrains(f *fleet) {
	for name, d := range s.drains {
		if row := f.rows[name]; row.Pool != s.pool || row.Phase != host.Draining || row.version != d.version {
			delete(s.drains, name)
		}
	}
	for name, row := range f.rows {
		if row.Pool != s.pool || row.Phase != host.Draining || s.drains[name] != nil {
			continue
		}
		required := permit.AssignmentVersion{Epoch: s.epoch, Version: uint64(row.version)}
		s.drains[name] = &drain{Drain: permit.NewDrain(required), version: row.version, observedAt: time.Now()}
	}
}

// acknowledge passes to all drains the assignment version that an entry routes
// by and its requests in flight.
func (s *shard) acknowledge(h entryID, report *controlpb.PoolReport, inFlight map[string]uint32) {
	id := permit.EntryID{Name: h.entry, Incarnation: h.incarnation}
	reflected := permit.AssignmentVersion{Epoch: report.Epoch, Version: report.Reflects}
	for name, d := range s.drains {
		d.Acknowledge(id, reflected, inFlight[name])
	}
}
