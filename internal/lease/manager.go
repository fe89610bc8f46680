package lease

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/txn"
)

const (
	// DefaultPeriod is the time between two rounds.
	DefaultPeriod = 2 * time.Second
	// callTimeout bounds the table calls of one round.
	callTimeout = 5 * time.Second
	// roundsPerSecond bounds the rounds of all processes together: the period
	// grows with the number of members.
	roundsPerSecond = 100
	// fullScanRounds is the number of rounds after which all rows are read again
	// instead of only the changed ones.
	fullScanRounds = 60
)

// Config configures a Manager.
type Config struct {
	// Table is the table service.
	Table platform.Table
	// Self identifies this process.
	Self Identity
	// Members returns the latest snapshot of the control processes.
	Members func() *membership.Snapshot
	// Shards returns the names of the shards. There is one for each pool.
	Shards func() []string
	// Period is the minimum time between two rounds, DefaultPeriod if 0. The
	// effective period grows with the number of members.
	Period time.Duration
	// Log receives events. It may be nil.
	Log *zap.Logger
}

// Manager acquires, keeps and releases the shards of this process.
type Manager struct {
	cfg Config
	// unownedRounds counts the consecutive rounds in which a shard had no live
	// owner, by shard name.
	unownedRounds map[string]int
	// rows holds the shard rows as of the last scan, and scannedVersion the
	// highest version among them. Only scans raise scannedVersion: a row of
	// another process may have a version below that of an own commit without
	// having been scanned yet.
	rows           map[string]State
	scannedVersion int64
	rounds         int
	held           atomic.Pointer[map[string]*Shard]
	directory      atomic.Pointer[Directory]
}

// NewManager returns a Manager that holds no shards.
func NewManager(cfg Config) *Manager {
	if cfg.Period == 0 {
		cfg.Period = DefaultPeriod
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	m := &Manager{cfg: cfg, unownedRounds: map[string]int{}, rows: map[string]State{}}
	m.held.Store(&map[string]*Shard{})
	m.directory.Store(&Directory{})
	return m
}

// Shard returns the ownership of a shard, and false if the process does not
// hold it.
func (m *Manager) Shard(name string) (*Shard, bool) {
	s, ok := (*m.held.Load())[name]
	return s, ok && s.Held()
}

// Held returns the shards that the process holds, sorted by name.
func (m *Manager) Held() []*Shard {
	held := *m.held.Load()
	shards := make([]*Shard, 0, len(held))
	for _, name := range slices.Sorted(maps.Keys(held)) {
		if held[name].Held() {
			shards = append(shards, held[name])
		}
	}
	return shards
}

// Directory returns the directory as of the last round. It is empty before the
// first.
func (m *Manager) Directory() *Directory { return m.directory.Load() }

// Run runs rounds until ctx ends and then releases all held shards. After Run
// returns, the process should remove its member row with
// membership.Manager.Leave, so that others acquire the shards in their next
// round.
func (m *Manager) Run(ctx context.Context) error {
	for {
		began := time.Now()
		if err := m.Step(ctx); err != nil {
			m.cfg.Log.Debug("lease round failed", zap.Error(err))
		}
		timer := time.NewTimer(m.period() - time.Since(began))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return m.releaseAll(context.WithoutCancel(ctx))
		}
	}
}

// period returns the time between two rounds for the current number of
// members.
func (m *Manager) period() time.Duration {
	members := len(m.cfg.Members().Members)
	return max(m.cfg.Period, time.Duration(members)*time.Second/roundsPerSecond)
}

// Step runs one round: it scans the shards, publishes the directory and
// executes the plan. It must not be called concurrently. A failed scan leaves
// the held shards unchanged.
func (m *Manager) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	shards, err := m.refresh(ctx)
	if err != nil {
		return err
	}
	members := m.cfg.Members()
	live := members.Live()
	m.countUnownedRounds(shards, live)
	if !members.Joined {
		return nil
	}
	actions := Plan(live, shards, m.cfg.Self)
	if len(actions) == 0 {
		return nil
	}
	if err := m.execute(ctx, shards, actions); err != nil {
		return err
	}
	_, err = m.refresh(ctx)
	return err
}

// refresh scans the shards, reconciles the held shards with them and publishes
// the directory.
func (m *Manager) refresh(ctx context.Context) ([]State, error) {
	shards, err := m.scan(ctx)
	if err != nil {
		return nil, err
	}
	m.reconcile(shards)
	m.directory.Store(newDirectory(shards))
	return shards, nil
}

// scan returns the states of the configured shards, sorted by name.
func (m *Manager) scan(ctx context.Context) ([]State, error) {
	if err := m.scanChanged(ctx); err != nil {
		return nil, err
	}
	names := slices.Clone(m.cfg.Shards())
	slices.Sort(names)
	shards := make([]State, 0, len(names))
	for _, name := range slices.Compact(names) {
		s := m.rows[name]
		s.Shard = name
		shards = append(shards, s)
	}
	return shards, nil
}

