package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// maxRecommendationRequests bounds the requests in flight: the service
	// answers them one after another.
	maxRecommendationRequests = 2
	// maxWorkersPerRequest bounds the workers in one request. Each takes the
	// service some time.
	maxWorkersPerRequest = 30
	// recommendationRetry is the pause after a request that failed or permitted
	// no worker.
	recommendationRetry = 200 * time.Millisecond
	// ticketMargin is the fraction at the end of a ticket's validity in which
	// it is not used, because the start still has to reach the worker.
	ticketMargin = 0.25
)

// tickets is the answer of the recommendation service for a step.
type tickets struct {
	byWorker map[string]string
	validTo  time.Duration
}

// verdict is what the recommendation service last said about a worker for a step.
type verdict struct {
	startedMS int64
	permitted bool
}

// maxDenials is the number of denied workers from which no further one is asked
// for, while one of them has the capacity for the task.
const maxDenials = 3

// recommendation returns the recommendation settings of a step's queue, nil if
// the step needs no tickets.
func (s *step) recommendation() *estate.Recommendation {
	if q := s.job.queue; q != nil {
		return q.Recommendation
	}
	return nil
}

// ensureTickets reports whether a step has valid tickets or needs none.
// Otherwise it requests tickets.
func (e *Engine) ensureTickets(s *step, open []*worker, now time.Duration) bool {
	if s.recommendation() == nil || (s.tickets != nil && now < s.tickets.validTo) {
		return true
	}
	if s.requesting || now < s.nextRequest || e.requesting >= maxRecommendationRequests {
		return false
	}
	var ids []string
	for _, w := range open {
		if s.allows(w) && s.Requests().Fits(w.Capacity) {
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 {
		return false
	}
	// Successive requests ask about different workers, in case few are permitted.
	first := s.requestOffset % len(ids)
	ids = append(ids[first:], ids[:first]...)
	ids = ids[:min(len(ids), maxWorkersPerRequest)]
	s.requestOffset += len(ids)
	s.requesting = true
	e.requesting++
	e.stats.Recommendations++
	e.emit(&RecommendOrder{Step: s.tasks[0].id().StepName(), Workers: ids, step: s})
	return false
}

// Recommended handles the answer of the recommendation service.
func (e *Engine) Recommended(o *RecommendOrder, t platform.Tickets, err error, now time.Duration) {
	s := o.step
	s.requesting = false
	e.requesting--
	e.pool(s.job.Pool).needsPass = true
	if err != nil {
		s.nextRequest = now + recommendationRetry
		event.RecommendationFailed.Log(e.opts.Log, zap.String("step", o.Step), zap.Error(err))
		return
	}
	s.reserved.since = 0
	event.Recommended.Log(e.opts.Log, zap.String("step", o.Step), zap.Int("asked", len(o.Workers)), zap.Int("permitted", len(t.ByWorker)))
	if len(t.ByWorker) == 0 {
		s.nextRequest = now + recommendationRetry
	}
	if s.LongRunning {
		e.recordVerdicts(s, o.Workers, t.ByWorker)
	}
	s.tickets = &tickets{byWorker: t.ByWorker, validTo: now + time.Duration((1-ticketMargin)*float64(t.Validity))}
}

// recordVerdicts records which of the workers that a request named are permitted.
// A ticket expires, but the answer does not change while the worker lives.
func (e *Engine) recordVerdicts(s *step, asked []string, permitted map[string]string) {
	if s.verdicts == nil {
		s.verdicts = map[string]verdict{}
	}
	for _, id := range asked {
		if w := e.workers[id]; w != nil {
			_, ok := permitted[id]
			s.verdicts[id] = verdict{w.StartedMS, ok}
		}
	}
}

// verdict reports whether the recommendation service is known to permit the worker
// for a long-running step, and whether it is known to deny it.
func (s *step) verdict(w *worker) (permitted, denied bool) {
	if s.recommendation() == nil {
		return true, false
	}
	v, known := s.verdicts[w.ID]
	known = known && v.startedMS == w.StartedMS
	return known && v.permitted, known && !v.permitted
}

// denied reports whether the recommendation service is known to deny the worker
// for a long-running step.
func (s *step) denied(w *worker) bool {
	_, denied := s.verdict(w)
	return denied
}

// denials counts the workers that were denied for the step.
func (s *step) denials() int {
	n := 0
	for _, v := range s.verdicts {
		if !v.permitted {
			n++
		}
	}
	return n
}

// ticket returns the step's ticket for a worker. The result is false if one is
// needed and there is none.
func (e *Engine) ticket(s *step, w *worker, now time.Duration) (string, bool) {
	if s.recommendation() == nil {
		return "", true
	}
	if s.tickets == nil || now >= s.tickets.validTo {
		return "", false
	}
	t, ok := s.tickets.byWorker[w.ID]
	return t, ok
}

// withTicket returns the workers for which the step has a ticket, all of them
// if it needs none.
func (e *Engine) withTicket(s *step, open []*worker, now time.Duration) []*worker {
	if s.recommendation() == nil {
		return open
	}
	return slices.DeleteFunc(slices.Clone(open), func(w *worker) bool {
		_, ok := e.ticket(s, w, now)
		return !ok
	})
}
