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
			owner.Evacuate(id)
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

func TestTasksLeaveAWorkerThatEndsForOneThatIsBeingEmptied(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 8)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 3, 2))
	sim.run(time.Second, owner)
	w2 := sim.addWorkerFor(owner, "w2", 8)
	owner.SetReservations(map[string]fleetplan.Reservation{"w2": fleetplan.Emptying})
	early, left := 0, 0
	sim.leave(w1, 6*time.Second, owner, func(remaining time.Duration) {
		if remaining > leaveMargin+200*time.Millisecond {
			early = len(w2.running)
		}
		left = len(w1.running)
	})
	if early != 0 || left != 0 || len(w2.running) != 3 {
		t.Errorf("%d tasks move early, %d are left at the end, %d are on the other worker; want 0, 0 and 3", early, left, len(w2.running))
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

// addMixedWorker adds a worker whose long-running tasks run until they are
// stopped, and whose other tasks end one after another.
func (sim *simulation) addMixedWorker(id string, cores float64) *fakeWorker {
	f := sim.addWorker(id, "p", cores)
	f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
		if sim.records[task.Job].spec.Steps[task.Step].LongRunning {
			return time.Hour, platform.EndDone
		}
		return 400*time.Millisecond + time.Duration(task.Index)*7*time.Millisecond, platform.EndDone
	}
	return f
}

// fill submits batch tasks that keep the workers full for seconds.
func (sim *simulation) fill(owner *testOwner, cores float64) {
	for n := range 80 {
		sim.submit(owner, jobOf(100+n, 20, cores))
	}
}

// filled reports whether tasks of fill wait.
func (sim *simulation) filled(owner *testOwner) bool {
	for s := range owner.pools["p"].ready {
		if !s.LongRunning {
			return true
		}
	}
	return false
}

// runsOf counts the runs of a job on a worker.
func (f *fakeWorker) runsOf(job *workload.Job) int {
	n := 0
	for _, r := range f.running {
		if r.task.Job == job.ID {
			n++
		}
	}
	return n
}

// Batch tasks that wait would fill the capacity that the evacuated task is to move to.
func TestEvacuatedTaskMovesOnceBesideWaitingBatchTasks(t *testing.T) {
	sim := newSimulation(t)
	from, to := sim.addMixedWorker("w1", 4), sim.addMixedWorker("w2", 4)
	from.stopTakes, to.stopTakes = 100*time.Millisecond, 100*time.Millisecond
	owner := sim.newOwner()
	job := longRunningJob(1, 1, 2)
	stops := 0
	sim.injectFault = func(o Order) orderFault {
		if s, ok := o.(*StopOrder); ok && s.Task.Job == job.ID {
			stops++
		}
		return orderFault{}
	}
	sim.submit(owner, job)
	sim.run(500*time.Millisecond, owner)
	if to.runsOf(job) > 0 {
		from, to = to, from
	}
	for n := range 10 {
		sim.submit(owner, jobOf(2+n, 20, 0.8))
	}
	sim.run(time.Second, owner)
	sim.evacuateFor(2*time.Second, owner, from.ID)
	if moved := to.runsOf(job) == 1; !moved || stops != 1 {
		t.Errorf("moved %t with %d stops, want true and 1", moved, stops)
	}
}

func TestBatchTasksDoNotTakeThePlaceOfATaskThatIsBeingStopped(t *testing.T) {
	sim := newSimulation(t)
	from := sim.addMixedWorker("w1", 4)
	from.stopTakes = 400 * time.Millisecond
	owner := sim.newOwner()
	job := longRunningJob(1, 1, 2)
	sim.submit(owner, job)
	sim.run(1500*time.Millisecond, owner)
	to := sim.addMixedWorker("w2", 4)
	owner.discover()
	sim.run(100*time.Millisecond, owner)
	sim.evacuateFor(100*time.Millisecond, owner, from.ID)
	sim.fill(owner, 0.8)
	gap := time.Duration(0)
	for range 400 {
		sim.run(testTick, owner)
		if from.runsOf(job)+to.runsOf(job) == 0 {
			gap += testTick
		}
	}
	if to.runsOf(job) != 1 || gap > 100*time.Millisecond || !sim.filled(owner) {
		t.Errorf("%d runs on the other worker after %v without a run, batch tasks wait: %t; want 1 at once beside waiting ones", to.runsOf(job), gap, sim.filled(owner))
	}
}

