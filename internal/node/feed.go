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
	// time plus feedSlack, which is within the bound on putting a configuration
	// in force.
	feedLongPollWait = 800 * time.Millisecond
	// feedSlack is how much longer than its wait a call of a feed takes at most
	// before its answer counts as overdue.
	feedSlack = 700 * time.Millisecond
	// lateAnswerTimeout is how much longer than its wait a call of a feed may take
	// at all. A process that has little processor time reads its answer late.
	lateAnswerTimeout = 5 * time.Second
	// maxFeedCalls is the maximum number of concurrent calls of a feed. After a
	// fault several idle connections may be silent.
	maxFeedCalls = 4
	// feedRetryDelay is the delay after a failed call of a feed.
	feedRetryDelay = 100 * time.Millisecond
	// readTimeout bounds a read of whole tables, whose pages have a bound of their
	// own. A process with little processor time takes seconds for thousands of jobs.
	readTimeout = 20 * time.Second
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
	// Both return what to do with the answer.
	readAll     func(context.Context) (handleAnswer, error)
	readChanges func(ctx context.Context, after int64) (handleAnswer, error)
	// wait is how long the service holds a call for changes.
	wait time.Duration
	// delay is the delay between two successful calls, for a table that changes
	// all the time.
	delay time.Duration
	// observe is called with the outcome of each call, if set.
	observe func(error)
}

// handleAnswer handles an answer of a feed and returns the version up to which the
// table was read.
type handleAnswer func() (int64, error)

// unread is the version of a feed that must read its whole table.
const unread int64 = -1

// errFeedOverdue is the outcome of a call of a feed that is not answered in time.
// It may still be answered.
var errFeedOverdue = errors.New("answer is overdue")

// run follows the table until ctx ends.
func (f *feed) run(ctx context.Context) error {
	dep := &dependency{name: f.name, log: f.log}
	outcome := func(err error) {
		dep.observe(err)
		if f.observe != nil {
			f.observe(err)
		}
	}
	for ctx.Err() == nil {
		wait := f.delay
		err := f.step(ctx, outcome)
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

// step reads the table or its changes and advances the version if it succeeds.
// outcome is called with the outcome of each call, nil or an error.
func (f *feed) step(ctx context.Context, outcome func(error)) error {
	var handle handleAnswer
	var err error
	if f.version == unread {
		handle, err = f.all(ctx)
	} else {
		handle, err = f.changes(ctx, outcome)
	}
	outcome(err)
	if err != nil {
		return err
	}
	version, err := handle()
	if err == nil {
		f.version = version
	}
	return err
}

// all reads the whole table.
func (f *feed) all(ctx context.Context) (handleAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.readAll(ctx)
}

// changes reads the changes after the feed's version. While an answer is overdue
// it makes further calls: the connection may be silent. The first answer counts,
// also a late one, since this process may be what is slow, and also a refusal. A
// call that ends without an answer counts only if no other is in flight.
func (f *feed) changes(ctx context.Context, outcome func(error)) (handleAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the calls that are not needed any more
	type answer struct {
		handle handleAnswer
		err    error
		// silent is set if the call has ended without an answer.
		silent bool
	}
	answers := make(chan answer, maxFeedCalls)
	inFlight := 0
	call := func() {
		inFlight++
		go func(version int64) {
			ctx, cancel := context.WithTimeout(ctx, f.wait+lateAnswerTimeout)
			defer cancel()
			handle, err := f.readChanges(ctx, version)
			answers <- answer{handle, err, err != nil && ctx.Err() != nil}
		}(f.version)
	}
	call()
	overdue := time.NewTicker(f.wait + feedSlack)
	defer overdue.Stop()
	for {
		select {
		case a := <-answers:
			inFlight--
			if !a.silent || inFlight == 0 {
				return a.handle, a.err
			}
			continue
		case <-overdue.C:
		}
		if len(answers) > 0 {
			continue // it came at the same time
		}
		outcome(errFeedOverdue)
		if inFlight < maxFeedCalls {
			call()
		}
	}
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
