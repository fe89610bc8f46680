package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// runsFor returns for how long the workers go on with any run, at most limit.
func (sim *simulation) runsFor(limit time.Duration, owner *testOwner) time.Duration {
	start := sim.now
	for sim.now < start+limit && sim.anyRun() {
		sim.run(testTick, owner)
	}
	return sim.now - start
}

func (sim *simulation) anyRun() bool {
	for _, f := range sim.workers {
		if len(f.running) > 0 {
			return true
		}
	}
	return false
}

// loseStops loses the next stops, which are not carried out, and returns the number
// of all stops.
func (sim *simulation) loseStops(lost int) *int {
	stops := new(int)
	sim.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StopOrder); !ok {
			return orderFault{}
		}
		*stops++
		return orderFault{lost: *stops <= lost}
	}
	return stops
}

// stopGrace is the time that a worker may take to stop a run, on the site where it
// is longest.
const stopGrace = 900 * time.Millisecond

func TestLostStopIsRepeatedBeforeAStopCouldTake(t *testing.T) {
	for _, lost := range []int{1, 2, 3} {
		sim := newSimulation(t)
		owner, _, _, _ := sim.cancelledRun()
		owner.opts.StopGrace = stopGrace
		stops := sim.loseStops(2 * lost) // of both runs
		got := sim.runsFor(10*time.Second, owner)
		// Each is without an answer for 500 ms.
		if longest := time.Duration(lost)*(500*time.Millisecond+2*sweepInterval) + 200*time.Millisecond; got > longest {
			t.Errorf("%d lost stops: the runs go on for %v, want at most %v", lost, got, longest)
		}
		if *stops != 2*(lost+1) {
			t.Errorf("%d lost stops: %d orders, want %d", lost, *stops, 2*(lost+1))
		}
	}
}

// The next incarnation carries out the start after the stop, before its first answer to a poll.
func TestStopFollowsItsRunToTheNextIncarnation(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	owner := sim.newOwner()
	owner.opts.StopGrace = stopGrace
	sim.run(400*time.Millisecond, owner)
	sim.injectFault = func(o Order) orderFault {
		_, isStart := o.(*StartOrder)
		return orderFault{lost: true, applied: isStart, delay: 500 * time.Millisecond}
	}
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(100*time.Millisecond, owner)
	f.crash()
	f.restart(sim.now)
	owner.discover()
	sim.run(200*time.Millisecond, owner)
	owner.Cancel(job.ID, 1, sim.now)
	sim.run(300*time.Millisecond, owner)
	if !sim.anyRun() {
		t.Fatal("the start is not carried out")
	}
	sim.injectFault = nil
	for owner.workers[f.ID].answeredSentAt == 0 {
		sim.run(testTick, owner)
	}
	if got := sim.runsFor(10*time.Second, owner); got > 100*time.Millisecond {
		t.Errorf("the run goes on for %v after the worker's first answer, want at most 100ms", got)
	}
}

func TestStopIsRepeatedAtOnceWhenItsWorkerAnswersAgain(t *testing.T) {
	for silence := 600 * time.Millisecond; silence < 3*time.Second; silence += 100 * time.Millisecond {
		sim := newSimulation(t)
		f := sim.addWorker("w1", "p", 8)
		f.duration = forever
		owner := sim.newOwner()
		owner.opts.StopGrace = stopGrace
		job := jobOf(1, 2, 2)
		sim.submit(owner, job)
		sim.run(500*time.Millisecond, owner)
		f.reachable = false
		sim.after(silence-100*time.Millisecond, func() { owner.Cancel(job.ID, 1, sim.now) })
		sim.run(silence, owner)
		if f.reachable = true; owner.workers[f.ID].failedPolls == 0 {
			continue // nothing shows the silence
		}
		for owner.workers[f.ID].lastContact < 500*time.Millisecond+silence {
			sim.run(testTick, owner)
		}
		if got := sim.runsFor(10*time.Second, owner); got > 100*time.Millisecond {
			t.Errorf("%v of silence: the runs go on for %v after the worker's answer, want at most 100ms", silence, got)
		}
	}
}

