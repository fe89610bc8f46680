package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// longRunningJob returns a job of one long-running step.
func longRunningJob(n, count int, cores float64) *workload.Job {
	job := jobOf(n, count, cores)
	job.Steps[0].LongRunning = true
	return job
}

// addWorkerFor adds a worker whose tasks run until they are stopped.
func (sim *simulation) addWorkerFor(owner *testOwner, id string, cores float64) *fakeWorker {
	f := sim.addWorker(id, "p", cores)
	f.duration = forever
	if owner != nil {
		owner.discover()
	}
	return f
}

// evacuateFor reserves workers and evacuates them for a while.
func (sim *simulation) evacuateFor(d time.Duration, owner *testOwner, ids ...string) {
	reservations := map[string]fleetplan.Reservation{}
	for _, id := range ids {
		reservations[id] = fleetplan.Emptying
	}
	owner.SetReservations(reservations)
	const interval = 100 * time.Millisecond
	for end := sim.now + d; sim.now < end; {
		for _, id := range ids {
			owner.Evacuate(id, sim.now)
		}
		sim.run(interval, owner)
	}
}

func TestEvacuationStopsNoTaskThatFitsNowhereElse(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 4)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 1, 2))
	sim.run(time.Second, owner)
	sim.addWorkerFor(owner, "w2", 1)
	sim.evacuateFor(2*time.Second, owner, "w1")
	if s := owner.Stats(); len(w1.running) != 1 || s.Stops != 0 {
		t.Fatalf("%d tasks left, %d stops, while no other worker has capacity; want 1 and none", len(w1.running), s.Stops)
	}
	w3 := sim.addWorkerFor(owner, "w3", 4)
	sim.evacuateFor(time.Second, owner, "w1")
	if len(w1.running) != 0 || len(w3.running) != 1 {
		t.Errorf("%d tasks left, %d on the worker that has capacity; want 0 and 1", len(w1.running), len(w3.running))
	}
}

// Two workers are evacuated at the same time.
func TestEvacuationsShareTheCapacityElsewhere(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"w1", "w2"} {
		sim.addWorkerFor(nil, id, 2).stopTakes = 300 * time.Millisecond
	}
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 2, 2))
	sim.run(time.Second, owner)
	w3 := sim.addWorkerFor(owner, "w3", 3)
	sim.evacuateFor(4*time.Second, owner, "w1", "w2")
	if s := owner.Stats(); len(w3.running) != 1 || s.Stops != 1 {
		t.Errorf("%d tasks moved with %d stops, want 1 each: the other worker has capacity for one", len(w3.running), s.Stops)
	}
}

// The free capacity elsewhere is for a task whose worker has crashed.
func TestEvacuationLeavesCapacityToTasksOfSilentWorkers(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 2)
	w2 := sim.addWorkerFor(nil, "w2", 2)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 2, 2))
	sim.run(time.Second, owner)
	w2.crash()
	w2.unlisted = true
	w3 := sim.addWorkerFor(owner, "w3", 2)
	sim.evacuateFor(8*time.Second, owner, "w1")
	if len(w1.running) != 1 || len(w3.running) != 1 {
		t.Errorf("%d tasks on the evacuated worker, %d on the other one; want 1 each", len(w1.running), len(w3.running))
	}
}

func TestEvacuationWaitsForATicket(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 2)
	w1.needsTicket = "t1"
	owner := sim.newOwner()
	job := longRunningJob(1, 1, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	w2 := sim.addWorkerFor(owner, "w2", 2)
	w2.needsTicket = "nobody"
	sim.evacuateFor(2*time.Second, owner, "w1")
	if s := owner.Stats(); len(w1.running) != 1 || s.Stops != 0 {
		t.Fatalf("%d tasks left, %d stops, while no other worker is permitted; want 1 and none", len(w1.running), s.Stops)
	}
	w2.needsTicket = "t2"
	sim.evacuateFor(3*time.Second, owner, "w1")
	if len(w1.running) != 0 || len(w2.running) != 1 {
		t.Errorf("%d tasks left, %d on the permitted worker; want 0 and 1", len(w1.running), len(w2.running))
	}
}

// Both workers of the pool are evacuated: neither is a place for the other's tasks.
func TestEvacuationOfAllWorkersStopsNothing(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"w1", "w2"} {
		sim.addWorkerFor(nil, id, 8)
	}
	owner := sim.newOwner()
	job := longRunningJob(1, 2, 2)
	job.Steps[0].MaxPerWorker = 1
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	sim.evacuateFor(2*time.Second, owner, "w1", "w2")
	if s := owner.Stats(); s.Stops != 0 || s.Starts != 2 {
		t.Errorf("%d stops, %d starts; want none and 2", s.Stops, s.Starts)
	}
}
