package node

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// controlLongPollWait is how long the service holds a long poll of the
	// control feed. It bounds the delay until a missing heartbeat is noticed.
	controlLongPollWait = 400 * time.Millisecond
	// controlFeedDelay is the delay between two calls of the control feed,
	// which changes with every heartbeat.
	controlFeedDelay = 250 * time.Millisecond
)

// watchOperator keeps the catalog and the maintenance waves up to date until
// ctx ends.
func (n *Node) watchOperator(ctx context.Context) error {
	answer := func(ctx context.Context, sent, unrecorded time.Duration, c platform.OperatorChanges, err error) (handleAnswer, error) {
		if err == nil {
			err = n.checkFloor(ctx, c, unrecorded)
		}
		return func() (int64, error) {
			now := n.Clock.Now()
			n.Clock.ObserveStore(c.Stamp, now)
			n.adopt(c)
			n.confirmed.observe(c, sent, now)
			if c.Catalog != nil {
				n.floor.deliveredAt.Store(int64(sent))
			}
			return c.Version, nil
		}, err
	}
	var late atomic.Int64 // how much later than its wait the last long poll was answered
	f := feed{
		name: "operator's configuration", log: n.Log, version: unread, wait: feedLongPollWait,
		readAll: func(ctx context.Context) (handleAnswer, error) {
			sent, unrecorded := n.Clock.Now(), n.floor.unrecordedFor()
			c, err := n.Operator.ReadOperator(ctx)
			return answer(ctx, sent, unrecorded, c, err)
		},
		readChanges: func(ctx context.Context, after int64) (handleAnswer, error) {
			sent, unrecorded := n.Clock.Now(), n.floor.unrecordedFor()
			if n.confirmed.needsRead(sent) {
				c, err := n.Operator.ReadOperator(ctx)
				return answer(ctx, sent, unrecorded, c, err)
			}
			wait := n.configPollWait(time.Duration(late.Load()))
			c, err := n.Operator.WatchOperator(ctx, after, wait)
			if err == nil {
				lateness := n.Clock.Now() - sent - wait
				late.Store(int64(lateness))
				n.floor.observe(c, lateness)
			}
			return answer(ctx, sent, unrecorded, c, err)
		},
	}
	return f.run(ctx)
}

// configPollWait returns how long the service is to hold a long poll for the
// configuration, given how much later than its wait the last one was answered. The
// configuration is as old as two long polls just before an answer, which a slow
// service would make longer than ConfigWithin.
func (n *Node) configPollWait(late time.Duration) time.Duration {
	if n.ConfigWithin == 0 {
		return feedLongPollWait
	}
	return min(feedLongPollWait, max(0, n.ConfigWithin/3-max(0, late)))
}

