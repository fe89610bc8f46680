package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// idleLimit is how long after its last run the platform allows a long-running
	// task to be without a run. It is lost after another lossTime with capacity for
	// it twice over, if there is no unplanned fault in that time and the calmTime
	// before.
	idleLimit = 6 * time.Second
	lossTime  = 3 * time.Second
	calmTime  = 4 * time.Second
	// surviveTime is how long a long-running task has run that is at work.
	surviveTime = 2 * time.Second
)

// longBody returns the body of a submission with long-running tasks.
func longBody(count int) []byte {
	return fmt.Appendf(nil, `{"task_spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":64,"estimated_ms":500,"long_running":true,"max_unavailable":1}]}`, spec, count)
}

// runLongJob submits a long-running job, and cancels it once end is closed.
func (c *callers) runLongJob(ctx context.Context, end <-chan struct{}, id string, count int, rng *rand.Rand) {
	c.world.checker.addJob(id, &jobRecord{steps: []step{{count: count, after: -1}}, longRunning: true})
	if c.submit(id, longBody(count), rng) {
		<-end
		c.cancelUntilConfirmed(ctx, id, rng)
		c.watch(ctx, id, rng)
	}
}

// watchLongRunning checks the long-running tasks until ctx is done, and then until
// all of them run or could have been found lost.
func (w *world) watchLongRunning(ctx context.Context) {
	end, _ := ctx.Deadline()
	for idle := 1; ctx.Err() == nil || idle > 0 && time.Since(end) < idleLimit+lossTime+calmTime; time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		calm := w.faults.Load() == 0 && now.UnixNano()-w.lastFault.Load() >= int64(lossTime+calmTime)
		idle = w.checker.checkLongRunning(w.hosts(), calm, now)
	}
}

// checkLongRunning checks that no long-running task is lost, and returns how many
// are without a run. Tasks that the platform allows to give up are not checked.
func (c *checker) checkLongRunning(hosts []map[string]any, calm bool, now time.Time) (idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := 0 // cores, of which each run takes one
	for _, h := range hosts {
		if h["pool"] == "pool" && h["state"] == "up" && h["id"] != nil {
			free += workerCores
		}
	}
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			free -= len(t.running)
		}
	}
	room := !c.roomSince.IsZero() && now.Sub(c.roomSince) >= lossTime
	for id, j := range c.jobs {
		if !j.longRunning || !j.accepted || j.cancelSent || j.givenUp {
			continue
		}
		for i := range j.steps[0].count {
			t := j.task(workload.TaskID{Job: id, Index: i})
			if len(t.running) > 0 {
				continue
			}
			idle++
			if t.idleSince.IsZero() {
				t.idleSince = now
			}
			c.longestIdle = max(c.longestIdle, now.Sub(t.idleSince))
			if calm && room && now.Sub(t.idleSince) >= idleLimit+lossTime {
				c.addViolation("LOST: long-running task %d of %s has no run for %v, since %s on %q, with %d cores free",
					i, id, now.Sub(t.idleSince), t.idleSince.Format("15:04:05.000"), t.lastWorker, free)
				t.idleSince = now // the next report is of another such time
			}
		}
	}
	if free < 2*idle {
		c.roomSince = time.Time{}
	} else if c.roomSince.IsZero() {
		c.roomSince = now
	}
	return idle
}

// beginFault records the begin of an unplanned fault, and the function that it
// returns its end.
func (w *world) beginFault() (end func()) {
	w.faults.Add(1)
	return func() {
		w.lastFault.Store(time.Now().UnixNano())
		w.faults.Add(-1)
	}
}