func TestTasksLeaveAWorkerBesideAPoolFullOfBatchTasks(t *testing.T) {
	for _, maxUnavailable := range []int{0, 1} {
		sim := newSimulation(t)
		leaving := sim.addMixedWorker("w1", 16)
		owner := sim.newOwner()
		job := longRunningJob(1, 5, 3)
		job.Steps[0].MaxUnavailable = maxUnavailable
		sim.submit(owner, job)
		sim.run(1500*time.Millisecond, owner)
		var others []*fakeWorker
		for _, id := range []string{"w2", "w3", "w4"} {
			others = append(others, sim.addMixedWorker(id, 8))
		}
		owner.discover()
		sim.fill(owner, 0.8)
		sim.run(time.Second, owner)
		left, moved := 0, 0
		sim.leave(leaving, 9*time.Second, owner, func(time.Duration) { left = leaving.runsOf(job) })
		for _, f := range others {
			moved += f.runsOf(job)
		}
		if s := owner.Stats(); left != 0 || moved != 5 || s.LostRuns != 0 || !sim.filled(owner) {
			t.Errorf("MaxUnavailable %d: %d tasks left at the end, %d moved, %d lost, batch tasks wait: %t; want 0, 5 and 0 beside waiting ones",
				maxUnavailable, left, moved, s.LostRuns, sim.filled(owner))
		}
	}
}

// No batch task frees as much as the task needs.
func TestTaskWithoutRunGetsWhatBatchTasksFree(t *testing.T) {
	sim := newSimulation(t)
	w1, w2 := sim.addMixedWorker("w1", 4), sim.addMixedWorker("w2", 4)
	owner := sim.newOwner()
	sim.fill(owner, 0.8)
	gang := longRunningJob(2, 3, 4) // fits nowhere
	gang.Steps[0].Gang = true
	sim.submit(owner, gang)
	sim.run(time.Second, owner)
	job := longRunningJob(1, 1, 3)
	sim.submit(owner, job)
	sim.run(1500*time.Millisecond, owner)
	if n := w1.runsOf(job) + w2.runsOf(job); n != 1 || !sim.filled(owner) {
		t.Errorf("%d runs, batch tasks wait: %t; want 1 beside waiting ones", n, sim.filled(owner))
	}
}

func TestBatchTasksRunBesideATaskThatFitsNowhere(t *testing.T) {
	for _, c := range []struct {
		name string
		job  func(job *workload.Job)
	}{
		{"more than a worker has", func(job *workload.Job) { job.Steps[0].Size.Processors = 5 }},
		{"label that no worker has", func(job *workload.Job) { job.Steps[0].Requires = "b" }},
		{"permitted on no worker", func(job *workload.Job) { job.Queue = "advised" }},
		{"other long-running tasks use it", func(job *workload.Job) { job.Steps[0].Size.Processors = 3 }},
		{"gang", func(job *workload.Job) { job.Steps[0].Gang, job.Steps[0].Count = true, 6 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t)
			for _, id := range []string{"w1", "w2"} {
				sim.addMixedWorker(id, 4)
			}
			owner := sim.newOwner()
			sim.submit(owner, longRunningJob(1, 3, 2))
			sim.run(300*time.Millisecond, owner)
			job := longRunningJob(2, 1, 2)
			c.job(job)
			sim.submit(owner, job)
			sim.fill(owner, 0.5)
			done := owner.Stats().Done
			for range 200 {
				sim.run(testTick, owner)
				for _, w := range owner.workers {
					if w.held.Processors > 0 {
						t.Fatalf("%v is held on %s", w.held, w.ID)
					}
				}
			}
			if got := owner.Stats().Done - done; got < 8 {
				t.Errorf("%d batch tasks have ended, want 8 or more", got)
			}
		})
	}
}

