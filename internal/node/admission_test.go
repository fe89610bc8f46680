package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/admission"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// showFullPool shows a process the heartbeat of an owner whose pool p has work for hours, as of the given age.
func showFullPool(n *Node, age time.Duration) {
	now := n.Clock.Now()
	n.Clock.ObserveStore(platform.Stamp{Version: 1, NowMS: 100_000}, now)
	full := &admission.State{Pools: []admission.Pool{{Name: "p", Cores: 1, Teams: []admission.Team{{Ahead: []admission.Work{{Rank: 0, Timely: 1e6, Useful: 1e6, Work: 1e6}}}}}}}
	n.view.Store(&ownership.View{
		Record: ownership.Record{Incarnation: 5}, HeartbeatVersion: 9, HeartbeatSeen: now,
		Heartbeat: ownership.Heartbeat{Incarnation: 5, JobsMS: 100_000 - age.Milliseconds(), Admission: full},
	})
}

// submitSized submits a job of one second and one core, and returns status and Retry-After.
func submitSized(e *echo.Echo, id string) (int, string) {
	r := httptest.NewRequest(http.MethodPost, "http://h/q/"+id, strings.NewReader(`[{"Count":1,"Estimate":1000000000,"Size":{"Processors":1}}]`))
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w.Code, w.Header().Get("Retry-After")
}

// TestJobsForAFullPoolAreRefusedWhereAskedFor guards against 429 in deployments without teams and pressure, and for jobs that are stored.
func TestJobsForAFullPoolAreRefusedWhereAskedFor(t *testing.T) {
	n, rows, e := testNode(t)
	catalog := func(teams map[string]*estate.Team) *estate.Catalog {
		c := estate.NewCatalog(1, []*estate.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 2, LatencyTarget: time.Second}},
			[]*estate.Pool{{Name: "p"}}, estate.Limits{})
		c.Teams = teams
		return c
	}
	n.catalog.Store(catalog(nil))
	showFullPool(n, 0)
	if code, _ := submitSized(e, "00000000000000a0"); code != http.StatusOK {
		t.Errorf("answer %d without teams and pressure, want 200", code)
	}
	n.Pressure = true
	showFullPool(n, 3*time.Second)
	if code, _ := submitSized(e, "00000000000000a1"); code != http.StatusOK {
		t.Errorf("answer %d by old data, want 200", code)
	}
	showFullPool(n, 0)
	if code, _ := submitSized(e, "00000000000000a0"); code != http.StatusOK {
		t.Errorf("answer %d for a job that is stored, want 200", code)
	}
	stored := rows.Load().RowsWrote
	if code, after := submitSized(e, "00000000000000a2"); code != http.StatusTooManyRequests || after != "30" {
		t.Errorf("answer %d, Retry-After %q; want 429 and 30", code, after)
	}
	n.Pressure = false
	n.catalog.Store(catalog(map[string]*estate.Team{"": {}}))
	if code, _ := submitSized(e, "00000000000000a3"); code != http.StatusTooManyRequests {
		t.Errorf("answer %d with teams, want 429", code)
	}
	if got := rows.Load().RowsWrote; got != stored {
		t.Errorf("%d rows of refused jobs were written", got-stored)
	}
}

