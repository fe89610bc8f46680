package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestEntryExchangesWithOwnersAndOneHome configures more control processes
// than own shards: the entry keeps a session with one of the others, its home,
// and switches to the next when that fails.
func TestEntryExchangesWithOwnersAndOneHome(t *testing.T) {
	e := &Entry{control: []string{"c1", "c2", "c3"}}
	e.directory.owners = map[string]string{"kano": "c3", "aba": "c4", "released": ""}
	steps := []struct {
		failed string
		want   map[string]bool
	}{
		{"", map[string]bool{"c1": true, "c3": true, "c4": true}},
		{"c4", map[string]bool{"c1": true, "c3": true, "c4": true}},
		{"c1", map[string]bool{"c2": true, "c3": true, "c4": true}},
		{"c2", map[string]bool{"c3": true, "c4": true}},
		{"c3", map[string]bool{"c1": true, "c3": true, "c4": true}},
	}
	for _, step := range steps {
		e.switchHome(step.failed)
		if diff := cmp.Diff(step.want, e.wantedSessions()); diff != "" {
			t.Errorf("after a failure of %q: %s", step.failed, diff)
		}
	}
}

// TestOnlyTheHomeIsAskedForSettings checks which exchange requests ask for
// settings, so that they are not sent to the entry by several control
// processes.
func TestOnlyTheHomeIsAskedForSettings(t *testing.T) {
	e := New(Options{
		Name: "entry-1", Control: []string{"c1", "c2"}, Platform: standin.NewPlatform().Interfaces(), Log: zap.NewNop(),
	})
	e.directory.owners = map[string]string{"kano": "c2", "aba": "c3"}
	for _, home := range []string{"c1", "c2"} {
		var requested []string
		for _, address := range []string{"c1", "c2", "c3"} {
			if !e.newExchangeRequest(address).SettingsElsewhere {
				requested = append(requested, address)
			}
		}
		if diff := cmp.Diff([]string{home}, requested); diff != "" {
			t.Error(diff)
		}
		e.switchHome(home)
	}
}
