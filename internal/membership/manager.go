package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/txn"
)

const (
	// DefaultPeriod is the time between two heartbeats.
	DefaultPeriod = 2 * time.Second
	// DefaultLease is how long a row may stay unchanged before its writer is
	// considered dead.
	DefaultLease = 10 * time.Second
	// heartbeatsPerSecond bounds the heartbeats of all members together: the
	// period grows with the number of members.
	heartbeatsPerSecond = 20
	// leasePeriods is the minimum lease, in periods.
	leasePeriods = 5
	// retentionLeases is how long the row of a dead member is kept, in leases.
	retentionLeases = 20
)

// ErrReplaced is returned if another process has taken over the name of this
// one.
var ErrReplaced = errors.New("replaced by another incarnation")

// Config configures a Manager.
type Config struct {
	// Table is the table service.
	Table platform.Table
	// Self is the row of this process. Its Counter and SettingsVersion are
	// ignored.
	Self MemberRow
	// SettingsVersion returns the version of the settings in force. It may be
	// nil.
	SettingsVersion func() uint64
	// Period is the minimum time between two heartbeats, DefaultPeriod if 0. The
	// effective period grows with the number of members.
	Period time.Duration
	// Lease is the minimum time for which a row may stay unchanged before its
	// writer is considered dead, DefaultLease if 0. The effective lease is at
	// least leasePeriods periods.
	Lease time.Duration
	// Log receives events. It may be nil.
	Log *zap.Logger
}

// Snapshot is the state of all members as observed by a Manager. It is
// immutable.
type Snapshot struct {
	// Members holds all members, sorted by name.
	Members []Member
	// Assessed is set if the observer could assess the liveness of members in its
	// last round. It is unset during a table outage; members that were live
	// before the outage stay live.
	Assessed bool
	// Joined is set once the process's own row has been read from the table.
	Joined bool
}

// Live returns the rows of the live members.
func (s *Snapshot) Live() []MemberRow {
	live := make([]MemberRow, 0, len(s.Members))
	for _, m := range s.Members {
		if m.Live {
			live = append(live, m.MemberRow)
		}
	}
	return live
}

// Manager writes the member row of a control process and observes the rows of
// the others.
type Manager struct {
	cfg      Config
	detector *detector
	// ownVersion is the expected version of the own row in the table.
	ownVersion int64
	counter    uint64
	leaving    atomic.Bool
	snapshot   atomic.Pointer[Snapshot]
}

// NewManager returns a Manager that has not joined yet.
func NewManager(cfg Config) *Manager {
	if cfg.Period == 0 {
		cfg.Period = DefaultPeriod
	}
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	m := &Manager{cfg: cfg, detector: newDetector(cfg.Self.Name)}
	m.snapshot.Store(&Snapshot{})
	return m
}

// Snapshot returns the latest snapshot. It is empty before the first scan.
func (m *Manager) Snapshot() *Snapshot { return m.snapshot.Load() }

// Leaving marks the process as leaving in all further heartbeats, so that it
// is assigned no more shards.
func (m *Manager) Leaving() { m.leaving.Store(true) }

// Run sends heartbeats until ctx ends or the process is replaced. It returns
// ErrReplaced or nil.
func (m *Manager) Run(ctx context.Context) error {
	for {
		began := time.Now()
		if err := m.Step(ctx); errors.Is(err, ErrReplaced) {
			return err
		}
		timer := time.NewTimer(m.period() - time.Since(began))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// Step runs one round: it scans the member rows, assesses their liveness and
// writes the own row. It must not be called concurrently. It returns
// ErrReplaced, or an error of the table, after which the next round tries
// again.
func (m *Manager) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Lease)
	defer cancel()
	scanErr := m.assess(ctx)
	if errors.Is(scanErr, ErrReplaced) {
		return scanErr
	}
	err := m.sendHeartbeat(ctx)
	if scanErr != nil {
		return scanErr
	}
	return err
}

// assess scans the member rows and publishes a new snapshot.
func (m *Manager) assess(ctx context.Context) error {
	rows, err := m.cfg.Table.Scan(ctx, MemberPrefix, 0)
	if err != nil {
		m.handleScanError(err)
		return err
	}
	members, err := decodeMembers(rows)
	if err != nil {
		m.handleScanError(err)
		return err
	}
	old := m.snapshot.Load()
	if err := m.updateOwnVersion(members, old.Joined); err != nil {
		return err
	}
	assessed := m.detector.assess(time.Now(), m.lease(), members)
	joined := m.ownVersion != platform.NoVersion && (old.Joined || m.hasOwnRow(members))
	m.snapshot.Store(&Snapshot{Members: members, Assessed: assessed, Joined: joined})
	m.logChanges(old.Members, members)
	m.removeExpired(ctx, members)
	return nil
}