// TestPoolThatMayGetHostsIsNotFull guards against refusals while capacity is on its way.
func TestPoolThatMayGetHostsIsNotFull(t *testing.T) {
	host := func(name, pool string, state estate.HostState) estate.Host {
		return estate.Host{Name: name, Pool: pool, State: state, Capacity: placement.Resources{Processors: 8}}
	}
	entries := []estate.Host{host("entry", "front", estate.HostUp), host("entry-2", "front", estate.HostUp), host("entry-3", "front", estate.HostDown)}
	for _, c := range []struct {
		name string
		host estate.Host
		age  time.Duration
		full bool
	}{
		{"host in maintenance", host("a", "p", estate.HostMaintenance), 0, true},
		{"old list", host("a", "p", estate.HostMaintenance), 3 * time.Second, false},
		{"host that moves to the pool", host("a", "p", estate.HostMoving), 0, false},
		{"host without a worker yet", host("a", "p", estate.HostUp), 0, false},
		{"standby host", host("a", "spare", estate.HostUp), 0, false},
		{"host that moves to another pool", host("a", "other", estate.HostMoving), 0, true},
	} {
		_, rows, _ := testNode(t)
		o := testOwner(t, rows, 1)
		o.node.catalog.Store(estate.NewCatalog(1, nil, []*estate.Pool{{Name: "p"}, {Name: "other"}, {Name: "spare", Standby: true}}, estate.Limits{}))
		o.engine = scheduler.New(scheduler.Options{Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop()})
		f := &fleetController{owner: o, hosts: append(entries, c.host), hostsAt: 10 * time.Second}
		state := &admission.State{Pools: []admission.Pool{{Name: "p", Cores: 4}}}
		f.addHosts(state, f.hostsAt+c.age)
		want := &admission.State{Entries: 2}
		if c.full {
			want.Pools = []admission.Pool{{Name: "p", Cores: 4}}
			if c.host.Pool == "p" {
				want.Pools[0].Due = 8
			}
		}
		if diff := cmp.Diff(want, state); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// nearlyFullPool returns a node that refuses a job of the queue q once it has admitted
// one of the queue r, which is served first, and a function that submits a job.
func nearlyFullPool(t *testing.T) (n *Node, submit func(path string) int) {
	n, _, e := testNode(t)
	n.Pressure = true
	n.catalog.Store(estate.NewCatalog(1, []*estate.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Priority: 1, Stretch: 2, LatencyTarget: time.Second},
		{Name: "r", Host: "h", PathPrefix: "/r/", Pool: "p", Stretch: 2, LatencyTarget: time.Minute},
	}, []*estate.Pool{{Name: "p"}}, estate.Limits{}))
	showFullPool(n, 0)
	state := n.view.Load().Heartbeat.Admission
	state.Entries, state.Pools[0].Teams[0].Ahead[0].Work = 42, 7 // 8 core-seconds may be ahead
	return n, func(path string) int {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(`[{"Count":1,"Estimate":1000000000,"Size":{"Processors":1}}]`)))
		return w.Code
	}
}

// TestRepeatedSubmissionsDoNotCountAsAdmitted guards against 429 because a caller repeats the submission of a job that is stored.
func TestRepeatedSubmissionsDoNotCountAsAdmitted(t *testing.T) {
	n, submit := nearlyFullPool(t)
	job := &workload.Job{ID: "00000000000000b2", Queue: "r", Pool: "p"} // stored before the load was published
	if got := n.acceptor.submit(t.Context(), job, time.Now().Add(time.Second)); got != submitStored {
		t.Fatalf("the job is %v", got)
	}
	if code := submit("/r/00000000000000b2"); code != http.StatusOK {
		t.Errorf("answer %d for the stored job, want 200", code)
	}
	if code := submit("/q/00000000000000b3"); code != http.StatusOK {
		t.Errorf("answer %d for another job, want 200", code)
	}
}

// TestJobsThatAreNotStoredDoNotCountAsAdmitted guards against 429 because of jobs that the table service refused.
func TestJobsThatAreNotStoredDoNotCountAsAdmitted(t *testing.T) {
	n, submit := nearlyFullPool(t)
	n.reachability.failingSince.Store(time.Now().Add(-time.Second).UnixNano())
	n.reachability.lastFailure.Store(time.Now().UnixNano())
	if code := submit("/r/00000000000000b0"); code != http.StatusServiceUnavailable {
		t.Fatalf("answer %d while the service is away, want 503", code)
	}
	n.reachability.observe(nil)
	if code := submit("/q/00000000000000b1"); code != http.StatusOK {
		t.Errorf("answer %d, want 200", code)
	}
	if code := submit("/r/00000000000000b2"); code != http.StatusOK {
		t.Errorf("answer %d for the better job, want 200", code)
	}
	if code := submit("/q/00000000000000b3"); code != http.StatusTooManyRequests {
		t.Errorf("answer %d after a better job was stored, want 429", code)
	}
}
