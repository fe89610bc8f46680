package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// outageLength is longer than the time for which an entry treats the last
// message from the owner as fresh.
const outageLength = 12 * time.Second

// TestTrafficGoesOnWithoutTable guards against an outage of the table, and then
// also of all controls, that stops traffic or loses settings. During it, requests
// that need no claim must be answered and requests with a key must be refused as
// not run. Afterwards, new controls must find the accepted settings and accept
// changes again.
func TestTrafficGoesOnWithoutTable(t *testing.T) {
	t.Parallel()
	f := startFleet(t, smallTree)
	hostPools, before := f.hostPools(), f.settings()
	f.put("/faults/table", standin.Faults{Down: true})
	f.serveOutage("table")
	f.killControls()
	f.serveOutage("controls")
	f.put("/faults/table", standin.Faults{})
	f.replaceControls("control-3", "control-4")
	if diff := cmp.Diff(before, f.settings()); diff != "" {
		t.Errorf("settings changed in the outage (-before +after):\n%s", diff)
	}
	changed := changedTree(t, "name: stock,", "name: inventory,")
	f.applyEventually(changed)
	if now := f.settings(); now.Version != before.Version+1 {
		t.Errorf("settings are at version %d after the change of version %d", now.Version, before.Version)
	}
	for _, base := range f.entryURLs {
		got, err := call(t.Context(), base, http.MethodGet, "/inventory/mantles", "after", "", "")
		if err != nil || got.outcome != "ran" {
			t.Errorf("the added service is not in force at %s: %v, %+v", base, err, got)
		}
	}
	if diff := cmp.Diff(hostPools, f.hostPools()); diff != "" {
		t.Errorf("hosts changed their pool in the outage (-before +after):\n%s", diff)
	}
}

// serveOutage sends requests to all entries for outageLength and checks their
// outcomes.
func (f *fleet) serveOutage(phase string) {
	f.t.Helper()
	n := 0
	for end := time.Now().Add(outageLength); time.Now().Before(end); n++ {
		for i, base := range f.entryURLs {
			id := fmt.Sprintf("%s-%d-%d", phase, n, i)
			f.wantRan(base, http.MethodGet, "/stock/mantles", id+"-repeatable")
			f.wantRan(base, http.MethodPost, "/orders/unkeyed", id+"-unkeyed")
		}
	}
	f.t.Logf("%s: %d rounds of requests", phase, n)
	for i, base := range f.entryURLs {
		id := fmt.Sprintf("%s-keyed-%d", phase, i)
		got, err := call(f.t.Context(), base, http.MethodPost, "/orders/keyed", id, id, "")
		if err != nil || got.outcome != "not-run" {
			f.t.Errorf("keyed order in the outage: %v, %+v", err, got)
		}
		for _, e := range f.executions() {
			if e.RequestID == id {
				f.t.Errorf("%s was refused as not run and ran on %s", id, e.Host)
			}
		}
	}
}

// wantRan sends a request and fails the test unless it runs and its complete
// answer is received.
func (f *fleet) wantRan(base, method, path, id string) {
	f.t.Helper()
	got, err := call(f.t.Context(), base, method, path, id, "", "")
	if err != nil || got.outcome != "ran" || got.body != standin.Answer(method, path, id, nil) {
		f.t.Fatalf("%s at %s: %v, %+v", id, base, err, got)
	}
}

// applyEventually applies a settings file as soon as a control returns the
// current settings, and waits until it is in force at every process.
func (f *fleet) applyEventually(file string) {
	f.t.Helper()
	expect := fmt.Sprint(f.settings().Version)
	out, code := f.cli("settings", "apply", file, "--expect", expect, "--wait")
	if code != 0 {
		f.t.Fatalf("apply --wait: exit %d: %s", code, out)
	}
}
