package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// waveTime is when the wave is requested, cutTime when the owner is cut off
	// and cutLength for how long, from the start of the traffic.
	waveTime  = 4600 * time.Millisecond
	cutTime   = 5300 * time.Millisecond
	cutLength = 12 * time.Second
	// trafficTime is how long jobs are handed in.
	trafficTime = 32 * time.Second
)

// playHeldOrders cuts the machine that gives the orders off from the platform
// during a wave. Another one takes over and goes on with the wave.
func playHeldOrders(w *world) ([]string, error) {
	queues := []queue{{"/fit/", "fitting"}, {"/rate/", "rating"}, {"/sleeve/", "sleeves"}, {"/wind/", "certify"}}
	if err := w.deploy(queues, map[string]int{"fitting": 8, "rating": 8, "sleeves": 8, "certify": 8, "backoffice": 8}, 3); err != nil {
		return nil, err
	}
	begin := time.Now()
	v := wave{Wave: 1, DurationS: 26, MaxCount: 10}
	for i, m := range w.machines {
		if i%2 == 0 {
			v.Machines = append(v.Machines, m.name)
		}
	}
	time.AfterFunc(waveTime, func() { _ = w.requestWave(v) })
	cutName := make(chan string, 1)
	if w.trouble {
		time.AfterFunc(cutTime, func() { cutName <- w.cutHolder(cutLength) })
	}
	c := newClient(w)
	for i := 0; time.Since(begin) < trafficTime; i++ {
		// Each queue asks in turn for more than its pool holds, as in the site file.
		q := queues[int(time.Since(begin)/(4*time.Second))%len(queues)]
		if rand.IntN(20) == 0 {
			q = queues[rand.IntN(len(queues))]
		}
		work := 700 + rand.IntN(900)
		go c.submit(newID(), q.prefix, fmt.Sprintf("work %d", work), []step{{Count: 3 + rand.IntN(6), CPU: taskCPU, MemMB: taskMemory, EstimatedMS: work}})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.note("case", "cut off was %s", <-cutName)
	}
	return w.checkOrders(v), nil
}

// cutHolder cuts the node that gave the last order off from the platform.
func (w *world) cutHolder(length time.Duration) string {
	w.mu.Lock()
	holder := ""
	if len(w.orders) > 0 {
		holder = w.orders[len(w.orders)-1].holder
	}
	w.mu.Unlock()
	for _, n := range w.nodes {
		if n.name != holder {
			continue
		}
		w.note("trouble", "%s is cut off from the platform", n.name)
		n.store.cut()
		n.cloud.cut()
		time.AfterFunc(length, func() {
			w.note("trouble", "%s reaches the platform again", n.name)
			n.store.heal()
			n.cloud.heal()
		})
		return n.name
	}
	return ""
}

// checkOrders returns where the orders broke the rules ONE and LIMIT.
func (w *world) checkOrders(v wave) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	highest := map[string]machineOrder{}
	for _, o := range w.orders {
		if h, ok := highest[o.machine]; ok && o.token < h.token {
			broken = append(broken, fmt.Sprintf("ONE: %s of %s by %s with token %d at %.3f, after %s by %s with token %d at %.3f",
				o.call, o.machine, o.holder, o.token, o.at.Sub(w.start).Seconds(), h.call, h.holder, h.token, h.at.Sub(w.start).Seconds()))
		} else {
			highest[o.machine] = o
		}
		if o.wave == v.Wave && o.carriedOut && o.awayBefore >= v.MaxCount {
			broken = append(broken, fmt.Sprintf("LIMIT: upkeep of %s begins at %.3f by %s while %d machines of the wave are away, %d at most",
				o.machine, o.at.Sub(w.start).Seconds(), o.holder, o.awayBefore, v.MaxCount))
		}
	}
	return broken
}
