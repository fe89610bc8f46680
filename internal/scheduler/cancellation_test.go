package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// testCancelWithin is the bound on starts after a cancellation.
const testCancelWithin = 3 * time.Second

// cancel stores a cancellation. No owner learns of it before it reads.
func (sim *simulation) cancel(id string) {
	j := sim.records[id]
	j.cancelled, j.cancelledAt = true, sim.now
	sim.tracef("%s is cancelled", id)
}

// readJobs reads all cancellations, and all jobs that were stored since the owner
// took over. The answer is handled late, after those of earlier reads.
func (owner *testOwner) readJobs(late time.Duration) {
	sim := owner.sim
	sent := sim.now
	var cancelled []string
	jobs := sorted(sim.records)
	for _, j := range jobs {
		if j.cancelled {
			cancelled = append(cancelled, j.spec.ID)
		}
	}
	owner.jobsReadAt = max(owner.jobsReadAt, sent+late)
	sim.after(owner.jobsReadAt-sent, func() {
		for _, j := range jobs {
			if j.submitted > owner.token {
				owner.AddJob(j.spec, &workload.Progress{Queue: j.spec.Queue, State: workload.Queued}, j.submitted, sent, false, sim.now)
			}
		}
		for _, id := range cancelled {
			owner.Cancel(id, 1, sim.now)
		}
		owner.CancelsRead(sent, sim.now-sent)
	})
}

// seededRandom returns a source of uniform draws, as those of rapid favour small values.
func seededRandom(t *rapid.T) *rand.Rand {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
}

// TestNoTaskStartsLongAfterItsCancellationInAnyHistory simulates owners that
// learn of jobs and cancellations up to 8 s late, hold starts back for up to 4 s
// before they send them, and replace each other. Tasks of a cancelled job may
// start within testCancelWithin and no later. Once all faults end, every job must
// end as well.
func TestNoTaskStartsLongAfterItsCancellationInAnyHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		random := seededRandom(t)
		upTo := func(n int) int { return random.IntN(n + 1) }
		sim := newSimulation(t)
		sim.cancelWithin = testCancelWithin
		for i := range 1 + upTo(2) {
			f := sim.addWorker(string(rune('a'+i)), "p", 2)
			took := time.Duration(1+upTo(29)) * 100 * time.Millisecond
			f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return took, platform.EndDone }
		}
		slow := true
		sim.sendDelay = func() time.Duration {
			if !slow || upTo(3) > 0 {
				return 0
			}
			return time.Duration(upTo(40)) * 100 * time.Millisecond
		}
		owner := sim.newOwner()
		var ids []string
		const step = 250 * time.Millisecond
		late := time.Duration(0)
		for range 60 {
			if len(ids) < 12 && upTo(1) == 0 {
				job := jobOf(len(ids)+1, 1+upTo(3), 2)
				sim.submit(nil, job)
				ids = append(ids, job.ID)
			}
			if len(ids) > 0 && upTo(3) == 0 {
				if id := ids[upTo(len(ids)-1)]; !sim.records[id].cancelled {
					sim.cancel(id)
				}
			}
			if upTo(7) == 0 {
				late = time.Duration(upTo(80)) * 100 * time.Millisecond
			}
			if upTo(19) == 0 {
				owner.paused = true
				owner = sim.newOwner()
			}
			owner.readJobs(late)
			sim.run(step, owner)
		}
		slow = false
		allOver := func() bool {
			return !slices.ContainsFunc(ids, func(id string) bool { return !sim.state(id).Over() })
		}
		const longest = 160 * time.Second // 48 tasks of 3 s on one worker, one after another
		for end := sim.now + longest; sim.now < end && !allOver(); {
			owner.readJobs(0)
			sim.run(step, owner)
		}
		sim.check()
		for _, id := range ids {
			if s := sim.state(id); !s.Over() {
				sim.violate("job %s is %q at the end", id, s)
				sim.check()
			}
		}
	})
}

// The owner's feed of cancellations is silent, so that no start can follow the stop.
func TestEvacuationStopsNoTaskWhileStartsAreHeld(t *testing.T) {
	sim := newSimulation(t)
	sim.cancelWithin = testCancelWithin
	w1 := sim.addWorkerFor(nil, "w1", 4)
	owner := sim.newOwner()
	sim.submit(owner, longRunningJob(1, 1, 2))
	owner.readJobs(0)
	sim.run(time.Second, owner)
	if len(w1.running) != 1 {
		t.Fatalf("%d tasks run, want 1", len(w1.running))
	}
	w2 := sim.addWorkerFor(owner, "w2", 4)
	sim.run(testCancelWithin, owner)
	sim.evacuateFor(3*time.Second, owner, "w1")
	if s := owner.Stats(); len(w1.running)+len(w2.running) != 1 || s.Stops != 0 {
		t.Errorf("%d tasks run, %d stops while starts are held; want 1 and none", len(w1.running)+len(w2.running), s.Stops)
	}
	owner.readJobs(0)
	sim.evacuateFor(time.Second, owner, "w1")
	if len(w2.running) != 1 {
		t.Errorf("%d tasks have moved once starts are not held any more, want 1", len(w2.running))
	}
}

