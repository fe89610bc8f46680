package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// forever runs until it is stopped.
func forever(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }

// TestStalledTaskIsRestartedElsewhere simulates a worker that answers, but
// whose runs make no progress.
func TestStalledTaskIsRestartedElsewhere(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8).stalls = true
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(300*time.Millisecond, owner)
	sim.addWorker("w2", "p", 8)
	owner.discover()
	sim.run(4*time.Second, owner)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestSlowTaskGetsACopyOnlyIfItsJobPermitsIt simulates a run that takes much
// longer than its estimate.
func TestSlowTaskGetsACopyOnlyIfItsJobPermitsIt(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		sim := newSimulation(t)
		slow := sim.addWorker("w1", "p", 2)
		slow.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return 20 * time.Second, platform.EndDone }
		owner := sim.newOwner()
		job := jobOf(1, 1, 2)
		job.Steps[0].Speculative = speculative
		sim.submit(owner, job)
		sim.run(200*time.Millisecond, owner)
		sim.addWorker("w2", "p", 2)
		owner.discover()
		slow.reachable = !speculative // a copy is also started if the worker does not answer
		sim.run(3*time.Second, owner)
		if done := sim.state(job.ID) == workload.Completed; done != speculative {
			t.Errorf("speculative %v: done after 3 s is %v", speculative, done)
		}
	}
}

// TestStartsCarryTheTicketOfTheirWorker simulates workers that refuse a start
// without their own ticket. One of them gets no ticket at all.
func TestStartsCarryTheTicketOfTheirWorker(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8).needsTicket = "nobody"
	sim.addWorker("w2", "p", 8).needsTicket = "t2"
	owner := sim.newOwner()
	job := jobOf(1, 3, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(2*time.Second, owner)
	sim.check()
	if s := owner.Stats(); sim.state(job.ID) != workload.Completed || s.TicketsRefused != 0 {
		t.Errorf("state %q, %d tickets refused; want completed and none", sim.state(job.ID), s.TicketsRefused)
	}
}

// TestFillersAreSlowedBesideAServingTask simulates a filler that raises the
// tail latency of a serving task above its target.
func TestFillersAreSlowedBesideAServingTask(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	f.tailLatency = 200
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].LongRunning, job.Steps[0].TailTarget = true, 100*time.Millisecond
	job.Steps = append(job.Steps, workload.Step{Count: 1, Size: placement.Resources{Processors: 8}, Filler: true, Estimate: time.Hour})
	sim.submit(owner, job)
	sim.run(5*time.Second, owner)
	throttlePercent := -1
	for _, r := range f.running {
		if r.task.Step == 1 {
			throttlePercent = r.throttlePercent
		}
	}
	if throttlePercent < 0 || throttlePercent > 50 {
		t.Errorf("the filler is throttled to %d percent, want it running at 50 or less", throttlePercent)
	}
}

// TestGangStartsWholeOrNotAtAll guards against a gang of which only some tasks
// start because there is capacity for some only.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 3)
	owner := sim.newOwner()
	job := jobOf(1, 2, 2)
	job.Steps[0].Gang = true
	sim.submit(owner, job)
	sim.run(500*time.Millisecond, owner)
	if len(f.running) != 0 {
		t.Fatalf("%d members of a gang of 2 run", len(f.running))
	}
	sim.addWorker("w2", "p", 3)
	owner.discover()
	sim.run(2*time.Second, owner)
	sim.check()
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

func TestScheduledOccurrencesStartWhenTheyAreDue(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Schedule = &workload.Schedule{StartMS: 1000, Interval: time.Second, Occurrences: 2}
	sim.submit(owner, job)
	sim.run(900*time.Millisecond, owner)
	if got := owner.Stats().Starts; got != 0 {
		t.Fatalf("%d starts before the first is due", got)
	}
	sim.run(700*time.Millisecond, owner)
	if got := owner.Stats().Starts; got != 1 || sim.state(job.ID) != workload.Running {
		t.Errorf("%d starts, state %q after the first occurrence; want 1 and running", got, sim.state(job.ID))
	}
	sim.run(time.Second, owner)
	if got := sim.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q after the last occurrence, want completed", got)
	}
}

// newOwnerWithClockBack starts the second occurrence of a job and creates an owner
// whose time of day is a second behind.
func newOwnerWithClockBack(t *testing.T) (*simulation, *testOwner, *workload.Job) {
	t.Helper()
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8)
	sim.addWorker("w2", "p", 8)
	owner := sim.newOwner()
	job := jobOf(1, 2, 2)
	job.Schedule = &workload.Schedule{StartMS: 1000, Interval: time.Second, Occurrences: 2}
	sim.submit(owner, job)
	sim.run(2100*time.Millisecond, owner)
	owner.paused = true
	sim.clockStep = -time.Second
	return sim, sim.newOwner(), job
}

