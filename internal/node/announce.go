package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// announcementLife is how long after its announcement an order about a host may be
// sent. It covers the write of the announcement by a slow store.
const announcementLife = 2 * time.Second

// announcedRow lists the hosts that owners have lately announced orders about. A
// successor may order every other host at once: two holders must not take turns
// with one host, and it cannot know which orders its predecessor gave.
var announcedRow = recordsRow("egretpitch-host-orders", "announced")

// announcedHosts is the content of announcedRow.
type announcedHosts struct {
	// Epoch is that of the owner that wrote the row. An owner that does not know the
	// orders of its predecessors writes none before these are over.
	Epoch int64 `json:"epoch"`
	// Hosts holds, by name, when the latest order about a host was announced at
	// most, in milliseconds on the store's clock.
	Hosts map[string]int64 `json:"hosts"`
}

// announcer announces orders about hosts before they are sent. It belongs to the
// control goroutine.
type announcer struct {
	owner *owner
	// version is the version of the row, as far as it is known.
	version int64
	// inherited are the announcements of previous owners. They are complete if the
	// owner before this one announced its orders.
	inherited map[string]int64
	complete  bool
	// announced is when each stored announcement of this owner was made, by host.
	announced map[string]time.Duration
	// begun is set once a row of this owner is stored, and writing while a write is
	// in progress.
	begun, writing bool
	// waiting are the orders whose announcement is not being written yet.
	waiting []fleetplan.Decision
}

// newAnnouncer returns the announcer of a new owner. row is announcedRow as the owner
// has read it after it fenced the records part.
func newAnnouncer(o *owner, row platform.PartRow) *announcer {
	a := &announcer{owner: o, version: row.Version, announced: map[string]time.Duration{}}
	if row.Version == platform.NoVersion {
		return a
	}
	var stored announcedHosts
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		event.RowUnreadable.Log(o.node.Log, zap.String("key", announcedRow.Key), zap.Error(err))
		return a
	}
	a.inherited, a.complete = stored.Hosts, stored.Epoch == o.record.Epoch-1
	return a
}

// keptFor is how long an announcement matters to a successor: an order may be sent
// until the end of its life and arrive hostOrderLife later, and the order of another
// holder must arrive HolderLease after that.
func (a *announcer) keptFor() time.Duration {
	return announcementLife + hostOrderLife + a.owner.node.HolderLease + holderSlack
}

// free reports whether previous owners have certainly given no order about the host
// for so long that this one may.
func (a *announcer) free(host string, now time.Duration) bool {
	return a.complete && !a.pending(host, now)
}

// pending reports whether an announcement by previous owners about the host matters.
func (a *announcer) pending(host string, now time.Duration) bool {
	ms, ok := a.inherited[host]
	return ok && !a.expired(ms, now)
}

func (a *announcer) expired(ms int64, now time.Duration) bool {
	at, known := a.owner.node.Clock.LatestAt(ms)
	return known && ms > 0 && now >= at+a.keptFor()
}

// until returns until when an order about the host may be sent, 0 if it is not
// announced.
func (a *announcer) until(host string) time.Duration {
	at, ok := a.announced[host]
	if !ok {
		return 0
	}
	return at + announcementLife
}

// row returns the row with the announcements that matter and those of orders.
func (a *announcer) row(orders []fleetplan.Decision, now time.Duration) announcedHosts {
	clock := &a.owner.node.Clock
	r := announcedHosts{Epoch: a.owner.record.Epoch, Hosts: map[string]int64{}}
	for host, ms := range a.inherited {
		if !a.expired(ms, now) {
			r.Hosts[host] = ms
		}
	}
	for host, at := range a.announced {
		if now < at+a.keptFor() {
			r.Hosts[host] = clock.LatestStoreMS(at)
		}
	}
	for _, o := range orders {
		r.Hosts[o.Host] = clock.LatestStoreMS(now)
	}
	return r
}

// write stores the announcements of the waiting orders, or the first row of this
// owner, and passes the orders to done, which is called on the control goroutine
// with the error of the write.
func (a *announcer) write(ctx context.Context, now time.Duration, done func([]fleetplan.Decision, error, time.Duration)) {
	if a.writing || (a.begun && len(a.waiting) == 0) {
		return
	}
	orders := a.waiting
	a.waiting = nil
	value, err := json.Marshal(a.row(orders, now))
	if err != nil {
		done(orders, errors.Wrap(err, "encode announced orders"), now)
		return
	}
	txn := platform.RowTxn{
		Conditions: []platform.RowCondition{a.owner.recordsFence, {RowKey: announcedRow, Version: a.version}},
		Writes:     []platform.RowWrite{{RowKey: announcedRow, Value: value}},
	}
	a.writing = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		stamp, err := a.owner.node.Rows.CommitRows(callCtx, txn)
		a.owner.post(ctx, func(answered time.Duration) {
			a.written(orders, stamp.Version, err, now)
			done(orders, err, answered)
		})
	}()
}

// written handles the outcome of a write that was sent at the given time. One
// without an answer may be applied later; the next one then conflicts with it.
func (a *announcer) written(orders []fleetplan.Decision, version int64, err error, sent time.Duration) {
	a.writing = false
	var conflict *platform.RowConflict
	switch {
	case errors.As(err, &conflict):
		a.version = conflict.Row(announcedRow).Version
	case err == nil:
		a.version, a.begun = version, true
		for _, o := range orders {
			a.announced[o.Host] = sent
		}
	}
}