// cancelledRun returns an owner whose job has a run, which takes 50 ms to stop, and
// the ends of cancelled jobs that the owner reports.
func (sim *simulation) cancelledRun() (*testOwner, *fakeWorker, *workload.Job, *[]CancelledRunsEnd) {
	f := sim.addWorker("w1", "p", 8)
	f.stopTakes = 50 * time.Millisecond
	f.duration = forever
	owner := sim.newOwner()
	ends := new([]CancelledRunsEnd)
	owner.opts.CancelledRunsEnded = func(end CancelledRunsEnd) { *ends = append(*ends, end) }
	job := jobOf(1, 2, 2)
	sim.submit(owner, job)
	sim.run(500*time.Millisecond, owner)
	owner.CancelsRead(sim.now-200*time.Millisecond, 0)
	owner.Cancel(job.ID, 1, sim.now)
	return owner, f, job, ends
}

func TestEndOfTheLastRunOfACancelledJobIsReported(t *testing.T) {
	sim := newSimulation(t)
	owner, _, job, ends := sim.cancelledRun()
	sim.run(time.Second, owner)
	if len(*ends) != 1 {
		t.Fatalf("%d ends are reported, want 1", len(*ends))
	}
	end := (*ends)[0]
	if end.Took < 50*time.Millisecond || end.Took > 100*time.Millisecond {
		t.Errorf("the last run ended after %v, want 50 to 100 ms", end.Took)
	}
	end.Took = 0
	if want := (CancelledRunsEnd{Job: job.ID, Runs: 2, Worker: "w1", Age: 200 * time.Millisecond}); end != want {
		t.Errorf("reported %+v, want %+v", end, want)
	}
}

func TestRunThatIsNotStoppedInTimeIsReported(t *testing.T) {
	sim := newSimulation(t)
	sim.cancelWithin = testCancelWithin
	core, logs := observer.New(zapcore.WarnLevel)
	sim.log = zap.New(core)
	owner, _, _, _ := sim.cancelledRun()
	sim.injectFault = func(o Order) orderFault {
		_, isStop := o.(*StopOrder)
		return orderFault{lost: isStop}
	}
	sim.run(testCancelWithin, owner)
	if n := logs.FilterMessage(event.StopOverdue.Message).Len(); n != 0 {
		t.Errorf("%d lines within the bound, want none", n)
	}
	sim.run(3*time.Second, owner)
	lines := logs.FilterMessage(event.StopOverdue.Message).All()
	if len(lines) < 2 || len(lines) > 4 {
		t.Fatalf("%d lines in 3 s, want one a second", len(lines))
	}
	fields := lines[0].ContextMap()
	if fields["waits_for"] != "stop not answered" || fields["runs"] != int64(2) || fields["stops"].(int64) < 2 {
		t.Errorf("the line has %v, want two runs whose stops are not answered", fields)
	}
	if owner.Stats().OverdueStops != 2 {
		t.Errorf("%d stops are overdue, want 2", owner.Stats().OverdueStops)
	}
}

