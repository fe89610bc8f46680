package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// TestMoveToARemovedPoolIsGivenUp guards against a host left without an owner:
// the target pool of its move is removed from the settings while the host
// drains.
func TestMoveToARemovedPoolIsGivenUp(t *testing.T) {
	row := hostRow{Row: host.Row{
		Host: "kano-01", Pool: "kano", Phase: host.Draining, Purpose: host.ForMove, MoveTo: "aba",
	}}
	pools := map[string]*settings.PoolValues{"kano": {}, "aba": {}}
	moved, _ := row.afterDrain(pools)
	want := host.Row{Host: "kano-01", Pool: "aba", Phase: host.Serving, Moves: 1}
	if diff := cmp.Diff(want, moved.Row); diff != "" {
		t.Errorf("move (-want +got):\n%s", diff)
	}
	delete(pools, "aba")
	kept, _ := row.afterDrain(pools)
	want = host.Row{Host: "kano-01", Pool: "kano", Phase: host.Serving}
	if diff := cmp.Diff(want, kept.Row); diff != "" {
		t.Errorf("move to a removed pool (-want +got):\n%s", diff)
	}
}
