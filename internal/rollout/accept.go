package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/txn"
)

// ErrChangeReused is returned if a change ID was already used with another
// tree.
var ErrChangeReused = errors.New("change id was used with another tree")

// ConflictError is returned if the settings are not at the version that the
// operator expected. Nothing was changed.
type ConflictError struct {
	// Expected is the version that the operator expected, Current the accepted
	// version.
	Expected, Current uint64
	// BeyondHistory is set if the history does not reach back to Expected: an
	// earlier request with the same change ID may have been accepted and no
	// longer be in the history.
	BeyondHistory bool
}

// newConflict returns the error for a change that expected another version
// than the current one.
func newConflict(expected, current uint64) *ConflictError {
	beyondHistory := current > expected+historyLength
	return &ConflictError{Expected: expected, Current: current, BeyondHistory: beyondHistory}
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings are at version %d, expected %d", e.Current, e.Expected)
}

// Store accepts changes of the settings.
type Store struct {
	table   platform.Table
	objects platform.Objects
	log     *zap.Logger
}

// NewStore returns a Store that uses the table and the object store. log may
// be nil.
func NewStore(table platform.Table, objects platform.Objects, log *zap.Logger) *Store {
	if log == nil {
		log = zap.NewNop()
	}
	return &Store{table: table, objects: objects, log: log}
}

// Accept makes a valid tree the settings of the estate if they are at the
// expected version (0 if there are none yet), and returns the new version. A
// repeated request for the same change returns the version that the change
// got, even after later changes.
//
// Errors: *ConflictError, ErrChangeReused and platform.ErrUnavailable mean
// that nothing was changed. platform.ErrUnknown means that ctx ended before
// the outcome was known: calling Accept again with the same change ID resolves
// it.
func (s *Store) Accept(ctx context.Context, tree []byte, expected uint64, changeID string) (uint64, error) {
	record, rowVersion, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	sum := digest(tree)
	if c, ok := record.find(changeID); ok {
		return recordedOutcome(c, sum)
	}
	if record.Version != expected {
		return 0, newConflict(expected, record.Version)
	}
	next, err := s.next(ctx, record, tree, changeID)
	if err != nil {
		return 0, err
	}
	_, err = txn.Commit(ctx, s.table, platform.Txn{
		Conditions: []platform.Condition{{Key: Key, Version: rowVersion}},
		Writes:     []platform.Write{{Key: Key, Value: encode(next)}},
	})
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
		return s.resolveOutcome(ctx, err, expected, changeID, sum)
	}
	if err != nil {
		return 0, err
	}
	s.logAccepted(next)
	return next.Version, nil
}

// Current returns the accepted settings and their tree. Before the first
// change the version is 0 and the tree nil.
func (s *Store) Current(ctx context.Context) (*Record, []byte, error) {
	record, _, err := s.read(ctx)
	if err != nil {
		return nil, nil, err
	}
	tree, err := record.tree(ctx, s.objects)
	return record, tree, err
}

// read returns the record and the version of its row in the table.
func (s *Store) read(ctx context.Context) (*Record, int64, error) {
	rows, err := s.table.Read(ctx, Key)
	if err != nil {
		return nil, 0, err
	}
	if len(rows) == 0 {
		return &Record{}, platform.NoVersion, nil
	}
	record, err := decode(rows[0])
	return record, rows[0].Version, err
}

// next returns the record that follows old. It first stores a large tree as an
// object; an object that no row refers to is harmless.
func (s *Store) next(ctx context.Context, old *Record, tree []byte, changeID string) (*Record, error) {
	sum := digest(tree)
	r := &Record{
		Version:  old.Version + 1,
		ChangeID: changeID,
		Accepted: time.Now().UnixMilli(),
		YAML:     tree,
	}
	r.History = append(r.History, old.History[max(0, len(old.History)-historyLength+1):]...)
	r.History = append(r.History, Change{ID: changeID, Version: r.Version, Digest: sum})
	if len(tree) <= maxRowBytes {
		return r, nil
	}
	r.YAML = nil
	r.Object = objectName(sum)
	return r, s.objects.Put(ctx, r.Object, tree)
}

// resolveOutcome determines the outcome of a change whose commit failed or may
// have failed, from the history of changes. The history also shows it after
// later changes.
func (s *Store) resolveOutcome(ctx context.Context, cause error, expected uint64, changeID, sum string) (uint64, error) {
	record, _, err := s.read(ctx)
	if err != nil {
		return 0, operr.Wrap(platform.ErrUnknown, "rollout: settle", changeID)
	}
	if c, ok := record.find(changeID); ok {
		return recordedOutcome(c, sum)
	}
	if errors.Is(cause, platform.ErrUnknown) && record.Version == expected {
		return 0, operr.Wrap(cause, "rollout: settle", changeID)
	}
	return 0, newConflict(expected, record.Version)
}

// recordedOutcome returns the outcome of a change that is in the history.
func recordedOutcome(c Change, sum string) (uint64, error) {
	if c.Digest != sum {
		return 0, operr.Wrap(ErrChangeReused, "rollout: accept", c.ID)
	}
	return c.Version, nil
}

// logAccepted logs an accepted change.
func (s *Store) logAccepted(r *Record) {
	event.SettingsAccepted.Log(s.log, zap.Uint64("version", r.Version), zap.String("change", r.ChangeID))
}
