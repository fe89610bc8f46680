package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// No poll renews the lease of a worker that has started the task, and it crashes after that has expired.
func TestCrashAfterTheLeaseOfARunIsNotCertain(t *testing.T) {
	c := newCrashSimulation(t, 2)
	for _, f := range c.workers {
		f.duration = forever
	}
	submitted := false
	c.injectFault = func(o Order) orderFault {
		_, poll := o.(*PollOrder)
		return orderFault{lost: poll && submitted}
	}
	c.play(time.Second)
	job := jobOf(1, 1, 2)
	c.submit(c.owner, job)
	submitted = true
	var on *fakeWorker
	for on == nil {
		c.play(testTick)
		for _, f := range c.workers {
			if len(f.running) == 1 {
				on = f
			}
		}
	}
	c.play(startWindow + 20*time.Millisecond)
	if len(on.running) != 0 {
		t.Fatal("the lease has not expired")
	}
	c.crashWorker(on)
	c.play(time.Second)
	c.check()
	crashes := c.records[job.ID].progress.Crashes
	if len(crashes) != 1 || crashes[0].Weight == workload.CrashCertain {
		t.Errorf("crashes %v, want one that is not certain", crashes)
	}
}
