package scheduler

import (
	"testing"
	"time"
)

// resumeAt lets the worker's runs of tasks of the given length begin at a percentage.
func (f *fakeWorker) resumeAt(percent float64, length time.Duration) {
	f.duration = lasting(time.Duration((100 - percent) / 100 * float64(length)))
	f.percentOf = func(r *fakeRun) float64 {
		return min(percent+100*float64(f.sim.now-r.startedAt)/float64(length), 100)
	}
}

// A wave waits for a task that has resumed, since its end seems to be near.
func TestResumedTaskMakesRoomForAWave(t *testing.T) {
	const length = 20 * time.Second
	sim := newSimulation(t)
	w1 := sim.addWorker("w1", "p", 4)
	w1.duration = lasting(length)
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].Checkpoints, job.Steps[0].Estimate = true, length
	sim.submit(owner, job)
	sim.run(8*time.Second, owner)
	owner.jobs[job.ID].find(0, 0, 0).checkpoint = "saved"
	w2 := sim.addWorkerFor(owner, "w2", 4)
	w2.resumeAt(40, length)
	sim.evacuateFor(time.Second, owner, "w1")
	if len(w2.running) != 1 {
		t.Fatal("the task has not moved to w2")
	}
	w1.resumeAt(60, length)
	sim.run(3*time.Second, owner)
	sim.evacuateFor(2*time.Second, owner, "w2")
	if len(w2.running) != 0 || len(w1.running) != 1 {
		t.Errorf("%d tasks on the worker that is evacuated, %d on the other, want 0 and 1", len(w2.running), len(w1.running))
	}
}

// A wave waits for a task that a previous owner started, since its end seems to be near.
func TestAdoptedTaskMakesRoomForAWave(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorker("w1", "p", 4)
	w1.duration = lasting(20 * time.Second)
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].Checkpoints, job.Steps[0].Estimate = true, 20*time.Second
	sim.submit(owner, job)
	sim.run(10*time.Second, owner)
	owner.expired = true
	successor := sim.newOwner()
	sim.run(3500*time.Millisecond, successor)
	w2 := sim.addWorkerFor(successor, "w2", 4)
	sim.evacuateFor(time.Second, successor, "w1")
	if len(w1.running) != 0 || len(w2.running) != 1 {
		t.Errorf("%d tasks on the worker that is evacuated, %d on the other, want 0 and 1", len(w1.running), len(w2.running))
	}
}

// An adopted task gets no copy for seconds, since it seems to have made all its progress since its adoption.
func TestAdoptedTaskOnASlowWorkerIsCopied(t *testing.T) {
	sim := newSimulation(t)
	w1 := sim.addWorker("w1", "p", 4)
	w1.duration = lasting(100 * time.Second)
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].Speculative, job.Steps[0].Estimate = true, 4*time.Second
	sim.submit(owner, job)
	sim.run(50*time.Second, owner)
	owner.expired = true
	successor := sim.newOwner()
	sim.addWorkerFor(successor, "w2", 4).duration = lasting(4 * time.Second)
	sim.run(3*time.Second, successor)
	if n := successor.Stats().Copies; n != 1 {
		t.Errorf("%d copies after 3 s, want 1", n)
	}
}
