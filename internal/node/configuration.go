package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// confirmationWait is how long a request waits for the configuration to be
	// confirmed after a pause of this process: two calls of the feed on a slow
	// connection. It is a small part of a caller's timeout.
	confirmationWait = 500 * time.Millisecond
	// confirmationPoll is how often such a request looks.
	confirmationPoll = 10 * time.Millisecond
	// unfinishedAge is the age of the configuration at which all of it is read
	// if the feed only gives answers that may leave something to read, as it does
	// while the operator changes something in each long poll.
	unfinishedAge = time.Second
	// floorDelay bounds the random delay before a process stores the version that
	// it has adopted: all processes adopt one at the same time, and one of them
	// suffices.
	floorDelay = time.Second
	// floorRereadDelay is the delay after which a process that is given a version reads
	// the recorded one: where calls take milliseconds, the processes that adopted a
	// higher version before, which this one may have missed, have recorded it by then.
	floorRereadDelay = floorDelay + 500*time.Millisecond
	// floorSecondDelay is the delay after which it reads the recorded version once more.
	// On slow days a call takes 0.96 s, and a record up to floorDelay and four calls,
	// two of them for an attempt that conflicts with the record of a lower version.
	floorSecondDelay = 3 * time.Second
	// maxCallLatency bounds the latency by which the time is extended within which a
	// process needs no read of the record. It is above that of slow days.
	maxCallLatency = time.Second
	// floorCheckTimeout bounds the read of the recorded version before a configuration
	// is put in force. It is above the latency of slow days.
	floorCheckTimeout = 1200 * time.Millisecond
	// floorRetryDelay is the delay after an attempt that failed.
	floorRetryDelay = time.Second
	// floorTimeout bounds one attempt.
	floorTimeout = 3 * time.Second
)

// confirmation tells up to which time this process knows the configuration. Only
// an answer to a call about the configuration confirms it, not that the service is
// connected or answers other calls. The time is that of the sending of the call:
// the answer to a long poll says nothing about changes after the service wrote it,
// and may have waited on its way or in this process. It is safe for concurrent use.
type confirmation struct {
	// at is the time up to which the configuration is known, 0 for never.
	at atomic.Int64
	// unreadableSince is when an answer came whose configuration could not be
	// decoded, 0 if a later one could be.
	unreadableSince atomic.Int64
	// unfinished is set if the last answer may have left something to read.
	unfinished atomic.Bool
}

// observe records an answer to a call about the configuration. It is called by one
// goroutine.
func (c *confirmation) observe(changes platform.OperatorChanges, sent, received time.Duration) {
	if !changes.MayHaveMore && int64(sent) > c.at.Load() {
		c.at.Store(int64(sent))
	}
	c.unfinished.Store(changes.MayHaveMore)
	switch {
	case changes.Unreadable:
		c.unreadableSince.CompareAndSwap(0, int64(received))
	case changes.Catalog != nil:
		c.unreadableSince.Store(0)
	}
}

// age returns how long ago the configuration was last known. It returns false if
// it never was.
func (c *confirmation) age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(c.at.Load())
	return max(0, now-at), at != 0
}

// needsRead reports whether only a read of the whole configuration confirms it soon.
func (c *confirmation) needsRead(now time.Duration) bool {
	age, _ := c.age(now)
	return c.unfinished.Load() && age > unfinishedAge
}

// strictAge is age, and at least the time since which a configuration is stored
// that cannot be decoded: it may withdraw any key.
func (c *confirmation) strictAge(now time.Duration) (time.Duration, bool) {
	age, known := c.age(now)
	if since := time.Duration(c.unreadableSince.Load()); since != 0 {
		age = max(age, now-since)
	}
	return age, known
}

// configurationUse says what a process may do by its configuration.
type configurationUse int

const (
	// configurationCurrent means that the configuration is in force.
	configurationCurrent configurationUse = iota
	// configurationLast means that the process cannot reach the table service and
	// continues with its last configuration: requests are served, but those that it
	// forbids may be allowed meanwhile.
	configurationLast
	// configurationUnconfirmed means that no request may be served.
	configurationUnconfirmed
)

