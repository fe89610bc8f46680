package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// cancelBound is how long after the answer to a cancellation the tasks of the
	// job must have ended: cancel_ms + stop_grace_ms.
	cancelBound = 3200 * time.Millisecond
	// calmTime is how long the case waits after the freeze: contact_ms, cancelBound
	// and some more.
	calmTime = 10 * time.Second
	// freezeLength is how long the machine stands still.
	freezeLength = 4 * time.Second
	// frozenClients clients hand a job in, one each frozenClientGap.
	frozenClients   = 30
	frozenClientGap = 25 * time.Millisecond
)

// withdrawal is a client's submission that it gave up and cancelled.
type withdrawal struct {
	id string
	// answered is when its cancellation was answered with status.
	answered time.Time
	status   int
}

// playFrozen freezes a machine that takes jobs. Clients that wait for it until
// their deadline then cancel their jobs at another one.
func playFrozen(w *world) ([]string, error) {
	if err := w.deploy([]queue{{"/cure/", "fitting"}}, map[string]int{"fitting": 5, "backoffice": 2}, 3); err != nil {
		return nil, err
	}
	n := w.nodes[0]
	w.mu.Lock()
	if n.owner {
		n = w.nodes[1]
	}
	w.mu.Unlock()
	if w.trouble {
		w.note("trouble", "%s freezes", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(freezeLength, func() {
			w.note("trouble", "%s goes on", n.name)
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	var mu sync.Mutex
	var list []withdrawal
	var clients sync.WaitGroup
	for range frozenClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if v, ok := w.handInAt(n); ok {
				mu.Lock()
				list = append(list, v)
				mu.Unlock()
			}
		}()
		time.Sleep(frozenClientGap)
	}
	clients.Wait()
	time.Sleep(freezeLength + calmTime)
	return w.checkWithdrawn(list), nil
}

// handInAt hands a job in at a node and, if there is no answer by the client's
// deadline, cancels it at another node until that is answered.
func (w *world) handInAt(n *node) (withdrawal, bool) {
	c := newClient(w)
	id := newID()
	job := map[string]any{"task_spec": "lasts", "steps": []step{{Count: 1, CPU: taskCPU, MemMB: taskMemory, EstimatedMS: 500, LongRunning: true}}}
	if status, _ := c.call(n, http.MethodPost, "/cure/"+id, job); status != 0 {
		return withdrawal{}, false
	}
	for try := 0; try < 20; try++ {
		other := w.nodes[try%len(w.nodes)]
		if other == n {
			continue
		}
		status, _ := c.call(other, http.MethodDelete, "/cure/"+id, nil)
		if (status >= 200 && status < 300) || status == http.StatusGone {
			return withdrawal{id, time.Now(), status}, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return withdrawal{}, false
}

// checkWithdrawn returns the withdrawn jobs of which a task runs on or was started
// too late after the answer to the cancellation.
func (w *world) checkWithdrawn(list []withdrawal) []string {
	var broken []string
	w.mu.Lock()
	events := append([]workerEvent(nil), w.events...)
	w.mu.Unlock()
	for _, v := range list {
		running, task := 0, ""
		var last time.Time
		for _, e := range events {
			if len(e.Task) < len(v.id) || e.Task[:len(v.id)] != v.id {
				continue
			}
			task = e.Task
			if e.Event == "start" {
				running++
				last = e.At
			} else {
				running--
			}
		}
		w.note("case", "job %s: cancellation answered %d, %d runs left", v.id, v.status, running)
		if running > 0 && time.Since(v.answered) > cancelBound {
			broken = append(broken, fmt.Sprintf("UNASKED: the cancellation of job %s was answered with %d at %.3f, its task %s started at %.3f and still runs, %.1f s after the answer",
				v.id, v.status, v.answered.Sub(w.start).Seconds(), task, last.Sub(w.start).Seconds(), time.Since(v.answered).Seconds()))
		}
	}
	return broken
}
