package command

import (
	"context"
	"strings"
	"testing"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/config"
)

func (f *fakeAPI) Teams(context.Context) (*adminapi.Teams, error) {
	return &adminapi.Teams{
		Version: 12, AgeMS: 800, KeysRequired: true, PublicQueues: []string{"open"}, Problems: []string{"two teams list a key"},
		Teams: []adminapi.Team{{Name: "a", Weight: 2.5, Processors: 1.5, Keys: []string{"01234567", "89abcdef"}}, {Name: "b"}},
	}, nil
}

func TestTeamsAreShown(t *testing.T) {
	const text = `configuration version 12, known to be the newest 800ms ago, keys required, public queues: open
problem: two teams list a key

TEAM  WEIGHT  PROCESSORS  MEMORY_MB  ACCELERATORS  KEYS
a     2.5     1.5         -          -             01234567,89abcdef
b     0       -           -          -             -
`
	if code, stdout, stderr := run(t, &fakeAPI{}, "teams", server); code != config.ExitDone || stdout != text {
		t.Errorf("exit code %d, %s, output\n%s\nwant\n%s", code, stderr, stdout, text)
	}
	code, stdout, _ := run(t, &fakeAPI{}, "teams", "--output", "json", server)
	if code != config.ExitDone || !strings.Contains(stdout, `"keys_required": true`) || !strings.Contains(stdout, `"01234567"`) {
		t.Errorf("exit code %d, output %s", code, stdout)
	}
}
