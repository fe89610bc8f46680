package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// The order within a team, and that of the classes, must not change.
func TestSharesChangeTheOrderOnlyBetweenTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := fullEngine(1, 1, 0)
		e.catalog.Teams = map[string]*estate.Team{"a": {Name: "a", Weight: 2}, "b": {Name: "b", Weight: 1}}
		p := e.pools["p0"]
		p.shares.Advance(time.Second)
		p.shares.SetCapacity(placement.Resources{Processors: 10})
		p.shares.Member("a").Add(placement.Resources{Processors: rapid.Float64Range(0, 5).Draw(t, "held")})
		var list []candidate
		for i := range rapid.IntRange(0, 30).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "team")
			j := &job{Job: &workload.Job{ID: fmt.Sprint(i)}, team: e.team(team), share: p.shares.Member(team), excess: team != "" && rapid.Bool().Draw(t, "beyond")}
			list = append(list, candidate{&step{Step: &workload.Step{}, job: j, occ: &occurrence{}}, rank{
				longRunning: rapid.Bool().Draw(t, "long-running"), timeliness: timeliness(rapid.IntRange(0, 2).Draw(t, "timeliness")), value: float64(rapid.IntRange(0, 5).Draw(t, "value")),
			}})
		}
		all := func(*step) bool { return true }
		var order []candidate
		shared := e.byShares(list)
		for c, ok := shared.take(all); ok; c, ok = shared.take(all) {
			order = append(order, c)
		}
		if len(order) != len(list) {
			t.Fatalf("%d of %d candidates are left", len(order), len(list))
		}
		last := map[*team]candidate{}
		for i, c := range order {
			if before, ok := last[c.job.team]; ok && before.compare(c) > 0 {
				t.Errorf("the order within a team has changed: %+v before %+v", before.rank, c.rank)
			}
			last[c.job.team] = c
			if i > 0 && order[i-1].rank.compareClass(c.rank) > 0 {
				t.Errorf("%+v comes before %+v", order[i-1].rank, c.rank)
			}
		}
	})
}

// shareSimulation plays 15 seconds in which teams submit tasks of one core for one worker of 16 cores. It returns the part
// of the worker that each had in the last ten.
func shareSimulation(t *testing.T, weights map[string]float64, perTeam func(n int) []string) map[string]float64 {
	sim := newSimulation(t)
	sim.teams = map[string]*estate.Team{}
	for name, w := range weights {
		sim.teams[name] = &estate.Team{Name: name, Weight: w}
	}
	sim.addWorker("w1", "p", 16).duration = lasting(500 * time.Millisecond)
	owner := sim.newOwner()
	got := map[string]float64{}
	n := 0
	for step := range 300 {
		for _, team := range perTeam(step) {
			n++
			job := jobOfTeam(team, n, 1, 1)
			job.Steps[0].Estimate = time.Minute // all of them are in time
			sim.submit(owner, job)
		}
		sim.run(50*time.Millisecond, owner)
		if step > 100 {
			for name := range weights {
				got[name] += sim.heldBy(name).Processors / 16 / 199
			}
		}
	}
	sim.check()
	return got
}

func TestFullPoolIsSharedByWeight(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2, "c": 5, "d": 100}
	got := shareSimulation(t, weights, func(n int) []string {
		list := []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"}
		if n%10 == 0 {
			list = append(list, "d") // far below what its weight permits
		}
		return list
	})
	t.Logf("shares: %v", got)
	rest := 1 - got["d"]
	for name, want := range map[string]float64{"a": rest / 8, "b": rest / 4, "c": rest * 5 / 8} {
		if got[name] < 0.8*want || got[name] > 1.2*want {
			t.Errorf("team %s has %.3f of the pool, want %.3f", name, got[name], want)
		}
	}
	if sum := got["a"] + got["b"] + got["c"] + got["d"]; sum < 0.95 {
		t.Errorf("%.2f of the pool is in use, though tasks wait", sum)
	}
}

// One team submits ten jobs at once, the other one a second. By their shares alone, the first would get three quarters.
func TestJobsBeyondTheWeightGoLast(t *testing.T) {
	sim := newSimulation(t)
	sim.teams = map[string]*estate.Team{"a": {Name: "a", Weight: 3}, "b": {Name: "b", Weight: 1}}
	sim.addWorker("w1", "p", 2).duration = lasting(time.Second)
	owner := sim.newOwner()
	sim.run(100*time.Millisecond, owner)
	submit := func(team string, n int) {
		job := jobOfTeam(team, n, 1, 2)
		job.Steps[0].Estimate = time.Minute
		sim.submit(owner, job)
	}
	done := func(from, to int) (n int) {
		for i := from; i < to; i++ {
			if sim.state(jobOf(i, 1, 1).ID) == workload.Completed {
				n++
			}
		}
		return n
	}
	for n := range 10 {
		submit("a", n)
	}
	for n := range 10 {
		submit("b", 10+n)
		sim.run(time.Second, owner)
	}
	if a, b := done(0, 10), done(10, 20); a > 4 || b < 5 {
		t.Errorf("%d jobs of the team beyond its weight and %d of the other are complete", a, b)
	}
	sim.run(15*time.Second, owner)
	if a := done(0, 10); a != 10 {
		t.Errorf("%d of the 10 jobs are complete at the end", a)
	}
}

// The successor reads the jobs in the order of their ids, not of their acceptance.
func TestSuccessorFindsTheSameJobsBeyondTheWeight(t *testing.T) {
	e := fullEngine(1, 1, 0)
	e.catalog.Teams = map[string]*estate.Team{"a": {Name: "a", Weight: 1}}
	accepted := []time.Duration{4 * time.Second, 2 * time.Second, 2100 * time.Millisecond, 0}
	for i, at := range accepted {
		state := workload.Queued
		if at == 0 {
			state = workload.Completed
		}
		job := jobOfTeam("a", i, 1, 1)
		job.Pool = "p0"
		e.AddJob(job, &workload.Progress{State: state}, 1, at, true, 5*time.Second)
	}
	e.Decide(5*time.Second, OwnershipValid)
	for i, want := range []bool{false, false, true} {
		if got := e.jobs[jobOf(i, 1, 1).ID].excess; got != want {
			t.Errorf("job accepted at %v is beyond the weight: %t, want %t", accepted[i], got, want)
		}
	}
}
