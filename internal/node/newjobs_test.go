package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// submitThree submits three jobs and returns the versions of their rows.
func submitThree(t *testing.T, rows *standin.Rows, submit func(id string)) (ids []string, versions []int64) {
	t.Helper()
	ids = []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	for _, id := range ids {
		submit(id)
		_, stamp, err := rows.ReadRows(context.Background(), progressTable, partName(partOf(id)), "", "")
		if err != nil {
			t.Fatal(err)
		}
		versions = append(versions, stamp.Version)
	}
	return ids, versions
}

// recordRunning records a job as running, as an owner does.
func recordRunning(t *testing.T, rows *standin.Rows, id string) {
	t.Helper()
	p := workload.Progress{Queue: "q", State: workload.Running}
	value, err := p.Encode()
	if err == nil {
		_, err = rows.CommitRows(context.Background(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: jobRow(progressTable, id), Value: value}}})
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestJobsThatBeganAreNotCountedAsNewer(t *testing.T) {
	n, rows, e := testNode(t)
	ids, versions := submitThree(t, rows, func(id string) { request(e, http.MethodPost, "/q/"+id, testBody) })
	count := func(after int64, queue string, want int) {
		t.Helper()
		n.newJobs.readAt -= newJobsInterval
		if got, err := n.newJobs.count(context.Background(), after, queue); got != want || err != nil {
			t.Errorf("%d jobs of %s after version %d, error %v; want %d", got, queue, after, err, want)
		}
	}
	count(versions[0], "q", 2)
	count(versions[0], "other", 0)
	recordRunning(t, rows, ids[1])
	count(versions[0], "q", 1)
	count(versions[2], "q", 0)
}

func TestOlderCountsOfALateHeartbeatGetAllNewerJobs(t *testing.T) {
	n, rows, e := testNode(t)
	_, versions := submitThree(t, rows, func(id string) { request(e, http.MethodPost, "/q/"+id, testBody) })
	for _, c := range []struct{ job, want int }{{2, 0}, {0, 2}, {1, 1}, {0, 2}} {
		if got, err := n.newJobs.count(context.Background(), versions[c.job], "q"); got != c.want || err != nil {
			t.Errorf("%d jobs after job %d, error %v; want %d", got, c.job+1, err, c.want)
		}
	}
}

func TestFailedReadIsNotTakenForNoNewerJobs(t *testing.T) {
	n, rows, e := testNode(t)
	_, versions := submitThree(t, rows, func(id string) { request(e, http.MethodPost, "/q/"+id, testBody) })
	if _, err := n.newJobs.count(context.Background(), versions[1], "q"); err != nil {
		t.Fatal(err)
	}
	rows.SetFaults(standin.Faults{Down: true})
	for range 2 {
		if got, err := n.newJobs.count(context.Background(), versions[0], "q"); err == nil {
			t.Errorf("%d jobs while the store is down, want an error", got)
		}
	}
}

func TestAllRowsAreCountedWithoutHistory(t *testing.T) {
	n, rows, e := testNode(t)
	submitThree(t, rows, func(id string) { request(e, http.MethodPost, "/q/"+id, testBody) })
	rows.Forget()
	view := ownership.View{
		Record: ownership.Record{Incarnation: 5}, HeartbeatSeen: n.Clock.Now(),
		Heartbeat: ownership.Heartbeat{Incarnation: 5, PendingKnown: true, JobsMS: n.Clock.StoreMS(n.Clock.Now()) - maxJobsAge.Milliseconds() - 1},
	}
	n.view.Store(&view)
	if code, body := request(e, http.MethodGet, "/q/", ""); code != http.StatusOK || !strings.Contains(body, `"pending":3`) {
		t.Errorf("answer %d %s, want 200 and 3 pending", code, body)
	}
}

// pagedRows is a table service that returns changes one row at a time.
type pagedRows struct{ *standin.Rows }

func (r pagedRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	rows, stamp, err := r.Rows.Changes(ctx, table, after, wait)
	if len(rows) > 1 {
		rows, stamp.Version = rows[:1], rows[0].Version
	}
	return rows, stamp, err
}

func TestNewerJobsAreCountedOnAllPages(t *testing.T) {
	n, rows, e := testNode(t)
	submitThree(t, rows, func(id string) { request(e, http.MethodPost, "/q/"+id, testBody) })
	n.Rows = pagedRows{rows}
	if got, err := n.newJobs.count(context.Background(), 0, "q"); got != 3 || err != nil {
		t.Errorf("%d jobs, error %v; want 3", got, err)
	}
}

func TestOwnerThatReadOnePageDoesNotClaimToKnowAllJobs(t *testing.T) {
	_, rows, e := testNode(t)
	o := testOwner(t, rows, 1)
	o.engine = scheduler.New(scheduler.Options{
		Token: 1, Epoch: 1, MaxLease: time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop(),
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, 0)
	o.node.Rows = pagedRows{rows}
	submitThree(t, rows, func(id string) { request(e, http.MethodPost, "/q/"+id, testBody) })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go o.watchJobs(ctx, 0)
	heartbeat := func() (h ownership.Heartbeat) {
		t.Helper()
		(<-o.events)(o.node.Clock.Now())
		o.updateHeartbeat()
		o.sendHeartbeat(ctx, o.node.Clock.Now())
		read, _, err := rows.ReadRows(ctx, controlTable, controlPart, heartbeatRow.Key, "")
		if err == nil && len(read) > 0 {
			err = json.Unmarshal(read[0].Value, &h)
		}
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	for want := 1; want <= 2; want++ {
		if h := heartbeat(); h.Pending["q"] != want || h.JobsMS != 0 {
			t.Errorf("%d pending, all jobs known at %d after page %d; want %d and 0", h.Pending["q"], h.JobsMS, want, want)
		}
	}
	h := heartbeat()
	for h.JobsMS == 0 {
		h = heartbeat()
	}
	if h.Pending["q"] != 3 {
		t.Errorf("%d pending once all jobs are known; want 3", h.Pending["q"])
	}
}
