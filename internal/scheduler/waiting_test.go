package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
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
	t.Parallel()
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

// removeQueue gives the owner a catalog without a queue.
func (sim *simulation) removeQueue(owner *testOwner, name string) {
	c := sim.catalog()
	queues := slices.DeleteFunc(slices.Collect(maps.Values(c.Queues)), func(q *estate.Queue) bool { return q.Name == name })
	sim.estateCatalog = estate.NewCatalog(c.Version+1, queues, slices.Collect(maps.Values(c.Pools)), c.Limits)
	owner.SetCatalog(sim.estateCatalog)
}

func TestTaskOfARemovedQueueStillGetsItsTicket(t *testing.T) {
	sim := newSimulation(t)
	first := sim.addWorkerFor(nil, "w1", 2)
	first.needsTicket = "t1"
	owner := sim.newOwner()
	job := longRunningJob(1, 1, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	sim.addWorkerFor(owner, "w2", 8).needsTicket = "t2"
	sim.run(time.Second, owner)
	sim.removeQueue(owner, job.Queue)
	ranAt := sim.now
	sim.lose(first, owner, feedDelay)
	owner.listsWithout(first.ID, hostListDelay)
	sim.checkRestart(t, job, ranAt, ranAt, owner)
	if got := owner.Stats().TicketsRefused; got > 0 {
		t.Errorf("%d starts were refused for lack of a ticket, want none", got)
	}
}

func TestJobOfARemovedQueueKeepsItsAttempts(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	owner := sim.newOwner()
	job := jobOf(1, 1, 1)
	sim.submit(owner, job)
	sim.run(100*time.Millisecond, owner)
	sim.removeQueue(owner, job.Queue)
	for _, r := range f.runs() {
		f.end(r, platform.EndFailed, sim.now)
	}
	sim.run(2*time.Second, owner)
	if state := sim.records[job.ID].progress.State; state != workload.Completed {
		t.Errorf("the job is %v after one failed run, its queue permitted 2 when it was accepted", state)
	}
}

func TestSuccessorKeepsTheAttemptsOfARemovedQueue(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	owner := sim.newOwner()
	job := jobOf(1, 1, 1)
	job.Terms = sim.catalog().Queues[job.Queue]
	sim.submit(owner, job)
	sim.removeQueue(owner, job.Queue)
	sim.run(100*time.Millisecond, owner)
	owner = sim.newOwner()
	sim.run(100*time.Millisecond, owner)
	for _, r := range f.runs() {
		f.end(r, platform.EndFailed, sim.now)
	}
	sim.run(2*time.Second, owner)
	if state := sim.records[job.ID].progress.State; state != workload.Completed {
		t.Errorf("the job is %v after one failed run, its queue permitted 2 when it was accepted", state)
	}
}

// The order is refused as busy, and repeated with each plan.
func TestTaskGetsTheLabelledWorkerWhoseHostOrderIsRefused(t *testing.T) {
	s := newEstate(t, 1, map[string]int{"a": 4, "b": 2, "c": 2, "d": 2})
	labelled := s.poolHosts("a")[3]
	labelled.worker.Labels = []string{"gpu", "rack"}
	s.advance(time.Second)
	s.submitTasks("a", longRunningStep(2, 1, 1<<10, 0))
	s.advance(3 * time.Second)
	labelled.leaving = true
	s.startWave([]string{labelled.name}, 10*time.Second, 1)
	s.advance(10 * time.Second)
	step := longRunningStep(1, 1, 1<<10, 0)
	step.Requires = "gpu"
	job := s.submitTasks("a", step)
	s.advance(restartTime + outageBound)
	if !s.hasRun(job) {
		t.Errorf("the task has no run after %v, its worker is idle and %v", restartTime+outageBound, s.owner.workers[labelled.worker.ID].reservation)
	}
}

// A usable worker has the capacity, but no ticket permits the step there.
func TestTaskStartsOnAnEmptyingWorkerIfNoTicketPermitsAnother(t *testing.T) {
	sim := newSimulation(t)
	emptying := sim.addWorkerFor(nil, "w1", 2)
	emptying.needsTicket = "t1"
	sim.addWorkerFor(nil, "w2", 2).needsTicket = "nobody"
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	owner.SetReservations(map[string]fleetplan.Reservation{"w1": fleetplan.Emptying})
	job := longRunningJob(1, 1, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(20*time.Second, owner)
	if emptying.runsOf(job) != 1 {
		t.Errorf("%d runs after 20 s on the only worker that the policy of the queue permits, want 1", emptying.runsOf(job))
	}
}

// The long-running tasks of the wave's host fit nowhere else, and no host is spare.
func TestBatchTasksRunOnAWorkerThatCannotBeEmptied(t *testing.T) {
	s := newEstate(t, 1, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2})
	s.advance(time.Second)
	for _, pool := range simPools {
		s.submitTasks(pool, longRunningStep(2, 1, 2<<10, 1))
	}
	s.submitTasks("a", longRunningStep(1, 1, 26<<10, 0))
	s.advance(3 * time.Second)
	host := s.workerOf("a", false)
	s.startWave([]string{host.name}, 10*time.Second, 1)
	s.advance(5 * time.Second)
	job := s.submitTasks("a", workload.Step{Count: 1, Size: placement.Resources{Processors: 1, MemoryMB: 8 << 10}, Estimate: time.Second})
	s.advance(time.Minute)
	if state := s.records[job.ID].progress.State; state != workload.Completed {
		t.Errorf("the job is %v after a minute, the worker with capacity for 3 such jobs is %v", state, s.owner.workers[host.worker.ID].reservation)
	}
}

// drainingWorkerWithATask returns an estate in which a long-running task runs on a
// worker that is emptied for another pool: when it was placed, it fitted on no other.
func drainingWorkerWithATask(t *testing.T) *estateSimulation {
	s := newEstate(t, 1, map[string]int{"a": 5, "b": 1, "c": 2, "d": 2})
	batch := func(count, memoryMB int) *workload.Job {
		return s.submitTasks("a", workload.Step{Count: count, MaxPerWorker: 1, Size: placement.Resources{Processors: 1, MemoryMB: memoryMB}, Estimate: 12 * time.Second})
	}
	s.advance(time.Second)
	batch(5, 1<<10)
	for _, pool := range []string{"c", "d"} {
		s.submitTasks(pool, longRunningStep(2, 1, 1<<10, 1))
	}
	s.advance(500 * time.Millisecond)
	s.submitTasks("b", longRunningStep(2, 1, 1<<10, 1))
	s.advance(500 * time.Millisecond)
	large := batch(3, 28<<10)
	s.advance(500 * time.Millisecond)
	s.submitTasks("a", longRunningStep(1, 1, 8<<10, 0))
	s.run(50*time.Millisecond, s.owner)
	for _, f := range sorted(s.workers) {
		for _, r := range f.runs() {
			if r.task.Job == large.ID && r.task.Index == 0 {
				f.end(r, platform.EndDone, s.now) // before the next plan
			}
		}
	}
	s.run(20*time.Millisecond, s.owner)
	if got := s.reservedWithTasks(); len(got) != 1 {
		t.Fatalf("reserved workers with long-running tasks are %v, want one", got)
	}
	s.advance(500 * time.Millisecond)
	return s
}

// reservedWithTasks returns the reserved workers that run long-running tasks.
func (s *estateSimulation) reservedWithTasks() []string {
	var list []string
	for id := range s.planner.Reservations() {
		if w := s.owner.workers[id]; w != nil && len(w.longRunning) > 0 {
			list = append(list, id)
		}
	}
	return list
}

func TestDrainingWorkerWithALongRunningTaskIsReopenedOrEmptied(t *testing.T) {
	s := drainingWorkerWithATask(t)
	s.advance(40 * time.Second)
	if got := s.reservedWithTasks(); len(got) > 0 {
		t.Errorf("%v are closed to other tasks for 40 s, and their long-running tasks stay there", got)
	}
}

func TestWaveTakesTheHostThatIsKeptForATaskOfADrainingWorker(t *testing.T) {
	s := drainingWorkerWithATask(t)
	s.advance(15 * time.Second)
	hosts := slices.DeleteFunc(s.hostNames("a"), func(name string) bool { return slices.Contains(s.reservedWithTasks(), s.hosts[name].worker.ID) })
	s.startWave(hosts, 10*time.Second, 1)
	s.advance(time.Minute)
	if got := s.planner.MaintenanceStarted(1); len(got) < len(hosts) {
		t.Errorf("maintained 50 s after the end of the wave are %v of %v", got, hosts)
	}
}

// A successor adopts the filler, and the serving task is well below its target by then.
func TestSuccessorReleasesAThrottledFiller(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	f.tailLatency = 200
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].LongRunning, job.Steps[0].TailTarget = true, 100*time.Millisecond
	job.Steps = append(job.Steps, workload.Step{Count: 1, Size: placement.Resources{Processors: 8}, Filler: true, LongRunning: true, Estimate: time.Hour})
	sim.submit(owner, job)
	sim.run(10*time.Second, owner)
	percent := func() int {
		for _, r := range f.runs() {
			if r.task.Step == 1 {
				return r.throttlePercent
			}
		}
		return -1
	}
	f.tailLatency = 20
	before := percent()
	owner = sim.newOwner()
	sim.run(20*time.Second, owner)
	if percent() < 100 {
		t.Errorf("throttled to %d percent after 20 s under the successor, %d before", percent(), before)
	}
}

