package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/platform/httpapi"
)

// TestAllControlProcessesReplaced guards against state that is lost with the
// control processes. It kills all of them at once and starts others, which must
// acquire every shard under a higher epoch; hosts must keep their pools, a change
// of the settings must reach every process, and no process may return to an older
// version.
func TestAllControlProcessesReplaced(t *testing.T) {
	t.Parallel()
	f := startFleet(t, smallTree)
	hostPools, before := f.hostPools(), f.shards()
	f.applyEventually(changedTree(t, "name: stock,", "name: inventory,"))
	f.killControls()
	f.startControlsElsewhere("control-3", "control-4")
	ctx, stop := context.WithCancel(t.Context())
	watched := make(chan error, 1)
	go func() { watched <- watchVersions(ctx, f.admin) }()
	eventually(t, "the new controls own all shards under higher epochs", func() bool {
		return takenOver(before, f.shards())
	})
	if diff := cmp.Diff(hostPools, f.hostPools()); diff != "" {
		t.Errorf("hosts changed their pool (-before +after):\n%s", diff)
	}
	f.applyEventually(changedTree(t, "name: stock,", "name: stores,"))
	stop()
	if err := <-watched; err != nil {
		t.Error(err)
	}
}

// shards returns the row of every shard in the table, by shard.
func (f *fleet) shards() map[string]lease.Row {
	f.t.Helper()
	table := httpapi.New(httpapi.Services{Table: f.platform}).Table
	rows, err := table.Scan(f.t.Context(), lease.KeyPrefix, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	shards := map[string]lease.Row{}
	for _, r := range rows {
		s, err := lease.Decode(r)
		if err != nil {
			f.t.Fatal(err)
		}
		shards[s.Shard] = s.Row
	}
	return shards
}

// takenOver reports whether every shard is owned by one of the new controls under
// a higher epoch than before.
func takenOver(before, now map[string]lease.Row) bool {
	for name, old := range before {
		s := now[name]
		if s.Epoch <= old.Epoch || s.Owner != "control-3" && s.Owner != "control-4" {
			return false
		}
	}
	return len(before) > 0
}

// watchInterval is the interval at which watchVersions polls.
const watchInterval = 50 * time.Millisecond

// watchVersions polls the instances until ctx ends. It returns an error if the
// accepted version, or that of a process whose messages have arrived, ever
// decreases.
func watchVersions(ctx context.Context, server string) error {
	highest := map[string]uint64{}
	client := adminapi.NewClient(server)
	for ctx.Err() == nil {
		if now, err := client.Instances(ctx); err == nil {
			if err := updateHighest(highest, now); err != nil {
				return err
			}
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// updateHighest records the versions in now as the highest, or returns an error
// if one is lower than recorded. A process without a message so far has no
// version yet and is skipped.
func updateHighest(highest map[string]uint64, now *adminapi.Instances) error {
	versions := map[string]uint64{"accepted settings": now.SettingsVersion}
	for _, in := range now.Instances {
		if in.SeenMSAgo >= 0 {
			versions[in.Name] = in.SettingsVersion
		}
	}
	for name, version := range versions {
		if version < highest[name] {
			return fmt.Errorf("%s went back from version %d to %d", name, highest[name], version)
		}
		highest[name] = version
	}
	return nil
}
