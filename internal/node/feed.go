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
	// feedLongPollWait is how long a feed waits for a change. A feed that went silent
	// is found within feedLongPollWait and the client's slack, inside the bound on
	// putting a configuration in force.
	feedLongPollWait = 800 * time.Millisecond
	// feedRetryDelay is the pause after a feed that failed.
	feedRetryDelay = 100 * time.Millisecond
	// readTimeout bounds a read of many rows.
	readTimeout = 3 * time.Second
)

// feed follows a table of the platform: it reads all of it at first, and again
// whenever the history is gone, and the changes in between.
type feed struct {
	name string
	log  *zap.Logger
	// version is the one to go on from, unread for none.
	version int64
	// readAll takes in the whole table, follow the changes after a version. Both
	// return the version up to which they did.
	readAll     func(context.Context) (int64, error)
	readChanges func(ctx context.Context, after int64) (int64, error)
	// delay is the pause between two answers, for a table that changes all the
	// time.
	delay time.Duration
}

// unread is the version of a feed that has to read its whole table.
const unread int64 = -1

// run follows until ctx ends.
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

// step makes one call. The version stays as it was if it fails.
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

// dependency logs the loss and the return of a part of the platform once each.
type dependency struct {
	name string
	log  *zap.Logger
	lost bool
	// since is when it was lost.
	since time.Time
}

// observe notes the outcome of a call.
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
