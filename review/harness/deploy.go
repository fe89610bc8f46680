package main

import (
	"fmt"
	"slices"
	"time"
)

// deploy configures the queues, starts the machines of each pool and the nodes,
// and waits until all serve.
func (w *world) deploy(queues []queue, pools map[string]int, nodes int) error {
	services := map[string]bool{}
	names := []string{}
	for pool := range pools {
		services[pool] = standbyPools[pool]
		names = append(names, pool)
	}
	slices.Sort(names)
	slices.Reverse(names) // the standby pool comes last
	if err := w.configure(queues, services); err != nil {
		return err
	}
	for _, pool := range names {
		if err := w.addMachines(pool, pools[pool]); err != nil {
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
