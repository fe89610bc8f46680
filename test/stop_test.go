package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestEntryStopCutsNoRequest guards against an entry that cuts off requests in
// flight when it is stopped: each must receive its complete answer, and the
// process must exit by itself without an error.
func TestEntryStopCutsNoRequest(t *testing.T) {
	f := startFleet(t, "testdata/small.yaml")
	for i := range 4 {
		f.put(fmt.Sprintf("/faults/workers/kano-0%d", i+1), standin.WorkerFaults{Delay: 700 * time.Millisecond})
	}
	const requests = 8
	var wg sync.WaitGroup
	for i := range requests {
		id := fmt.Sprintf("stop-%d", i)
		wg.Go(func() {
			got, err := call(t.Context(), f.entryURLs[0], http.MethodPost, "/orders/stop", id, "", id)
			want := standin.Answer(http.MethodPost, "/orders/stop", id, []byte(id))
			if err != nil || got.body != want {
				t.Errorf("%s: %v, %+v", id, err, got)
			}
		})
	}
	eventually(t, "all requests are in flight", func() bool { return len(f.executions()) == requests })
	f.entries[0].signal(t, syscall.SIGTERM)
	wg.Wait()
	if err := f.entries[0].cmd.Wait(); err != nil {
		t.Errorf("entry ended with %v", err)
	}
}

// TestLeavingWorkerGetsNoNewWork guards against requests that reach a worker
// after its drain. It lists a worker as leaving; once the worker is stopped, all
// requests must be answered by other workers.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	f := startFleet(t, "testdata/small.yaml")
	const leaving = "kano-02"
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for _, base := range f.entryURLs {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				_, _ = call(ctx, base, http.MethodGet, "/stock/leave", fmt.Sprint("steady-", i), "", "")
			}
		})
	}
	eventually(t, leaving+" gets work", func() bool { return !f.lastStart(leaving).IsZero() })
	listed := time.Now()
	f.put("/listed/"+leaving+"?state=leaving", nil)
	client := adminapi.NewClient(f.admin)
	eventually(t, leaving+" is stopped", func() bool {
		hosts, err := client.Hosts(t.Context())
		if err != nil {
			return false
		}
		for _, h := range hosts.Hosts {
			if h.Row.Host == leaving {
				return h.Row.Phase == host.Stopped
			}
		}
		return false
	})
	stop()
	callers.Wait()
	t.Logf("last new work at %s: %v after it was listed as leaving", leaving, f.lastStart(leaving).Sub(listed))
	for i := range 40 {
		base := f.entryURLs[i%len(f.entryURLs)]
		got, err := call(t.Context(), base, http.MethodPost, "/orders/leave", fmt.Sprint("leave-", i), "", "")
		if err != nil || got.outcome != "ran" {
			t.Fatalf("%v, %+v", err, got)
		}
	}
	for _, e := range f.executions() {
		if e.Host == leaving && strings.HasPrefix(e.RequestID, "leave-") {
			t.Errorf("%s ran %s after its drain", leaving, e.RequestID)
		}
	}
}

// lastStart returns the start of the latest execution on a worker, the zero time
// if there is none.
func (f *fleet) lastStart(name string) time.Time {
	var last time.Time
	for _, e := range f.executions() {
		if e.Host == name && e.Start.After(last) {
			last = e.Start
		}
	}
	return last
}
