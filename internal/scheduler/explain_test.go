package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

func TestExplanationNamesTheReasonForEachWorker(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		sim.addWorker(id, "p", 8).duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	}
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 6)) // fills w1
	sim.run(500*time.Millisecond, owner)
	owner.workers["w2"].Draining = true
	owner.workers["w3"].Labels = nil
	owner.workers["w4"].held = owner.workers["w4"].Capacity
	job := jobOf(2, 1, 4)
	job.Steps[0].Requires = "a"
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].After, job.Steps[1].Gang, job.Steps[1].Count = []int{0}, true, 3 // two fit on w5
	reasons := []ReasonCount{
		{"no capacity", 1, []string{"w1"}}, {"draining", 1, []string{"w2"}}, {"label", 1, []string{"w3"}},
		{"capacity held for long-running tasks", 1, []string{"w4"}}, {"", 1, []string{"w5"}},
	}
	want := []StepExplanation{{Chosen: []string{"w5"}, Reasons: reasons}, {Waits: true, Reasons: reasons}}
	x := owner.Explain("p", job, sim.now)
	if diff := cmp.Diff(want, x.Steps); diff != "" || x.Held != "" || x.Workers != 5 || x.Explained != 5 {
		t.Errorf("%+v; steps (-want +got):\n%s", x, diff)
	}
	job.Steps, job.Steps[0].Requires, job.Steps[0].LongRunning = job.Steps[:1], "", true
	owner.workers["w3"].reservation = fleetplan.Emptying
	owner.workers["w4"].Draining, owner.workers["w5"].Draining = true, true
	last := StepExplanation{Chosen: []string{"w3"}, Reasons: []ReasonCount{
		{"no capacity", 1, []string{"w1"}}, {"draining", 3, []string{"w2", "w4", "w5"}}, {"last resort only: emptying", 1, []string{"w3"}},
	}}
	if diff := cmp.Diff([]StepExplanation{last}, owner.Explain("p", job, sim.now).Steps); diff != "" {
		t.Errorf("long-running step (-want +got):\n%s", diff)
	}
	owner.workers["w3"].reservation, owner.workers["w4"].Draining, owner.workers["w5"].Draining = fleetplan.Unreserved, false, false
	job.Queue, job.Terms = "tickets", &estate.Queue{Name: "tickets", Recommendation: &estate.Recommendation{}}
	last = StepExplanation{Reasons: []ReasonCount{
		{"no capacity", 1, []string{"w1"}}, {"draining", 1, []string{"w2"}}, {"no ticket", 3, []string{"w3", "w4", "w5"}},
	}}
	if diff := cmp.Diff([]StepExplanation{last}, owner.Explain("p", job, sim.now).Steps); diff != "" {
		t.Errorf("step that needs tickets (-want +got):\n%s", diff)
	}
	if x := owner.Explain("p", nil, sim.now); !cmp.Equal(x.Steps, []StepExplanation{{Reasons: []ReasonCount{
		{"", 4, []string{"w1", "w3", "w4", "w5"}}, {"draining", 1, []string{"w2"}},
	}}}) {
		t.Errorf("without a job: %+v", x.Steps)
	}
	if x := owner.Explain("none", job, sim.now); x.Workers != 0 || owner.pools["none"] != nil {
		t.Errorf("a pool that is not known: %+v", x)
	}
}

// An explanation must choose the worker that the engine chooses next.
func TestExplainedWorkerGetsTheTask(t *testing.T) {
	sim := newSimulation(t)
	for i := range 3 {
		sim.addWorker(string(rune('a'+i)), "p", float64(4+i))
	}
	owner := sim.newOwner()
	sim.run(500*time.Millisecond, owner)
	for n, cores := range []float64{5, 4, 6, 1} {
		job := jobOf(n+1, 1, cores)
		x := owner.Explain("p", job, sim.now)
		sim.submit(owner, job)
		sim.run(5*testTick, owner)
		runs := owner.jobs[job.ID].find(0, 0, 0).runs
		if len(runs) != 1 || len(x.Steps[0].Chosen) != 1 || runs[0].worker.ID != x.Steps[0].Chosen[0] {
			t.Errorf("job of %v cores: runs %v, explained %+v", cores, runs, x.Steps)
		}
		sim.run(time.Second, owner)
	}
}

func TestExplanationIsBoundedAndTellsThatStartsAreHeld(t *testing.T) {
	e := New(Options{Token: 1, Epoch: 1, CancelWithin: time.Second, Log: zap.NewNop()})
	e.SetCatalog(estate.NewCatalog(1, nil, []*estate.Pool{{Name: "p"}}, estate.Limits{}))
	for i := range maxExplained + 5 {
		e.WorkerListed(estate.Worker{ID: string(rune('a' + i)), Pool: "p"}, 0)
	}
	x := e.Explain("p", jobOf(1, 1, 1), 5*time.Second)
	if x.Held != "starts held, what they rely on is too old" || x.CancelsAge != 5*time.Second || x.Workers != maxExplained+5 || x.Explained != maxExplained {
		t.Errorf("%+v", x)
	}
	if r := x.Steps[0].Reasons; len(r) != 1 || r[0].Reason != "not fenced" || r[0].Count != maxExplained || len(r[0].Workers) != maxNamed {
		t.Errorf("reasons %+v", r)
	}
}

// An engine that is asked in every tick must decide as one that never is.
func TestExplainingChangesNoDecision(t *testing.T) {
	decisions := func(explain bool) []string {
		sim := newSimulation(t)
		for _, id := range []string{"w1", "w2", "w3"} {
			sim.addWorker(id, "p", 4)
		}
		owner := sim.newOwner()
		for n := range 40 {
			job := jobOf(n+1, 1+n%4, float64(1+n%3))
			job.Steps[0].Gang = n%5 == 0
			job.Steps[0].MaxPerWorker = n % 3
			sim.submit(owner, job)
			for range 4 {
				if explain {
					for _, asked := range []*workload.Job{nil, job, jobOf(1000+n, 2, 3)} {
						owner.Explain("p", asked, sim.now)
						owner.Explain("none", asked, sim.now)
					}
				}
				sim.run(testTick, owner)
			}
		}
		sim.run(5*time.Second, owner)
		sim.check()
		return sim.trace
	}
	without, with := decisions(false), decisions(true)
	if len(without) < 100 || !slices.Equal(without, with) {
		t.Errorf("%d events, with explanations %d:\n%s", len(without), len(with), cmp.Diff(without, with))
	}
}
