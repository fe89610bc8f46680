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
	// maxRecommendationRequests is how many recommendations are asked for at once: the service
	// answers one after another.
	maxRecommendationRequests = 2
	// maxWorkersPerRequest bounds the workers of one call. Each costs time.
	maxWorkersPerRequest = 30
	// recommendationRetry is the pause after a call that failed.
	recommendationRetry = 200 * time.Millisecond
	// ticketMargin is the part of a ticket's validity for which it is not used,
	// for the way of the start.
	ticketMargin = 0.25
)

// tickets are the recommendation service's answer about a step.
type tickets struct {
	byWorker map[string]string
	validTo  time.Duration
}

// recommendation returns what a step's queue says of recommendations, nil if
// none is needed.
func (e *Engine) recommendation(s *step) *estate.Recommendation {
	if q := e.catalog.Queues[s.job.Queue]; q != nil {
		return q.Recommendation
	}
	return nil
}

// ensureTickets reports whether a step's tasks may be started as far as tickets
// matter, and asks for tickets if they may not.
func (e *Engine) ensureTickets(s *step, open []*worker, now time.Duration) bool {
	if e.recommendation(s) == nil || (s.tickets != nil && now < s.tickets.validTo) {
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
	// Successive calls ask about different workers, in case few are permitted.
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

// Recommended takes in the answer of the recommendation service.
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
	event.Recommended.Log(e.opts.Log, zap.String("step", o.Step), zap.Int("asked", len(o.Workers)), zap.Int("permitted", len(t.ByWorker)))
	if len(t.ByWorker) == 0 {
		s.nextRequest = now + recommendationRetry
	}
	s.tickets = &tickets{byWorker: t.ByWorker, validTo: now + time.Duration((1-ticketMargin)*float64(t.Validity))}
}

// ticket returns the ticket for a worker; ok is false if one is needed and
// there is none.
func (e *Engine) ticket(s *step, w *worker, now time.Duration) (string, bool) {
	if e.recommendation(s) == nil {
		return "", true
	}
	if s.tickets == nil || now >= s.tickets.validTo {
		return "", false
	}
	t, ok := s.tickets.byWorker[w.ID]
	return t, ok
}

// withTicket drops the workers without a ticket where one is needed.
func (e *Engine) withTicket(s *step, open []*worker, now time.Duration) []*worker {
	if e.recommendation(s) == nil {
		return open
	}
	return slices.DeleteFunc(slices.Clone(open), func(w *worker) bool {
		_, ok := e.ticket(s, w, now)
		return !ok
	})
}
