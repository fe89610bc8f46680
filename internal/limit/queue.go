package limit

import "time"

// MaxQueued bounds the requests of one pool that wait in an entry. Deadlines
// usually bound the queue well below it; it bounds memory when deadlines are
// far off.
const MaxQueued = 4096

// Order is the order in which waiting requests of one priority are admitted.
type Order uint8

const (
	// FIFO admits the oldest request first.
	FIFO Order = iota
	// LIFO admits the newest request first.
	LIFO
)

// Reason is why a request was refused.
type Reason uint8

const (
	// NotRefused is the reason of a request that was not refused.
	NotRefused Reason = iota
	// DeadlineTooNear means that the request could not start early enough to
	// be answered by its deadline.
	DeadlineTooNear
	// Displaced means that a waiting request was removed for one of higher
	// priority.
	Displaced
	// QueueFull means that the queue was full.
	QueueFull
	// Cancelled means that the caller disconnected.
	Cancelled

	reasonCount
)

// String returns the reason as it is sent to callers, empty for NotRefused.
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

// state is the state of a request in the queue.
type state uint8

const (
	arriving state = iota
	waiting
	admitted
	ended
)

// Request is one request from its arrival at a queue to its end.
type Request struct {
	// Priority is the priority of the request. Higher priorities are admitted
	// first and displaced last.
	Priority int
	// Deadline is the time by which the caller must have its answer.
	Deadline time.Time

	state    state
	refusal  Reason
	level    *level
	previous *Request
	next     *Request
	// startBy is the time by which it must start to be answered in time.
	startBy time.Time
	started time.Time
	// ready is closed when the request is admitted or refused. Only Gate sets
	// it.
	ready chan struct{}
}

// Admitted reports whether the request may run or has run.
func (r *Request) Admitted() bool { return r.refusal == NotRefused && r.state >= admitted }

// Refusal returns why the request was refused, NotRefused if it was not.
func (r *Request) Refusal() Reason { return r.refusal }

// StartBy returns the time at which a waiting request is refused if it has not
// been admitted. It is zero for a request that never waited.
func (r *Request) StartBy() time.Time { return r.startBy }

// Queue decides which requests run, wait and are refused. It reads no clock
// and starts no goroutine: each call returns the waiting requests that it
// settled, that is, admitted or refused. The returned slice is valid until the
// next call. A Queue is not safe for concurrent use; Gate is.
type Queue struct {
	order Order
	// capacity bounds the waiting requests.
	capacity int
	limit    int
	running  int
	waiting  int
	levels   []*level // by descending priority
	settled  []*Request
	counts   counts
}

// counts are totals since the queue was created.
type counts struct {
	admitted uint64
	refused  [reasonCount]uint64
}

// NewQueue returns a queue with a limit of 0, which admits nothing.
func NewQueue(order Order) *Queue { return &Queue{order: order, capacity: MaxQueued} }

// SetLimit changes how many requests may run at once, and returns the waiting
// requests that it admitted or refused.
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

// Finish ends an admitted request and admits waiting ones in its place. It
// does nothing for a request that is not running.
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

// Withdraw refuses a waiting request for the reason. It reports whether the
// request was still waiting.
func (q *Queue) Withdraw(r *Request, reason Reason) bool {
	if r.state != waiting {
		return false
	}
	q.remove(r)
	q.refuse(r, reason)
	return true
}

// dispatch admits waiting requests, highest priority first, while fewer than
// the limit run. It refuses requests that can no longer start in time.
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

// first returns the request to be admitted next, nil for none.
func (q *Queue) first() *Request {
	for _, l := range q.levels {
		if l.count > 0 {
			return l.first(q.order)
		}
	}
	return nil
}

// last returns the request to be admitted last, nil for none.
func (q *Queue) last() *Request {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if l := q.levels[i]; l.count > 0 {
			return l.last(q.order)
		}
	}
	return nil
}

// displaceBelow refuses the last waiting request if its priority is below the
// given one, and reports whether it did.
func (q *Queue) displaceBelow(priority int) bool {
	r := q.last()
	if r == nil || r.Priority >= priority {
		return false
	}
	q.displace(r)
	return true
}

// displaceUnstartable refuses the last waiting requests of lower priority that
// can no longer start in time behind the arrival. Their callers get the
// refusal at once rather than shortly before the deadline.
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

// expectedStart returns the expected start of a request behind all waiting
// requests of higher levels, and with behindLevel also behind those of its
// own.
func (q *Queue) expectedStart(at *level, behindLevel bool, now time.Time) time.Time {
	if q.limit == 0 {
		return now // the time at which the limit rises is unknown
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

// timeOnAllSlots returns the time in which all slots together complete the
// work.
func (q *Queue) timeOnAllSlots(work time.Duration) time.Duration {
	return work / time.Duration(max(q.limit, 1))
}