// The orders wait for a connection to their worker meanwhile.
func TestStopsOfRunsThatHaveEndedAreWithdrawn(t *testing.T) {
	sim := newSimulation(t)
	owner, f, _, _ := sim.cancelledRun()
	var waiting []*StopOrder
	sim.injectFault = func(o Order) orderFault {
		stop, ok := o.(*StopOrder)
		if ok {
			waiting = append(waiting, stop)
		}
		return orderFault{handled: ok}
	}
	sim.run(100*time.Millisecond, owner)
	for _, r := range f.runs() {
		f.end(r, platform.EndDone, sim.now)
	}
	sim.run(3*time.Second, owner)
	if len(waiting) != 2 {
		t.Errorf("%d stops of two runs, want 2", len(waiting))
	}
	for _, o := range waiting {
		if !o.Withdrawn() {
			t.Errorf("the stop of %v is not withdrawn after the end of its run", o.Task)
		}
	}
}

func TestLostStopOfAnOrphanIsRepeated(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration = forever
	f.leaseMS = 5000
	f.stopTakes = 50 * time.Millisecond
	unknown := workload.TaskID{Job: "00000000000000ff"}
	f.running[runKey{unknown, 1}] = &fakeRun{task: unknown, run: 1}
	sim.inUse[f.ID] = UsedWorker{Worker: f.Worker}
	owner := sim.newOwner()
	stops := sim.loseStops(1)
	if got := sim.runsFor(10*time.Second, owner); got > 700*time.Millisecond {
		t.Errorf("the orphan goes on for %v, want at most 700ms: the first stop is without an answer for 500ms", got)
	}
	if *stops != 2 {
		t.Errorf("%d stops, want 2", *stops)
	}
}

// Ends of other runs let the worker's polls return all the time.
func TestOrphanIsStoppedOnce(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.leaseMS = 5000
	f.stopTakes = 800 * time.Millisecond
	unknown := workload.TaskID{Job: "00000000000000ff"}
	f.duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
		if id == unknown {
			return time.Hour, platform.EndDone
		}
		return 20 * time.Millisecond, platform.EndDone
	}
	other := jobOf(1, 8, 1)
	sim.submit(nil, other)
	f.running[runKey{unknown, 1}] = &fakeRun{task: unknown, run: 1}
	sim.inUse[f.ID] = UsedWorker{Worker: f.Worker}
	owner := sim.newOwner()
	owner.opts.StopGrace = stopGrace
	stops := sim.loseStops(0)
	for i := 0; i < 40 && sim.anyRun(); i++ {
		f.running[runKey{workload.TaskID{Job: other.ID, Index: i % 8}, 5 + i}] = &fakeRun{task: workload.TaskID{Job: other.ID, Index: i % 8}, run: 5 + i, startedAt: sim.now}
		sim.run(50*time.Millisecond, owner)
	}
	sim.run(time.Second, owner)
	if *stops > 2 {
		t.Errorf("%d stops of an orphan that acknowledged the first, want 1", *stops)
	}
}

// A successor finds the run on a worker whose entry is missing, as those of sound workers are at times.
func TestOrphanOfAnUnlistedWorkerIsStopped(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.duration, f.stopTakes = forever, 50*time.Millisecond
	job := jobOf(1, 1, 2)
	previous := sim.newOwner()
	sim.submit(previous, job)
	sim.run(500*time.Millisecond, previous)
	previous.paused = true
	f.unlisted = true
	sim.cancel(job.ID)
	owner := sim.newOwner()
	sim.loseStops(1)
	if got := sim.runsFor(10*time.Second, owner); got > 700*time.Millisecond {
		t.Errorf("the run goes on for %v, want at most 700ms: the first stop is without an answer for 500ms", got)
	}
	sim.run(time.Second, owner)
	if len(owner.workers) != 0 {
		t.Error("the worker is kept after its last run has ended")
	}
}
