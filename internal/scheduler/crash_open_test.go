package scheduler

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// answerForEnded answers the orders to workers that have ended after a delay, with the
// error or, if that is nil, as another worker at their address.
func (c *crashSimulation) answerForEnded(after time.Duration, err error) {
	c.injectFault = func(o Order) orderFault {
		if c.workers[keyOf(o).target].up {
			return orderFault{}
		}
		owner := c.owner
		c.after(after, func() {
			if _, ok := o.(*PollOrder); ok {
				owner.answer(o, platform.WorkerStatus{Outcome: platform.OrderWrongIncarnation}, err)
				return
			}
			owner.answer(o, platform.OrderAnswer{Outcome: platform.OrderWrongIncarnation}, err)
		})
		return orderFault{handled: true}
	}
}

// Idle workers crash, and the starts that follow reach none of them.
func TestJobIsNotGivenUpForStartsThatItsWorkersNeverReceived(t *testing.T) {
	refused := errors.WithMessage(platform.ErrUnavailable, "connection refused")
	for _, kind := range []struct {
		name      string
		after     time.Duration
		err       error
		hostLists bool
		sendDelay time.Duration
	}{
		{"another worker answers", 2 * orderDelay, nil, false, 0},
		{"the connection is refused", 2 * orderDelay, refused, false, 0},
		{"a host list shows the crash first", 2 * hostListInterval, refused, true, 0},
		{"a host list shows the crash before they are sent", 0, refused, true, 2 * hostListInterval},
	} {
		t.Run(kind.name, func(t *testing.T) {
			c := newCrashSimulation(t, 8)
			c.newIDs, c.downtime, c.hostLists = true, time.Hour, kind.hostLists
			c.answerForEnded(kind.after, kind.err)
			c.sendDelay = func() time.Duration { return kind.sendDelay }
			c.play(time.Second)
			for _, f := range sorted(c.workers)[1:] {
				c.crashWorker(f)
			}
			var jobs []*workload.Job
			for i := range 3 {
				jobs = append(jobs, jobOf(i+1, 6, 1))
				c.submit(c.owner, jobs[i])
				c.play(50 * time.Millisecond)
			}
			c.play(6 * time.Second)
			c.check()
			for _, job := range jobs {
				if got, crashes := c.state(job.ID), c.records[job.ID].progress.Crashes; got != workload.Completed || len(crashes) > 0 {
					t.Errorf("the job is %q with crashes %v, want completed with none", got, crashes)
				}
			}
		})
	}
}

// A worker ends while a poll waits there, and connections to it are refused from then
// on.
func TestWorkerThatRefusesConnectionsGetsNoFurtherStarts(t *testing.T) {
	c := newLongRunningSimulation(t, 1)
	c.downtime, c.hostLists = time.Hour, false
	c.answerForEnded(2*orderDelay, errors.WithMessage(platform.ErrUnavailable, "connection refused"))
	c.submit(c.owner, longRunningJob(1, 1, 1))
	c.play(1300 * time.Millisecond) // a long poll has just begun
	c.crashWorker(c.workers["w1"])
	before := c.owner.Stats().Starts
	c.submit(c.owner, jobOf(2, 1, 2))
	c.play(2 * time.Second)
	if got := c.owner.Stats().Starts - before; got != 1 {
		t.Errorf("%d starts in 2 s, want 1", got)
	}
}

// A worker restarts under its id, and its next incarnation carries the start out.
func TestRunOfTheNextIncarnationDoesNotCountItsWorkersCrash(t *testing.T) {
	c := newCrashSimulation(t, 1)
	restarts := 0
	c.injectFault = func(o Order) orderFault {
		f := c.workers[keyOf(o).target]
		if _, ok := o.(*StartOrder); !ok || restarts > 0 {
			return orderFault{}
		}
		restarts++
		f.crash()
		f.restart(c.now)
		return orderFault{lost: true, applied: true, delay: testTick}
	}
	job := jobOf(1, 1, 2)
	c.play(time.Second)
	c.submit(c.owner, job)
	c.play(5 * time.Second)
	c.check()
	if got, crashes := c.state(job.ID), c.records[job.ID].progress.Crashes; got != workload.Completed || len(crashes) > 0 || restarts != 1 {
		t.Errorf("the job is %q with crashes %v after %d restarts, want completed with none after 1", got, crashes, restarts)
	}
}

// The start of a task crashes its worker. It gets no answer, and a host list shows the
// crash before the answer is overdue.
func TestTaskDoesNotCrashWorkerAfterWorkerWhileItsStartsAreUnanswered(t *testing.T) {
	c := newCrashSimulation(t, 8)
	c.newIDs = true
	job := jobOf(1, 1, 2)
	c.crashes, c.delay = isTaskOf(job), 0
	c.injectFault = func(o Order) orderFault {
		if _, ok := o.(*StartOrder); !ok {
			return orderFault{}
		}
		owner, f := c.owner, c.workers[keyOf(o).target]
		if f.up {
			c.apply(f, o)
			c.after(hostListDelay, c.listHostsOnce)
		}
		c.after(500*time.Millisecond, func() { owner.answer(o, nil, errNoAnswer) })
		return orderFault{handled: true}
	}
	c.submit(c.owner, job)
	c.play(40 * time.Second)
	c.checkGivenUp(t, job)
}