// adopt adds new waves and puts a newer catalog in force. An older catalog is
// ignored, also if only a process that has ended had put a newer one in force.
func (n *Node) adopt(c platform.OperatorChanges) {
	n.waves.add(c.Waves)
	old := n.catalog.Load()
	if c.Catalog == nil {
		return
	}
	select {
	case n.floor.delivered <- struct{}{}:
	default:
	}
	if old != nil && c.Catalog.Version == old.Version {
		return
	}
	if highest := max(n.floor.version.Load(), catalogVersion(old)); c.Catalog.Version < highest {
		event.CatalogIgnored.Log(n.Log, zap.Int64("version", c.Catalog.Version), zap.Int64("highest", highest))
		return
	}
	n.catalog.Store(c.Catalog)
	event.CatalogAdopted.Log(n.Log, zap.Int64("version", c.Catalog.Version), zap.Int("queues", len(c.Catalog.Queues)),
		zap.Int("pools", len(c.Catalog.Pools)), zap.Int("teams", len(c.Catalog.Teams)), zap.Int("keys", c.Catalog.KeyCount()),
		zap.Bool("requires_keys", c.Catalog.RequiresKeys), zap.Int64("store_version", c.Version))
	for _, problem := range c.Catalog.Problems {
		event.CatalogProblem.Log(n.Log, zap.Int64("version", c.Catalog.Version), zap.String("problem", problem))
	}
	for _, changed := range []chan struct{}{n.catalogChanged, n.floor.adopted} {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// watchControl keeps the view of the ownership up to date and acquires the
// control work when it is vacant, until ctx ends.
func (n *Node) watchControl(ctx context.Context) error {
	answer := func(sent time.Duration, rows []platform.PartRow, stamp platform.Stamp, err error) (handleAnswer, error) {
		return func() (int64, error) {
			now := n.Clock.Now()
			n.Clock.ObserveStore(stamp, now)
			if err := n.observeControl(rows, now); err != nil {
				return 0, err
			}
			n.acquireIfVacant(ctx, sent)
			n.offerOrHandOver(ctx)
			return stamp.Version, nil
		}, err
	}
	f := feed{
		name: "owner's record", log: n.Log, version: unread, wait: controlLongPollWait, delay: controlFeedDelay, observe: n.reachability.observe,
		readAll: func(ctx context.Context) (handleAnswer, error) {
			sent := n.Clock.Now()
			rows, stamp, err := n.Rows.ReadRows(ctx, controlTable, controlPart, "", "")
			return answer(sent, rows, stamp, err)
		},
		readChanges: func(ctx context.Context, after int64) (handleAnswer, error) {
			sent := n.Clock.Now()
			call := n.storeHealth.begin(ctx, controlPart, controlLongPollWait, nil)
			rows, stamp, err := n.Rows.Changes(ctx, controlTable, after, controlLongPollWait)
			call.end(err)
			return answer(sent, rows, stamp, err)
		},
	}
	return f.run(ctx)
}

// acquireIfVacant acquires the control work if the current view shows it as
// vacant. sent is when the request for that view was sent.
func (n *Node) acquireIfVacant(ctx context.Context, sent time.Duration) {
	if n.stopping.Load() || n.owner.Load() != nil {
		return
	}
	view := n.view.Load()
	if view.Record.Incarnation == n.incarnation && view.RecordVersion <= n.endedToken.Load() {
		// The ownership has ended, perhaps because a successor exists that this
		// answer does not show yet.
		if sent-view.HeartbeatSeen > ownership.TakeoverTimeout {
			n.acquire(ctx)
		}
		return
	}
	if view.Record.Incarnation == n.incarnation {
		// An earlier attempt to acquire the work got no answer but was applied.
		// The record that it replaced is no longer known; with an unknown
		// holder, firstHostOrder waits for HolderLease in any case. Other processes
		// may have seen the record long before, so there is no lease before the
		// first heartbeat.
		n.startOwnership(ctx, view.Record, ownership.Record{HostOrderHolder: "unknown"}, view.RecordVersion, ownership.Lease{})
		return
	}
	if !view.Vacant(n.self(), sent) {
		n.vacantSince = 0
		return
	}
	if n.vacantSince == 0 {
		n.vacantSince = sent
	}
	if sent-n.vacantSince >= n.TakeoverBackoff {
		n.vacantSince = 0
		n.acquire(ctx)
	}
}

// offerOrHandOver moves the control work from a host with too little processor
// time to one that has enough: such a host offers to take it over, and the owner
// releases it.
func (n *Node) offerOrHandOver(ctx context.Context) {
	view := n.view.Load()
	if o := n.owner.Load(); o != nil {
		if view.Offered(o.token) && o.handingOver.CompareAndSwap(false, true) {
			event.OwnershipHandedOver.Log(n.Log, zap.Int64("epoch", o.record.Epoch), zap.String("offered_by", view.Offer.By))
			n.releaseSoon(ctx)
		}
		return
	}
	if n.stopping.Load() || !view.OfferDue(n.self()) {
		return
	}
	value, err := ownership.Encode(ownership.Offer{By: n.Name, Token: view.RecordVersion})
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		_, err = n.Rows.CommitRows(callCtx, platform.RowTxn{
			Conditions: []platform.RowCondition{{RowKey: ownerRow, Version: view.RecordVersion}},
			Writes:     []platform.RowWrite{{RowKey: offerRow, Value: value}},
		})
	}
	event.OwnershipOffered.Log(n.Log, zap.Int64("epoch", view.Record.Epoch), zap.String("owner", view.Record.Owner), zap.Error(err))
}

// observeControl publishes a new view of the ownership from the rows of the
// control table, received at the given time.
func (n *Node) observeControl(rows []platform.PartRow, received time.Duration) error {
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
		case r.RowKey == offerRow:
			err = view.ObserveOffer(r.Value)
		}
		if err != nil {
			return err
		}
	}
	n.view.Store(&view)
	return nil
}

// acquire attempts to become the owner.
func (n *Node) acquire(ctx context.Context) {
	view := n.view.Load()
	takeover := view.Takeover(n.self())
	record := takeover.Record
	value, err := ownership.Encode(record)
	if err != nil {
		event.OwnershipNotAcquired.Log(n.Log, zap.Error(err))
		return
	}
	var lease ownership.Lease
	lease.Renew(n.Clock.Now())
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	stamp, err := n.Rows.CommitRows(callCtx, platform.RowTxn{
		Conditions: []platform.RowCondition{
			{RowKey: ownerRow, Version: takeover.RecordVersion}, {RowKey: heartbeatRow, Version: takeover.HeartbeatVersion},
		},
		Writes: []platform.RowWrite{{RowKey: ownerRow, Value: value}},
	})
	if err != nil {
		event.OwnershipNotAcquired.Log(n.Log, zap.Int64("epoch", record.Epoch), zap.Error(err))
		// A commit without an answer may have succeeded. The feed then shows
		// this process as the owner, and acquireIfVacant starts the ownership; if
		// it does not, heartbeats are missing until a process takes over again.
		// After a conflict the feed shows the newer record or heartbeat.
		return
	}
	n.startOwnership(ctx, record, view.Record, stamp.Version, lease)
}
