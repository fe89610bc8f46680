package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// lasting returns a duration function of tasks that end well after d.
func lasting(d time.Duration) func(workload.TaskID) (time.Duration, platform.RunEnd) {
	return func(workload.TaskID) (time.Duration, platform.RunEnd) { return d, platform.EndDone }
}

// A run that was given up with its lease is listed as done later.
func TestTaskDoneOnASilentWorkerIsNotStartedAgain(t *testing.T) {
	sim := newSimulation(t)
	w := sim.addWorker("w1", "p", 2)
	w.duration = lasting(3 * time.Second)
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(500*time.Millisecond, owner)
	w.reachable = false
	sim.run(12*time.Second, owner)
	if owner.Stats().LostRuns != 1 {
		t.Fatalf("%d runs are given up, want 1", owner.Stats().LostRuns)
	}
	w.reachable = true
	sim.run(3*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.Starts != 1 || sim.state(job.ID) != workload.Completed {
		t.Errorf("%d starts, state %q; want 1 and completed", s.Starts, sim.state(job.ID))
	}
}

// A run that was given up with its lease is listed as failed later.
func TestFailureOnASilentWorkerCounts(t *testing.T) {
	sim := newSimulation(t)
	w := sim.addWorker("w1", "p", 2)
	w.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return 3 * time.Second, platform.EndFailed }
	owner := sim.newOwner()
	job := jobOf(1, 1, 2)
	sim.submit(owner, job)
	sim.run(500*time.Millisecond, owner)
	w.reachable = false
	sim.run(6*time.Second, owner)
	w.reachable = true
	sim.run(10*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.Starts != 2 || sim.state(job.ID) != workload.Failed {
		t.Errorf("%d starts, state %q; want the 2 that the queue permits, and failed", s.Starts, sim.state(job.ID))
	}
}

// pollAnswered hands the engine the answer to a poll that was sent at sentAt.
func pollAnswered(owner *testOwner, id string, sentAt time.Duration, status platform.WorkerStatus, err error) {
	w := owner.workers[id]
	owner.Polled(&PollOrder{Worker: w.Worker, worker: w, sentAt: sentAt, probe: true}, status, err, owner.sim.now)
}

// A probe is answered while an older long poll times out.
func TestFailureOfAnOlderPollIsNotSilence(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(10 * time.Second)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(time.Second, owner)
	pollAnswered(owner, "w1", sim.now, sim.answerPoll(f, platform.Poll{Token: owner.workers["w1"].token}), nil)
	pollAnswered(owner, "w1", sim.now-800*time.Millisecond, platform.WorkerStatus{}, errNoAnswer)
	if n := owner.workers["w1"].failedPolls; n != 0 {
		t.Errorf("%d polls count as failed, though a later one was answered", n)
	}
}

// A later answer has overtaken the one that lists the run.
func TestOlderAnswerDoesNotReviveAnEndedRun(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) {
		return 800 * time.Millisecond, platform.EndFailed
	}
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(400*time.Millisecond, owner)
	older := sim.answerPoll(f, platform.Poll{Token: owner.workers["w1"].token})
	sentAt := sim.now
	for owner.Stats().FailedRuns == 0 {
		sim.run(testTick, owner)
	}
	pollAnswered(owner, "w1", sentAt, older, nil)
	if n := len(owner.workers["w1"].runs); n != 0 {
		t.Errorf("the worker has %d runs, but its only run has ended", n)
	}
	if got, want := owner.workers["w1"].clockMS, older.ClockMS; got <= want {
		t.Errorf("the worker's clock is back at %d", got)
	}
}

// An owner near the end of its ownership grants longer leases than its successor.
func TestAdoptedRunKeepsTheLeaseOfItsPreviousOwner(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(20 * time.Second)
	first := sim.newOwner()
	sim.submit(first, jobOf(1, 1, 2))
	sim.run(500*time.Millisecond, first)
	f.leaseMS = f.clock(sim.now) + testMaxLease.Milliseconds()
	successor := sim.newOwnerAfter(0)
	sim.run(100*time.Millisecond, successor)
	if len(successor.workers["w1"].runs) != 1 {
		t.Fatal("the run is not adopted")
	}
	f.reachable = false
	sim.addWorker("w2", "p", 2)
	successor.discover()
	sim.run(8*time.Second, successor)
	sim.check()
}

// doneWhileSilent runs a task to its end on w1 while its owner gets no answer
// from it, and returns the owner. w2 has capacity for the task.
func doneWhileSilent(sim *simulation) (*testOwner, *fakeWorker) {
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(3 * time.Second)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(500*time.Millisecond, owner)
	sim.addWorker("w2", "p", 2)
	owner.discover()
	f.reachable = false
	return owner, f
}