// configurationUse decides what requests may rely on. A process that answers other
// calls of the service must have the configuration in force within ConfigWithin, so
// it refuses requests until the feed answers; that happens after a pause of the
// process, and where the feed alone is silent.
func (n *Node) configurationUse() configurationUse {
	if c := n.catalog.Load(); c != nil && c.Version < n.floor.version.Load() {
		return configurationUnconfirmed // another process has put a version in force that this one has missed
	}
	now := n.Clock.Now()
	age, known := n.confirmed.age(now)
	strictAge, _ := n.confirmed.strictAge(now)
	switch {
	case n.StrictRevocation && (!known || strictAge > n.RevokeWithin):
		return configurationUnconfirmed
	case n.ConfigWithin == 0 || age <= n.ConfigWithin:
		return configurationCurrent
	case n.reachability.unreachable():
		return configurationLast
	}
	return configurationUnconfirmed
}

// awaitConfiguration is configurationUse, and waits a while for the feed first if
// the process may have been paused.
func (n *Node) awaitConfiguration(ctx context.Context, deadline time.Time) configurationUse {
	use := n.configurationUse()
	for until := time.Now().Add(min(confirmationWait, time.Until(deadline))); use == configurationUnconfirmed; use = n.configurationUse() {
		if n.reachability.unreachable() || !time.Now().Before(until) || ctxtime.Sleep(ctx, confirmationPoll) != nil {
			break
		}
	}
	return use
}

// configFloorRow holds the highest version of the configuration that a process has
// put in force. All processes write it at the same time, so it is in a part of its
// own, where that does not delay heartbeats.
var configFloorRow = platform.RowKey{Table: configTable, Part: "config", Key: "in-force"}

type configFloor struct {
	Version int64 `json:"version"`
}

// floor is the highest version of the configuration that any process has recorded.
// A process adopts no lower one, and serves by none: it may hold keys that were
// withdrawn, or ask for none.
type floor struct {
	read atomic.Bool
	// version is the recorded version of the configuration, and row that of the row.
	version, row atomic.Int64
	// adopted signals that a configuration was adopted, and delivered that one was
	// delivered. The row may have held a higher one in between: the feed delivers the
	// newest content of a row only.
	adopted, delivered chan struct{}
	// deliveredAt is when the last call was sent whose answer held a version, and
	// latency how much longer than its wait the last long poll without changes took.
	deliveredAt, latency atomic.Int64
}

// observe records the answer to a long poll.
func (f *floor) observe(c platform.OperatorChanges, late time.Duration) {
	if c.Catalog == nil && !c.MayHaveMore {
		f.latency.Store(int64(min(max(late, 0), maxCallLatency)))
	}
}

// unrecordedFor returns for how long after its adoption by others a version is not
// recorded that this process has missed. Where calls are slow, those that record it
// make at least two of them first. Without that, each version would be adopted a call
// later on slow days, since a process knows the configuration only 2 s back then.
func (f *floor) unrecordedFor() time.Duration {
	return floorRereadDelay + 2*time.Duration(f.latency.Load())
}

// raise sets the recorded version, unless a higher one is known.
func (f *floor) raise(version int64) {
	for known := f.version.Load(); version > known && !f.version.CompareAndSwap(known, version); known = f.version.Load() {
	}
}

// readFloor reads the recorded version. A row that cannot be decoded counts as none.
func (n *Node) readFloor(ctx context.Context) error {
	rows, _, err := n.Rows.ReadRows(ctx, configFloorRow.Table, configFloorRow.Part, "", "")
	if err != nil {
		return err
	}
	n.floor.row.Store(platform.NoVersion)
	for _, r := range rows {
		var stored configFloor
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			event.RowUnreadable.Log(n.Log, zap.String("key", r.Key), zap.Error(err))
		}
		n.floor.raise(stored.Version)
		n.floor.row.Store(r.Version)
	}
	n.floor.read.Store(true)
	return nil
}