// scanChanged reads the rows that were written since the last scan, and every
// fullScanRounds rounds all rows. Rows are never deleted, so a partial scan
// misses nothing.
func (m *Manager) scanChanged(ctx context.Context) error {
	after := m.scannedVersion
	if m.rounds%fullScanRounds == 0 {
		after = 0
	}
	rows, err := m.cfg.Table.Scan(ctx, KeyPrefix, after)
	if err != nil {
		return err
	}
	states := make([]State, 0, len(rows))
	for _, r := range rows {
		s, err := Decode(r)
		if err != nil {
			return err
		}
		states = append(states, s)
	}
	for _, s := range states {
		m.rows[s.Shard] = s
		m.scannedVersion = max(m.scannedVersion, s.Version)
	}
	m.rounds++
	return nil
}

// reconcile updates the held shards to match the table. A row that names this
// incarnation is an ownership even if the answer to its acquisition was lost.
func (m *Manager) reconcile(shards []State) {
	old := *m.held.Load()
	held := make(map[string]*Shard, len(old))
	for _, s := range shards {
		if s.Owner != m.cfg.Self.Name || s.Incarnation != m.cfg.Self.Incarnation {
			continue
		}
		if o := old[s.Shard]; o != nil && o.version == s.Version && o.Held() {
			held[s.Shard] = o
			continue
		}
		held[s.Shard] = &Shard{name: s.Shard, epoch: s.Epoch, version: s.Version}
		event.ShardAcquired.Log(m.cfg.Log, zap.String("shard", s.Shard), zap.Uint64("epoch", s.Epoch))
	}
	for name, o := range old {
		if held[name] != o && !o.lost.Swap(true) {
			event.ShardLost.Log(m.cfg.Log, zap.String("shard", name), zap.Uint64("epoch", o.epoch))
		}
	}
	m.held.Store(&held)
}

// countUnownedRounds sets UnownedRounds on the shards without a live owner.
func (m *Manager) countUnownedRounds(shards []State, live []membership.MemberRow) {
	p := newPlanner(live, shards)
	unownedRounds := make(map[string]int, len(shards))
	for i := range shards {
		s := &shards[i]
		if p.owner(*s) == "" {
			unownedRounds[s.Shard] = m.unownedRounds[s.Shard] + 1
			s.UnownedRounds = m.unownedRounds[s.Shard]
		}
	}
	m.unownedRounds = unownedRounds
}

// execute executes the actions, updates the held shards, and returns the last
// error.
func (m *Manager) execute(ctx context.Context, shards []State, actions []Action) error {
	byName := make(map[string]*State, len(shards))
	for i := range shards {
		byName[shards[i].Shard] = &shards[i]
	}
	var failed error
	for _, a := range actions {
		var err error
		switch a.Kind {
		case Acquire:
			err = m.acquire(ctx, byName[a.Shard])
		case Release:
			err = m.release(ctx, byName[a.Shard], a.Reason)
		}
		if err != nil {
			failed = err
		}
	}
	m.reconcile(shards)
	return failed
}

// acquire makes this process the owner of a shard under the next epoch.
func (m *Manager) acquire(ctx context.Context, s *State) error {
	row := Row{
		Shard:       s.Shard,
		Owner:       m.cfg.Self.Name,
		Incarnation: m.cfg.Self.Incarnation,
		Address:     m.cfg.Self.Address,
		Epoch:       s.Epoch + 1,
	}
	return m.write(ctx, s, row)
}

// release gives up the ownership of a shard. The ownership ends before the row
// is written, so that no write by this owner follows the release.
func (m *Manager) release(ctx context.Context, s *State, reason string) error {
	if held := (*m.held.Load())[s.Shard]; held != nil {
		held.lost.Store(true)
	}
	event.ShardReleased.Log(m.cfg.Log, zap.String("shard", s.Shard), zap.String("reason", reason))
	return m.write(ctx, s, Row{Shard: s.Shard, Epoch: s.Epoch})
}

// write replaces a shard's row on the condition that it is unchanged, and
// updates s.
func (m *Manager) write(ctx context.Context, s *State, row Row) error {
	version, err := txn.Commit(ctx, m.cfg.Table, platform.Txn{
		Conditions: []platform.Condition{{Key: Key(s.Shard), Version: s.Version}},
		Writes:     []platform.Write{{Key: Key(s.Shard), Value: encode(row)}},
	})
	if err != nil {
		return err
	}
	s.Row = row
	s.Version = version
	return nil
}

// releaseAll releases every held shard.
func (m *Manager) releaseAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	shards, err := m.scan(ctx)
	if err != nil {
		return err
	}
	m.reconcile(shards)
	var failed error
	for i := range shards {
		if _, ok := m.Shard(shards[i].Shard); !ok {
			continue
		}
		if err := m.release(ctx, &shards[i], "stopping"); err != nil {
			failed = err
		}
	}
	m.reconcile(shards)
	return failed
}
