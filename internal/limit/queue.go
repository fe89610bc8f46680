package limit

import "time"

// MaxQueued bounds the requests waiting for one pool in an entry. Deadlines
// bound the queue long before; this bounds memory when they are far off.
const MaxQueued = 4096

// Order is the order among waiting requests of one priority.
type Order uint8

const (
	// FIFO serves the oldest first.
	FIFO Order = iota
	// LIFO serves the newest first.
	LIFO
)

// Reason is why a request was refused.
type Reason uint8

const (
	// NotRefused is no refusal.
	NotRefused Reason = iota
	// DeadlineTooNear refuses a request whose deadline would be spent waiting.
	DeadlineTooNear
	// Displaced refuses a waiting request that gave way to a higher priority.
	Displaced
	// QueueFull refuses a request at a full queue.
	QueueFull
	// Cancelled refuses a request whose caller left.
	Cancelled

	reasonCount
)

// String returns the reason as sent to callers.
func (r Reason) String() string {
	switch r {
	case DeadlineTooNear:
		return "queue-deadline"
	case Displaced:
		return "queue-displaced"
	case QueueFull:
		return "queue-full"
	case Cancelled:
		return "cancelled"
	default:
		return ""
	}
}

// state is where a request is in its life.
type state uint8

const (
	arriving state = iota
	waiting
	admitted
	ended
)

// Request is one request at a queue, from its arrival to its end.
type Request struct {
	// Priority orders requests; higher goes first and is kept longer.
	Priority int
	// Deadline is when the caller must have its answer.
	Deadline time.Time

	state    state
	refusal  Reason
	level    *level
	previous *Request
	next     *Request
	// startBy is when it must start at the startBy to be answered in time.
	startBy time.Time
	started time.Time
	// ready is closed when the request is admitted or refused. Only Gate sets it.
	ready chan struct{}
}

// Admitted reports whether the request may run or ran.
func (r *Request) Admitted() bool { return r.refusal == NotRefused && r.state >= admitted }

// Refusal returns why the request was refused, NotRefused if it was not.
func (r *Request) Refusal() Reason { return r.refusal }

// StartBy returns when a waiting request is refused unless it was admitted.
func (r *Request) StartBy() time.Time { return r.startBy }

// Queue decides which requests run, wait and are refused. It keeps no clock
// and starts nothing: each call returns the waiting requests that it settled.
// It is not safe for concurrent use; Gate is.
type Queue struct {
	order Order
	// capacity bounds the waiting requests.
	capacity int
	limit    int
	running  int
	waiting  int
	levels   []*level // by falling priority
	settled  []*Request
	counts   counts
}

// counts are totals since the start.
type counts struct {
	admitted uint64
	refused  [reasonCount]uint64
}

// NewQueue returns a queue with a limit of 0.
func NewQueue(order Order) *Queue { return &Queue{order: order, capacity: MaxQueued} }

// SetLimit changes how many requests may run at once.
func (q *Queue) SetLimit(n int, now time.Time) []*Request {
	q.settled = q.settled[:0]
	q.limit = max(n, 0)
	q.dispatch(now)
	return q.settled
}

// Arrive admits, queues or refuses the request, and returns the waiting
// requests that it displaced.
func (q *Queue) Arrive(r *Request, now time.Time) []*Request {
	q.settled = q.settled[:0]
	if !now.Before(r.Deadline) {
		q.refuse(r, DeadlineTooNear)
		return q.settled
	}
	r.level = q.levelOf(r.Priority)
	if q.running < q.limit {
		q.admit(r, now)
		return q.settled
	}
	r.startBy = r.level.latestStart(r.Deadline, now)
	if q.expectedStart(r.level, q.order == FIFO, now).After(r.startBy) {
		q.refuse(r, DeadlineTooNear)
		return q.settled
	}
	if q.waiting >= q.capacity && !q.displaceBelow(r.Priority) {
		q.refuse(r, QueueFull)
		return q.settled
	}
	r.level.push(r)
	r.state = waiting
	q.waiting++
	q.displaceUnstartable(r, now)
	return q.settled
}

// Finish ends an admitted request and admits waiting ones in its place.
// Requests that don't run are left alone.
func (q *Queue) Finish(r *Request, now time.Time) []*Request {
	q.settled = q.settled[:0]
	if r.state != admitted {
		return q.settled
	}
	r.state = ended
	r.level.observe(now.Sub(r.started))
	q.running--
	q.dispatch(now)
	return q.settled
}

// Withdraw refuses a waiting request for the reason, and reports whether it
// was still waiting.
func (q *Queue) Withdraw(r *Request, reason Reason) bool {
	if r.state != waiting {
		return false
	}
	q.remove(r)
	q.refuse(r, reason)
	return true
}

// dispatch admits waiting requests, highest priority first, while there is
// room. Requests that would start too late are refused in passing.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.limit && q.waiting > 0 {
		r := q.first()
		q.remove(r)
		if now.After(r.startBy) {
			q.refuse(r, DeadlineTooNear)
		} else {
			q.admit(r, now)
		}
		q.settled = append(q.settled, r)
	}
}

func (q *Queue) admit(r *Request, now time.Time) {
	r.state = admitted
	r.started = now
	q.running++
	q.counts.admitted++
}

func (q *Queue) refuse(r *Request, reason Reason) {
	r.state = ended
	r.refusal = reason
	q.counts.refused[reason]++
}

func (q *Queue) remove(r *Request) {
	r.level.remove(r)
	q.waiting--
}

// first returns the next request to run.
func (q *Queue) first() *Request {
	for _, l := range q.levels {
		if l.count > 0 {
			return l.first(q.order)
		}
	}
	return nil
}

// last returns the request that is last in line.
func (q *Queue) last() *Request {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if l := q.levels[i]; l.count > 0 {
			return l.last(q.order)
		}
	}
	return nil
}

// displaceBelow refuses the last in line if its priority is lower.
func (q *Queue) displaceBelow(priority int) bool {
	r := q.last()
	if r == nil || r.Priority >= priority {
		return false
	}
	q.displace(r)
	return true
}

// displaceUnstartable refuses those last in line that can't start in time any
// more since the arrival went ahead of them. They hear it now rather than
// when their deadline is nearly spent.
func (q *Queue) displaceUnstartable(arrival *Request, now time.Time) {
	for {
		r := q.last()
		if r == arrival || r.Priority >= arrival.Priority {
			return
		}
		ahead := q.expectedStart(r.level, true, now).Add(-q.timeOnAllSlots(r.level.meanRunTime))
		if !ahead.After(r.startBy) {
			return
		}
		q.displace(r)
	}
}

func (q *Queue) displace(r *Request) {
	q.remove(r)
	q.refuse(r, Displaced)
	q.settled = append(q.settled, r)
}

// expectedStart returns when a request behind all of the level's, or with
// behindLevel false ahead of them, is expected to start.
func (q *Queue) expectedStart(at *level, behindLevel bool, now time.Time) time.Time {
	if q.limit == 0 {
		return now // nothing is known of when the limit rises
	}
	work := at.meanRunTime // one running request has to end first
	for _, l := range q.levels {
		if l.priority < at.priority || l == at && !behindLevel {
			break
		}
		work += time.Duration(l.count) * l.meanRunTime
	}
	return now.Add(q.timeOnAllSlots(work))
}

// timeOnAllSlots returns the time in which all slots together do the work.
func (q *Queue) timeOnAllSlots(work time.Duration) time.Duration {
	return work / time.Duration(max(q.limit, 1))
}