func TestFillerIsReleasedOnceItsServingTaskHasLeft(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	f.tailLatency = 200
	owner := sim.newOwner()
	serving := jobOf(1, 1, 2)
	serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, 100*time.Millisecond
	sim.submit(owner, serving)
	filler := jobOf(2, 1, 8)
	filler.Steps[0].LongRunning, filler.Steps[0].Filler = true, true
	sim.submit(owner, filler)
	sim.run(10*time.Second, owner)
	percent := func() int {
		for _, r := range f.runs() {
			if r.task.Job == filler.ID {
				return r.throttlePercent
			}
		}
		return -1
	}
	if percent() == 100 {
		t.Fatal("the filler is not throttled beside a slow serving task")
	}
	owner.Cancel(serving.ID, 1, sim.now)
	sim.run(20*time.Second, owner)
	if percent() < 100 {
		t.Errorf("throttled to %d percent 20 s after the serving task was cancelled", percent())
	}
}

// Only one task of the gang fits elsewhere, and a gang ends with each of its tasks.
func TestEvacuationStopsNoGangThatFitsNowhereElse(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorkerFor(nil, "w1", 2)
	sim.addWorkerFor(nil, "w2", 2)
	owner := sim.newOwner()
	job := longRunningJob(1, 2, 2)
	job.Steps[0].Gang = true
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	sim.addWorkerFor(owner, "w3", 2)
	sim.evacuateFor(2*time.Second, owner, "w1", "w2")
	if s := owner.Stats(); s.Stops != 0 {
		t.Errorf("%d tasks of the gang were stopped, want none", s.Stops)
	}
}