// checkFloor reads the recorded version before a configuration is adopted, unless
// this process knew the configuration shortly before: a higher version that it has
// missed since is not recorded yet, and watchFloor reads it. While the recorded
// version cannot be read, nothing is adopted where there may be teams. unrecorded is
// unrecordedFor from before the call, so that a pause during the call does not extend it.
func (n *Node) checkFloor(ctx context.Context, c platform.OperatorChanges, unrecorded time.Duration) error {
	if c.Catalog == nil {
		return nil
	}
	if !n.floor.read.Load() {
		return n.readFloor(ctx)
	}
	if n.Clock.Now()-time.Duration(max(n.confirmed.at.Load(), n.floor.deliveredAt.Load())) <= unrecorded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, floorCheckTimeout)
	defer cancel()
	err := n.readFloor(ctx)
	if !c.Catalog.RequiresKeys && !n.hasTeams() {
		return nil
	}
	return err
}

// keepFloor records each adopted version in the table service until ctx ends, and
// reads the recorded one again where this process may have missed it.
func (n *Node) keepFloor(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.recordFloor(ctx) })
	group.Go(func() error { return n.watchFloor(ctx) })
	return group.Wait()
}

// watchFloor reads the recorded version twice after each delivered one until ctx ends.
func (n *Node) watchFloor(ctx context.Context) error {
	for {
		select {
		case <-n.floor.delivered:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, delay := range []time.Duration{floorRereadDelay, floorSecondDelay} {
			if err := ctxtime.Sleep(ctx, delay); err != nil {
				return err
			}
			n.rereadFloor(ctx)
		}
	}
}

// recordFloor records each adopted version in the table service until ctx ends. A
// configuration that never had teams withdraws no keys and is not recorded. Only a
// process that has missed the version relies on the record, so adoption does not wait
// for it.
func (n *Node) recordFloor(ctx context.Context) error {
	for {
		select {
		case <-n.floor.adopted:
		case <-ctx.Done():
			return ctx.Err()
		}
		delay := rand.N(floorDelay)
		for {
			if err := ctxtime.Sleep(ctx, delay); err != nil {
				return err
			}
			if _, due := n.floorDue(); !due {
				break
			}
			delay = floorRetryDelay
			if err := n.readFloorOnce(ctx); err != nil {
				continue
			}
			row := n.floor.row.Load() // before the version: the row may be read again meanwhile
			version, due := n.floorDue()
			if !due {
				break
			}
			if err := n.storeFloor(ctx, version, row); errors.Is(err, platform.ErrConflict) {
				delay = 0 // a lower version may have been recorded meanwhile
			}
		}
	}
}

// floorDue returns the version in force and whether it is to be recorded.
func (n *Node) floorDue() (int64, bool) {
	c, recorded := n.catalog.Load(), n.floor.version.Load()
	if c == nil {
		return 0, false
	}
	return c.Version, c.Version > recorded && (c.RequiresKeys || recorded > 0)
}

// storeFloor attempts to record a version over a version of the row.
func (n *Node) storeFloor(ctx context.Context, version, row int64) error {
	value, err := json.Marshal(configFloor{Version: version})
	if err != nil {
		return errors.Wrap(err, "encode recorded version")
	}
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	stamp, err := n.Rows.CommitRows(ctx, platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: configFloorRow, Version: row}},
		Writes:     []platform.RowWrite{{RowKey: configFloorRow, Value: value}},
	})
	if err != nil {
		return err
	}
	n.floor.raise(version)
	n.floor.row.Store(stamp.Version)
	return nil
}

// readFloorOnce attempts to read the recorded version within floorTimeout.
func (n *Node) readFloorOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	return n.readFloor(ctx)
}

// rereadFloor reads the recorded version, until it succeeds or ctx ends.
func (n *Node) rereadFloor(ctx context.Context) {
	for {
		if n.readFloorOnce(ctx) == nil || ctxtime.Sleep(ctx, floorRetryDelay) != nil {
			return
		}
	}
}

// configurationMetrics returns the version in force, 0 for none, how long ago it was
// last known to be up to date in microseconds, -1 for never, and what it holds.
func (n *Node) configurationMetrics() map[string]any {
	out := map[string]any{"version": int64(0), "age_us": int64(-1), "recorded_version": n.floor.version.Load()}
	if age, known := n.confirmed.age(n.Clock.Now()); known {
		out["age_us"] = age.Microseconds()
	}
	if c := n.catalog.Load(); c != nil {
		out["version"], out["teams"], out["keys"], out["requires_keys"] = c.Version, len(c.Teams), c.KeyCount(), c.RequiresKeys
	}
	return out
}
