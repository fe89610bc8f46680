package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// parse returns the small tree after replacements.
func parse(t *testing.T, replacements ...string) *Tree {
	t.Helper()
	tree, err := Parse("small.yaml", []byte(strings.NewReplacer(replacements...).Replace(small)))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func TestExplainNamesTheLevelOfEachValue(t *testing.T) {
	tree := parse(t)
	got := map[string]Origin{}
	for _, service := range []string{"", "orders"} {
		origins, err := tree.Explain("kano", service)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range origins {
			got[service+"/"+o.Name] = o
		}
	}
	want := []Origin{
		{"deadline", "500ms", LevelService, "orders"},
		{"priority", "60", LevelRegion, "lagos"},
		{"availability", "0.99", LevelEstate, "small"},
		{"idempotent", "false", LevelDefault, ""},
	}
	for _, w := range want {
		if diff := cmp.Diff(w, got["orders/"+w.Name]); diff != "" {
			t.Error(diff)
		}
	}
	if diff := cmp.Diff(Origin{"buffer_weight", "5", LevelPool, "kano"}, got["/buffer_weight"]); diff != "" {
		t.Error(diff)
	}
	if _, ok := got["orders/buffer_weight"]; ok {
		t.Error("Explain of a service returned a value of pool scope")
	}
	if _, err := tree.Explain("aba", ""); err == nil {
		t.Error("Explain accepted an unknown pool")
	}
}

func TestDiffCountsAffectedPoolsAndServices(t *testing.T) {
	old := parse(t)
	now := parse(t,
		"  deadline: 1s\n", "  deadline: 3s\n  move_weight: 3\n",
		"priority: 60", "priority: 70",
		"buffer_weight: 5", "move_weight: 2",
		"lekki-r1: [\"kano-[03-04]\"", "lekki-r1: [\"kano-[03-05]\"",
		`hosts: ["kano-[01-04]"]`, "hosts: [kano-01, kano-03, kano-05]",
		"hosts: [spare-1, spare-2]", "hosts: [spare-1, spare-2, kano-02, kano-04]",
		"- name: stock\n", "- name: prices\n            team: clerks\n",
		"- name: clerks\n", "- name: clerks\n    processors: 8\n",
	)
	got, err := Diff(old, now)
	if err != nil {
		t.Fatal(err)
	}
	want := []Change{
		{Path: "hosts[kano-02].pool", Old: "kano", New: "spare"},
		{Path: "hosts[kano-04].pool", Old: "kano", New: "spare"},
		{Path: "hosts[kano-05].pool", New: "kano"},
		{Path: "regions[lagos].pools[kano].settings.buffer_weight", Old: "5", Pools: 1},
		{Path: "regions[lagos].pools[kano].settings.move_weight", New: "2", Pools: 1},
		{Path: "regions[lagos].settings.priority", Old: "60", New: "70", Services: 1},
		{Path: "services[prices]", New: "listed"},
		{Path: "services[stock]", Old: "listed"},
		// Only stock inherits the deadline, and it is not in the second tree:
		// no service in both trees is affected.
		{Path: "settings.deadline", Old: "1s", New: "3s"},
		{Path: "settings.move_weight", New: "3", Pools: 2},
		{Path: "teams[clerks].processors", Old: "0", New: "8"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestChangeThatStrandsTheFleetIsRefused(t *testing.T) {
	old, err := parse(t).Effective()
	if err != nil {
		t.Fatal(err)
	}
	without := func(pool, team string) *Effective {
		next := *old
		next.Pools, next.Teams = map[string]*PoolValues{}, map[string]Team{}
		for name, p := range old.Pools {
			if name != pool {
				next.Pools[name] = p
			}
		}
		for name, v := range old.Teams {
			if name != team {
				next.Teams[name] = v
			}
		}
		return &next
	}
	elsewhere := *old
	elsewhere.Estate = "other"
	for _, c := range []struct {
		name  string
		old   *Effective
		next  *Effective
		state State
		want  string
	}{
		{"nothing held", old, without("kano", "clerks"), State{}, "<nil>"},
		{"first tree", nil, old, State{PoolJobs: map[string]int{"gone": 1}}, "<nil>"},
		{"jobs stay", old, old, State{PoolJobs: map[string]int{"kano": 1}, TeamJobs: map[string]int{"clerks": 1}}, "<nil>"},
		{"jobs", old, without("kano", ""), State{PoolJobs: map[string]int{"kano": 2}}, "pools[kano]: the pool may not go while jobs wait or run in it: 2 jobs"},
		{"hosts", old, without("kano", ""), State{PoolHosts: map[string]int{"kano": 1}}, "pools[kano]: the pool may not go while hosts belong to it: 1 host"},
		{"team", old, without("", "clerks"), State{TeamJobs: map[string]int{"clerks": 3}}, "teams[clerks]: the team may not go while its jobs wait or run: 3 jobs"},
		{"estate", old, &elsewhere, State{}, "estate: the tree is of estate other; allowed: small"},
	} {
		if got := fmt.Sprint(CheckChange(c.old, c.next, c.state)); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestEffectiveValueIsThatOfTheLowestLevelThatSetsIt compares inheritance with
// the priority of the last level that sets one, over random settings.
func TestEffectiveValueIsThatOfTheLowestLevelThatSetsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := parseForRapid(t)
		region := &tree.Regions[0]
		levels := []*Values{&tree.Settings, &region.Settings, &region.Pools[0].Settings, &region.Pools[0].Services[0].Settings}
		want := *Defaults().Priority
		for _, v := range levels {
			*v = Values{}
			if rapid.Bool().Draw(t, "set") {
				want = rapid.IntRange(0, 100).Draw(t, "priority")
				v.Priority = ref(want)
			}
		}
		e, err := tree.Effective()
		if err != nil {
			t.Fatal(err)
		}
		if got := e.Services["orders"].Priority; got != want {
			t.Fatalf("priority %d, want %d", got, want)
		}
	})
}

// parseForRapid returns the small tree.
func parseForRapid(t *rapid.T) *Tree {
	tree, err := Parse("small.yaml", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}
