package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// newQuotaSimulation returns a simulation in which team "a" has a quota of 4 cores
// and must keep it exactly, with workers whose tasks take two seconds.
func newQuotaSimulation(t *testing.T, workers ...string) *simulation {
	sim := newSimulation(t)
	sim.exact = true
	sim.setTeams(map[string]placement.Resources{"a": cores(4), "b": cores(100)})
	for _, id := range workers {
		sim.addWorker(id, "p", 6).duration = lasting(2 * time.Second)
	}
	return sim
}

// wantHeld fails the test if a team does not hold the given processors.
func (sim *simulation) wantHeld(t *testing.T, team string, want float64, when string) {
	t.Helper()
	sim.check()
	if got := sim.heldBy(team).Processors; got != want {
		t.Errorf("%s: team %s holds %v cores, want %v", when, team, got, want)
	}
}

// holding returns a worker's capacity that is held for long-running tasks.
func (owner *testOwner) holding(id string) placement.Resources { return owner.workers[id].held }

func TestTeamAtItsQuotaWaitsWithoutBlockingOthers(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 20, 2))
	sim.submit(owner, jobOfTeam("b", 2, 3, 2))
	sim.submit(owner, jobOf(3, 1, 2))
	sim.run(time.Second, owner)
	sim.wantHeld(t, "a", 4, "at the bound")
	sim.wantHeld(t, "b", 6, "beside it")
	sim.wantHeld(t, "", 2, "without a team")
	sim.run(25*time.Second, owner)
	sim.wantHeld(t, "a", 0, "at the end")
	if state := sim.state(jobOf(1, 1, 1).ID); state != workload.Completed {
		t.Errorf("the job of the team is %s", state)
	}
}

// Small tasks of the team, which rank lower, would fit nearly all the time.
func TestLargeTaskIsNotStarvedByThoseOfItsTeam(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	owner := sim.newOwner()
	for n := range 30 {
		small, large := jobOfTeam("a", 10+n, 2, 1), jobOfTeam("a", 1, 1, 4)
		small.Queue, large.Steps[0].Estimate = "r", 2*time.Second
		sim.submit(owner, small)
		if n == 3 {
			sim.submit(owner, large)
		}
		sim.run(500*time.Millisecond, owner)
	}
	sim.check()
	if state := sim.state(jobOf(1, 1, 1).ID); state != workload.Completed {
		t.Errorf("the large task is %s after 15 s", state)
	}
}

func TestGangStartsWithinTheQuotaOrNotAtAll(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	owner := sim.newOwner()
	gang := jobOfTeam("a", 1, 3, 2)
	gang.Steps[0].Gang = true
	sim.submit(owner, gang)
	single := jobOfTeam("a", 2, 1, 2)
	single.Queue = "r"
	sim.submit(owner, single)
	sim.run(time.Second, owner)
	sim.wantHeld(t, "a", 2, "beside a gang that never fits")
	sim.setTeams(map[string]placement.Resources{"a": cores(6)}, owner)
	sim.run(3*time.Second, owner)
	sim.wantHeld(t, "a", 6, "with a larger quota")
}

func TestFillerCountsWithItsProcessors(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	owner := sim.newOwner()
	job := jobOfTeam("a", 1, 5, 2)
	job.Steps[0].Filler = true
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	sim.wantHeld(t, "a", 4, "with fillers")
}

func TestCopiesStayWithinTheQuota(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	sim.workers["w1"].duration = lasting(20 * time.Second)
	owner := sim.newOwner()
	job := jobOfTeam("a", 1, 2, 2)
	job.Steps[0].Speculative = true
	sim.submit(owner, job)
	sim.run(5*time.Second, owner)
	sim.wantHeld(t, "a", 4, "with tasks that lag behind")
	sim.setTeams(map[string]placement.Resources{"a": cores(8)}, owner)
	sim.run(5*time.Second, owner)
	if state := sim.state(job.ID); state != workload.Completed {
		t.Errorf("no copy was started with a larger quota: the job is %s", state)
	}
}

