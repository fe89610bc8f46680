package limit

import (
	"slices"
	"time"
)

const (
	// meanRunTimeSamples is the weight of one request in the mean time that requests
	// of a priority run.
	meanRunTimeSamples = 16
	// reserveHalfRuns is the time kept for the answer, in halves of the mean time
	// that requests run.
	reserveHalfRuns = 3
	// minReserveDivisor is the part of the remaining time that is kept for the
	// answer when nothing is known of how long requests run.
	minReserveDivisor = 10
)

// level holds the waiting requests of one priority, oldest first.
type level struct {
	priority int
	oldest   *Request
	newest   *Request
	count    int
	// meanRunTime is the mean time that its requests run.
	meanRunTime time.Duration
}

// levelOf returns the level of the priority.
func (q *Queue) levelOf(priority int) *level {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return p - l.priority
	})
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

func (l *level) push(r *Request) {
	r.previous = l.newest
	if l.newest == nil {
		l.oldest = r
	} else {
		l.newest.next = r
	}
	l.newest = r
	l.count++
}

func (l *level) remove(r *Request) {
	if r.previous == nil {
		l.oldest = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.newest = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
	l.count--
}

// first returns the request that is next in line.
func (l *level) first(o Order) *Request {
	if o == LIFO {
		return l.newest
	}
	return l.oldest
}

// last returns the request that is last in line.
func (l *level) last(o Order) *Request {
	if o == LIFO {
		return l.oldest
	}
	return l.newest
}

// observe takes in how long a request ran.
func (l *level) observe(ran time.Duration) {
	if l.meanRunTime == 0 {
		l.meanRunTime = ran
		return
	}
	l.meanRunTime += (ran - l.meanRunTime) / meanRunTimeSamples
}

// latestStart returns when a request must start to be answered in time.
func (l *level) latestStart(deadline, now time.Time) time.Time {
	reserve := max(l.meanRunTime*reserveHalfRuns/2, deadline.Sub(now)/minReserveDivisor)
	return deadline.Add(-reserve)
}
