package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
)

// Each owner is released before the wait for the worker that its predecessor never reached is over.
func TestWaitForALostWorkerDoesNotBeginAnewWithEachOwner(t *testing.T) {
	sim := newSimulation(t)
	sim.replaceRecord = true
	owner, w1, job := sim.runningTask("w2")
	sim.lose(w1, owner, feedDelay)
	ranAt := sim.now
	sim.run(time.Second, owner)
	owner.expired = true
	bound := sim.now + ownershipLease + atSlowClock(testMaxLease) + time.Second
	for sim.now < bound+10*time.Second && !sim.hasRun(job) {
		sim.run(releaseTime)
		owner = sim.newOwnerAfter(-ownershipLease)
		sim.run(4*time.Second, owner)
		owner.expired = true
	}
	if sim.now > bound {
		t.Errorf("the task has no run %v after its last one, though every lease was over after %v", sim.now-ranAt, bound-ranAt)
	}
}

// The other task of the step never becomes ready.
func TestBatchTasksRunWhileALongRunningTaskMayNotBeMoved(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorkerFor(nil, "w1", 2)
	sim.addWorkerFor(nil, "w2", 2).duration = lasting(2 * time.Hour)
	owner := sim.newOwner()
	kept := longRunningJob(1, 2, 2)
	kept.Steps[0].MaxUnavailable, kept.Steps[0].Estimate = 1, time.Hour
	sim.submit(owner, kept)
	sim.run(1500*time.Millisecond, owner)
	w3 := sim.addMixedWorker("w3", 2)
	owner.discover()
	sim.run(200*time.Millisecond, owner)
	owner.SetReservations(map[string]fleetplan.Reservation{"w1": fleetplan.Emptying})
	owner.Evacuate("w1")
	sim.run(100*time.Millisecond, owner)
	sim.fill(owner, 1)
	done := owner.Stats().Done
	sim.evacuateFor(10*time.Second, owner, "w1")
	if got := owner.Stats().Done - done; got == 0 {
		t.Errorf("no batch task has run for 10 s, %d runs on the free worker, %v of it are held", len(w3.running), owner.workers["w3"].held)
	}
}

func TestWorkerThatNoTicketPermitsIsNotNeeded(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 2)
	w1.needsTicket = "t1"
	owner := sim.newOwner()
	for n := range 2 {
		job := longRunningJob(1+n, 1, 2)
		job.Queue = "advised"
		sim.submit(owner, job)
	}
	sim.run(time.Second, owner)
	sim.addWorkerFor(owner, "w2", 2).needsTicket = "nobody"
	sim.run(20*time.Second, owner)
	if owner.isNeeded("w2") {
		t.Error("the worker is kept for a task that its tickets have not permitted there for 20 s")
	}
}

// Workers join the pool one by one, as the planner sends hosts to a pool that lacks one.
func TestTaskThatNoTicketPermitsAsksForFewWorkers(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorkerFor(nil, "w10", 2).needsTicket = "t1"
	owner := sim.newOwner()
	for n := range 2 {
		job := longRunningJob(1+n, 1, 2)
		job.Queue = "advised"
		sim.submit(owner, job)
	}
	sim.run(time.Second, owner)
	lacking := func() bool { return owner.load("p").LongRunningShortfall > 0 }
	joined := 0
	for ; joined < 20 && lacking(); joined++ {
		id := fmt.Sprintf("w%d", 11+joined)
		sim.addWorkerFor(owner, id, 2).needsTicket = "nobody"
		if !owner.isNeeded(id) || lacking() {
			t.Errorf("%s has not been asked about: needed %t, a further worker is asked for %t", id, owner.isNeeded(id), lacking())
		}
		sim.run(3*time.Second, owner)
		if owner.isNeeded(id) {
			t.Errorf("%s is denied, but needed", id)
		}
	}
	if joined != 3 {
		t.Errorf("%d workers were asked for, want 3", joined)
	}
	f := sim.addWorkerFor(owner, "w99", 2)
	f.needsTicket = "t99"
	sim.run(5*time.Second, owner)
	if len(f.running) != 1 {
		t.Error("the task does not run on the worker that permits it")
	}
}

func TestPermittedWorkerIsNeededRatherThanAnUnknownOne(t *testing.T) {
	sim := newSimulation(t)
	w2 := sim.addWorkerFor(nil, "w2", 2)
	w3 := sim.addWorker("w3", "p", 2)
	w2.needsTicket, w3.needsTicket = "t2", "t3"
	owner := sim.newOwner()
	job := longRunningJob(1, 1, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(2*time.Second, owner)
	if len(w2.running) != 1 {
		t.Fatal("the task does not run on w2")
	}
	sim.addWorkerFor(owner, "w1", 2).needsTicket = "nobody"
	owner.SetReservations(map[string]fleetplan.Reservation{"w2": fleetplan.Emptying})
	if owner.isNeeded("w1") || !owner.isNeeded("w3") {
		t.Errorf("needed are w1 (never asked about): %t, w3 (permitted): %t; want w3 alone", owner.isNeeded("w1"), owner.isNeeded("w3"))
	}
}

// isNeeded reports whether a worker of pool "p" is kept for long-running tasks.
func (owner *testOwner) isNeeded(id string) bool {
	return slices.ContainsFunc(owner.load("p").Workers, func(w fleetplan.Worker) bool { return w.ID == id && w.Needed })
}

// The answers of all workers come late at the same time.
func TestPauseOfThisProcessIsNoShortfallOfWorkers(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"w1", "w2", "w3"} {
		sim.addWorkerFor(nil, id, 2)
	}
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 3, 2))
	sim.run(2*time.Second, owner)
	sim.injectFault = func(Order) orderFault { return orderFault{lost: true} }
	for range 20 {
		sim.run(100*time.Millisecond, owner)
		if got := owner.load("p").LongRunningShortfall; got > 0 {
			t.Fatalf("%d further workers are asked for while no worker has answered since", got)
		}
	}
}

// The task of the wave's first host fits on no other worker, and no host is spare.
func TestWaveReachesThePoolsBesideATaskThatFitsNowhereElse(t *testing.T) {
	s := newEstate(t, 1, map[string]int{"a": 2, "b": 3, "c": 2, "d": 2})
	s.advance(time.Second)
	for _, pool := range []string{"a", "c", "d"} {
		s.submitTasks(pool, longRunningStep(2, 1, 3<<10, 1))
	}
	s.submitTasks("b", longRunningStep(4, 1, 3<<10, 2))
	s.surge("b", 60, 90*time.Second)
	s.advance(3 * time.Second)
	last := s.poolHosts("b")[0].name
	s.startWave([]string{s.poolHosts("a")[0].name, last}, 10*time.Second, 1)
	s.advance(60 * time.Second)
	if got := s.planner.MaintenanceStarted(1); !slices.Contains(got, last) {
		t.Errorf("maintained 50 s after the end of the wave are %v, want %s among them; reserved are %v", got, last, s.planner.Reservations())
	}
}
