// Package samples records the measurements of pools in the object store, for
// the capacity report.
//
// Each owner of a pool writes its own objects, one for each hour, and rewrites
// the whole object at each flush. A previous owner that resumes after a pause
// therefore can't overwrite the samples of its successor, and the report counts
// an interval that two owners sampled only once.
package samples

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/report"
)

// Step is the length of an interval.
const Step = 10 * time.Second

const (
	// prefix begins the names of all objects of this package.
	prefix = "report/"
	// hourLayout formats the hour (UTC) in object names.
	hourLayout = "2006010215"
)

// Chunk is the content of one object.
type Chunk struct {
	Pools    []report.PoolSample `json:"pools,omitempty"`
	Rollouts []report.Rollout    `json:"rollouts,omitempty"`
}

// Store reads and writes chunks in the object store.
type Store struct{ objects platform.Objects }

// NewStore returns a Store over the object store.
func NewStore(objects platform.Objects) *Store { return &Store{objects: objects} }

// PutPool writes all samples of a pool in one hour, as the owner of the given
// epoch, and replaces what that owner has written for the hour.
func (s *Store) PutPool(ctx context.Context, hour time.Time, pool string, epoch uint64, list []report.PoolSample) error {
	return s.put(ctx, fmt.Sprintf("%s%s/%s.%d", prefix, hour.UTC().Format(hourLayout), pool, epoch), Chunk{Pools: list})
}

// PutRollout writes a change of the settings, in the hour in which it was
// accepted.
func (s *Store) PutRollout(ctx context.Context, r report.Rollout) error {
	name := fmt.Sprintf("%s%s/settings.%d", prefix, r.Accepted.UTC().Format(hourLayout), r.Version)
	return s.put(ctx, name, Chunk{Rollouts: []report.Rollout{r}})
}

func (s *Store) put(ctx context.Context, name string, c Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return operr.Wrap(err, "samples: encode", name)
	}
	return s.objects.Put(ctx, name, data)
}

// Read returns the samples and rollouts of every hour that overlaps from..to,
// including those outside from..to in the first and last hour. An object that
// is deleted meanwhile is skipped.
func (s *Store) Read(ctx context.Context, from, to time.Time) (Chunk, error) {
	var all Chunk
	for hour := from.UTC().Truncate(time.Hour); !hour.After(to); hour = hour.Add(time.Hour) {
		names, err := s.objects.List(ctx, prefix+hour.Format(hourLayout)+"/")
		if err != nil {
			return all, err
		}
		for _, name := range names {
			c, err := s.read(ctx, name)
			if errors.Is(err, platform.ErrNotFound) {
				continue
			}
			if err != nil {
				return all, err
			}
			all.Pools = append(all.Pools, c.Pools...)
			all.Rollouts = append(all.Rollouts, c.Rollouts...)
		}
	}
	return all, nil
}

func (s *Store) read(ctx context.Context, name string) (Chunk, error) {
	var c Chunk
	data, err := s.objects.Get(ctx, name)
	if err != nil {
		return c, err
	}
	return c, operr.Wrap(json.Unmarshal(data, &c), "samples: decode", name)
}