// The successor does not reach the worker that the starts went to.
func TestStartsInFlightOfAKilledOwnerCount(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); ok {
			return orderFault{lost: true, applied: true, delay: 300 * time.Millisecond}
		}
		return orderFault{}
	}
	sim.submit(owner, jobOfTeam("a", 1, 2, 2))
	sim.submit(owner, jobOfTeam("b", 3, 1, 1))
	sim.run(50*time.Millisecond, owner)
	owner.expired = true
	sim.injectFault = nil
	sim.workers["w1"].reachable = false
	successor := sim.newOwner()
	sim.submit(successor, jobOfTeam("a", 2, 2, 2))
	sim.submit(successor, jobOfTeam("b", 4, 2, 2))
	sim.run(time.Second, owner, successor)
	sim.wantHeld(t, "a", 4, "while the worker is unread")
	sim.wantHeld(t, "b", 5, "far from its bound")
	sim.workers["w1"].reachable = true
	sim.run(9*time.Second, owner, successor)
	sim.check()
	for n := 1; n <= 4; n++ {
		if state := sim.state(jobOf(n, 1, 1).ID); state != workload.Completed {
			t.Errorf("job %d is %s", n, state)
		}
	}
}

// The worker that is cut off has ended its runs only when its lease has expired.
func TestRunsOfAWorkerThatIsCutOffCount(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	for _, f := range sim.workers {
		f.duration = lasting(time.Minute)
	}
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 4, 2))
	sim.run(time.Second, owner)
	w1 := sim.workers["w1"]
	w1.reachable = false
	sim.run(3*time.Second, owner)
	sim.wantHeld(t, "a", 4, "while it is cut off")
	w1.reachable = true
	sim.run(2*time.Second, owner)
	sim.wantHeld(t, "a", 4, "once it is back")
	w1.reachable = false
	sim.run(15*time.Second, owner)
	sim.wantHeld(t, "a", 4, "after its lease")
	w1.reachable = true
	sim.run(5*time.Second, owner)
	sim.wantHeld(t, "a", 4, "once it is back after its lease")
}

// The worker cannot be reached any more when it carries the starts out.
func TestStartsThatAreCarriedOutLateCount(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2", "w3")
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	w1, lost := sim.workers["w1"], 0
	sim.injectFault = func(o Order) orderFault {
		if start, ok := o.(*StartOrder); ok && start.Worker.ID == w1.ID && lost < 2 {
			sim.after(testTick, func() { w1.reachable = false })
			sim.after(4*time.Second, func() { w1.reachable = true })
			lost++
			return orderFault{lost: true, applied: true, delay: 1200 * time.Millisecond}
		}
		return orderFault{}
	}
	sim.submit(owner, jobOfTeam("a", 1, 8, 2))
	for range 200 {
		sim.run(100*time.Millisecond, owner)
		sim.check()
	}
	if state := sim.state(jobOf(1, 1, 1).ID); lost == 0 || state != workload.Completed {
		t.Errorf("%d starts were late, the job is %s", lost, state)
	}
}

// The job is cancelled before the owner changes: its runs are orphans for the successor.
func TestOrphanedRunsCountUntilTheyHaveEnded(t *testing.T) {
	for _, known := range []bool{true, false} {
		sim := newQuotaSimulation(t, "w1", "w2")
		sim.workers["w1"].stopTakes = time.Second
		owner := sim.newOwner()
		job := jobOfTeam("a", 1, 2, 2)
		sim.submit(owner, job)
		sim.run(time.Second, owner)
		owner.expired = true
		sim.records[job.ID].cancelled = known
		if !known {
			sim.records[job.ID].progress.State = workload.Cancelled
		}
		successor := sim.newOwner()
		sim.submit(successor, jobOfTeam("a", 2, 2, 2))
		sim.run(500*time.Millisecond, owner, successor)
		sim.check()
		sim.run(4*time.Second, owner, successor)
		sim.check()
		if state := sim.state(jobOf(2, 1, 1).ID); state != workload.Completed {
			t.Errorf("the next job of the team is %s", state)
		}
	}
}

// No owner has read the job of the run, so that any team may hold it.
func TestOrphanOfAnUnknownJobCountsForEveryTeam(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	w1 := sim.workers["w1"]
	w1.stopTakes = time.Second
	task := workload.TaskID{Job: jobOf(9, 1, 1).ID}
	w1.running[runKey{task, 1}] = &fakeRun{task: task, run: 1, throttlePercent: 100}
	w1.leaseMS = time.Hour.Milliseconds()
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 1, 1))
	sim.submit(owner, jobOfTeam("b", 2, 1, 1))
	sim.submit(owner, jobOf(3, 1, 1))
	sim.run(500*time.Millisecond, owner)
	sim.wantHeld(t, "a", 0, "with less quota than the worker has")
	sim.wantHeld(t, "b", 1, "with more")
	sim.run(time.Second, owner)
	sim.wantHeld(t, "a", 1, "once the orphan has ended")
}

