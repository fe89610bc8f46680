package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// A wave waits for hosts on which a task of 20 s has just begun.
func TestLongBatchTaskThatSavesItsProgressMakesRoomForAWave(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		elsewhere   float64 // cores of the other worker
		length      time.Duration
		moves       bool
	}{
		"saves its progress":           {true, 4, 20 * time.Second, true},
		"loses its work":               {false, 4, 20 * time.Second, false},
		"fits nowhere else":            {true, 1, 20 * time.Second, false},
		"ends by itself before a move": {true, 4, 5500 * time.Millisecond, false},
	} {
		sim := newSimulation(t)
		takes := func(workload.TaskID) (time.Duration, platform.RunEnd) { return c.length, platform.EndDone }
		w1 := sim.addWorker("w1", "p", 4)
		w1.duration = takes
		owner := sim.newOwner()
		job := jobOf(1, 1, 2)
		job.Steps[0].Checkpoints, job.Steps[0].Estimate = c.checkpoints, c.length
		sim.submit(owner, job)
		sim.run(time.Second, owner)
		w2 := sim.addWorker("w2", "p", c.elsewhere)
		w2.duration = takes
		owner.discover()
		sim.evacuateFor(4*time.Second, owner, "w1")
		if got := len(w1.running) == 0 && len(w2.running) == 1; got != c.moves {
			t.Errorf("%s: %d tasks on the worker that is evacuated, %d on the other; moved is %v, want %v", name, len(w1.running), len(w2.running), got, c.moves)
		}
		if s := owner.Stats(); s.Starts > 2 {
			t.Errorf("%s: %d starts, want 2 at most", name, s.Starts)
		}
	}
}

// A task whose checkpoints are rare must not lose its work to one wave after the other.
func TestBatchTaskThatLosesItsProgressIsNotMovedAgainAndAgain(t *testing.T) {
	sim := newSimulation(t)
	names := []string{"w1", "w2"}
	for _, name := range names {
		sim.addWorker(name, "p", 4).duration = lasting(16 * time.Second)
	}
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	job.Steps[0].Checkpoints, job.Steps[0].Estimate = true, 16*time.Second
	sim.submit(owner, job)
	sim.run(time.Second, owner)
	for i := range 16 {
		sim.evacuateFor(4*time.Second, owner, names[i%2])
	}
	if state := sim.state(job.ID); state != workload.Completed {
		t.Errorf("the task of 16 s is %s after 65 s and %d starts", state, owner.Stats().Starts)
	}
}
