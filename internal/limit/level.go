package limit

import (
	"slices"
	"time"
)

const (
	// meanRunTimeSamples is the inverse weight of one request in the moving
	// average of run times.
	meanRunTimeSamples = 16
	// reserveHalfRuns is the time reserved for running a request, in halves of
	// the mean run time of its priority.
	reserveHalfRuns = 3
	// minReserveDivisor gives the least reserve, as the remaining time divided
	// by it. It applies when run times are unknown or short.
	minReserveDivisor = 10
)

// level holds the waiting requests of one priority in a linked list, oldest
// first.
type level struct {
	priority int
	oldest   *Request
	newest   *Request
	count    int
	// meanRunTime is the moving average of the time that its requests run, 0
	// if none has ended.
	meanRunTime time.Duration
}

// levelOf returns the level of the priority, creating it if needed.
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

// first returns the request to be admitted next.
func (l *level) first(o Order) *Request {
	if o == LIFO {
		return l.newest
	}
	return l.oldest
}

// last returns the request to be admitted last.
func (l *level) last(o Order) *Request {
	if o == LIFO {
		return l.oldest
	}
	return l.newest
}

// observe adds the run time of a request to the moving average.
func (l *level) observe(ran time.Duration) {
	if l.meanRunTime == 0 {
		l.meanRunTime = ran
		return
	}
	l.meanRunTime += (ran - l.meanRunTime) / meanRunTimeSamples
}

// latestStart returns the time by which a request must start to be answered by
// its deadline.
func (l *level) latestStart(deadline, now time.Time) time.Time {
	reserve := max(l.meanRunTime*reserveHalfRuns/2, deadline.Sub(now)/minReserveDivisor)
	return deadline.Add(-reserve)
}
