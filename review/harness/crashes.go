package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crashes is how often the worker of the job's task crashes, crashAfter how
	// long after the start, and crashDowntime for how long its machine is down.
	crashes       = 3
	crashAfter    = 1200 * time.Millisecond
	crashDowntime = 3500 * time.Millisecond
)

// playCrashes hands one job of one task in and crashes the worker that runs it,
// three times. The job can be done, and no run of it ends `failed`.
func playCrashes(w *world) ([]string, error) {
	if err := w.deploy([]queue{{"/fit/", "fitting"}}, map[string]int{"fitting": 5, "backoffice": 2}, 3); err != nil {
		return nil, err
	}
	c := newClient(w)
	id := newID()
	if !c.submit(id, "/fit/", "work 3000", []step{{Count: 1, CPU: taskCPU, MemMB: taskMemory, EstimatedMS: 3000}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	crashed := map[string]bool{}
	for deadline := time.Now().Add(45 * time.Second); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		state := c.state(id, "/fit/")
		if state == "completed" || state == "failed" {
			break
		}
		for _, e := range w.starts() {
			if !w.trouble || crashed[e.Worker] || len(crashed) == crashes {
				continue
			}
			crashed[e.Worker] = true
			time.Sleep(time.Until(e.At.Add(crashAfter)))
			if m := w.machineOf(e.Worker); m != nil {
				w.crash(m, crashDowntime)
			}
		}
	}
	state, failed := c.state(id, "/fit/"), w.ends("failed")
	w.note("case", "%d crashes, %d starts, %d ends failed, %d ends done, the job is shown as %s", len(crashed), len(w.starts()), failed, w.ends("done"), state)
	switch {
	case state == "failed" && failed == 0:
		return []string{fmt.Sprintf("LOST: job %s is shown as failed, and none of its runs has ended failed", id)}, nil
	case state != "completed":
		return nil, fmt.Errorf("the job is %q at the end", state)
	}
	return nil, nil
}

// deploy configures the queues, starts the machines of each pool and the nodes,
// and waits until all serve.
func (w *world) deploy(queues []queue, pools map[string]int, nodes int) error {
	services := map[string]bool{}
	for pool := range pools {
		services[pool] = standbyPools[pool]
	}
	if err := w.configure(queues, services); err != nil {
		return err
	}
	for pool, n := range pools {
		if err := w.addMachines(pool, n); err != nil {
			return err
		}
	}
	for i := range nodes {
		if _, err := w.addNode(fmt.Sprintf("front-pnw-a-%d", i+1)); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// awaitReady waits until all nodes are ready, and then as long as traffic comes
// after the machines, less what that took.
func (w *world) awaitReady() error {
	const lead = 8 * time.Second
	from := time.Now()
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Since(from) > 2*lead {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(from.Add(lead)))
	return nil
}

// starts returns the starts of runs so far.
func (w *world) starts() []workerEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.events), func(e workerEvent) bool { return e.Event != "start" })
}

// ends counts the runs that have ended in a way.
func (w *world) ends(how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.events {
		if e.Event == "end" && e.How == how {
			n++
		}
	}
	return n
}

// machineOf returns the machine that runs a worker, nil if none does.
func (w *world) machineOf(worker string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.worker == worker {
			return m
		}
	}
	return nil
}
