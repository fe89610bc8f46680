package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(t)
	w.addWorker("w1", "p", 8)
	m := w.own()
	job := jobOf(1, 4, 2)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].After = []int{0}
	w.submit(m, job)
	w.run(2*time.Second, m)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
	if len(m.jobs) != 0 {
		t.Errorf("%d jobs are kept after their end is recorded", len(m.jobs))
	}
}

// TestCancelledRunsOfAFormerOwnerAreStopped plays an owner that recorded a
// cancellation and ended before it stopped the job's tasks. The stop that the
// next owner's look gives rise to must reach the worker.
func TestCancelledRunsOfAFormerOwnerAreStopped(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	m := w.own()
	job := jobOf(1, 2, 2)
	job.Steps[0].LongRunning = true
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	w.submit(m, job)
	w.run(500*time.Millisecond, m)
	if len(f.running) != 2 {
		t.Fatalf("%d tasks run, want 2", len(f.running))
	}
	r := w.records[job.ID]
	r.cancelled = true
	r.progress.State = workload.Cancelled
	next := w.own()
	w.run(300*time.Millisecond, next)
	w.check()
	if len(f.running) != 0 {
		t.Errorf("%d tasks of the cancelled job run on", len(f.running))
	}
}

// TestCancelStopsRunsAtOnce plays a cancellation between two decisions.
func TestCancelStopsRunsAtOnce(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	m := w.own()
	job := jobOf(1, 2, 2)
	w.submit(m, job)
	w.run(200*time.Millisecond, m)
	m.Cancel(job.ID, w.now)
	w.run(50*time.Millisecond, m)
	if len(f.running) != 0 || w.state(job.ID) != workload.Cancelled {
		t.Errorf("%d tasks run, state %q; want none and cancelled", len(f.running), w.state(job.ID))
	}
}

