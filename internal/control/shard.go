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

// entryID names one start of an entry.
type entryID struct {
	entry       string
	incarnation uint64
}

// entryState is what the owner knows of one start of an entry, for one pool.
type entryState struct {
	book *assignment.Book
	// lastExchange is when it last exchanged.
	lastExchange time.Time
	// inFlight are its requests by host, as of its last exchange.
	inFlight map[string]uint32
	// totals are its services' counts, as of its last exchange.
	totals map[string]*controlpb.ServiceDemand
	// busy is the mean number of its requests that run or wait.
	busy float64
	// sampledMicros is the time at upstreams up to the last sample.
	sampledMicros uint64
	// ledgerVersion is the ledger's version that the book's last set stands for.
	ledgerVersion uint64
	// reported says that the entry told what it holds.
	reported bool
}

// shard is a pool that this process owns. It is owned by the control
// goroutine.
type shard struct {
	pool  string
	lease *lease.Shard
	epoch uint64
	// acquired is when this process learnt of its ownership.
	acquired time.Time
	entries  map[entryID]*entryState
	demand   demandMeter
	grants   *grants
	recorder *samples.Recorder
	// changed is closed and replaced whenever an entry's set changes.
	changed chan struct{}
	// committing marks hosts with a commit under way.
	committing map[string]bool
	// drains are the hosts that drain.
	drains map[string]*drain
}

// drain is the drain of a host under one version of its row.
type drain struct {
	*permit.Drain
	version int64
	// observedAt is when this process observedAt of the row.
	observedAt time.Time
}

// newShard returns the state of a shard that was just acquired.
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

// ready reports whether the host rows were scanned after the acquisition.
// Before, a former owner's last move may be missing from them, and assigning
// by them could give a host to two pools.
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

// entry returns the state of a start of an entry, made at its first exchange.
func (s *shard) entry(h entryID) *entryState {
	state := s.entries[h]
	if state == nil {
		state = &entryState{
			book:     assignment.NewBook(s.pool, s.epoch),
			inFlight: map[string]uint32{},
			totals:   map[string]*controlpb.ServiceDemand{},
		}
		s.entries[h] = state
	}
	return state
}

// assign brings every entry's set in line with the host rows, and wakes the
// exchanges that wait if any changed.
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
		if state.book.Update(offered[h.limit()], uint64(f.rowsVersion), requiredVersion) {
			changed = true
		}
		state.ledgerVersion = s.grants.ledger.Version()
	}
	if changed {
		s.wake()
	}
}

// requiredVersion returns the version of the table that entries must reflect for all
// drains to finish.
func (s *shard) requiredVersion() uint64 {
	var version int64
	for _, d := range s.drains {
		version = max(version, d.version)
	}
	return uint64(version)
}

// wake ends the wait of all exchanges.
func (s *shard) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serving returns the hosts that may get new work of the pool.
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

// removeUnregistered drops the starts of entries that are certainly gone: not registered
// any more as of a scan that began after their last exchange.
func (s *shard) removeUnregistered(f *fleet) {
	registered := map[entryID]bool{}
	for _, e := range f.entries {
		registered[entryID{e.Name, e.Incarnation}] = true
	}
	for h, state := range s.entries {
		if !registered[h] && f.entriesAsOf.After(state.lastExchange) {
			delete(s.entries, h)
			s.grants.ledger.Release(h.limit())
		}
	}
	s.grants.removeHosts(func(name string) bool {
		row := f.rows[name]
		return row.Pool != s.pool || row.Phase == host.Stopped
	})
}

// hosts returns the listed hosts of the pool that entries may hold.
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

// syncDrains starts a drain for each host whose row says so, anew when the
// row was written again, and forgets the others.
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

// acknowledge tells the drains what an entry routes by.
func (s *shard) acknowledge(h entryID, report *controlpb.PoolReport, inFlight map[string]uint32) {
	id := permit.EntryID{Name: h.entry, Incarnation: h.incarnation}
	reflected := permit.AssignmentVersion{Epoch: report.Epoch, Version: report.Reflects}
	for name, d := range s.drains {
		d.Acknowledge(id, reflected, inFlight[name])
	}
}
