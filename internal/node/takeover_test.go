package node

import (
	"context"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// commitControl stores a row of the control table.
func commitControl(t *testing.T, rows *standin.Rows, key platform.RowKey, value any) {
	t.Helper()
	encoded, err := ownership.Encode(value)
	if err == nil {
		_, err = rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: key, Value: encoded}}})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// An owner did not reach the store for a while; its heartbeats come back while a
// host with little processor time waits before it takes over.
func TestSmallHostLeavesTheControlWorkToAnOwnerThatIsBack(t *testing.T) {
	small, rows, _ := nodeWithTwoTasks(t)
	small.TakeoverBackoff = 1500 * time.Millisecond
	commitControl(t, rows, ownerRow, ownership.Record{Owner: "large", Incarnation: 7, Epoch: 1})
	commitControl(t, rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = small.watchControl(ctx) }()
	time.Sleep(ownership.TakeoverTimeout + 700*time.Millisecond)
	for range 8 {
		commitControl(t, rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
		time.Sleep(ownership.HeartbeatInterval)
	}
	if small.owner.Load() != nil {
		t.Error("the small host has taken over from an owner that sends heartbeats")
	}
	deadline := time.Now().Add(ownership.TakeoverTimeout + 6*time.Second)
	for small.owner.Load() == nil && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if small.owner.Load() == nil {
		t.Error("the small host does not take over once the heartbeats have ended for good")
	}
}