// The successor has read one of two workers when the quota is lowered.
func TestQuotaLoweredDuringATakeoverHolds(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2", "w3")
	for _, f := range sim.workers {
		f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
			return time.Duration(6+task.Index) * time.Second / 2, platform.EndDone
		}
	}
	sim.setTeams(map[string]placement.Resources{"a": cores(12)})
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 8, 2))
	sim.run(time.Second, owner)
	sim.wantHeld(t, "a", 12, "before")
	owner.expired = true
	sim.workers["w2"].reachable = false
	successor := sim.newOwner()
	sim.run(100*time.Millisecond, owner, successor)
	sim.setTeams(map[string]placement.Resources{"a": cores(4)}, owner, successor)
	sim.before = nil // nothing was started that could arrive late
	sim.submit(successor, jobOfTeam("a", 2, 4, 2))
	for range 30 {
		sim.run(100*time.Millisecond, owner, successor)
		sim.check()
	}
	sim.workers["w2"].reachable = true
	for range 300 {
		sim.run(100*time.Millisecond, owner, successor)
		sim.check()
	}
	for n := 1; n <= 2; n++ {
		if state := sim.state(jobOf(n, 1, 1).ID); state != workload.Completed {
			t.Errorf("job %d is %s", n, state)
		}
	}
}

func TestPoolsCountWaitingWorkUpToTheQuota(t *testing.T) {
	sim := newSimulation(t)
	sim.setTeams(map[string]placement.Resources{"a": cores(4)})
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 20, 2))
	if got := owner.load("p").Waiting; got != 4 {
		t.Errorf("%v cores wait of a team with a quota of 4", got)
	}
	sim.submit(owner, jobOf(2, 5, 2))
	if got := owner.load("p").Waiting; got != 14 {
		t.Errorf("%v cores wait, want 4 of the team and 10 without a team", got)
	}
	longRunning := longRunningJob(3, 5, 2)
	longRunning.Team = "b"
	sim.setTeams(map[string]placement.Resources{"a": cores(4), "b": cores(4)}, owner)
	sim.submit(owner, longRunning)
	if got := owner.load("p"); got.LongRunningCores != 4 {
		t.Errorf("long-running tasks hold or wait for %v cores, want the quota of 4", got.LongRunningCores)
	}
}

// The capacity would be kept free for tasks that cannot start.
func TestNoCapacityIsHeldBeyondTheQuota(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	sim.workers["w1"].duration, sim.workers["w2"].duration = forever, forever
	owner := sim.newOwner()
	job := jobOfTeam("a", 1, 6, 2)
	job.Steps[0].LongRunning = true
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	sim.submit(owner, jobOf(2, 4, 2))
	sim.run(time.Second, owner)
	sim.wantHeld(t, "a", 4, "long-running")
	sim.wantHeld(t, "", 8, "without a team")
	if got := owner.holding("w1").Add(owner.holding("w2")); got != (placement.Resources{}) {
		t.Errorf("%+v are held", got)
	}
}

// The record of the workers in use names the only task of the silent worker.
func TestRecordedTasksCountInsteadOfTheWholeWorker(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	sim.workers["w1"].duration = lasting(time.Minute)
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 1, 2))
	sim.run(500*time.Millisecond, owner)
	sim.workers["w1"].reachable = false
	sim.run(1500*time.Millisecond, owner)
	owner.expired = true
	successor := sim.newOwner()
	sim.submit(successor, jobOfTeam("a", 2, 4, 2))
	sim.run(500*time.Millisecond, owner, successor)
	sim.wantHeld(t, "a", 4, "beside the silent worker")
}

// The row could not be read: any number of workers may run tasks of the team.
func TestUnreadableRecordLeavesNothingOfAQuota(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	sim.submit(nil, jobOfTeam("a", 1, 1, 1))
	sim.inUse["unreadable"] = UsedWorker{Worker: estate.Worker{ID: "unreadable", Pool: "p"}}
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 2, 1, 1))
	sim.submit(owner, jobOfTeam("b", 3, 1, 1))
	sim.run(2*time.Second, owner)
	sim.wantHeld(t, "a", 0, "before the leases have expired")
	sim.wantHeld(t, "b", 1, "without a job of a previous owner")
	sim.run(6*time.Second, owner)
	sim.wantHeld(t, "a", 2, "once they have expired")
}