// An owner whose time of day is behind that of its predecessor finds a run of an occurrence that is not due by its own clock.
func TestRunOfAnOccurrenceThatIsDueByAnotherClockGoesOn(t *testing.T) {
	sim, owner, job := newOwnerWithClockBack(t)
	sim.run(100*time.Millisecond, owner)
	if s := owner.Stats(); s.Stops > 0 || s.OrphansStopped > 0 {
		t.Errorf("%d stops, %d of orphaned runs; want none", s.Stops, s.OrphansStopped)
	}
	sim.run(3*time.Second, owner)
	sim.check()
	if s := sim.state(job.ID); s != workload.Completed {
		t.Errorf("state %s, want completed", s)
	}
}

// The run has ended before the owner whose time of day is behind reads it, and its end is not recorded.
func TestEndedOccurrenceThatIsDueByAnotherClockDoesNotRunAgain(t *testing.T) {
	sim, owner, job := newOwnerWithClockBack(t)
	owner.paused = true // until the runs have ended
	sim.run(400*time.Millisecond, owner)
	owner.paused = false
	sim.run(3*time.Second, owner)
	sim.check()
	if s := sim.state(job.ID); s != workload.Completed {
		t.Errorf("state %s, want completed", s)
	}
}

// TestTermsOfPlacement checks required labels, MaxPerWorker and the
// dependencies of steps.
func TestTermsOfPlacement(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"w1", "w2", "w3"} {
		sim.addWorker(id, "p", 8).duration = forever
	}
	sim.workers["w1"].Labels = []string{"b", "rack"}
	owner := sim.newOwner()
	job := jobOf(1, 4, 1)
	job.Steps[0].Requires, job.Steps[0].MaxPerWorker = "a", 2
	job.Steps = append(job.Steps, workload.Step{Count: 1, Size: placement.Resources{Processors: 1}, After: []int{0}})
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	var counts []int
	for _, id := range []string{"w1", "w2", "w3"} {
		counts = append(counts, len(sim.workers[id].running))
	}
	if !slices.Equal(counts, []int{0, 2, 2}) {
		t.Errorf("tasks by worker are %v, want [0 2 2]", counts)
	}
}

// TestLastingTaskIsInterruptedWithinItsBound evacuates a worker that runs two
// of three long-running tasks of a step, of which at most one may be
// unavailable.
func TestLastingTaskIsInterruptedWithinItsBound(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 4)
	sim.addWorker("w2", "p", 8)
	for _, x := range sim.workers {
		x.duration = forever
	}
	owner := sim.newOwner()
	job := jobOf(1, 3, 2)
	job.Steps[0].LongRunning, job.Steps[0].MaxUnavailable = true, 1
	sim.submit(owner, job)
	sim.run(2*time.Second, owner)
	owner.SetReservations(map[string]fleetplan.Reservation{"w1": fleetplan.Emptying})
	worst := 0
	for range 600 {
		owner.Evacuate("w1")
		sim.run(testTick, owner)
		unavailable := 3
		for _, x := range sim.workers {
			for _, r := range x.running {
				if x.percent(r, sim.now) >= 100 {
					unavailable--
				}
			}
		}
		worst = max(worst, unavailable)
	}
	if len(f.running) != 0 || worst > 1 {
		t.Errorf("%d tasks left, up to %d unavailable at once; want none and at most 1", len(f.running), worst)
	}
}

// TestWaitingTasksReportTheWorkersTheyNeed guards against a fleet planner that
// does not learn how many workers the waiting long-running tasks need because
// of MaxPerWorker.
func TestWaitingTasksReportTheWorkersTheyNeed(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 8).duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	owner := sim.newOwner()
	job := jobOf(1, 5, 1)
	job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker = true, 2
	sim.submit(owner, job)
	sim.run(300*time.Millisecond, owner)
	for _, p := range owner.Pools(sim.now) {
		if got := len(p.Workers) + p.LongRunningShortfall; p.Name == "p" && got != 3 {
			t.Errorf("tasks need %d workers, want 3: five tasks, at most two per worker", got)
		}
	}
}

// The entry is of another incarnation, and the next poll tells which one lives.
func TestNothingStartsOnAWorkerThatMayHaveRestarted(t *testing.T) {
	sim := newSimulation(t)
	sim.run(time.Second)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 1))
	sim.run(500*time.Millisecond, owner)
	other := f.Worker
	other.StartedMS--
	owner.WorkerListed(other, sim.now)
	sim.submit(owner, jobOf(2, 1, 1))
	for _, o := range owner.Decide(sim.now, OwnershipValid) {
		if start, ok := o.(*StartOrder); ok {
			t.Errorf("%v is started on it", start.Task)
		}
		sim.deliver(owner, o)
	}
	sim.run(500*time.Millisecond, owner)
	if len(f.running) != 2 {
		t.Errorf("%d tasks run after the worker has answered, want 2", len(f.running))
	}
}
