package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// crashSimulation simulates tasks that crash the workers that start them, hosts
// that come back, discovery and the host list.
type crashSimulation struct {
	*simulation
	// crashes reports whether a task crashes its worker, after the given delay.
	crashes  func(workload.TaskID) bool
	delay    time.Duration
	downtime time.Duration
	// newIDs lets hosts come back with a new worker instead of a new incarnation.
	newIDs bool
	// hostLists is whether the fleet service answers.
	hostLists bool
	owner     *testOwner
	// hostOf holds the host of each worker id, and known is what the owner knows
	// of it.
	hostOf map[string]string
	known  WorkerHosts
	booted int
	// startsAfterThird counts the starts of a task after three workers have crashed
	// under it.
	startsAfterThird map[workload.TaskID]int
}

// entriesInterval is the time between two looks at the discovery entries.
const entriesInterval = 100 * time.Millisecond

func newCrashSimulation(t testingT, workers int) *crashSimulation {
	c := &crashSimulation{
		simulation: newSimulation(t), crashes: func(workload.TaskID) bool { return false }, delay: 30 * time.Millisecond, downtime: 3 * time.Second,
		hostLists: true, hostOf: map[string]string{}, known: WorkerHosts{}, startsAfterThird: map[workload.TaskID]int{},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i+1)
		c.hostOf[id] = "h-" + id
		c.addHost(c.addWorker(id, "p", 8))
	}
	c.succeed()
	c.after(entriesInterval, c.readEntries)
	c.after(hostListInterval, c.listHosts)
	return c
}

// addHost lets tasks crash a worker.
func (c *crashSimulation) addHost(f *fakeWorker) {
	duration := f.duration
	f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
		if c.crashes(task) {
			return time.Hour, platform.EndDone
		}
		return duration(task)
	}
	f.started = func(task workload.TaskID) {
		if c.crashed[task] >= 3 {
			c.startsAfterThird[task]++
		}
		if !c.crashes(task) {
			return
		}
		incarnation := f.incarnation
		c.after(c.delay, func() {
			if f.up && f.incarnation == incarnation {
				c.crashWorker(f)
			}
		})
	}
}

// crashWorker crashes a worker, whose host comes back after the downtime.
func (c *crashSimulation) crashWorker(f *fakeWorker) {
	c.tracef("%s crashes", f.ID)
	f.crash()
	f.incarnation++ // answers on the way are lost with it
	incarnation := f.incarnation
	c.after(entryLifetime, func() { f.unlisted = f.unlisted || f.incarnation == incarnation })
	c.after(c.downtime, func() { c.boot(f) })
}

// boot starts the next worker of a host.
func (c *crashSimulation) boot(f *fakeWorker) {
	if !c.newIDs {
		f.restart(c.now)
		f.unlisted = false
		return
	}
	f.removed, f.unlisted = true, true
	c.booted++
	next := c.addWorker(fmt.Sprintf("n%02d", c.booted), f.Pool, f.Capacity.Processors)
	next.duration, next.Labels = f.duration, f.Labels
	c.hostOf[next.ID] = c.hostOf[f.ID]
	c.addHost(next)
}

// succeed replaces the owner, whose predecessor gave its last order just before.
func (c *crashSimulation) succeed() {
	c.owner = c.newOwnerAfter(0)
	c.known = WorkerHosts{}
	for id, host := range c.hostOf {
		c.known[id] = WorkerHost{Host: host, Pool: "p"}
	}
}

func (c *crashSimulation) readEntries() {
	if !c.owner.paused {
		c.owner.discover()
	}
	c.after(entriesInterval, c.readEntries)
}

func (c *crashSimulation) listHosts() {
	c.after(hostListInterval, c.listHosts)
	if c.hostLists {
		c.listHostsOnce()
	}
}

// listHostsOnce reads a host list.
func (c *crashSimulation) listHostsOnce() {
	hosts := map[string]estate.Host{}
	for _, f := range sorted(c.workers) {
		name := c.hostOf[f.ID]
		if f.up {
			hosts[name] = estate.Host{Name: name, Pool: f.Pool, State: estate.HostUp, Capacity: f.Capacity, WorkerID: f.ID}
		} else if hosts[name].WorkerID == "" {
			hosts[name] = estate.Host{Name: name, Pool: f.Pool, State: estate.HostDown, Capacity: f.Capacity}
		}
	}
	owner, requested, list := c.owner, c.now, sorted(hosts)
	c.after(storeDelay, func() {
		if owner == c.owner && !owner.paused {
			owner.HostsListed(c.known, list, requested, c.now)
		}
	})
}

// play runs the owner for a while.
func (c *crashSimulation) play(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.run(testTick, c.owner)
	}
}

// checkGivenUp fails the test unless the job has failed, with fewer than three
// starts of each task after three workers have crashed under it.
func (c *crashSimulation) checkGivenUp(t *testing.T, job *workload.Job) {
	t.Helper()
	c.check()
	for task, n := range c.startsAfterThird {
		if n >= 3 && c.crashes(task) {
			t.Errorf("task %v is started %d times after three workers have crashed under it, %d crashed in all", task, n, c.crashed[task])
		}
	}
	if got := c.state(job.ID); got != workload.Failed {
		t.Errorf("state is %q, want failed", got)
	}
}

// isTaskOf returns a function that reports whether a task is one of a job's.
func isTaskOf(jobs ...*workload.Job) func(workload.TaskID) bool {
	return func(task workload.TaskID) bool {
		for _, job := range jobs {
			if task.Job == job.ID {
				return true
			}
		}
		return false
	}
}
