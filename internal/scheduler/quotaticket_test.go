package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// newTicketSimulation returns a simulation with a long-running job of team "a" that
// needs tickets for worker "w1" of pool "p", and one of batch tasks in pool "other"
// that can use the whole quota of the team. Neither is submitted yet.
func newTicketSimulation(t *testing.T, gang bool) (sim *simulation, owner *testOwner, longRunning, batch *workload.Job) {
	sim = newQuotaSimulation(t, "w1")
	sim.poolOf["r"] = "other"
	sim.catalogVersion++
	sim.workers["w1"].needsTicket = "t1"
	sim.addWorker("w2", "other", 6)
	for _, f := range sim.workers {
		f.duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
			if f.ID == "w1" {
				return time.Hour, platform.EndDone
			}
			return time.Duration(1000+370*(id.Index%4)) * time.Millisecond, platform.EndDone
		}
	}
	owner = sim.newOwner()
	batch = jobOfTeam("a", 2, 400, 1)
	batch.Queue, batch.Pool = "r", "other"
	sim.run(time.Second, owner)
	longRunning = longRunningJob(1, 2, 3) // the quota is enough for one task
	if gang {
		longRunning = longRunningJob(1, 3, 1)
	}
	longRunning.Team, longRunning.Queue, longRunning.Steps[0].Gang = "a", "advised", gang
	return sim, owner, longRunning, batch
}

// The team's batch tasks take the quota in the time that the service takes to answer.
func TestLongRunningTaskGetsTheQuotaThoughTicketsTakeLong(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim, owner, job, batch := newTicketSimulation(t, gang)
		sim.ticketDelay = 700 * time.Millisecond
		sim.submit(owner, batch)
		sim.run(2*time.Second, owner)
		sim.submit(owner, job)
		sim.run(5*time.Second, owner)
		sim.check()
		if got := sim.workers["w1"].holding(sim); got != 3 {
			t.Errorf("gang %v: long-running tasks hold %v cores after 5 s, want 3", gang, got)
		}
		sim.wantHeld(t, "a", 4, "beside the batch tasks")
	}
}

// The quota is free when the tickets are requested, and is not when they are there.
func TestQuotaIsReservedUntilTicketsArrive(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim, owner, job, batch := newTicketSimulation(t, gang)
		sim.ticketDelay = 700 * time.Millisecond
		sim.submit(owner, job)
		sim.run(100*time.Millisecond, owner)
		sim.submit(owner, batch)
		sim.run(400*time.Millisecond, owner)
		sim.wantHeld(t, "a", 1, "beside the reserved quota")
		sim.run(300*time.Millisecond, owner)
		if got := sim.workers["w1"].holding(sim); got != 3 {
			t.Errorf("gang %v: long-running tasks hold %v cores once the tickets are there, want 3", gang, got)
		}
		if since := owner.jobs[job.ID].find(0, 0, 0).step.reserved.since; since != 0 {
			t.Errorf("gang %v: the wait still counts from %v, which leaves less or nothing for the next one", gang, since)
		}
		sim.wantHeld(t, "a", 4, "beside the batch tasks")
	}
}

// holding returns the processors that the runs of a worker hold.
func (f *fakeWorker) holding(sim *simulation) float64 {
	return f.Capacity.Sub(sim.freeOn(f)).Processors
}

// A task that gets no ticket must not keep the team's other tasks from the quota for good.
func TestTaskWithoutTicketLeavesTheQuotaToOthers(t *testing.T) {
	for name, set := range map[string]func(*simulation){
		"no answer": func(sim *simulation) { sim.ticketDelay = time.Hour },
		"no worker permitted": func(sim *simulation) {
			sim.workers["w1"].needsTicket, sim.ticketDelay = "nobody", 700*time.Millisecond
		},
	} {
		for _, gang := range []bool{false, true} {
			sim, owner, job, batch := newTicketSimulation(t, gang)
			set(sim)
			sim.submit(owner, batch)
			sim.submit(owner, job)
			sim.run(8*time.Second, owner)
			sum := 0.0
			for range 100 {
				sim.run(100*time.Millisecond, owner)
				sum += sim.heldBy("a").Processors
			}
			sim.check()
			if mean := sum / 100; mean < 3.8 {
				t.Errorf("%s, gang %v: the team holds %v of 4 cores on average", name, gang, mean)
			}
		}
	}
}

// The time in which no worker had the label leaves no reservation for the wait for tickets.
func TestQuotaIsReservedOnceAWorkerCanBeAskedAbout(t *testing.T) {
	sim, owner, job, batch := newTicketSimulation(t, false)
	sim.ticketDelay = 700 * time.Millisecond
	job.Steps[0].Requires = "ssd"
	sim.submit(owner, job)
	sim.run(maxTicketWait+time.Second, owner)
	sim.addWorkerFor(nil, "w3", 6).needsTicket = "t3"
	sim.workers["w3"].Labels = []string{"ssd"}
	owner.discover()
	sim.run(100*time.Millisecond, owner)
	sim.submit(owner, batch)
	sim.run(400*time.Millisecond, owner)
	sim.wantHeld(t, "a", 1, "beside the reserved quota")
}
