package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
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

func TestLongRunningTaskStartsOnAnEmptyingWorkerIfItFitsNowhereElse(t *testing.T) {
	for _, c := range []struct {
		name   string
		close  func(owner *testOwner, w *worker)
		starts bool
	}{
		{"emptying", func(owner *testOwner, w *worker) { w.reservation = fleetplan.Emptying }, true},
		{"ordered", func(owner *testOwner, w *worker) { w.reservation = fleetplan.Ordered }, false},
		{"set aside", func(owner *testOwner, w *worker) { w.setAsideUntil = time.Hour }, true},
		{"emptying and set aside", func(owner *testOwner, w *worker) {
			w.reservation, w.setAsideUntil = fleetplan.Emptying, time.Hour
		}, true},
		{"paused", func(owner *testOwner, w *worker) { w.pauseUntil(time.Hour) }, false},
		{"emptying and paused", func(owner *testOwner, w *worker) {
			w.reservation = fleetplan.Emptying
			w.pauseUntil(time.Hour)
		}, false},
		{"emptying and draining", func(owner *testOwner, w *worker) { w.reservation, w.Draining = fleetplan.Emptying, true }, false},
		{"emptying and not listed", func(owner *testOwner, w *worker) {
			w.reservation = fleetplan.Emptying
			owner.WorkerUnlisted(w.ID, owner.sim.now)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t)
			full := sim.addWorkerFor(nil, "w1", 1)
			w2 := sim.addWorkerFor(nil, "w2", 8)
			owner := sim.newOwner()
			sim.run(200*time.Millisecond, owner)
			c.close(owner, owner.workers["w2"])
			sim.submit(owner, longRunningJob(1, 2, 2))
			sim.submit(owner, jobOf(2, 1, 2))
			sim.run(time.Second, owner)
			want := 0
			if c.starts {
				want = 2
			}
			if len(w2.running) != want || len(full.running) != 0 {
				t.Errorf("%d tasks run, want %d", len(w2.running), want)
			}
			for _, r := range w2.running {
				if r.task.Job != longRunningJob(1, 2, 2).ID {
					t.Errorf("task %v runs, which is not long-running", r.task)
				}
			}
		})
	}
}

func TestLongRunningTaskPrefersAUsableWorker(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 2)
	w2 := sim.addWorkerFor(nil, "w2", 8)
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	owner.SetReservations(map[string]fleetplan.Reservation{"w1": fleetplan.Emptying})
	sim.submit(owner, longRunningJob(1, 1, 2))
	sim.run(time.Second, owner)
	if len(w1.running) != 0 || len(w2.running) != 1 {
		t.Errorf("%d tasks on the emptying worker, %d on the usable one; want 0 and 1", len(w1.running), len(w2.running))
	}
}

// The task is not stopped again until another worker can take it.
func TestTaskOnAnEmptyingWorkerIsNotStoppedAtOnce(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 8)
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	owner.SetReservations(map[string]fleetplan.Reservation{"w1": fleetplan.Emptying})
	sim.submit(owner, longRunningJob(1, 1, 2))
	sim.evacuateFor(2*time.Second, owner, "w1")
	if s := owner.Stats(); s.Starts != 1 || s.Stops != 0 {
		t.Fatalf("%d starts, %d stops; want 1 and none", s.Starts, s.Stops)
	}
	w2 := sim.addWorkerFor(owner, "w2", 8)
	sim.evacuateFor(time.Second, owner, "w1")
	if len(w1.running) != 0 || len(w2.running) != 1 {
		t.Errorf("%d tasks left, %d on the new worker; want 0 and 1", len(w1.running), len(w2.running))
	}
}

func TestTaskThatSetItsWorkerAsideWaitsForIt(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) {
		return 100 * time.Millisecond, platform.EndFailed
	}
	owner := sim.newOwner()
	for n := range failedJobsToSetAside {
		sim.submit(owner, longRunningJob(1+n, 1, 2))
	}
	sim.run(300*time.Millisecond, owner)
	if owner.Stats().WorkersSetAside == 0 {
		t.Fatal("the worker is not set aside")
	}
	starts := owner.Stats().Starts
	sim.run(time.Second, owner)
	if got := owner.Stats().Starts - starts; got != 0 {
		t.Errorf("%d starts on the worker that was set aside for failures of the same tasks", got)
	}
}

func TestTaskWithoutRunNamesNoReservationThatItMayIgnore(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorkerFor(nil, "w1", 1)
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	owner.SetReservations(map[string]fleetplan.Reservation{"w1": fleetplan.Emptying})
	sim.submit(owner, longRunningJob(1, 1, 2))
	sim.submit(owner, jobOf(2, 1, 2))
	sim.run(200*time.Millisecond, owner)
	for id, want := range map[string]string{longRunningJob(1, 1, 2).ID: "no capacity", jobOf(2, 1, 2).ID: "emptying"} {
		if got := owner.passedOver(owner.jobs[id].find(0, 0, 0), owner.workers["w1"], sim.now); got != want {
			t.Errorf("job %s: passed over for %q, want %q", id, got, want)
		}
	}
}

