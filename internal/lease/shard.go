package lease

import (
	"context"
	stderrors "errors"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/txn"
)

// ErrNotOwner is returned if the process no longer owns the shard. The write
// had no effect unless the error also matches platform.ErrUnknown.
var ErrNotOwner = errors.New("not the owner of the shard")

// Shard is the ownership of a shard under one epoch. Its methods may be called
// concurrently.
type Shard struct {
	name    string
	epoch   uint64
	version int64
	lost    atomic.Bool
}

// Name returns the name of the shard, which is that of its pool.
func (s *Shard) Name() string { return s.name }

// Epoch returns the epoch of the ownership.
func (s *Shard) Epoch() uint64 { return s.epoch }

// Held reports whether the process has not detected a loss of the shard. The
// shard may have been lost without its knowledge: only Commit verifies the
// ownership.
func (s *Shard) Held() bool { return !s.lost.Load() }

// Commit commits t on the condition that the process still owns the shard, and
// returns the version of the written rows. Every written row must be among the
// transaction's conditions. An unknown outcome is resolved by reading the rows
// back until ctx ends, see txn.Commit.
//
// Errors: ErrNotOwner after the loss of the shard, platform.ErrConflict if
// another condition failed, platform.ErrUnavailable, platform.ErrUnknown.
func (s *Shard) Commit(ctx context.Context, table platform.Table, t platform.Txn) (int64, error) {
	if !s.Held() {
		return 0, operr.Wrap(ErrNotOwner, "lease: commit", s.name)
	}
	fenced := platform.Txn{Writes: t.Writes}
	fenced.Conditions = append(fenced.Conditions, platform.Condition{Key: Key(s.name), Version: s.version})
	fenced.Conditions = append(fenced.Conditions, t.Conditions...)
	version, err := txn.Commit(ctx, table, fenced)
	switch {
	case errors.Is(err, platform.ErrConflict) && s.checkLost(ctx, table):
		return 0, operr.Wrap(ErrNotOwner, "lease: commit", s.name)
	case errors.Is(err, platform.ErrUnknown) && s.checkLost(ctx, table):
		return 0, operr.Wrap(stderrors.Join(ErrNotOwner, err), "lease: commit", s.name)
	}
	return version, operr.Wrap(err, "lease: commit", s.name)
}

// checkLost reads the shard's row and reports whether the shard is lost.
func (s *Shard) checkLost(ctx context.Context, table platform.Table) bool {
	rows, err := table.Read(ctx, Key(s.name))
	if err != nil {
		return !s.Held()
	}
	if len(rows) != 1 || rows[0].Version != s.version {
		s.lost.Store(true)
	}
	return !s.Held()
}
