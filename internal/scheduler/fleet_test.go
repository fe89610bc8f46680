package scheduler

import (
	"testing"
	"time"
)

func TestHostThatLeftEndsNoWorkerThatMayStillRun(t *testing.T) {
	for _, c := range []struct {
		name                string
		unlisted, reachable bool
		ends                bool
	}{
		{"listed, answers", false, true, false},
		{"listed, silent", false, false, false},
		{"not listed, answers", true, true, false},
		{"not listed, silent", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t)
			w1 := sim.addWorkerFor(nil, "w1", 4)
			owner := sim.newOwner()
			sim.submit(owner, longRunningJob(1, 1, 2))
			sim.run(time.Second, owner)
			w2 := sim.addWorkerFor(owner, "w2", 4)
			w1.unlisted, w1.reachable = c.unlisted, c.reachable
			if !c.reachable {
				w1.crash()
			}
			owner.discover()
			if c.unlisted {
				owner.WorkerUnlisted("w1", sim.now)
			}
			sim.run(time.Second, owner)
			if gone := owner.HostLeft("w1", sim.now); gone != c.ends {
				t.Errorf("the worker is gone: %t, want %t", gone, c.ends)
			}
			sim.run(500*time.Millisecond, owner)
			if moved := len(w2.running) == 1; moved != c.ends {
				t.Errorf("the task has moved: %t, want %t", moved, c.ends)
			}
		})
	}
}

// The worker has ended; its discovery entry is still there when the owner changes.
func TestSuccessorWaitsForNoWorkerThatNeverAnswered(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 4)
	owner := sim.newOwner()
	ended := sim.addWorker("w2", "p", 4)
	ended.reachable = false
	owner.WorkerListed(ended.Worker, sim.now)
	sim.run(time.Second, owner)
	if used := owner.InUse(owner.sim.now); len(used) != 1 || used[0].ID != "w1" {
		t.Errorf("a successor has to wait for %v, want w1 alone", used)
	}
}
