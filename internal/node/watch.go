package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// controlWait is how long the control feed waits: a beat that is missing is
	// noticed so much later at most.
	controlWait = 400 * time.Millisecond
	// controlRest is the pause between two answers of the control feed, which
	// changes with every beat.
	controlRest = 250 * time.Millisecond
)

// watchOperator keeps the catalog and the waves up to date.
func (n *Node) watchOperator(ctx context.Context) error {
	take := func(c platform.OperatorChanges, err error) (int64, error) {
		if err != nil {
			return 0, err
		}
		n.Clock.SeeStore(c.Stamp, n.Clock.Now())
		n.adopt(c)
		return c.Version, nil
	}
	f := feed{
		name: "operator's configuration", log: n.Log, version: unread,
		read: func(ctx context.Context) (int64, error) { return take(n.Operator.ReadOperator(ctx)) },
		follow: func(ctx context.Context, after int64) (int64, error) {
			return take(n.Operator.WatchOperator(ctx, after, feedWait))
		},
	}
	return f.run(ctx)
}

// adopt puts a newer catalog in force and notes new waves.
func (n *Node) adopt(c platform.OperatorChanges) {
	n.waves.add(c.Waves)
	old := n.catalog.Load()
	if c.Catalog == nil || (old != nil && c.Catalog.Version <= old.Version) {
		return
	}
	n.catalog.Store(c.Catalog)
	event.CatalogAdopted.Log(n.Log, zap.Int64("version", c.Catalog.Version), zap.Int("queues", len(c.Catalog.Queues)),
		zap.Int("pools", len(c.Catalog.Pools)), zap.Int64("store_version", c.Version))
	select {
	case n.catalogs <- struct{}{}:
	default:
	}
}

// watchControl keeps the view of the ownership and takes the work when it is
// vacant.
func (n *Node) watchControl(ctx context.Context) error {
	take := func(sent time.Duration, rows []platform.PartRow, stamp platform.Stamp, err error) (int64, error) {
		n.reach.saw(err)
		if err != nil {
			return 0, err
		}
		now := n.Clock.Now()
		n.Clock.SeeStore(stamp, now)
		if err := n.seeControl(rows, now); err != nil {
			return 0, err
		}
		n.consider(ctx, sent)
		return stamp.Version, nil
	}
	f := feed{
		name: "owner's record", log: n.Log, version: unread, rest: controlRest,
		read: func(ctx context.Context) (int64, error) {
			sent := n.Clock.Now()
			rows, stamp, err := n.Rows.ReadRows(ctx, controlTable, controlPart, "", "")
			return take(sent, rows, stamp, err)
		},
		follow: func(ctx context.Context, after int64) (int64, error) {
			sent := n.Clock.Now()
			rows, stamp, err := n.Rows.Changes(ctx, controlTable, after, controlWait)
			return take(sent, rows, stamp, err)
		},
	}
	return f.run(ctx)
}

// consider takes the control work if it is vacant by an answer that was asked
// for at sent.
func (n *Node) consider(ctx context.Context, sent time.Duration) {
	if n.stopping.Load() || n.owner.Load() != nil {
		return
	}
	view := n.view.Load()
	if view.Record.Incarnation == n.incarnation {
		// Taking it got no answer, and yet it was recorded.
		n.begin(ctx, view.Record, ownership.Record{DutyHolder: "unknown"}, view.RecordVersion)
		return
	}
	if view.Vacant(n.self(), sent) && ctxtime.Sleep(ctx, n.TakeoverBackoff) == nil {
		n.take(ctx)
	}
}

// seeControl publishes a new view of the ownership.
func (n *Node) seeControl(rows []platform.PartRow, received time.Duration) error {
	view := *n.view.Load()
	if err := view.ObserveRecord(nil, platform.NoVersion, received); err != nil {
		return err
	}
	for _, r := range rows {
		var err error
		switch {
		case r.Deleted:
		case r.RowKey == ownerRow:
			err = view.ObserveRecord(r.Value, r.Version, received)
		case r.RowKey == heartbeatRow:
			err = view.ObserveHeartbeat(r.Value, r.Version, received)
		}
		if err != nil {
			return err
		}
	}
	n.view.Store(&view)
	return nil
}

// take tries to become the owner.
func (n *Node) take(ctx context.Context) {
	view := n.view.Load()
	record := view.Next(n.self())
	value, err := ownership.Encode(record)
	if err != nil {
		event.OwnershipNotAcquired.Log(n.Log, zap.Error(err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	stamp, err := n.Rows.CommitRows(callCtx, platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: ownerRow, Version: view.RecordVersion}},
		Writes:     []platform.RowWrite{{RowKey: ownerRow, Value: value}},
	})
	if err != nil {
		event.OwnershipNotAcquired.Log(n.Log, zap.Int64("epoch", record.Epoch), zap.Error(err))
		// A commit without an answer may have succeeded: the feed shows it, and
		// beats will be missing until somebody takes the work again.
		return
	}
	n.begin(ctx, record, view.Record, stamp.Version)
}