// Another worker without the label has as much free capacity.
func TestHeldCapacityIsNotForGangsAndCopies(t *testing.T) {
	for _, gang := range []bool{true, false} {
		sim := newSimulation(t)
		slow := sim.addWorkerFor(nil, "w1", 2)
		slow.Labels = []string{"a", "rack"}
		slow.duration = lasting(time.Minute)
		owner := sim.newOwner()
		job, running := jobOf(1, 1, 2), jobOf(2, 1, 2)
		job.Steps[0].Requires, job.Steps[0].Gang, job.Steps[0].Speculative = "a", gang, !gang
		if !gang {
			running = job
		}
		sim.submit(owner, running)
		sim.run(200*time.Millisecond, owner)
		silent := sim.addWorkerFor(owner, "w2", 3)
		longRunning := longRunningJob(3, 1, 3)
		longRunning.Steps[0].Requires = "a"
		sim.submit(owner, longRunning)
		sim.run(200*time.Millisecond, owner)
		silent.reachable = false
		sim.run(2*time.Second, owner)
		to := sim.addWorkerFor(owner, "w3", 3)
		sim.addWorkerFor(nil, "w4", 2).Labels = []string{"rack"}
		owner.discover()
		if gang {
			sim.submit(owner, job)
		}
		for end := sim.now + 8*time.Second; sim.now < end && to.runsOf(longRunning) == 0; {
			sim.run(testTick, owner)
			if to.runsOf(job) > 0 {
				t.Fatalf("gang %t: the batch task runs in held capacity", gang)
			}
		}
		if slow.runsOf(running) != 1 || to.runsOf(longRunning) != 1 {
			t.Errorf("gang %t: %d runs of the long-running task, %d on the slow worker; want 1 each", gang, to.runsOf(longRunning), slow.runsOf(running))
		}
	}
}

func TestTasksThatWaitForAnInterruptionKeepTheirPlaces(t *testing.T) {
	sim := newSimulation(t)
	leaving := sim.addMixedWorker("w1", 8)
	owner := sim.newOwner()
	job := longRunningJob(1, 3, 2)
	job.Steps[0].MaxUnavailable = 1
	sim.submit(owner, job)
	sim.run(1500*time.Millisecond, owner)
	to := sim.addMixedWorker("w2", 6)
	owner.discover()
	sim.run(100*time.Millisecond, owner)
	leaving.Draining = true
	owner.discover()
	sim.run(100*time.Millisecond, owner)
	sim.fill(owner, 2)
	sim.run(500*time.Millisecond, owner)
	if n := len(to.running) - to.runsOf(job); n > 0 {
		t.Errorf("%d batch tasks run in the capacity of long-running ones", n)
	}
	sim.run(4*time.Second, owner)
	if n := to.runsOf(job); n != 3 {
		t.Errorf("%d tasks have moved, want 3", n)
	}
}

func TestTicketsAreRequestedForATaskInAPoolFullOfBatchTasks(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addMixedWorker("w1", 4)
	owner := sim.newOwner()
	sim.fill(owner, 0.8)
	sim.run(time.Second, owner)
	job := longRunningJob(1, 1, 3)
	job.Queue = "advised"
	sim.submit(owner, job)
	f.needsTicket = "t1"
	sim.run(100*time.Millisecond, owner)
	if s := owner.jobs[job.ID].find(0, 0, 0).step; s.tickets == nil || owner.workers["w1"].held.Processors != 3 {
		t.Errorf("tickets %v, %v is held; want a ticket and 3 cores", s.tickets, owner.workers["w1"].held)
	}
}

