package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// DefaultPollPeriod is the time between two polls of the table. Control
	// processes push changes faster; polling bounds the delay without a push.
	DefaultPollPeriod = 4 * time.Second
	// pollTimeout bounds one poll of the table.
	pollTimeout = 5 * time.Second
)

// Source is where a process received a version of the settings from.
type Source string

const (
	// FromTable means that the version was read from the table.
	FromTable Source = "table"
	// FromPush means that a control process sent the version.
	FromPush Source = "push"
	// FromPeer means that an entry sent the version.
	FromPeer Source = "peer"
)

// InForce is an adopted version of the settings. It is immutable.
type InForce[T any] struct {
	Version uint64
	// YAML is the tree as accepted.
	YAML []byte
	// Value is the result of parsing the tree.
	Value T
}

// AdopterConfig configures an Adopter.
type AdopterConfig[T any] struct {
	Table   platform.Table
	Objects platform.Objects
	// Parse validates and parses a tree.
	Parse func(tree []byte) (T, error)
	// PollPeriod is the time between two polls of the table, DefaultPollPeriod if
	// 0.
	PollPeriod time.Duration
	// Adopted is called after each adoption, while the lock that orders adoptions
	// is held. It may be nil.
	Adopted func(*InForce[T])
	// Log receives events. It may be nil.
	Log *zap.Logger
}

// Adopter keeps the settings in force in one process. Their version never
// decreases. Methods may be called concurrently.
type Adopter[T any] struct {
	cfg AdopterConfig[T]
	// mu serializes adoptions and guards rowVersion and rejectedVersion.
	mu sync.Mutex
	// rowVersion is the version of the last polled row in the table.
	rowVersion int64
	// rejectedVersion is the last version that did not parse.
	rejectedVersion uint64
	current         atomic.Pointer[InForce[T]]
}

// NewAdopter returns an Adopter without settings in force.
func NewAdopter[T any](cfg AdopterConfig[T]) *Adopter[T] {
	if cfg.PollPeriod == 0 {
		cfg.PollPeriod = DefaultPollPeriod
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Adopter[T]{cfg: cfg}
}

// Current returns the settings in force, nil before the first adoption.
func (a *Adopter[T]) Current() *InForce[T] { return a.current.Load() }

// Version returns the version in force, 0 before the first adoption.
func (a *Adopter[T]) Version() uint64 {
	if c := a.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Offer adopts a version received from another process if it is higher than
// the one in force, and reports whether it did. Before the first adoption from
// the table it adopts nothing, see the package comment.
func (a *Adopter[T]) Offer(version uint64, tree []byte, from Source) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.Load() == nil {
		return false, nil
	}
	return a.adopt(version, tree, from)
}

// Poll reads the table and adopts a newer version.
func (a *Adopter[T]) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	a.mu.Lock()
	after := a.rowVersion
	a.mu.Unlock()
	rows, err := a.cfg.Table.Scan(ctx, Key, after)
	if err != nil || len(rows) == 0 {
		return err
	}
	record, err := decode(rows[0])
	if err != nil {
		return err
	}
	tree, err := record.tree(ctx, a.cfg.Objects)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rowVersion = max(a.rowVersion, rows[0].Version)
	_, err = a.adopt(record.Version, tree, FromTable)
	return err
}

// Run polls periodically until ctx ends, and returns nil.
func (a *Adopter[T]) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.cfg.PollPeriod)
	defer ticker.Stop()
	for {
		if err := a.Poll(ctx); err != nil {
			a.cfg.Log.Debug("failed to poll the settings", zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// adopt puts a higher version in force. The caller must hold mu.
func (a *Adopter[T]) adopt(version uint64, tree []byte, from Source) (bool, error) {
	if version <= a.Version() || version == a.rejectedVersion {
		return false, nil
	}
	value, err := a.cfg.Parse(tree)
	if err != nil {
		a.rejectedVersion = version
		event.SettingsRefused.Log(a.cfg.Log, zap.Uint64("version", version), zap.Error(err))
		return false, operr.Wrap(err, "rollout: adopt", string(from))
	}
	adopted := &InForce[T]{Version: version, YAML: tree, Value: value}
	a.current.Store(adopted)
	event.SettingsAdopted.Log(a.cfg.Log, zap.Uint64("version", version), zap.String("source", string(from)))
	if a.cfg.Adopted != nil {
		a.cfg.Adopted(adopted)
	}
	return true, nil
}
