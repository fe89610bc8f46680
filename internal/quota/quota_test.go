package quota

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// Sums of fractions of a core must not leave anything behind.
func TestNothingIsHeldOnceAllHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		a := tracker.Account("a")
		size := func() placement.Resources {
			return placement.Resources{
				Processors: rapid.Float64Range(0, 1e308).Draw(t, "processors"), MemoryMB: rapid.IntMin(0).Draw(t, "memory"), Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
			}
		}
		var runs, orphans []placement.Resources
		for range rapid.IntRange(0, 50).Draw(t, "runs") {
			runs, orphans = append(runs, size()), append(orphans, size())
		}
		for i := range runs {
			a.AddRun(runs[i], true)
			a.AddOrphan(orphans[i])
		}
		for i := range runs {
			a.RemoveRun(runs[i], true)
			a.RemoveOrphan(orphans[i])
		}
		if *a != (Account{tracker: tracker}) {
			t.Errorf("left are %+v", *a)
		}
	})
}

func TestFitsCountsEachPart(t *testing.T) {
	tracker := New()
	tracker.SetTeams(map[string]*estate.Team{"a": {Quota: placement.Resources{Processors: 4, MemoryMB: 100}}})
	a, two := tracker.Account("a"), placement.Resources{Processors: 2, MemoryMB: 10, Accelerators: 9}
	for _, c := range []struct {
		name string
		set  func()
		want int // tasks of two cores that fit
	}{
		{"nothing", func() {}, 2},
		{"a run", func() { a.AddRun(two, false) }, 1},
		{"an orphan", func() { a.AddOrphan(two) }, 0},
		{"the run has ended", func() { a.RemoveRun(two, false) }, 1},
		{"an undiscovered run", func() { a.AddUndiscovered(two) }, 0},
		{"it is read", tracker.ClearUndiscovered, 1},
		{"an orphan of anyone", func() { tracker.Anyone().AddOrphan(two) }, 0},
		{"it has ended", func() { tracker.Anyone().RemoveOrphan(two) }, 1},
		{"nothing bounds the undiscovered", a.AddUnbounded, 0},
		{"they are read", tracker.ClearUndiscovered, 1},
		{"a lower quota", func() { tracker.SetTeams(map[string]*estate.Team{"a": {Quota: placement.Resources{MemoryMB: 15}}}) }, 0},
		{"no quota", func() { tracker.SetTeams(nil) }, 100},
	} {
		c.set()
		if (c.want > 0 && !a.Fits(c.want, two, placement.Resources{})) || (c.want < 100 && a.Fits(c.want+1, two, placement.Resources{})) {
			t.Errorf("%s: %d tasks do not fit, or one more does", c.name, c.want)
		}
	}
}

func TestLongRunningTasksDecideWhetherOthersEverFit(t *testing.T) {
	tracker := New()
	tracker.SetTeams(map[string]*estate.Team{"a": {Quota: placement.Resources{Processors: 4}}})
	a, two := tracker.Account("a"), placement.Resources{Processors: 2}
	a.AddRun(two, false)
	a.AddRun(two, true)
	if !a.MayFit(1, two) || a.MayFit(2, two) {
		t.Error("beside a long-running task of 2 cores, one more may fit a quota of 4 cores, and not two")
	}
	var none *Account
	none.AddRun(two, true)
	if !none.Fits(1000, two, two) || none.Share(two) != 1 {
		t.Error("jobs without a team have a quota")
	}
}
