package test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestRequestAndSettingReachTheirEnds sends an order through each entry to a
// worker and back, and applies a changed setting, which must come into force at
// every entry.
func TestRequestAndSettingReachTheirEnds(t *testing.T) {
	f := startFleet(t, "testdata/small.yaml")
	const order = "12 gas mantles"
	for i, base := range f.entryURLs {
		id := []string{"order-a", "order-b"}[i]
		got, err := call(t.Context(), base, http.MethodPost, "/orders/new", id, "", order)
		if err != nil {
			t.Fatal(err)
		}
		want := standin.Answer(http.MethodPost, "/orders/new", id, []byte(order))
		if got.status != http.StatusOK || got.body != want || got.outcome != "ran" {
			t.Fatalf("got %+v, want %q", got, want)
		}
		if !strings.HasPrefix(got.host, "kano-") {
			t.Errorf("order ran on %q, which is not in its pool", got.host)
		}
	}

	data, err := os.ReadFile("testdata/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	changed := filepath.Join(t.TempDir(), "changed.yaml")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(data), "name: stock,", "name: inventory,", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code := f.cli("settings", "apply", changed, "--expect", "1", "--wait")
	if code != 0 || !strings.Contains(out, "entry-2") {
		t.Fatalf("apply --wait: exit %d: %s", code, out)
	}
	for _, base := range f.entryURLs {
		got, err := call(t.Context(), base, http.MethodGet, "/inventory/mantles", "stock-1", "", "")
		if err != nil {
			t.Fatal(err)
		}
		if got.status != http.StatusOK {
			t.Errorf("the added service is not in force at %s: %+v", base, got)
		}
		gone, err := call(t.Context(), base, http.MethodGet, "/stock/mantles", "stock-2", "", "")
		if err != nil {
			t.Fatal(err)
		}
		if gone.status != http.StatusNotFound || gone.outcome != "not-run" {
			t.Errorf("the removed service is still in force at %s: %+v", base, gone)
		}
	}
}
