package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// lostShare of the writes are done lostDelayMin to lostDelayMax late and not
	// answered, for lostLength.
	lostShare    = 0.35
	lostDelayMin = time.Second
	lostDelayMax = 6 * time.Second
	lostLength   = 4500 * time.Millisecond
	// leaveAfter is when a client leaves that has no answer to its submission.
	leaveAfter = 600 * time.Millisecond
	// cancelBound is how long after the answer to a cancellation the tasks of the
	// job must have ended: cancel_ms + stop_grace_ms.
	cancelBound = 3200 * time.Millisecond
	// calmTime is how long the case waits after the last late write: contact_ms,
	// cancelBound and some more.
	calmTime = 10 * time.Second
)

// lostWrites makes the store lose answers.
type lostWrites struct {
	mu    sync.Mutex
	until time.Time
}

func (l *lostWrites) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(lostLength)
}

func (l *lostWrites) loses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.until) && rand.Float64() < lostShare
}

// loseAnswer carries a transaction out late and leaves its call unanswered.
func (w *world) loseAnswer(r *http.Request, txn platform.RowTxn) {
	delay := lostDelayMin + rand.N(lostDelayMax-lostDelayMin)
	time.AfterFunc(delay, func() {
		_, err := w.rows.CommitRows(context.Background(), txn)
		for _, x := range txn.Writes {
			if x.Table == "egretpitch-jobs" {
				w.note("store", "the write of job %s is done %s late: %v", x.Key, delay.Round(time.Millisecond), err)
			}
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// withdrawal is a client's submission that it gave up and cancelled.
type withdrawal struct {
	id string
	// answered is when its cancellation was answered with status.
	answered time.Time
	status   int
}

// playCancelled has clients hand jobs in that last, leave when there is no answer,
// and cancel at another node.
func playCancelled(w *world) ([]string, error) {
	if err := w.deploy([]queue{{"/cure/", "fitting"}}, map[string]int{"fitting": 5, "backoffice": 2}, 3); err != nil {
		return nil, err
	}
	if w.trouble {
		w.note("trouble", "the store loses answers to %.2f of the writes and does them late", lostShare)
		w.lost.begin()
	}
	var mu sync.Mutex
	var list []withdrawal
	var clients sync.WaitGroup
	for i := range 14 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if v, ok := w.handInAndLeave(i); ok {
				mu.Lock()
				list = append(list, v)
				mu.Unlock()
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(lostLength + lostDelayMax + calmTime - 14*200*time.Millisecond)
	return w.checkWithdrawn(list), nil
}

// handInAndLeave hands one job in. If there is no answer in time, the client leaves
// and cancels the job until that is answered.
func (w *world) handInAndLeave(i int) (withdrawal, bool) {
	c := newClient(w)
	hurried := newClient(w)
	hurried.http.Timeout = leaveAfter
	id := newID()
	job := map[string]any{"task_spec": "lasts", "steps": []step{{Count: 1, CPU: taskCPU, MemMB: taskMemory, EstimatedMS: 500, LongRunning: true}}}
	if status, _ := hurried.call(w.nodes[i%len(w.nodes)], http.MethodPost, "/cure/"+id, job); status != 0 {
		return withdrawal{}, false // answered: the client keeps its job, or it was refused
	}
	for try := 1; try < 20; try++ {
		status, _ := c.call(w.nodes[(i+try)%len(w.nodes)], http.MethodDelete, "/cure/"+id, nil)
		if (status >= 200 && status < 300) || status == http.StatusGone {
			return withdrawal{id, time.Now(), status}, true
		}
		time.Sleep(200 * time.Millisecond)
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
		if running > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: the cancellation of job %s was answered with %d at %.3f, its task %s started at %.3f and still runs, %.1f s after the answer",
				v.id, v.status, v.answered.Sub(w.start).Seconds(), task, last.Sub(w.start).Seconds(), time.Since(v.answered).Seconds()))
		}
	}
	return broken
}
