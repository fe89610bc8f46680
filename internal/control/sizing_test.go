package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/job"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/pool"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// TestNoHostMovesToPoolsWhoseHostsLackRows guards against moves from the
// spare pool to a pool that only seems too small because its owner has not yet
// written the first rows of all its hosts.
func TestNoHostMovesToPoolsWhoseHostsLackRows(t *testing.T) {
	m := &Manager{now: time.Now, fleet: newFleet(), jobs: job.NewManager(nil, nil, time.Now), waves: newWaves()}
	m.fleet.listed = map[string]platform.ListedHost{}
	effective := &settings.Effective{
		Pools: map[string]*settings.PoolValues{
			"kano": {Pool: "kano", MinHosts: 4}, "spare": {Pool: "spare", Spare: true, MinHosts: 1},
		},
		HomePool: map[string]string{}, Spare: "spare",
	}
	for i := range 12 {
		name, home := fmt.Sprintf("host-%02d", i), "kano"
		if i >= 6 {
			home = "spare"
		}
		effective.HomePool[name] = home
		m.fleet.listed[name] = platform.ListedHost{Host: host.Host{Name: name, Slots: 8}, State: platform.HostLive}
		if hasRow := i == 0 || i >= 6; hasRow {
			m.fleet.put(hostRow{Row: host.Row{Host: name, Pool: home, Phase: host.Serving}, version: int64(i + 1)})
		}
	}
	plan := pool.Size(pool.State{Now: time.Now(), Reaction: moveReaction, Pools: m.sizingPools(effective, nil)})
	if len(plan.Moves) > 0 {
		t.Errorf("moves to pools that are not short of hosts: %+v", plan.Moves)
	}
}
