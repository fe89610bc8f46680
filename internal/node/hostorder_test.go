package node

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// busyFleet sends each order after a wait, as behind a rate limiter.
type busyFleet struct {
	platform.Fleet
	wait time.Duration
	sent int
}

func (f *busyFleet) send(h platform.HostOrderHolder) (platform.HostOrderOutcome, error) {
	time.Sleep(f.wait)
	if h.Valid != nil && !h.Valid() {
		return 0, platform.ErrUnavailable
	}
	f.sent++
	return platform.HostOrderDone, nil
}

func (f *busyFleet) MoveHost(_ context.Context, h platform.HostOrderHolder, _, _ string) (platform.HostOrderOutcome, error) {
	return f.send(h)
}

func (f *busyFleet) MaintainHost(_ context.Context, h platform.HostOrderHolder, _ string, _ int64) (platform.HostOrderOutcome, error) {
	return f.send(h)
}

// The last order is delivered as late as its call allows.
func TestFirstHostOrderComesAfterTheLastOfThePreviousOwner(t *testing.T) {
	for _, lease := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		o := &owner{
			node: &Node{Options: Options{Name: "me", HolderLease: lease}}, acquiredAt: 20 * time.Second, previousHeartbeat: 17 * time.Second,
			previous: ownership.Record{Owner: "other", HostOrderHolder: "other"},
		}
		if first, last := o.firstHostOrder(), o.previousLeaseEnd()+hostCallTimeout; first <= last {
			t.Errorf("holders %v apart: first order at %v, want it after %v, when the last of the previous owner arrives", lease, first, last)
		}
	}
}

// The order waits to be sent while the ownership lease expires.
func TestHostOrderIsNotSentAfterTheLeaseOfItsOwner(t *testing.T) {
	o := testOwner(t, standin.NewRows(), 1)
	for _, kind := range []fleetplan.Kind{fleetplan.Move, fleetplan.Maintain} {
		for _, c := range []struct {
			left, wait time.Duration
			want       int
		}{{ownership.LeaseDuration, 0, 1}, {100 * time.Millisecond, 150 * time.Millisecond, 0}} {
			fleet := &busyFleet{wait: c.wait}
			o.node.Fleet = fleet
			o.lease = ownership.Lease{}
			o.lease.Renew(o.node.Clock.Now() - ownership.LeaseDuration + c.left)
			_, err := (&fleetController{owner: o}).sendOrder(t.Context(), fleetplan.Decision{Kind: kind, Host: "h1", To: "p", Wave: 1}, math.MaxInt64)
			if fleet.sent != c.want || (c.want == 0) != errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("kind %v, lease ends in %v, sent after %v: %d orders sent, %v; want %d", kind, c.left, c.wait, fleet.sent, err, c.want)
			}
		}
	}
}

// lateRows keeps the first commit back, which then has no answer.
type lateRows struct {
	platform.Rows
	late *platform.RowTxn
}

func (r *lateRows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	if r.late == nil {
		r.late = &txn
		return platform.Stamp{}, platform.ErrUnknown
	}
	return r.Rows.CommitRows(ctx, txn)
}

// A successor would empty and maintain hosts of the wave once more.
func TestLateRecordOfAWaveDoesNotReplaceANewerOne(t *testing.T) {
	for name, lateFirst := range map[string]bool{"before the newer one": true, "after the newer one": false} {
		rows := standin.NewRows()
		o := testOwner(t, rows, 1)
		late := &lateRows{Rows: rows}
		o.node.Rows = late
		o.node.waves.add([]estate.Wave{{Number: 1, Hosts: []string{"h1", "h2"}}})
		f := newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
		f.planner.Done(fleetplan.Decision{Kind: fleetplan.Maintain, Host: "h1", Wave: 1}, 0)
		f.recordWaves(t.Context())
		(<-o.events)(0) // the write has no answer
		apply := func() {
			if _, err := rows.CommitRows(t.Context(), *late.late); err != nil && !errors.Is(err, platform.ErrConflict) {
				t.Fatal(err)
			}
		}
		if lateFirst {
			apply()
		}
		f.planner.Done(fleetplan.Decision{Kind: fleetplan.Maintain, Host: "h2", Wave: 1}, 0)
		stored := func() string {
			f.recordWaves(t.Context())
			select {
			case fn := <-o.events:
				fn(0)
			case <-time.After(20 * time.Millisecond):
			}
			list, _, err := rows.ReadRows(t.Context(), waveTable, recordsPart, "", "")
			if err != nil || len(list) > 1 {
				t.Fatalf("%d records, %v", len(list), err)
			}
			if len(list) == 0 {
				return ""
			}
			return string(list[0].Value)
		}
		const want = `["h1","h2"]`
		waitFor(t, "record of both hosts", func() bool { return stored() == want })
		if !lateFirst {
			apply()
		}
		for range 3 {
			stored()
		}
		if got := stored(); got != want {
			t.Errorf("a late write is applied %s: the record is %s, want %s", name, got, want)
		}
	}
}
