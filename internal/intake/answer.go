package intake

import (
	"net/http"
	"time"
)

const (
	// freeAnswer is the size up to which an answer is part of what its connection or
	// request takes.
	freeAnswer = 4 << 10
	// answerWait is how long an answer waits for memory that others hold. An answer
	// that nobody reads may be ended after minAnswerWait.
	answerWait = 2 * time.Second
)

// HoldAnswer holds the n bytes of an answer until its request has been answered. It
// waits while others are ended for them, up to answerWait. Then it holds them in any
// case, since the request has run and its answer is there.
func HoldAnswer(r *http.Request, n int64) {
	c := clientOf(r)
	if c == nil || n <= freeAnswer {
		return
	}
	l := c.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	for began := l.now; c.failure == nil && l.now-began < answerWait; {
		d, victim := l.budget.take(c, n, l.now)
		switch {
		case d == granted:
			return
		case victim != nil:
			l.end(victim, closedBytes)
		default:
			l.changed.Wait() // signalled with each tick
		}
	}
	l.budget.add(c, n)
}
