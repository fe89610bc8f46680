package scheduler

import (
	"strings"
	"testing"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// TestHostListShowsWhichUsedWorkersHaveEnded checks which workers in the
// previous owner's record a new owner need not wait for.
func TestHostListShowsWhichUsedWorkersHaveEnded(t *testing.T) {
	workers := WorkerHosts{
		"moved": {Pool: "p", Host: "h1"}, "replaced": {Pool: "p", Host: "h2"}, "same": {Pool: "p", Host: "h3"},
		"down": {Pool: "p", Host: "h4"}, "unknown": {Pool: "p"}, "maintained": {Pool: "p", Host: "h5"},
		"down, still listed": {Pool: "p", Host: "h6"}, "no longer listed": {Pool: "p", Host: "h7"},
	}
	var used []UsedWorker
	for _, id := range []string{"moved", "replaced", "same", "down", "unknown", "maintained", "down, still listed", "no longer listed"} {
		used = append(used, UsedWorker{Worker: estate.Worker{ID: id, Pool: "p"}})
	}
	hosts := []estate.Host{
		{Name: "h1", Pool: "q", State: estate.HostUp}, {Name: "h2", Pool: "p", State: estate.HostUp, WorkerID: "other"},
		{Name: "h3", Pool: "p", State: estate.HostUp, WorkerID: "same"}, {Name: "h4", Pool: "p", State: estate.HostDown},
		{Name: "h5", Pool: "p", State: estate.HostMaintenance},
		{Name: "h6", Pool: "p", State: estate.HostDown, WorkerID: "down, still listed"},
	}
	var ids []string
	for _, w := range workers.PossiblyRunning(used, hosts) {
		ids = append(ids, w.ID)
	}
	if got := strings.Join(ids, ", "); got != "same, unknown, down, still listed, no longer listed" {
		t.Errorf("possibly running workers are %q, want those that may still run", got)
	}
}

// TestHostListShowsWhichWorkersCrashed checks which workers two consecutive
// host lists show as ended.
func TestHostListShowsWhichWorkersCrashed(t *testing.T) {
	earlier := []estate.Host{
		{Name: "h1", State: estate.HostUp, WorkerID: "crashed"}, {Name: "h2", State: estate.HostUp, WorkerID: "replaced"},
		{Name: "h3", State: estate.HostUp, WorkerID: "same"}, {Name: "h4", State: estate.HostUp, WorkerID: "unlisted"},
		{Name: "h5", State: estate.HostUp, WorkerID: "starting"}, {Name: "h6", State: estate.HostUp},
	}
	later := []estate.Host{
		{Name: "h1", State: estate.HostDown}, {Name: "h2", State: estate.HostUp, WorkerID: "other"},
		{Name: "h3", State: estate.HostUp, WorkerID: "same"}, {Name: "h5", State: estate.HostUp}, {Name: "h6", State: estate.HostDown},
	}
	workers := WorkerHosts{}
	workers.update(earlier)
	ended, left := workers.update(later)
	if got := strings.Join(ended, " "); got != "crashed replaced" || len(left) > 0 {
		t.Errorf("ended workers are %q, those whose hosts have left %q, want crashed and replaced, and none", got, left)
	}
}

func TestHostHasLeftOnceTwoListsLackIt(t *testing.T) {
	with := []estate.Host{{Name: "h1", State: estate.HostUp, WorkerID: "w1"}, {Name: "h2", State: estate.HostUp, WorkerID: "w2"}}
	without := with[1:]
	workers := WorkerHosts{"w1": {Host: "h1"}}
	for i, c := range []struct {
		list []estate.Host
		want string
	}{{without, ""}, {with, ""}, {without, ""}, {nil, ""}, {without, "w1"}, {without, "w1"}} {
		if ended, left := workers.update(c.list); strings.Join(left, " ") != c.want || len(ended) > 0 {
			t.Errorf("list %d: ended are %q, left have %q; want none and %q", i, ended, left, c.want)
		}
	}
}

// The owner that takes over sees the worker in no host list of its own.
func TestSuccessorLearnsThatAWorkerOfItsRecordHasEnded(t *testing.T) {
	workers := WorkerHosts{"w1": {Pool: "p", Host: "h1"}}
	workers.update(nil) // the list of the takeover got no answer
	if ended, _ := workers.update([]estate.Host{{Name: "h1", Pool: "p", State: estate.HostMaintenance}}); strings.Join(ended, " ") != "w1" {
		t.Errorf("ended workers are %q, want w1", ended)
	}
}

func TestHostThatIsListedBetweenTwoListsWithoutItHasNotLeft(t *testing.T) {
	other := estate.Host{Name: "h2", Pool: "p", State: estate.HostUp, WorkerID: "w2"}
	without := []estate.Host{other}
	workers := WorkerHosts{"w1": {Pool: "p", Host: "h1"}}
	workers.update(without)
	workers.update([]estate.Host{{Name: "h1", Pool: "p", State: estate.HostUp}, other})
	if ended, left := workers.update(without); len(ended)+len(left) > 0 {
		t.Errorf("ended are %q, left have %q after one list without the host, want none", ended, left)
	}
}

// The previous owner recorded the worker before a host list showed it.
func TestRecordedWorkerThatNoHostRunsHasLeft(t *testing.T) {
	list := []estate.Host{{Name: "h2", Pool: "p", State: estate.HostUp, WorkerID: "w2"}}
	workers := WorkerHosts{"w1": {Pool: "p"}, "w2": {Pool: "p"}}
	workers.update(list)
	if _, left := workers.update(list); len(left) != 1 || left[0] != "w1" {
		t.Errorf("left have %q after two lists without a host of w1, want w1", left)
	}
	workers = WorkerHosts{"w1": {Pool: "p"}}
	workers.update(list)
	if _, left := workers.update(append(list, estate.Host{Name: "h1", Pool: "p", State: estate.HostUp, WorkerID: "w1"})); len(left) != 0 {
		t.Errorf("left have %q though the second list shows w1, want none", left)
	}
}