// leave lets a worker announce that it ends, repeats its entry and ends it. It
// calls check after each step.
func (sim *simulation) leave(f *fakeWorker, after time.Duration, owner *testOwner, check func(remaining time.Duration)) {
	const heartbeat = 250 * time.Millisecond
	f.Draining = true
	for f.Remaining = after; f.Remaining > 0; f.Remaining -= heartbeat {
		owner.discover()
		for left := f.Remaining; left > f.Remaining-heartbeat; left -= testTick {
			sim.run(testTick, owner)
			check(left)
		}
	}
	f.crash()
	f.unlisted = true
	owner.discover()
}

// notReady counts the tasks of a job of one step that are not at work.
func (sim *simulation) notReady(job *workload.Job) int {
	n := job.Steps[0].Count
	for _, f := range sim.workers {
		for _, r := range f.running {
			if r.task.Job == job.ID && f.percent(r, sim.now) >= 100 {
				n--
			}
		}
	}
	return n
}

func TestLongRunningTasksAreNotLostWithAWorkerThatLeaves(t *testing.T) {
	for _, maxUnavailable := range []int{0, 1} {
		sim := newSimulation(t)
		w1 := sim.addWorkerFor(nil, "w1", 16)
		owner := sim.newOwner()
		job := longRunningJob(1, 8, 2)
		job.Steps[0].MaxUnavailable = maxUnavailable
		sim.submit(owner, job)
		sim.run(2*time.Second, owner)
		w2 := sim.addWorkerFor(owner, "w2", 16)
		sim.run(200*time.Millisecond, owner)
		worst, left := 0, 0
		sim.leave(w1, 6*time.Second, owner, func(remaining time.Duration) {
			if remaining > leaveMargin+200*time.Millisecond {
				worst = max(worst, sim.notReady(job))
			}
			left = len(w1.running)
		})
		sim.run(time.Second, owner)
		sim.check()
		if s := owner.Stats(); left != 0 || len(w2.running) != 8 || s.LostRuns != 0 {
			t.Errorf("MaxUnavailable %d: %d tasks left at the end of the worker, %d on the other one, %d lost; want 0, 8 and 0", maxUnavailable, left, len(w2.running), s.LostRuns)
		}
		if maxUnavailable > 0 && worst > maxUnavailable {
			t.Errorf("up to %d tasks are unavailable at once while there is time, want at most %d", worst, maxUnavailable)
		}
	}
}

func TestTaskStaysOnAWorkerThatLeavesWhileItFitsNowhereElse(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 8)
	sim.addWorkerFor(nil, "w2", 1)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 1, 2))
	sim.run(time.Second, owner)
	left := 0
	sim.leave(w1, 4*time.Second, owner, func(time.Duration) { left = len(w1.running) })
	if s := owner.Stats(); left != 1 || s.Stops != 0 {
		t.Errorf("%d tasks left, %d stops; want 1 and none", left, s.Stops)
	}
}

// A worker that announces no remaining time may stay for long.
func TestTasksLeaveWithinTheirBoundIfTheEndIsUnknown(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 8)
	owner := sim.newOwner()
	job := longRunningJob(1, 4, 2)
	job.Steps[0].MaxUnavailable = 1
	sim.submit(owner, job)
	sim.run(2*time.Second, owner)
	w2 := sim.addWorkerFor(owner, "w2", 8)
	sim.run(200*time.Millisecond, owner)
	w1.Draining = true
	worst := 0
	for range 40 {
		owner.discover()
		sim.run(200*time.Millisecond, owner)
		worst = max(worst, sim.notReady(job))
	}
	if worst > 1 || len(w2.running) != 4 {
		t.Errorf("up to %d tasks unavailable at once, %d moved; want at most 1 and 4", worst, len(w2.running))
	}
}

func TestOwnerWithoutALeaseStopsNoTaskOfAWorkerThatLeaves(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 8)
	sim.addWorkerFor(nil, "w2", 8)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 1, 2))
	sim.run(time.Second, owner)
	owner.expired = true
	w1.Draining, w1.Remaining = true, 9*time.Second
	owner.discover()
	sim.run(2*time.Second, owner)
	if s := owner.Stats(); s.Stops != 0 {
		t.Errorf("%d stops by an owner that may start nothing", s.Stops)
	}
}

// load returns the load of a pool.
func (owner *testOwner) load(pool string) fleetplan.Pool {
	for _, p := range owner.Pools(owner.sim.now) {
		if p.Name == pool {
			return p
		}
	}
	return fleetplan.Pool{}
}

func TestLoadCountsTasksWhoseWorkerHasLeft(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 8)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 3, 2))
	sim.run(time.Second, owner)
	w2 := sim.addWorkerFor(owner, "w2", 4)
	w1.crash()
	w1.unlisted = true
	owner.discover()
	for range 40 {
		if got := owner.load("p"); got.LongRunningCores != 6 {
			t.Fatalf("the load is %v cores at %v, want 6", got.LongRunningCores, sim.now)
		}
		sim.run(200*time.Millisecond, owner)
	}
	if len(w2.running) != 2 {
		t.Errorf("%d tasks are placed again, want 2", len(w2.running))
	}
}

