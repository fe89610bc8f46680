package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// feedLongPollWait is how long the service holds a long poll of a feed that
	// has no changes. A feed that stopped answering is detected within this
	// time plus the client's slack, which is within the bound on putting a
	// configuration in force.
	feedLongPollWait = 800 * time.Millisecond
	// feedRetryDelay is the delay after a failed call of a feed.
	feedRetryDelay = 100 * time.Millisecond
	// readTimeout bounds a read of many rows.
	readTimeout = 3 * time.Second
)

// feed follows a table of the platform. It reads the whole table first, and
// again whenever the service no longer has the history after its version, and
// reads only the changes otherwise.
type feed struct {
	name string
	log  *zap.Logger
	// version is the version up to which the table was read, or unread.
	version int64
	// readAll reads the whole table, readChanges the changes after a version.
	// Both return the version up to which they have read.
	readAll     func(context.Context) (int64, error)
	readChanges func(ctx context.Context, after int64) (int64, error)
	// delay is the delay between two successful calls, for a table that changes
	// all the time.
	delay time.Duration
}

// unread is the version of a feed that must read its whole table.
const unread int64 = -1

// run follows the table until ctx ends.
func (f *feed) run(ctx context.Context) error {
	dep := &dependency{name: f.name, log: f.log}
	for ctx.Err() == nil {
		wait := f.delay
		err := f.step(ctx)
		dep.observe(err)
		if err != nil {
			wait = feedRetryDelay
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.version = unread
		}
		if wait > 0 {
			if err := ctxtime.Sleep(ctx, wait); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// step makes one call and advances the version if it succeeds.
func (f *feed) step(ctx context.Context) error {
	version, err := f.version, error(nil)
	if version == unread {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		version, err = f.readAll(readCtx)
	} else {
		version, err = f.readChanges(ctx, version)
	}
	if err == nil {
		f.version = version
	}
	return err
}

// dependency logs once when a part of the platform becomes unavailable and once
// when it is available again.
type dependency struct {
	name string
	log  *zap.Logger
	lost bool
	// since is when the dependency was lost.
	since time.Time
}

// observe records the outcome of a call.
func (d *dependency) observe(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost, d.since = true, time.Now()
		event.DependencyLost.Log(d.log, zap.String("dependency", d.name), zap.Error(err))
	case err == nil && d.lost:
		d.lost = false
		event.DependencyRegained.Log(d.log, zap.String("dependency", d.name), zap.Duration("after", time.Since(d.since)))
	}
}
