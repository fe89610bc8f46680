package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	loadTeams = 20
	// loadWorkers workers of loadCores cores serve loadCapacity jobs a second of the
	// teams, each with four tasks of two cores and a second.
	loadWorkers  = 20
	loadCores    = 16
	loadCapacity = 40
	// usualLoad is the usual demand of all teams in jobs a second.
	usualLoad = 0.6 * loadCapacity
)

// served is what the callers of a team got: how many of their jobs were complete by
// their objective, and by three times that.
type served struct{ jobs, inTime, useful int }

func (s served) inTimeShare() float64 { return float64(s.inTime) / float64(max(s.jobs, 1)) }

func (s *served) add(o served) {
	s.jobs, s.inTime, s.useful = s.jobs+o.jobs, s.inTime+o.inTime, s.useful+o.useful
}

func teamName(i int) string { return fmt.Sprintf("team%02d", i) }

// usualRate returns the usual demand of a team in jobs a second, which is skewed:
// the first one has 28 % of all.
func usualRate(team int) float64 {
	sum := 0.0
	for i := range loadTeams {
		sum += 1 / float64(i+1)
	}
	return usualLoad / float64(team+1) / sum
}

// playLoad plays 25 seconds in which teams submit jobs at the given rates to two
// queues in turn. Their weights are a quarter above their usual rates. Without
// shares the configuration has no teams.
func playLoad(t *testing.T, shares bool, rate func(team int, at time.Duration) float64) (teams [loadTeams]served, all served) {
	sim := newSimulation(t)
	if shares {
		sim.teams = map[string]*estate.Team{}
		for i := range loadTeams {
			sim.teams[teamName(i)] = &estate.Team{Name: teamName(i), Weight: 1.25 * usualRate(i)}
		}
	}
	for i := range loadWorkers {
		sim.addWorker(fmt.Sprintf("w%02d", i), "p", loadCores).duration = lasting(time.Second)
	}
	owner := sim.newOwner()
	sim.run(100*time.Millisecond, owner)
	type waiting struct {
		team int
		at   time.Duration
	}
	pending := map[string]waiting{}
	random := rand.New(rand.NewPCG(1, 2))
	const step = 50 * time.Millisecond
	for n, start := 0, sim.now; sim.now < start+32*time.Second; {
		for i := range loadTeams {
			at := sim.now - start
			for jobs := random.Float64() + rate(i, at)*step.Seconds(); at < 25*time.Second && jobs >= 1; jobs-- {
				n++
				spec := jobOfTeam(teamName(i), n, 4, 2)
				spec.Steps[0].Estimate = time.Second
				sim.submit(owner, spec)
				pending[spec.ID] = waiting{i, sim.now}
				teams[i].jobs++
			}
		}
		sim.run(step, owner)
		for id, w := range pending {
			if sim.state(id) != workload.Completed {
				continue
			}
			delete(pending, id)
			const objective = 2200 * time.Millisecond
			if age := sim.now - w.at; age <= objective {
				teams[w.team].inTime++
			} else if age <= tooLateFactor*objective {
				teams[w.team].useful++
			}
		}
	}
	sim.check()
	for i := range teams {
		teams[i].useful += teams[i].inTime
		all.add(teams[i])
	}
	return teams, all
}

// compareLoad plays a load without and with shares and logs what each team got.
func compareLoad(t *testing.T, rate func(team int, at time.Duration) float64) (before, after [loadTeams]served, allBefore, allAfter served) {
	before, allBefore = playLoad(t, false, rate)
	after, allAfter = playLoad(t, true, rate)
	for i := range loadTeams {
		t.Logf("%s, weight %.2f: in time %.2f before and %.2f after, useful %d and %d of %d", teamName(i), 1.25*usualRate(i),
			before[i].inTimeShare(), after[i].inTimeShare(), before[i].useful, after[i].useful, after[i].jobs)
	}
	t.Logf("all: in time %.3f before and %.3f after, useful %d and %d of %d", allBefore.inTimeShare(), allAfter.inTimeShare(), allBefore.useful, allAfter.useful, allAfter.jobs)
	return before, after, allBefore, allAfter
}

// Without shares the flood takes the capacity of all teams.
func TestFloodOfOneTeamCostsTheOthersNothing(t *testing.T) {
	t.Parallel()
	const flooding = 0
	before, after, allBefore, allAfter := compareLoad(t, func(team int, _ time.Duration) float64 {
		if team == flooding {
			return 7.5 * usualRate(team)
		}
		return usualRate(team)
	})
	var others, othersBefore served
	for i := range loadTeams {
		if i != flooding {
			others.add(after[i])
			othersBefore.add(before[i])
		}
	}
	t.Logf("others in time: %.3f before, %.3f after", othersBefore.inTimeShare(), others.inTimeShare())
	if got := others.inTimeShare(); got < 0.97 || got <= othersBefore.inTimeShare() {
		t.Errorf("%.2f of the jobs of the other teams are in time, %.2f without shares", got, othersBefore.inTimeShare())
	}
	// The flooding team is served as far as capacity is left: about 20 jobs a second.
	if want := 0.8 * 25 * (loadCapacity - usualLoad + usualRate(flooding)); float64(after[flooding].inTime) < want {
		t.Errorf("%d jobs of the flooding team are in time, want %v: capacity is left", after[flooding].inTime, want)
	}
	if float64(allAfter.inTime) < 0.97*float64(allBefore.inTime) {
		t.Errorf("%d jobs are in time, %d without shares", allAfter.inTime, allBefore.inTime)
	}
}

// All teams surge together: shares must not cost any of them much.
func TestSharesCostNothingInASurgeOfAllTeams(t *testing.T) {
	t.Parallel()
	before, after, allBefore, allAfter := compareLoad(t, func(team int, at time.Duration) float64 {
		if at%(8*time.Second) < 3*time.Second {
			return 5 * usualRate(team) / 2 // one queue at five times its mean
		}
		return usualRate(team) / 20
	})
	if float64(allAfter.inTime) < 0.97*float64(allBefore.inTime) {
		t.Errorf("%d jobs are in time, %d without shares", allAfter.inTime, allBefore.inTime)
	}
	// Single teams have too few jobs: the small ones, with 19 % of the demand, count together.
	var small, smallBefore served
	for i := loadTeams / 2; i < loadTeams; i++ {
		small.add(after[i])
		smallBefore.add(before[i])
	}
	t.Logf("the small teams in time: %.3f before, %.3f after", smallBefore.inTimeShare(), small.inTimeShare())
	if small.inTimeShare() < 0.85*allAfter.inTimeShare() {
		t.Errorf("the small teams got %.2f in time, all %.2f", small.inTimeShare(), allAfter.inTimeShare())
	}
}