func TestShortfallCountsTheWorkersThatTasksNeed(t *testing.T) {
	reserve := func(r fleetplan.Reservation) func(*testOwner) {
		return func(owner *testOwner) { owner.workers["w1"].reservation = r }
	}
	for _, c := range []struct {
		name string
		// free is the capacity of a second worker, 0 for none.
		free   float64
		job    func(job *workload.Job)
		change func(owner *testOwner)
		want   int
	}{
		{name: "all tasks run"},
		{name: "draining", change: func(owner *testOwner) { owner.workers["w1"].Draining = true }, want: 1},
		{name: "draining, capacity elsewhere", free: 8, change: func(owner *testOwner) { owner.workers["w1"].Draining = true }},
		{name: "draining, capacity for some elsewhere", free: 5, change: func(owner *testOwner) { owner.workers["w1"].Draining = true }, want: 1},
		{name: "emptying", change: reserve(fleetplan.Emptying), want: 1},
		{name: "emptying, capacity elsewhere", free: 8, change: reserve(fleetplan.Emptying)},
		{name: "silent", change: func(owner *testOwner) { owner.workers["w1"].failedPolls = 1 }, want: 1},
		{name: "unlisted, pool is empty", change: func(owner *testOwner) { owner.WorkerUnlisted("w1", owner.sim.now) }, want: 1},
		{name: "unlisted, other capacity does not answer", free: 8, change: func(owner *testOwner) {
			owner.WorkerUnlisted("w1", owner.sim.now)
			owner.workers["w2"].failedPolls = 1
		}, want: 1},
		{name: "being stopped", change: func(owner *testOwner) {
			for _, r := range owner.workers["w1"].runs {
				r.phase = runStopping
			}
		}, want: 1},
		{name: "set aside worker keeps its tasks", change: func(owner *testOwner) { owner.workers["w1"].setAsideUntil = time.Hour }},
		{name: "no run", job: func(job *workload.Job) { job.Steps[0].Count = 6 }, want: 1},
		{name: "no run, two workers needed", job: func(job *workload.Job) { job.Steps[0].Count = 9 }, want: 2},
		{name: "memory", job: func(job *workload.Job) { job.Steps[0].Size = placement.Resources{Processors: 0.1, MemoryMB: 1 << 19} }, want: 1},
		{name: "bound on tasks of a worker", job: func(job *workload.Job) { job.Steps[0].MaxPerWorker = 1 }, want: 3},
		{name: "bound on tasks of a worker, capacity elsewhere", free: 8, job: func(job *workload.Job) { job.Steps[0].MaxPerWorker = 1 }, want: 2},
		{name: "more than a worker has", job: func(job *workload.Job) { job.Steps[0].Size.Processors = 9 }},
		{name: "label that few workers have", free: 8, job: func(job *workload.Job) { job.Steps[0].Requires = "c" }},
		{name: "label that most workers have", job: func(job *workload.Job) { job.Steps[0].Requires, job.Steps[0].Count = "a", 6 }, want: 1},
		{name: "label that the free worker lacks", free: 8, job: func(job *workload.Job) { job.Steps[0].Requires, job.Steps[0].Count = "b", 5 }, want: 1},
		{name: "new worker is not fenced", free: 8, change: func(owner *testOwner) {
			owner.workers["w1"].Draining = true
			owner.workers["w2"].fenced = false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t)
			sim.addWorkerFor(nil, "w1", 8).Labels = []string{"a", "b", "rack"}
			owner := sim.newOwner()
			job := longRunningJob(1, 4, 2)
			if c.job != nil {
				c.job(job)
			}
			sim.submit(owner, job)
			sim.run(time.Second, owner)
			if c.free > 0 {
				sim.addWorkerFor(owner, "w2", c.free)
				sim.run(300*time.Millisecond, owner)
			}
			if c.change != nil {
				c.change(owner)
			}
			if got := owner.load("p").LongRunningShortfall; got != c.want {
				t.Errorf("the pool needs %d further workers, want %d", got, c.want)
			}
		})
	}
}

// The only worker of the estate is in another pool.
func TestShortfallOfAPoolWithoutWorkers(t *testing.T) {
	sim := newSimulation(t)
	sim.poolOf["r"] = "other"
	sim.addWorkerFor(nil, "w1", 4)
	owner := sim.newOwner()
	job := longRunningJob(1, 3, 2)
	job.Queue, job.Pool = "r", "other"
	sim.submit(owner, job)
	sim.run(300*time.Millisecond, owner)
	if got := owner.load("other").LongRunningShortfall; got != 2 {
		t.Errorf("the pool needs %d further workers, want 2", got)
	}
	if got := owner.load("p").LongRunningShortfall; got != 0 {
		t.Errorf("the other pool needs %d further workers, want none", got)
	}
}