// The worker answers again by the end of its lease.
func TestWorkerIsProbedOnceMoreAfterItsLease(t *testing.T) {
	sim := newSimulation(t)
	owner, f := doneWhileSilent(sim)
	sim.run(2*time.Second, owner)
	sim.run(owner.workers["w1"].leaseEnd()-sim.now-testTick, owner)
	f.reachable = true
	sim.run(2*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.Starts != 1 {
		t.Errorf("%d starts, want 1: the worker answered", s.Starts)
	}
}

// The poll of a sound worker times out because this process did not run.
func TestOwnStallIsNotTakenForSilence(t *testing.T) {
	sim := newSimulation(t)
	owner, f := doneWhileSilent(sim)
	sim.run(2*time.Second, owner)
	sim.run(owner.workers["w1"].leaseEnd()-sim.now-testTick, owner)
	f.reachable = true
	stalled := false
	sim.injectFault = func(o Order) orderFault {
		p, ok := o.(*PollOrder)
		if !ok || p.Worker.ID != "w1" || stalled {
			return orderFault{}
		}
		stalled = true
		owner.paused = true
		sim.after(time.Second, func() {
			owner.paused = false
			owner.PollOverdue(p, sim.now)
			answer := sim.answerPoll(f, p.Poll)
			sim.after(testTick, func() { owner.answer(p, answer, nil) })
		})
		return orderFault{handled: true}
	}
	sim.run(3*time.Second, owner)
	sim.check()
	if s := owner.Stats(); !stalled || s.Starts != 1 {
		t.Errorf("%d starts, want 1: the worker answered", s.Starts)
	}
}

// A start for the previous incarnation is refused at its old address.
func TestAnswerToThePreviousIncarnationDoesNotEndTheNext(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 4)
	f.duration = lasting(5 * time.Second)
	var held *StartOrder
	sim.injectFault = func(o Order) orderFault {
		if s, ok := o.(*StartOrder); ok && held == nil {
			held = s
			return orderFault{lost: true}
		}
		return orderFault{}
	}
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	for held == nil {
		sim.run(testTick, owner)
	}
	f.crash()
	f.restart(sim.now)
	owner.discover()
	owner.Started(held, platform.OrderAnswer{Outcome: platform.OrderWrongIncarnation}, nil, sim.now)
	if w := owner.workers["w1"]; w == nil || len(w.runs) != 0 {
		t.Errorf("the next incarnation is %v, want it known and without runs", w)
	}
}

// A late poll for the previous incarnation reaches the next one.
func TestEndsOfAnUnknownIncarnationAreNotAcknowledged(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 4)
	f.duration = lasting(100 * time.Millisecond)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(300*time.Millisecond, owner)
	if owner.workers["w1"].lastAckedEnd != 1 {
		t.Fatal("the first end is not acknowledged")
	}
	f.crash()
	f.restart(sim.now)
	late := false
	sim.injectFault = func(o Order) orderFault {
		_, ok := o.(*PollOrder)
		first := ok && !late
		late = late || ok
		return orderFault{lost: first, applied: first, delay: 300 * time.Millisecond}
	}
	sim.submit(owner, jobOf(2, 1, 2))
	sim.run(3*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.Starts != 2 {
		t.Errorf("%d starts, want 2: each task was done once", s.Starts)
	}
}

// An owner without its lease can neither record ends nor renew leases.
func TestExpiredOwnerPollsAtIntervals(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 2)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(200*time.Millisecond, owner)
	owner.expired = true
	sim.run(time.Second, owner)
	before := owner.Stats().Looks
	sim.run(5*time.Second, owner)
	if polls := owner.Stats().Looks - before; polls > 12 {
		t.Errorf("%d polls in 5 s, want one each %v", polls, unrecordedPollInterval)
	}
}

