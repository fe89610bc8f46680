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
	// DefaultPollPeriod is the time between two looks at the table. Push
	// through control is faster; polling bounds the time without it.
	DefaultPollPeriod = 4 * time.Second
	// pollTimeout bounds one look at the table.
	pollTimeout = 5 * time.Second
)

// Source says where a version of the settings came from.
type Source string

const (
	// FromTable versions were read from the table.
	FromTable Source = "table"
	// FromPush versions came from a control process.
	FromPush Source = "push"
	// FromPeer versions came from an entry.
	FromPeer Source = "peer"
)

// InForce is an adopted version of the settings. It is immutable.
type InForce[T any] struct {
	Version uint64
	// YAML is the tree as accepted.
	YAML []byte
	// Value is what the tree was parsed to.
	Value T
}

// AdopterConfig configures an Adopter.
type AdopterConfig[T any] struct {
	Table   platform.Table
	Objects platform.Objects
	// Parse checks a tree.
	Parse func(tree []byte) (T, error)
	// PollPeriod is the time between two looks at the table,
	// DefaultPollPeriod if 0.
	PollPeriod time.Duration
	// Adopted is called after each adoption, with the lock of adoptions held.
	// It may be nil.
	Adopted func(*InForce[T])
	// Log receives events. It may be nil.
	Log *zap.Logger
}

// Adopter keeps the settings in force in one process. Its version never
// falls. Methods may be called by any goroutine.
type Adopter[T any] struct {
	cfg AdopterConfig[T]
	// mu orders adoptions.
	mu sync.Mutex
	// rowVersion is the table's version of the row last looked at.
	rowVersion int64
	// rejectedVersion is the highest version that did not parse.
	rejectedVersion uint64
	current         atomic.Pointer[InForce[T]]
}

// NewAdopter returns an Adopter without settings.
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

// Offer adopts a version received from another process if it is above the one
// in force, and reports whether it did. Before the first look at the table
// nothing is adopted: see the package comment.
func (a *Adopter[T]) Offer(version uint64, tree []byte, from Source) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.Load() == nil {
		return false, nil
	}
	return a.adopt(version, tree, from)
}

// Poll looks at the table and adopts what is newer there.
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

// Run polls until ctx ends.
func (a *Adopter[T]) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.cfg.PollPeriod)
	defer ticker.Stop()
	for {
		if err := a.Poll(ctx); err != nil {
			a.cfg.Log.Debug("settings not polled", zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// adopt puts a higher version in force. It holds the lock.
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