// Workers go away and restart, entries are missing, orders are lost or late, and owners replace each other.
func TestRunsOfCancelledJobsEndInTimeInAnyHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		random := seededRandom(t)
		upTo := func(n int) int { return random.IntN(n + 1) }
		sim := newSimulation(t)
		sim.cancelWithin = testCancelWithin
		const latest = time.Second // by which an owner learns of a cancellation
		stopTakes := time.Duration(upTo(9)) * 100 * time.Millisecond
		// sound is when the last fault of each worker ended, and lost counts the lost
		// stops of each run.
		sound, lost := map[string]time.Duration{}, map[runKey]int{}
		for i := range 1 + upTo(3) {
			f := sim.addWorker(string(rune('a'+i)), "p", 6)
			f.stopTakes, f.duration = stopTakes, forever
		}
		sim.injectFault = func(o Order) orderFault {
			switch x := o.(type) {
			case *StopOrder:
				key := runKey{x.Task, x.Run}
				if lost[key] < 3 && upTo(2) > 0 {
					lost[key]++
					return orderFault{lost: true, applied: upTo(3) == 0, delay: time.Duration(upTo(40)) * 100 * time.Millisecond}
				}
			case *StartOrder:
				if upTo(7) == 0 {
					return orderFault{lost: true, applied: true, delay: time.Duration(upTo(14)) * 100 * time.Millisecond}
				}
			case *PollOrder:
				if upTo(49) == 0 {
					sound[x.Worker.ID] = sim.now
					return orderFault{lost: true}
				}
			}
			return orderFault{}
		}
		newOwner := func() *testOwner {
			owner := sim.newOwner()
			owner.opts.StopGrace = stopGrace
			return owner
		}
		owner := newOwner()
		known := map[string]time.Duration{} // when the owner learned of each cancellation
		cancel := func(id string, late time.Duration) {
			sim.cancel(id)
			reader := owner
			sim.after(late, func() {
				reader.Cancel(id, 1, sim.now)
				if _, ok := known[id]; !ok && reader == owner {
					known[id] = sim.now
				}
			})
		}
		var ids []string
		step := func(d time.Duration) {
			for end := sim.now + d; sim.now < end; {
				owner.CancelsRead(sim.now-latest, 0)
				sim.run(50*time.Millisecond, owner)
				for _, f := range sorted(sim.workers) {
					if !f.reachable {
						sound[f.ID] = sim.now
					}
					for _, r := range f.runs() {
						at, ok := known[r.task.Job]
						if since := max(at, sound[f.ID], r.startedAt); ok && sim.now > since+testCancelWithin+stopGrace {
							sim.violate("task %v run %d goes on on %s at %v, though its job was known to be cancelled at %v, the run started at %v and the last fault ended at %v",
								r.task, r.run, f.ID, sim.now, at, r.startedAt, sound[f.ID])
						}
					}
				}
			}
		}
		for range 60 {
			if upTo(1) == 0 {
				job := jobOf(len(ids)+1, 1+upTo(3), 1)
				sim.submit(owner, job)
				ids = append(ids, job.ID)
			}
			if len(ids) > 0 && upTo(1) == 0 {
				if id := ids[upTo(len(ids)-1)]; !sim.records[id].cancelled {
					cancel(id, latest*time.Duration(upTo(20))/20)
				}
			}
			if upTo(9) == 0 {
				f := sim.workers[string(rune('a'+upTo(len(sim.workers)-1)))]
				f.reachable = false
				sim.after(time.Duration(upTo(40))*100*time.Millisecond, func() { f.reachable = true })
			}
			if upTo(9) == 0 {
				f := sim.workers[string(rune('a'+upTo(len(sim.workers)-1)))]
				f.unlisted = true
				sim.after(time.Duration(upTo(40))*100*time.Millisecond, func() { f.unlisted = false })
			}
			if upTo(19) == 0 {
				f := sim.workers[string(rune('a'+upTo(len(sim.workers)-1)))]
				f.crash()
				f.restart(sim.now)
				sound[f.ID] = sim.now
			}
			owner.discover()
			if upTo(19) == 0 {
				owner.paused = true
				owner = newOwner()
				clear(known)
				for _, id := range ids {
					if sim.records[id].cancelled {
						known[id] = sim.now
					}
				}
			}
			step(250 * time.Millisecond)
		}
		for _, id := range ids {
			if !sim.records[id].cancelled {
				cancel(id, 0)
			}
		}
		step(4*time.Second + testCancelWithin + stopGrace)
		sim.check()
		if sim.anyRun() {
			t.Errorf("runs are left after all jobs were cancelled and all faults ended")
		}
	})
}

// The worker was idle for nearly as long as it may be, its clock is slow, and the start arrives late.
func TestStartOnAnIdleWorkerWithASlowClockEndsWithTheCancellations(t *testing.T) {
	sim := newSimulation(t)
	sim.cancelWithin = testCancelWithin
	f := sim.addWorker("w1", "p", 8)
	f.slow = 0.02
	owner := sim.newOwner()
	for range int((idlePollInterval - testCancelWithin - 2*time.Second) / time.Second) {
		owner.readJobs(0)
		sim.run(time.Second, owner)
	}
	owner.readJobs(0)
	job := jobOf(1, 1, 1)
	sim.submit(nil, job)
	sim.cancel(job.ID)
	sim.run(testCancelWithin-startMargin-minStartWindow-2*testTick, owner)
	sim.requestDelay = func() time.Duration { return 700 * time.Millisecond }
	owner.AddJob(job, &workload.Progress{Queue: job.Queue, State: workload.Queued}, sim.records[job.ID].submitted, sim.now, false, sim.now)
	sim.run(2*time.Second, owner)
	sim.check()
	if owner.Stats().Starts == 0 {
		t.Error("no start was ordered")
	}
}

func TestStartOnAWorkerThatWasIdleForLongIsNotRefused(t *testing.T) {
	sim := newSimulation(t)
	sim.cancelWithin = testCancelWithin
	f := sim.addWorker("w1", "p", 8)
	owner := sim.newOwner()
	for range 200 {
		owner.readJobs(0)
		sim.run(time.Second, owner)
	}
	sim.submit(owner, jobOf(1, 1, 1))
	sim.run(20*testTick, owner)
	if len(f.running) != 1 || owner.Stats().Starts != 1 {
		t.Errorf("%d runs after %d starts, want one of each", len(f.running), owner.Stats().Starts)
	}
}
