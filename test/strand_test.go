package test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStrandingChangesAreRefused applies settings that would leave hosts without
// a pool or make a budget impossible to keep: each change must be refused with
// its path and reason, and must leave settings and hosts unchanged.
func TestStrandingChangesAreRefused(t *testing.T) {
	t.Parallel()
	f := startFleet(t, smallTree)
	hostPools, before := f.hostPools(), f.settings()
	const kano, administration = "regions[lagos].pools[kano-ordering]", "regions[lagos].pools[shared-administration]"
	for _, c := range []struct {
		name, old, replacement string
		path, reason           string
	}{
		{
			name: "pool with hosts is removed", old: "name: kano-ordering", replacement: "name: kano-sales",
			path: "pools[kano-ordering]", reason: "the pool may not go while hosts belong to it: 4 hosts",
		},
		{
			name: "host in two pools", old: `["admin-[01-02]"]`, replacement: `["admin-[01-02]", kano-01]`,
			path: administration + ".hosts[1]", reason: `host "kano-01" is also in pool "kano-ordering"`,
		},
		{
			name: "pool without hosts", old: `hosts: ["admin-[01-02]"]`, replacement: "hosts: []",
			path: administration + ".hosts", reason: "pool without hosts",
		},
		{
			name: "more unavailable than hosts", old: "deadline: 2s", replacement: "deadline: 2s\n  max_unavailable: 4",
			path: kano, reason: "min_hosts 1 and max_unavailable 4 need 5 hosts, the pool has 4",
		},
		{
			name: "availability without a second rack", old: "deadline: 2s",
			replacement: "deadline: 2s\n  availability: 0.9995\n  max_unavailable: 2",
			path:        kano, reason: "availability 0.9995 can't be given",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, code := f.cli("settings", "apply", changedTree(t, c.old, c.replacement))
			if code != 1 || !strings.Contains(out, c.path) || !strings.Contains(out, c.reason) {
				t.Errorf("exit %d, want 1 with path %s and reason %q:\n%s", code, c.path, c.reason, out)
			}
			if diff := cmp.Diff(before, f.settings()); diff != "" {
				t.Errorf("the refused change changed settings (-before +after):\n%s", diff)
			}
			if diff := cmp.Diff(hostPools, f.hostPools()); diff != "" {
				t.Errorf("the refused change moved hosts (-before +after):\n%s", diff)
			}
		})
	}
	f.wantVersionEverywhere(before.Version)
}
