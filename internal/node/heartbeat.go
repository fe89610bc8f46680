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

// heartbeatTimeout bounds one heartbeat and the other writes of an owner to the
// control part. A heartbeat that took longer would barely extend the lease,
// which lasts ownership.LeaseDuration from the sending.
const heartbeatTimeout = 1500 * time.Millisecond

// ownershipState returns the state of the ownership lease at the given time.
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

// ownershipValid reports whether the ownership lease is valid at the given
// time, near its expiry or not.
func (o *owner) ownershipValid(now time.Duration) bool {
	return o.ownershipState(now) != scheduler.OwnershipExpired
}

// sendHeartbeats sends heartbeats until ctx ends. It does not wait for answers,
// so that a heartbeat without an answer delays the next one only briefly.
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

// sendHeartbeat sends one heartbeat, which was due at sent, and renews the
// lease from that time if it succeeds. A conflict ends the ownership.
func (o *owner) sendHeartbeat(ctx context.Context, sent time.Duration) {
	n := o.node
	answered := false
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.pacer.Settled(sent, n.Clock.Now(), answered)
	}()
	o.pendingMu.Lock()
	heartbeat := ownership.Heartbeat{
		Incarnation: n.incarnation, PendingKnown: o.pending != nil, Pending: maps.Clone(o.pending),
		JobsVersion: o.pendingAsOf.Version, JobsMS: o.pendingAsOf.NowMS, Surges: o.surges, Waves: o.waves, Evacuations: o.evacuations,
		Admission: o.poolLoad.state,
	}
	o.pendingMu.Unlock()
	value, err := ownership.Encode(heartbeat)
	if err != nil {
		event.OwnershipLeaseExpired.Log(n.Log, zap.Error(err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	call := n.storeHealth.begin(callCtx, controlPart, 0, nil)
	stamp, err := n.Rows.CommitRows(callCtx, platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence()},
		Writes:     []platform.RowWrite{{RowKey: heartbeatRow, Value: value}},
	})
	call.end(err)
	switch {
	case err == nil:
		answered = true
		n.Clock.ObserveStoreSent(stamp, sent, n.Clock.Now())
		o.mu.Lock()
		o.lease.Renew(sent)
		o.cancelMarks = o.cancelMarks.add(stamp.Version, sent)
		o.entryMarks = o.entryMarks.add(stamp.Version, sent)
		o.mu.Unlock()
	case errors.Is(err, platform.ErrConflict):
		event.OwnershipLost.Log(n.Log, zap.Int64("epoch", o.record.Epoch), zap.Error(err))
		o.cancel()
	}
}

// updateHeartbeat sets the contents of the following heartbeats and publishes
// the engine's counters.
func (o *owner) updateHeartbeat() {
	pending, now := o.engine.Pending(), o.node.Clock.Now()
	o.pendingMu.Lock()
	o.updateLoad(now)
	o.pending, o.pendingAsOf = pending, o.jobsRead
	planner := o.fleetController.planner
	o.surges, o.waves = o.fleetController.surges(), storeTimes(&o.node.Clock, planner.WavesFirstSeen())
	o.evacuations = storeTimes(&o.node.Clock, planner.EvacuatingSince())
	o.pendingMu.Unlock()
	o.node.metrics.setEngineStats(o.engine.Stats(), o.engine.TeamStats())
}