func TestPlaceIsHeldWhileTicketsAreRenewed(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addMixedWorker("w1", 4)
	owner := sim.newOwner()
	sim.fill(owner, 0.8)
	sim.run(time.Second, owner)
	job := longRunningJob(1, 1, 3)
	job.Queue = "advised"
	sim.submit(owner, job)
	s := owner.jobs[job.ID].find(0, 0, 0).step
	s.requesting, s.tickets = true, &tickets{byWorker: map[string]string{f.ID: ""}, validTo: sim.now}
	sim.run(2*time.Second, owner)
	s.tickets.validTo = sim.now + time.Second // the service has answered
	sim.run(100*time.Millisecond, owner)
	if f.runsOf(job) != 1 || !sim.filled(owner) {
		t.Errorf("%d runs, batch tasks wait: %t; want 1 beside waiting ones", f.runsOf(job), sim.filled(owner))
	}
}

func TestTaskStartsOnAnEmptyingWorkerThatItsTicketPermits(t *testing.T) {
	sim := newSimulation(t)
	full, emptying := sim.addWorkerFor(nil, "w1", 8), sim.addWorkerFor(nil, "w2", 2)
	full.needsTicket, emptying.needsTicket = "t1", "t2"
	owner := sim.newOwner()
	for n, cores := range []float64{6, 2} {
		job := longRunningJob(1+n, 1, cores)
		job.Queue = "advised"
		sim.submit(owner, job)
		sim.run(time.Second, owner)
	}
	owner.SetReservations(map[string]fleetplan.Reservation{"w2": fleetplan.Emptying})
	job := longRunningJob(9, 1, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	if emptying.runsOf(job) != 1 {
		t.Errorf("%d runs on the emptying worker, want 1", emptying.runsOf(job))
	}
}

func TestEvacuationStopsNoTaskWhoseTicketsHaveExpired(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorkerFor(nil, "w1", 2)
	sim.addWorkerFor(nil, "w2", 2).needsTicket = "t2"
	w1.needsTicket = "t1"
	owner := sim.newOwner()
	job := longRunningJob(1, 1, 2)
	job.Queue = "advised"
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	s := owner.jobs[job.ID].find(0, 0, 0).step
	s.tickets.validTo, s.requesting = sim.now, true // the service does not answer
	busy := "w1"
	if w1.runsOf(job) == 0 {
		busy = "w2"
	}
	sim.evacuateFor(time.Second, owner, busy)
	if got := owner.Stats().Stops; got != 0 {
		t.Errorf("%d stops, want none", got)
	}
}

// The other task of the first one's step never becomes ready.
func TestTaskThatMayNotBeStoppedTakesNoPlaceFromOneThatMay(t *testing.T) {
	for _, leave := range []bool{false, true} {
		sim := newSimulation(t)
		sim.addWorkerFor(nil, "w1", 2)
		sim.addWorkerFor(nil, "w4", 2).duration = lasting(2 * time.Hour)
		owner := sim.newOwner()
		kept := longRunningJob(1, 2, 2)
		kept.Steps[0].MaxUnavailable, kept.Steps[0].Estimate = 1, time.Hour
		sim.submit(owner, kept)
		sim.run(1500*time.Millisecond, owner)
		sim.addWorkerFor(owner, "w2", 2)
		moved := longRunningJob(2, 1, 2)
		sim.submit(owner, moved)
		sim.run(300*time.Millisecond, owner)
		to := sim.addWorkerFor(owner, "w3", 2)
		sim.run(200*time.Millisecond, owner)
		if leave {
			sim.workers["w1"].Draining, sim.workers["w2"].Draining = true, true
			owner.discover()
			sim.run(500*time.Millisecond, owner)
		} else {
			sim.evacuateFor(500*time.Millisecond, owner, "w1", "w2")
		}
		if to.runsOf(moved) != 1 {
			t.Errorf("workers leave: %t; %d runs of the task on the other worker, want 1", leave, to.runsOf(moved))
		}
	}
}