// TestTaskOfACutWorkerWaitsForItsLease plays a worker that runs on behind a
// cut: its task starts elsewhere, but not before the lease has run out there.
func TestTaskOfACutWorkerWaitsForItsLease(t *testing.T) {
	w := newWorld(t)
	cut := w.addWorker("w1", "p", 8)
	cut.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	m := w.own()
	job := jobOf(1, 1, 2)
	w.submit(m, job)
	w.run(300*time.Millisecond, m)
	w.addWorker("w2", "p", 8)
	m.discover()
	cut.reached = false
	w.run(12*time.Second, m)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestFailedRunsEndAJobAfterItsAttempts plays a job whose every run fails.
func TestFailedRunsEndAJobAfterItsAttempts(t *testing.T) {
	w := newWorld(t)
	starts := 0
	for _, id := range []string{"w1", "w2"} {
		w.addWorker(id, "p", 8).duration = func(workload.TaskID) (time.Duration, platform.RunEnd) {
			return 50 * time.Millisecond, platform.EndFailed
		}
	}
	w.lose = func(o Order) fate {
		if _, ok := o.(*StartOrder); ok {
			starts++
		}
		return fate{}
	}
	m := w.own()
	job := jobOf(1, 1, 2)
	w.submit(m, job)
	w.run(3*time.Second, m)
	if starts != 2 || w.state(job.ID) != workload.Failed {
		t.Errorf("%d starts, state %q; want 2 and failed", starts, w.state(job.ID))
	}
}

// TestUnprovedOwnerLetsLeasesRunOut plays an owner that has lost the table
// service but reaches the workers, and a successor that reaches one of them
// only: what runs on the other one is not started again while it runs.
func TestUnprovedOwnerLetsLeasesRunOut(t *testing.T) {
	w := newWorld(t)
	cut := w.addWorker("w1", "p", 8)
	cut.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	former := w.own()
	job := jobOf(1, 1, 2)
	w.submit(former, job)
	w.run(500*time.Millisecond, former)
	w.addWorker("w2", "p", 8)
	former.expired = true
	const expiredFor = 2 * time.Second
	w.run(expiredFor, former)
	next := w.ownAfter(expiredFor)
	w.lose = func(o Order) fate {
		if l, ok := o.(*PollOrder); ok && l.Token == next.token && l.Worker.ID == "w1" {
			return fate{lost: true}
		}
		return fate{}
	}
	w.run(9*time.Second, former, next)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestNewOwnerReadsEndsBeforeItStarts plays an owner that dies with a finished
// task that it has not recorded, and a successor that takes over when all
// leases have run out: it finds the end instead of starting the task again.
func TestNewOwnerReadsEndsBeforeItStarts(t *testing.T) {
	w := newWorld(t)
	w.addWorker("w1", "p", 8)
	w.addWorker("w2", "p", 8)
	former := w.own()
	former.expired = true
	former.Recorded(former.InUse())
	job := jobOf(1, 4, 2)
	former.expired = false
	w.submit(former, job)
	w.storeDown = true
	w.run(time.Second, former)
	former.frozen = true
	w.run(20*time.Second, former)
	w.storeDown = false
	next := w.ownAfter(20 * time.Second)
	w.run(3*time.Second, next)
	w.check()
	if next.Stats().Starts != 0 || w.state(job.ID) != workload.Completed {
		t.Errorf("%d starts, state %q; want none and completed", next.Stats().Starts, w.state(job.ID))
	}
}

// TestFailureOfAnEarlierRunCountsAfterAChangeOfOwner plays a run whose failure
// the former owner could not record before it started the next run elsewhere.
// The successor finds both; the attempts must not be exceeded.
func TestFailureOfAnEarlierRunCountsAfterAChangeOfOwner(t *testing.T) {
	w := newWorld(t)
	first := w.addWorker("w1", "p", 2)
	fail := func(after time.Duration) func(workload.TaskID) (time.Duration, platform.RunEnd) {
		return func(workload.TaskID) (time.Duration, platform.RunEnd) { return after, platform.EndFailed }
	}
	first.duration = fail(100 * time.Millisecond)
	former := w.own()
	job := jobOf(1, 1, 2)
	w.storeDown = true
	w.submit(former, job)
	w.run(50*time.Millisecond, former)
	second := w.addWorker("w2", "p", 2)
	second.duration = fail(1500 * time.Millisecond)
	former.discover()
	w.run(450*time.Millisecond, former)
	if len(second.running) != 1 {
		t.Fatalf("%d runs on the second worker, want 1", len(second.running))
	}
	w.storeDown = false
	next := w.own()
	w.lose = func(o Order) fate {
		// The first worker answers after the second.
		if l, ok := o.(*PollOrder); ok && l.Worker.ID == "w1" && w.now < 800*time.Millisecond {
			return fate{lost: true}
		}
		return fate{}
	}
	w.run(4*time.Second, next)
	if got := next.Stats().Starts; got != 0 || w.state(job.ID) != workload.Failed {
		t.Errorf("%d further starts, state %q; want none and failed", got, w.state(job.ID))
	}
}

// TestWorkerIsIdleSoonAfterItsLastEnd holds that a host can leave its pool
// shortly after its last task has ended and been recorded.
func TestWorkerIsIdleSoonAfterItsLastEnd(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	m := w.own()
	w.submit(m, jobOf(1, 3, 2))
	w.run(200*time.Millisecond, m)
	if len(f.running) == 0 {
		t.Fatal("no task runs")
	}
	w.run(300*time.Millisecond, m)
	for _, p := range m.Pools(w.now) {
		if p.Name == "p" && !p.Workers[0].Idle {
			t.Error("the worker is not idle 200 ms after its last end")
		}
	}
}

// TestNothingStartsOnADrainingWorker plays a worker that announces its leave.
func TestNothingStartsOnADrainingWorker(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	m := w.own()
	w.run(100*time.Millisecond, m)
	f.Draining = true
	m.discover()
	w.submit(m, jobOf(1, 1, 2))
	w.run(time.Second, m)
	if got := m.Stats().Starts; got != 0 {
		t.Errorf("%d starts on a draining worker", got)
	}
}

// TestUnwantedRunsKeepTheirRoom plays a successor that finds runs which it does
// not want: a second copy, and one of a job that is over. Until they have
// stopped, a worker that starts whatever it is told to has no room for others.
func TestUnwantedRunsKeepTheirRoom(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	f.unguarded, f.stopTakes = true, 100*time.Millisecond
	copied, over := jobOf(1, 1, 4), jobOf(2, 1, 4)
	copied.Steps[0].Speculative = true
	w.submit(nil, copied)
	w.submit(nil, over)
	f.leaseMS = 5000
	for _, r := range []fakeRun{
		{task: workload.TaskID{Job: copied.ID}, run: 1},
		{task: workload.TaskID{Job: copied.ID}, run: 2},
	} {
		f.running[runKey{r.task, r.run}] = &r
	}
	w.inUse[f.ID] = f.Worker
	next := w.own()
	w.submit(next, jobOf(3, 2, 4))
	w.run(2*time.Second, next)
	w.check()
	if got := w.state(over.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestRunOfAnUnknownJobKeepsItsWorkerClosed plays a run of which nobody knows
// the size: nothing starts beside it.
func TestRunOfAnUnknownJobKeepsItsWorkerClosed(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	f.stopTakes = 200 * time.Millisecond
	f.leaseMS = 5000
	unknown := workload.TaskID{Job: "00000000000000ff"}
	f.running[runKey{unknown, 1}] = &fakeRun{task: unknown, run: 1}
	w.inUse[f.ID] = f.Worker
	next := w.own()
	job := jobOf(1, 1, 2)
	w.submit(next, job)
	w.run(150*time.Millisecond, next)
	if got := next.Stats().Starts; got != 0 {
		t.Errorf("%d starts beside a run of unknown size", got)
	}
	w.run(2*time.Second, next)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestStartMayReachTheNextLifeOfASilentWorker plays a start without an answer
// to a worker that is reborn under its id and falls silent: the start is carried
// out by the next life, whose lease nobody has extended. Its task starts
// elsewhere only when that cannot happen any more.
func TestStartMayReachTheNextLifeOfASilentWorker(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	f.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	m := w.own()
	w.run(400*time.Millisecond, m)
	w.lose = func(o Order) fate {
		if _, ok := o.(*StartOrder); ok {
			return fate{lost: true, applied: true, delay: 1200 * time.Millisecond}
		}
		return fate{lost: true}
	}
	job := jobOf(1, 1, 2)
	w.submit(m, job)
	w.run(100*time.Millisecond, m)
	f.crash()
	f.restart(w.now)
	m.discover()
	w.addWorker("w2", "p", 8)
	m.discover()
	lost := w.lose
	w.lose = func(o Order) fate {
		if l, ok := o.(*PollOrder); ok && l.Worker.ID == "w2" {
			return fate{}
		}
		if s, ok := o.(*StartOrder); ok && s.Worker.ID == "w2" {
			return fate{}
		}
		return lost(o)
	}
	w.run(25*time.Second, m)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestSuccessorReadsTheNextLifeOfAWorker plays a start without an answer, a
// worker that is reborn under its id and a change of owner: the start is
// carried out by the next life just before the successor's first look. The
// successor must not start the task elsewhere before it has read that life.
func TestSuccessorReadsTheNextLifeOfAWorker(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	long := func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Second, platform.EndDone }
	f.duration = long
	former := w.own()
	w.run(400*time.Millisecond, former)
	w.lose = func(o Order) fate {
		if _, ok := o.(*StartOrder); ok {
			return fate{lost: true, applied: true, delay: 700 * time.Millisecond}
		}
		return fate{}
	}
	job := jobOf(1, 1, 2)
	w.submit(former, job)
	w.run(50*time.Millisecond, former)
	former.frozen = true
	w.lose = func(o Order) fate {
		// The first look at the next life gets no answer.
		l, ok := o.(*PollOrder)
		return fate{lost: ok && l.Worker.ID == "w1" && w.now < 1200*time.Millisecond}
	}
	w.run(500*time.Millisecond, former)
	f.crash()
	w.addWorker("w2", "p", 8).duration = long
	next := w.ownAfter(8 * time.Second)
	f.restart(w.now)
	next.discover()
	w.run(5*time.Second, next)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

// TestBarredStartStaysBarredInTheNextLife plays a start without an answer that
// a stop has kept out of its worker, which is then reborn under its id and has
// forgotten the stop. The late start must not be carried out there.
func TestBarredStartStaysBarredInTheNextLife(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	m := w.own()
	w.run(200*time.Millisecond, m)
	w.lose = func(o Order) fate {
		if s, ok := o.(*StartOrder); ok && s.Worker.ID == "w1" && s.Run == 1 {
			return fate{lost: true, applied: true, delay: 1400 * time.Millisecond}
		}
		return fate{}
	}
	job := jobOf(1, 1, 2)
	w.submit(m, job)
	w.run(100*time.Millisecond, m)
	w.addWorker("w2", "p", 8)
	m.discover()
	w.run(800*time.Millisecond, m)
	if got := w.state(job.ID); got == workload.Queued {
		t.Fatal("the task was not started again")
	}
	f.crash()
	f.restart(w.now)
	m.discover()
	w.run(3*time.Second, m)
	w.check()
	if len(f.highest) == 0 {
		t.Error("the next life was not told to refuse the start")
	}
}
