package node

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
)

// heartbeatTimeout bounds one beat, and other writes of an owner to the control
// part. A beat that took longer would prove nothing any more.
const heartbeatTimeout = 1500 * time.Millisecond

// ownershipState tells how sure the ownership is at a time.
func (o *owner) ownershipState(now time.Duration) scheduler.OwnershipState {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.lease.Valid(now):
		return scheduler.OwnershipExpired
	case o.lease.NearExpiry(now):
		return scheduler.OwnershipExpiring
	}
	return scheduler.OwnershipValid
}

// ownershipValid reports whether the ownership is proved at a time.
func (o *owner) ownershipValid(now time.Duration) bool {
	return o.ownershipState(now) != scheduler.OwnershipExpired
}

// sendHeartbeats proves the ownership until ctx ends. A beat without an answer does not
// hold up the next for long.
func (o *owner) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		now := o.node.Clock.Now()
		o.mu.Lock()
		due := o.pacer.Due(now)
		if due {
			o.pacer.Sent(now)
		}
		o.mu.Unlock()
		if due {
			go o.sendHeartbeat(ctx, now)
		}
		if ctxtime.Sleep(ctx, ownership.PaceTick) != nil {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat, which began at sent.
func (o *owner) sendHeartbeat(ctx context.Context, sent time.Duration) {
	n := o.node
	answered := false
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.pacer.Settled(sent, n.Clock.Now(), answered)
	}()
	o.pendingMu.Lock()
	b := ownership.Heartbeat{
		Incarnation: n.incarnation, PendingKnown: o.pending != nil, Pending: maps.Clone(o.pending), Surges: o.surges, Waves: o.waves,
	}
	o.pendingMu.Unlock()
	value, err := ownership.Encode(b)
	if err != nil {
		event.OwnershipLeaseExpired.Log(n.Log, zap.Error(err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	stamp, err := n.Rows.CommitRows(callCtx, platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence()},
		Writes:     []platform.RowWrite{{RowKey: heartbeatRow, Value: value}},
	})
	switch {
	case err == nil:
		answered = true
		n.Clock.ObserveStore(stamp, n.Clock.Now())
		o.mu.Lock()
		o.lease.Renew(sent)
		o.mu.Unlock()
	case errors.Is(err, platform.ErrConflict):
		event.OwnershipLost.Log(n.Log, zap.Int64("epoch", o.record.Epoch), zap.Error(err))
		o.cancel()
	}
}

// updateHeartbeat hands to the beats what entries answer from.
func (o *owner) updateHeartbeat() {
	pending := o.engine.Pending()
	o.pendingMu.Lock()
	o.pending = pending
	o.surges, o.waves = o.fleetController.surges(), o.fleetController.wavesFirstSeen()
	o.pendingMu.Unlock()
	o.node.metrics.setEngineStats(o.engine.Stats())
}
