package adminapi

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/settings"
)

// A truncated body or an error status must become an error, and the settings
// errors of a refused tree must reach the caller.
func TestClientRejectsTruncatedAndErrorAnswers(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"settings_version":7,"instances":[{"name":"entry-1","kind":"entry","settings_version":6,"seen_ms_ago":5}]}`))
	})
	mux.HandleFunc("GET "+PathHosts, func(w http.ResponseWriter, _ *http.Request) {
		// The handler returns before it has written Content-Length bytes, so
		// the server closes the connection.
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"hosts":[]}`))
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "<html>", http.StatusServiceUnavailable)
	})
	mux.HandleFunc("POST "+PathSettings, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = w.Write([]byte(`{"message":"refused","errors":[{"file":"f","line":3,"column":1,"path":"pools[kano]","problem":"jobs run"}]}`))
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	client := NewClient(strings.TrimPrefix(srv.URL, "http://"))

	got, err := client.Instances(t.Context())
	want := &Instances{SettingsVersion: 7, Instances: []Instance{{Name: "entry-1", Kind: KindEntry, SettingsVersion: 6, SeenMSAgo: 5}}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := client.Hosts(t.Context()); err == nil {
		t.Error("no error for a truncated answer")
	}
	var refused *StatusError
	if _, err := client.Status(t.Context()); !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable {
		t.Errorf("got %v, want status 503", err)
	}
	_, err = client.Apply(t.Context(), ApplyRequest{})
	fault := settings.Error{File: "f", Line: 3, Column: 1, Path: "pools[kano]", Problem: "jobs run"}
	if !errors.As(err, &refused) || cmp.Diff(settings.Errors{fault}, refused.Errors) != "" {
		t.Errorf("got %v, want the settings errors of the tree", err)
	}
}
