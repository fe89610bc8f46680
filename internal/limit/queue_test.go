package limit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueModel drives a queue as Gate does, with a clock moved by the test.
type queueModel struct {
	queue   *Queue
	now     time.Time
	waiting []*Request
	running []*Request
	settled map[*Request]bool
}

func (l *queueModel) arrive(t *rapid.T) {
	r := &Request{
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		Deadline: l.now.Add(time.Duration(rapid.IntRange(-10, 500).Draw(t, "ms")) * time.Millisecond),
	}
	displaced := slices.Clone(l.queue.Arrive(r, l.now))
	l.waiting = append(l.waiting, r)
	l.settle(t, displaced)
	if r.state != waiting {
		l.settle(t, []*Request{r})
	}
	if len(displaced) > 0 || r.refusal == QueueFull {
		l.checkNoLowerPriorityWaits(t, append(displaced, r))
	}
}

// checkNoLowerPriorityWaits checks that no waiting request has a lower
// priority than one that was refused because the queue was full.
func (l *queueModel) checkNoLowerPriorityWaits(t *rapid.T, refused []*Request) {
	for _, r := range refused {
		for _, w := range l.waiting {
			if r.refusal != NotRefused && w.Priority < r.Priority {
				t.Fatalf("%v at priority %d, while priority %d waits", r.refusal, r.Priority, w.Priority)
			}
		}
	}
}

// settle checks each request that was admitted or refused, which must happen
// only once.
func (l *queueModel) settle(t *rapid.T, settled []*Request) {
	for _, r := range settled {
		if l.settled[r] {
			t.Fatal("settled twice")
		}
		l.settled[r] = true
		l.waiting = slices.DeleteFunc(l.waiting, func(w *Request) bool { return w == r })
		if !r.Admitted() {
			continue
		}
		if !l.now.Before(r.Deadline) {
			t.Fatal("admitted after its deadline")
		}
		for _, w := range l.waiting {
			if w.Priority > r.Priority {
				t.Fatalf("priority %d admitted while %d waits", r.Priority, w.Priority)
			}
		}
		l.running = append(l.running, r)
		if len(l.running) > l.queue.limit {
			t.Fatalf("%d running with a limit of %d", len(l.running), l.queue.limit)
		}
	}
}

func (l *queueModel) finish(t *rapid.T) {
	if len(l.running) == 0 {
		t.Skip("none running")
	}
	i := rapid.IntRange(0, len(l.running)-1).Draw(t, "which")
	r := l.running[i]
	l.running = slices.Delete(l.running, i, i+1)
	l.settle(t, slices.Clone(l.queue.Finish(r, l.now)))
	l.queue.Finish(r, l.now) // a second call must change nothing
}

func (l *queueModel) withdraw(t *rapid.T) {
	if len(l.waiting) == 0 {
		t.Skip("none waiting")
	}
	r := rapid.SampledFrom(l.waiting).Draw(t, "which")
	if l.queue.Withdraw(r, Cancelled) {
		l.settle(t, []*Request{r})
	}
}

// advance moves the clock, and withdraws waiting requests after StartBy, as
// Gate does unless its process was paused.
func (l *queueModel) advance(t *rapid.T) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "paused") {
		return
	}
	for _, r := range slices.Clone(l.waiting) {
		if !r.StartBy().Before(r.Deadline) {
			t.Fatal("StartBy is not before the deadline")
		}
		if l.now.After(r.StartBy()) && l.queue.Withdraw(r, DeadlineTooNear) {
			l.settle(t, []*Request{r})
		}
	}
}

func (l *queueModel) setLimit(t *rapid.T) {
	n := rapid.IntRange(0, 4).Draw(t, "limit")
	l.settle(t, slices.Clone(l.queue.SetLimit(n, l.now)))
}

func TestQueueKeepsLimitDeadlineAndPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]Order{FIFO, LIFO}).Draw(t, "order")
		l := &queueModel{queue: NewQueue(order), now: time.Unix(1000, 0), settled: map[*Request]bool{}}
		l.queue.capacity = 3
		l.setLimit(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": l.arrive, "arrive too": l.arrive, "finish": l.finish,
			"withdraw": l.withdraw, "pass": l.advance, "limit": l.setLimit,
			"": func(t *rapid.T) {
				q := l.queue
				if q.waiting != len(l.waiting) || q.running != len(l.running) {
					t.Fatalf("queue counts %d waiting, %d running; there are %d and %d",
						q.waiting, q.running, len(l.waiting), len(l.running))
				}
				if q.waiting > 0 && q.running < q.limit {
					t.Fatal("requests wait while fewer than the limit run")
				}
			},
		})
	})
}

func TestHigherPriorityDisplacesTheLastInLine(t *testing.T) {
	q := NewQueue(FIFO)
	now := time.Unix(1000, 0)
	q.SetLimit(1, now)
	runFor100ms := func(priority int) {
		r := &Request{Priority: priority, Deadline: now.Add(time.Second)}
		q.Arrive(r, now)
		now = now.Add(100 * time.Millisecond)
		q.Finish(r, now)
	}
	runFor100ms(1)
	runFor100ms(9)
	q.Arrive(&Request{Priority: 9, Deadline: now.Add(time.Second)}, now)
	low := &Request{Priority: 1, Deadline: now.Add(400 * time.Millisecond)}
	q.Arrive(low, now)
	for range 2 {
		if low.Refusal() != NotRefused {
			t.Fatal("displaced while it could still be answered in time")
		}
		q.Arrive(&Request{Priority: 9, Deadline: now.Add(time.Second)}, now)
	}
	q.Arrive(&Request{Priority: 9, Deadline: now.Add(time.Second)}, now)
	if low.Refusal() != Displaced {
		t.Errorf("refusal is %q, want %q", low.Refusal(), Displaced)
	}
}