// handleScanError publishes a snapshot without an assessment after a failed
// scan.
func (m *Manager) handleScanError(err error) {
	m.detector.scanFailed()
	old := m.snapshot.Load()
	if old.Assessed {
		event.TableLost.Log(m.cfg.Log, zap.Error(err))
	}
	m.snapshot.Store(&Snapshot{Members: old.Members, Joined: old.Joined})
}

// updateOwnVersion sets the version on which the next heartbeat is
// conditional. A row of another incarnation belongs to a previous process if
// this one has not joined yet, and otherwise to a newer one, which has
// replaced this process.
func (m *Manager) updateOwnVersion(members []Member, joined bool) error {
	m.ownVersion = platform.NoVersion
	for _, o := range members {
		if o.Name != m.cfg.Self.Name {
			continue
		}
		if joined && o.Incarnation != m.cfg.Self.Incarnation {
			return operr.Wrap(ErrReplaced, "membership: heartbeat", o.Address)
		}
		m.ownVersion = o.Version
	}
	return nil
}

// hasOwnRow reports whether the members include this incarnation.
func (m *Manager) hasOwnRow(members []Member) bool {
	for _, o := range members {
		if o.Name == m.cfg.Self.Name {
			return o.Incarnation == m.cfg.Self.Incarnation
		}
	}
	return false
}

// sendHeartbeat writes the own row in one transaction. A lost answer needs no
// read-back: the next round's scan shows the row.
func (m *Manager) sendHeartbeat(ctx context.Context) error {
	m.counter++
	row := m.cfg.Self
	row.Counter = m.counter
	row.Leaving = m.leaving.Load()
	if m.cfg.SettingsVersion != nil {
		row.SettingsVersion = m.cfg.SettingsVersion()
	}
	key := MemberKey(row.Name)
	version, err := m.cfg.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: m.ownVersion}},
		Writes:     []platform.Write{{Key: key, Value: encode(row)}},
	})
	if err == nil {
		m.ownVersion = version
	}
	return err
}

// Leave removes the own row during a graceful stop. It must be called after
// the shards were released and after Run has returned.
func (m *Manager) Leave(ctx context.Context) error {
	key := MemberKey(m.cfg.Self.Name)
	_, err := txn.Commit(ctx, m.cfg.Table, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: m.ownVersion}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	return err
}

// removeExpired removes the row of one member that has been dead for the
// retention time. Only the first live member removes rows; a later round
// repeats a failed removal.
func (m *Manager) removeExpired(ctx context.Context, members []Member) {
	first := slices.IndexFunc(members, func(o Member) bool { return o.Live })
	if first < 0 || members[first].Name != m.cfg.Self.Name {
		return
	}
	retention := retentionLeases * m.lease()
	expired := slices.IndexFunc(members, func(o Member) bool {
		return m.detector.expired(time.Now(), retention, o.Name)
	})
	if expired < 0 {
		return
	}
	o := members[expired]
	_, err := m.cfg.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: MemberKey(o.Name), Version: o.Version}},
		Writes:     []platform.Write{{Key: MemberKey(o.Name), Delete: true}},
	})
	if err != nil {
		m.cfg.Log.Debug("removing expired member row failed", zap.Error(err))
	}
}

// period returns the time between two heartbeats for the current number of
// members.
func (m *Manager) period() time.Duration {
	members := len(m.snapshot.Load().Members)
	return max(m.cfg.Period, time.Duration(members)*time.Second/heartbeatsPerSecond)
}

// lease returns how long a row may stay unchanged for the current number of
// members.
func (m *Manager) lease() time.Duration {
	return max(m.cfg.Lease, leasePeriods*m.period())
}

// logChanges logs members that are newly considered dead, joined or became live
// again.
func (m *Manager) logChanges(old, now []Member) {
	lived := make(map[string]bool, len(old))
	for _, o := range old {
		lived[o.Name] = o.Live
	}
	for _, o := range now {
		was, known := lived[o.Name]
		switch {
		case known && was && !o.Live:
			event.MemberLost.Log(m.cfg.Log, zap.String("member", o.Name), zap.String("address", o.Address))
		case o.Live && !was:
			event.MemberJoined.Log(m.cfg.Log, zap.String("member", o.Name), zap.String("address", o.Address))
		}
	}
}
