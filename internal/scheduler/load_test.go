package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/admission"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// TestLoadsCountTheWorkThatCanBeOfUse guards against refusals for work that gives way to new jobs, and by pools with free capacity.
func TestLoadsCountTheWorkThatCanBeOfUse(t *testing.T) {
	e := fullEngine(1, 10, 24)
	e.recovering = false
	loads := e.Loads(0)
	if len(loads) != 1 || loads[0].Cores != 10 {
		t.Fatalf("loads %+v, want one full pool of 10 cores", loads)
	}
	// 3 jobs of 16 core-seconds, 1 h + 0.6 s before their last timely start.
	want := []admission.Team{{Ahead: []admission.Work{{Rank: admission.Rank(0, 1.0/16), Timely: 35840, Useful: 102400, Work: 48}}}}
	if diff := cmp.Diff(want, loads[0].Teams); diff != "" {
		t.Error(diff)
	}
	if loads := e.Loads(4 * time.Hour); len(loads) != 0 {
		t.Errorf("loads %+v of work that is of no use any more, want none", loads)
	}
	e.pools["p0"].completed = 60
	if rate := e.pools["p0"].sampleCompletion(4*time.Hour + 2*time.Second); rate != 30 {
		t.Errorf("the rate of completion is %v core-seconds a second, want 30", rate)
	}
	e.recovering = true
	if loads := e.Loads(0); loads != nil {
		t.Errorf("loads %+v during recovery, want none", loads)
	}
	if loads := fullEngine(1, 10, 8).Loads(0); len(loads) != 0 {
		t.Errorf("loads %+v of a pool that starts all tasks within 2 s, want none", loads)
	}
}

// TestLoadsLeaveOutStepsThatWaitForOthers guards against refusals for work that leaves capacity while its steps wait for others.
func TestLoadsLeaveOutStepsThatWaitForOthers(t *testing.T) {
	e := fullEngine(1, 10, 24)
	e.recovering = false
	step := func(estimate time.Duration, after ...int) workload.Step {
		return workload.Step{Count: 1, Size: placement.Resources{Processors: 1}, Estimate: estimate, After: after}
	}
	spec := &workload.Job{ID: "00000000000000aa", Queue: "p0", Pool: "p0", Steps: []workload.Step{step(4 * time.Second), step(2*time.Second, 0), step(3*time.Second, 1)}}
	e.AddJob(spec, &workload.Progress{State: workload.Queued}, 1, 0, false, 0)
	sum := int64(0)
	for _, w := range e.Loads(0)[0].Teams[0].Ahead {
		sum += w.Work
	}
	if sum != 48+4 {
		t.Errorf("%d core-seconds of work, want 48 and the first step of 4", sum)
	}
}

func TestCriticalPathsAgree(t *testing.T) {
	step := func(estimate time.Duration, after ...int) workload.Step {
		return workload.Step{Count: 1, Estimate: estimate, After: after}
	}
	spec := &workload.Job{ID: "00000000000000aa", Queue: "p0", Pool: "p0", Steps: []workload.Step{step(2), step(3), step(5, 0), step(1, 0, 1), step(4, 2, 3)}}
	e := fullEngine(1, 1, 0)
	e.AddJob(spec, &workload.Progress{State: workload.Queued}, 1, 0, false, 0)
	if got, want := spec.CriticalPath(), e.jobs[spec.ID].criticalPath; got != want || got != 11 {
		t.Errorf("critical path %v of the submitted job, %v in the engine, want 11ns", got, want)
	}
}

// BenchmarkLoads measures the load of 5 full pools with 5,000 waiting tasks.
func BenchmarkLoads(b *testing.B) {
	e := fullEngine(5, 68, 5000)
	for b.Loop() {
		e.Loads(0)
	}
}

// TestWorkBehindALongStepKeepsNoJobOut guards against refusals for work that cannot start while a new job could: here the pool is free from 4.8 s until the step of 20 s has ended.
func TestWorkBehindALongStepKeepsNoJobOut(t *testing.T) {
	for _, tasks := range []int{200, 2000} {
		e := fullEngine(1, 10, 24)
		e.recovering = false
		size := placement.Resources{Processors: 1}
		e.AddJob(&workload.Job{ID: "00000000000000aa", Queue: "p0", Pool: "p0", Steps: []workload.Step{
			{Count: 1, Size: size, Estimate: 20 * time.Second}, {Count: tasks, Size: size, Estimate: time.Second, After: []int{0}},
		}}, &workload.Progress{State: workload.Queued}, 1, 0, false, 0)
		job := admission.Job{Pool: "p0", Rank: 5000, Work: 1, CriticalPath: time.Second, Objective: 3 * time.Second}
		if d := admission.NewGate().Decide(admission.View{State: &admission.State{Entries: 1, Pools: e.Loads(0)}}, job, 0); d.Refused {
			t.Errorf("%d tasks wait for a step: a job that can start after 4.8 s and is of use until 8 s is refused: %+v", tasks, d)
		}
	}
}
