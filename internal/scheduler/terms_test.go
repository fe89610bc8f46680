package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// forever runs until it is stopped.
func forever(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }

func TestStandingTaskIsRestartedElsewhere(t *testing.T) {
	w := newWorld(t)
	w.addWorker("w1", "p", 8).hangs = true
	m := w.own()
	job := jobOf(1, 1, 2)
	w.submit(m, job)
	w.run(300*time.Millisecond, m)
	w.addWorker("w2", "p", 8)
	m.discover()
	w.run(4*time.Second, m)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

func TestLaggingTaskGetsACopyWhereTheJobPermitsIt(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		w := newWorld(t)
		slow := w.addWorker("w1", "p", 2)
		slow.duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return 20 * time.Second, platform.EndDone }
		m := w.own()
		job := jobOf(1, 1, 2)
		job.Steps[0].Speculative = speculative
		w.submit(m, job)
		w.run(200*time.Millisecond, m)
		w.addWorker("w2", "p", 2)
		m.discover()
		slow.reached = !speculative // a silent worker is reason enough for a copy
		w.run(3*time.Second, m)
		if done := w.state(job.ID) == workload.Completed; done != speculative {
			t.Errorf("speculative %v: done after 3 s is %v", speculative, done)
		}
	}
}

func TestStartsCarryTheTicketOfTheirWorker(t *testing.T) {
	w := newWorld(t)
	w.addWorker("w1", "p", 8).needsTicket = "nobody"
	w.addWorker("w2", "p", 8).needsTicket = "t2"
	m := w.own()
	job := jobOf(1, 3, 2)
	job.Queue = "advised"
	w.submit(m, job)
	w.run(2*time.Second, m)
	w.check()
	if s := m.Stats(); w.state(job.ID) != workload.Completed || s.TicketsRefused != 0 {
		t.Errorf("state %q, %d tickets refused; want completed and none", w.state(job.ID), s.TicketsRefused)
	}
}

func TestFillersAreSlowedBesideAServingTask(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 8)
	f.duration = forever
	f.tail = 200
	m := w.own()
	job := jobOf(1, 1, 2)
	job.Steps[0].LongRunning, job.Steps[0].TailTarget = true, 100*time.Millisecond
	job.Steps = append(job.Steps, workload.Step{Count: 1, Size: placement.Resources{Processors: 8}, Filler: true, Estimate: time.Hour})
	w.submit(m, job)
	w.run(5*time.Second, m)
	pace := -1
	for _, r := range f.running {
		if r.task.Step == 1 {
			pace = r.pace
		}
	}
	if pace < 0 || pace > 50 {
		t.Errorf("the filler's pace is %d, want it running at 50 or less", pace)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 3)
	m := w.own()
	job := jobOf(1, 2, 2)
	job.Steps[0].Gang = true
	w.submit(m, job)
	w.run(500*time.Millisecond, m)
	if len(f.running) != 0 {
		t.Fatalf("%d members of a gang of 2 run", len(f.running))
	}
	w.addWorker("w2", "p", 3)
	m.discover()
	w.run(2*time.Second, m)
	w.check()
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q, want completed", got)
	}
}

func TestScheduledOccurrencesStartWhenTheyAreDue(t *testing.T) {
	w := newWorld(t)
	w.addWorker("w1", "p", 8)
	m := w.own()
	job := jobOf(1, 1, 2)
	job.Schedule = &workload.Schedule{StartMS: 1000, Interval: time.Second, Occurrences: 2}
	w.submit(m, job)
	w.run(900*time.Millisecond, m)
	if got := m.Stats().Starts; got != 0 {
		t.Fatalf("%d starts before the first is due", got)
	}
	w.run(700*time.Millisecond, m)
	if got := m.Stats().Starts; got != 1 || w.state(job.ID) != workload.Running {
		t.Errorf("%d starts, state %q after the first occurrence; want 1 and running", got, w.state(job.ID))
	}
	w.run(time.Second, m)
	if got := w.state(job.ID); got != workload.Completed {
		t.Errorf("state is %q after the last occurrence, want completed", got)
	}
}

// TestTermsOfPlacement holds requirements, the bound on one worker, and the
// order of steps.
func TestTermsOfPlacement(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"w1", "w2", "w3"} {
		w.addWorker(id, "p", 8).duration = forever
	}
	w.workers["w1"].Labels = []string{"b", "rack"}
	m := w.own()
	job := jobOf(1, 4, 1)
	job.Steps[0].Requires, job.Steps[0].MaxPerWorker = "a", 2
	job.Steps = append(job.Steps, workload.Step{Count: 1, Size: placement.Resources{Processors: 1}, After: []int{0}})
	w.submit(m, job)
	w.run(time.Second, m)
	var counts []int
	for _, id := range []string{"w1", "w2", "w3"} {
		counts = append(counts, len(w.workers[id].running))
	}
	if !slices.Equal(counts, []int{0, 2, 2}) {
		t.Errorf("tasks by worker are %v, want [0 2 2]", counts)
	}
}

// TestLastingTaskIsInterruptedWithinItsBound empties a worker that runs two of
// three lasting tasks of a step, of which one may be away.
func TestLastingTaskIsInterruptedWithinItsBound(t *testing.T) {
	w := newWorld(t)
	f := w.addWorker("w1", "p", 4)
	w.addWorker("w2", "p", 8)
	for _, x := range w.workers {
		x.duration = forever
	}
	m := w.own()
	job := jobOf(1, 3, 2)
	job.Steps[0].LongRunning, job.Steps[0].MaxUnavailable = true, 1
	w.submit(m, job)
	w.run(2*time.Second, m)
	m.Reserve("w1", true)
	worst := 0
	for range 600 {
		m.Evacuate("w1", w.now)
		w.run(testTick, m)
		away := 3
		for _, x := range w.workers {
			for _, r := range x.running {
				if x.percent(r, w.now) >= 100 {
					away--
				}
			}
		}
		worst = max(worst, away)
	}
	if len(f.running) != 0 || worst > 1 {
		t.Errorf("%d tasks left, up to %d away at once; want none and at most 1", len(f.running), worst)
	}
}

// TestWaitingTasksTellHowFarTheyMustSpread holds what the plan of the fleet is
// told of long-running tasks that no worker may take.
func TestWaitingTasksTellHowFarTheyMustSpread(t *testing.T) {
	w := newWorld(t)
	w.addWorker("w1", "p", 8).duration = func(workload.TaskID) (time.Duration, platform.RunEnd) { return time.Hour, platform.EndDone }
	m := w.own()
	job := jobOf(1, 5, 1)
	job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker = true, 2
	w.submit(m, job)
	w.run(300*time.Millisecond, m)
	for _, p := range m.Pools(w.now) {
		if p.Name == "p" && p.Spread != 3 {
			t.Errorf("tasks ask for %d workers, want 3: five of them, two a worker", p.Spread)
		}
	}
}
