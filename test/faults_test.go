package test

import (
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// historySeed is the seed of the callers' random choices.
const historySeed = 20261204

// TestOrdersRunAtMostOnce guards against an order that runs twice, or runs
// although its caller was told that it did not. Concurrent callers send orders
// through two entries during faults, and the history of executions is checked
// against the outcomes that callers received. A fault starts or ends after a
// given number of finished attempts.
func TestOrdersRunAtMostOnce(t *testing.T) {
	scenarios := []struct {
		name string
		// faults maps a number of finished attempts to the action taken then.
		faults map[int]func(*testing.T, *fleet)
		// timeout is how long a caller waits for an answer, 5 s if 0.
		timeout time.Duration
	}{
		{name: "no fault"},
		{
			name: "silent connections and a slow worker",
			faults: map[int]func(*testing.T, *fleet){
				40: func(_ *testing.T, f *fleet) {
					f.put("/faults/workers/kano-01", standin.WorkerFaults{Silent: true})
					f.put("/faults/workers/kano-02", standin.WorkerFaults{Delay: 300 * time.Millisecond})
				},
				120: func(_ *testing.T, f *fleet) {
					f.put("/faults/workers/kano-01", standin.WorkerFaults{})
					f.put("/faults/workers/kano-02", standin.WorkerFaults{Silent: true})
				},
			},
		},
		{
			// Answers take 900 ms and callers give up after 600 ms and send the
			// order again; another worker is cut off and reconnected.
			name:    "callers leave before late answers, a worker is cut",
			timeout: 600 * time.Millisecond,
			faults: map[int]func(*testing.T, *fleet){
				40: func(_ *testing.T, f *fleet) {
					f.put("/faults/workers/kano-02", standin.WorkerFaults{Delay: 900 * time.Millisecond})
				},
				80:  func(_ *testing.T, f *fleet) { f.put("/faults/workers/kano-01", standin.WorkerFaults{Cut: true}) },
				160: func(_ *testing.T, f *fleet) { f.put("/faults/workers/kano-01", standin.WorkerFaults{}) },
			},
		},
		{
			name: "truncated answers and a worker that fails fast",
			faults: map[int]func(*testing.T, *fleet){
				40:  func(_ *testing.T, f *fleet) { f.put("/faults/workers/kano-01", standin.WorkerFaults{Truncate: true}) },
				120: func(_ *testing.T, f *fleet) { f.put("/faults/workers/kano-01", standin.WorkerFaults{}) },
			},
		},
		{
			name: "table loses answers, goes down and comes back slow",
			faults: map[int]func(*testing.T, *fleet){
				30:  func(_ *testing.T, f *fleet) { f.put("/faults/table", standin.Faults{LoseAnswers: 5}) },
				60:  func(_ *testing.T, f *fleet) { f.put("/faults/table", standin.Faults{DropCommits: 5}) },
				90:  func(_ *testing.T, f *fleet) { f.put("/faults/table", standin.Faults{Down: true}) },
				180: func(_ *testing.T, f *fleet) { f.put("/faults/table", standin.Faults{Latency: 50 * time.Millisecond}) },
			},
		},
		{
			name: "an entry is frozen, resumed and killed",
			faults: map[int]func(*testing.T, *fleet){
				40:  func(t *testing.T, f *fleet) { f.entries[0].signal(t, syscall.SIGSTOP) },
				60:  func(t *testing.T, f *fleet) { f.entries[0].signal(t, syscall.SIGCONT) },
				120: func(t *testing.T, f *fleet) { f.entries[0].signal(t, syscall.SIGKILL) },
			},
		},
		{
			name: "the owner is killed and a worker leaves",
			faults: map[int]func(*testing.T, *fleet){
				30: func(t *testing.T, f *fleet) { f.controls[1].signal(t, syscall.SIGKILL) },
				80: func(_ *testing.T, f *fleet) { f.put("/listed/kano-03?state=leaving", nil) },
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, "testdata/small.yaml")
			timeout := s.timeout
			if timeout == 0 {
				timeout = 5 * time.Second
			}
			l := &load{f: f, callers: 8, orders: 30, timeout: timeout, finished: make(chan int, 1)}
			go l.run(t.Context(), historySeed)
			for n := range l.finished {
				if fault := s.faults[n]; fault != nil {
					fault(t, f)
				}
			}
			l.check(t)
		})
	}
}