// A slow process reads answers after their time-out.
func TestAnswerThatIsReadLateKeepsAWorkersRuns(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(8 * time.Second)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(500*time.Millisecond, owner)
	sim.addWorker("w2", "p", 2)
	owner.discover()
	sim.injectFault = func(o Order) orderFault {
		p, ok := o.(*PollOrder)
		if !ok || p.Worker.ID != "w1" {
			return orderFault{}
		}
		sim.after(p.Wait+ProbeTimeout, func() { owner.PollOverdue(p, sim.now) })
		sim.applyPoll(f, p, func(a any) {
			sim.after(900*time.Millisecond, func() { owner.answer(p, a, nil) })
		})
		return orderFault{handled: true}
	}
	sim.run(12*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.Starts != 1 || s.LostRuns != 0 {
		t.Errorf("%d starts, %d runs given up; want 1 and none", s.Starts, s.LostRuns)
	}
}

// Late answers of workers are not slowness of this process.
func TestSlowWorkersDoNotKeepTheTasksOfALostOne(t *testing.T) {
	sim := newSimulation(t)
	lost := sim.addWorker("w1", "p", 2)
	lost.duration = lasting(time.Hour)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	const slow = 12
	for n := range slow {
		sim.run(100*time.Millisecond, owner)
		sim.addWorker(fmt.Sprintf("w%d", n+2), "p", 3).duration = lasting(time.Hour)
		owner.discover()
		sim.submit(owner, jobOf(n+2, 1, 2))
	}
	sim.run(300*time.Millisecond, owner)
	sim.addWorker("w99", "p", 2)
	owner.discover()
	sim.injectFault = func(o Order) orderFault {
		p, ok := o.(*PollOrder)
		if !ok {
			return orderFault{}
		}
		f := sim.workers[p.Worker.ID]
		sim.after(p.Wait+ProbeTimeout, func() { owner.PollOverdue(p, sim.now) })
		if f == lost {
			sim.after(p.Wait+4*time.Second, func() { owner.answer(p, nil, errNoAnswer) })
			return orderFault{handled: true}
		}
		sim.applyPoll(f, p, func(a any) {
			sim.after(350*time.Millisecond, func() { owner.answer(p, a, nil) })
		})
		return orderFault{handled: true}
	}
	sim.run(15*time.Second, owner)
	sim.check()
	if s := owner.Stats(); s.LostRuns != 1 || s.Starts != slow+2 {
		t.Errorf("%d runs given up, %d starts; want 1 and %d", s.LostRuns, s.Starts, slow+2)
	}
}

// This process reads no answers for a while, though its decisions are in time.
func TestUnreadAnswersAreNotSilence(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(2 * time.Second)
	owner := sim.newOwner()
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(500*time.Millisecond, owner)
	sim.addWorker("w2", "p", 2)
	owner.discover()
	sim.run(50*time.Millisecond, owner)
	const pollTimeout = 4 * time.Second
	unreadUntil := sim.now + 9*time.Second
	sim.injectFault = func(o Order) orderFault {
		p, ok := o.(*PollOrder)
		if !ok {
			return orderFault{}
		}
		sentAt := sim.now
		sim.after(p.Wait+ProbeTimeout, func() { owner.PollOverdue(p, sim.now) })
		sim.applyPoll(sim.workers[p.Worker.ID], p, func(a any) {
			if unreadUntil-sentAt > p.Wait+pollTimeout {
				sim.after(p.Wait+pollTimeout, func() { owner.answer(p, nil, errNoAnswer) })
				return
			}
			sim.after(max(orderDelay, unreadUntil-sim.now), func() { owner.answer(p, a, nil) })
		})
		return orderFault{handled: true}
	}
	sim.run(12*time.Second, owner)
	if s := owner.Stats(); s.Starts != 1 || s.LostRuns != 0 {
		t.Errorf("%d starts, %d runs given up; want 1 and none", s.Starts, s.LostRuns)
	}
}

// The owner takes 120 ms from an answer to its next decision.
func TestSlowDecisionsStillAcknowledgeEnds(t *testing.T) {
	sim := newSimulation(t)
	sim.addWorker("w1", "p", 2)
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	sim.submit(owner, jobOf(1, 1, 2))
	sim.run(100*time.Millisecond, owner)
	for range 40 {
		sim.run(120 * time.Millisecond)
		sim.run(testTick, owner)
	}
	if w := owner.workers["w1"]; w.lastAckedEnd != w.lastSeenEnd || w.lastSeenEnd == 0 {
		t.Errorf("end %d was read, %d acknowledged", w.lastSeenEnd, w.lastAckedEnd)
	}
}

// An answer holds the first ends only.
func TestRunBeyondTheListedEndsIsNotLost(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(200 * time.Millisecond)
	owner := sim.newOwner()
	sim.run(200*time.Millisecond, owner)
	for range platform.MaxListedEnds {
		f.end(&fakeRun{task: workload.TaskID{Job: "00000000000000ff"}, run: 1}, platform.EndStopped, sim.now)
	}
	sim.submit(owner, jobOf(1, 1, 2))
	sim.injectFault = func(o Order) orderFault {
		p, ok := o.(*PollOrder)
		if !ok {
			return orderFault{}
		}
		p.Acknowledged = 0 // the ends cannot be recorded yet
		sim.applyPoll(f, p, func(a any) {
			s := a.(platform.WorkerStatus)
			s.Ends = s.Ends[:min(len(s.Ends), platform.MaxListedEnds)]
			sim.after(orderDelay, func() { owner.answer(p, s, nil) })
		})
		return orderFault{handled: true}
	}
	sim.run(3*time.Second, owner)
	if s := owner.Stats(); s.Starts != 1 || s.LostRuns != 0 {
		t.Errorf("%d starts, %d given up; want 1 and none", s.Starts, s.LostRuns)
	}
}

// The record of workers in use names the incarnation before.
func TestNextIncarnationKeepsTheLeaseOfThePreviousOwner(t *testing.T) {
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 2)
	f.duration = lasting(20 * time.Second)
	first := sim.newOwner()
	sim.run(100*time.Millisecond, first)
	f.crash()
	sim.now += testTick
	old := f.Worker
	f.restart(sim.now)
	first.discover()
	sim.run(100*time.Millisecond, first)
	sim.submit(first, jobOf(1, 1, 2))
	sim.run(500*time.Millisecond, first)
	f.leaseMS = f.clock(sim.now) + testMaxLease.Milliseconds()
	sim.inUse["w1"] = UsedWorker{Worker: old}
	successor := sim.newOwnerAfter(0)
	sim.run(100*time.Millisecond, successor)
	f.reachable = false
	sim.addWorker("w2", "p", 2)
	successor.discover()
	sim.run(8*time.Second, successor)
	sim.check()
}
