package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/retry"
	"github.com/egretpitch/egretpitch/internal/routing"
)

const (
	// maxTries is the maximum number of tries of one request, the first included.
	maxTries = 3
	// minTryTime is the shortest time in which a try can still succeed. A request
	// with no more time left is not tried again.
	minTryTime = 5 * time.Millisecond
)

// reasonCancelled is the reason for not trying again when the caller has
// disconnected or the deadline has passed.
const reasonCancelled retry.Reason = "cancelled"

// forward sends the request until it is answered or may not be tried again.
// The caller closes the body of the answer.
func (e *Entry) forward(ctx context.Context, req *request) (*link.Answer, *outcome.Refusal) {
	pool := req.service.pool
	pool.budget.Deposit(req.service.contract.RetryBudget)
	var tried routing.Tried
	tried.NoTrial = !req.message.MayRepeat
	// overall is the outcome over all tries: if one try may have run, the request
	// is not "not run" because a later try was not sent.
	overall := outcome.NotRun
	for tries := 1; ; tries++ {
		answer, err := e.try(ctx, req, &tried)
		if err == nil {
			return answer, nil
		}
		overall = retry.Overall(overall, err.Outcome)
		decision := retry.Decide(retry.State{
			Outcome:    err.Outcome,
			MayRepeat:  req.message.MayRepeat,
			Remaining:  time.Until(req.deadline),
			MinTryTime: minTryTime,
			Tries:      tries,
			MaxTries:   maxTries,
			Untried:    pool.view.Load().snapshot.Len() - tried.Len(),
		})
		if decision.Again && !pool.budget.Withdraw() {
			decision = retry.Decision{Reason: retry.ReasonBudget}
		}
		if decision.Again && ctx.Err() != nil {
			decision = retry.Decision{Reason: reasonCancelled}
		}
		if !decision.Again {
			return nil, refusalOf(overall, err, decision.Reason)
		}
		event.RequestRetried.Log(e.log, e.fields(req, zap.String("reason", string(decision.Reason)), zap.Error(err))...)
	}
}

// refusalOf returns the refusal for the outcome over all tries and the error
// of the last one.
func refusalOf(overall outcome.Outcome, err *link.Error, reason retry.Reason) *outcome.Refusal {
	if overall == outcome.NotRun {
		return outcome.Refuse(http.StatusServiceUnavailable, "no-upstream", err)
	}
	return outcome.Lost("lost-"+string(reason), err)
}

// try chooses a host and sends the request to it once.
func (e *Entry) try(ctx context.Context, req *request, tried *routing.Tried) (*link.Answer, *link.Error) {
	pool := req.service.pool
	held, chooseErr := pool.choose(*tried, e.elapsed)
	if chooseErr != nil {
		return nil, notSent("choose host", chooseErr)
	}
	tried.Add(held.choice)
	e.logRoute(req, held.choice)
	start := time.Now()
	message := req.message
	message.ShouldAbandon = pool.budget.Available
	// The clone shares its value slices with the original; SetDeadline replaces
	// the slice of its own header.
	message.Header = maps.Clone(req.message.Header)
	retry.SetDeadline(message.Header, time.Until(req.deadline))
	answer, err := e.links.Do(ctx, held.choice.Host.Name, &message)
	duration := time.Since(start)
	req.service.demand.addBusy(duration)
	result := routing.Result{Service: req.service.index, Latency: duration, At: start.Add(duration)}
	if err != nil {
		return nil, e.releaseFailed(ctx, pool, held, result, err)
	}
	classifyAnswer(&result, answer)
	if answer.Whole() {
		pool.release(held, result)
		return answer, nil
	}
	// A streamed answer counts as in flight until its body is closed.
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: func() { pool.release(held, result) }}
	return answer, nil
}

// releaseFailed releases the reservation of a failed try, classifies the
// failure and returns it as a *link.Error.
func (e *Entry) releaseFailed(ctx context.Context, p *pool, h reservation, result routing.Result, err error) *link.Error {
	var typed *link.Error
	if !errors.As(err, &typed) {
		typed = &link.Error{Step: "link", Peer: h.choice.Host.Name, Outcome: outcome.Unknown, Err: err}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		result.Kind = routing.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Kind = routing.TimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		result.Kind = routing.Refused
	case typed.Silent:
		// Only the connection was silent; the host does not count as failed.
		result.Kind = routing.Cancelled
	default:
		result.Kind = routing.Failed
	}
	p.release(h, result)
	return typed
}

var (
	errNoPermit = errors.New("no routing permit: assignment may be stale")
	errNoHost   = errors.New("no host is available for the request")
)

// notSent returns the error of a try that ended before a connection was used.
func notSent(step string, err error) *link.Error {
	return &link.Error{Step: "entry: " + step, Outcome: outcome.NotRun, Err: err}
}

// classifyAnswer sets the kind of result, an answer or a failure of the
// upstream, and its shutdown signal.
func classifyAnswer(result *routing.Result, answer *link.Answer) {
	result.RetryAfter = answer.ShutdownSignal.RetryAfter
	result.Closing = answer.ShutdownSignal.Kind == link.SignalClose
	switch {
	case answer.ShutdownSignal.Kind == link.SignalUnavailable:
		result.Kind = routing.Refused
	case answer.Status >= http.StatusInternalServerError:
		result.Kind = routing.Failed
	default:
		result.Kind = routing.Answered
	}
}

// logRoute logs the routing decision if it is in the sample.
func (e *Entry) logRoute(req *request, choice routing.Choice) {
	sample := req.service.logSample
	if sample <= 0 || sample < 1 && rand.Float64() >= sample {
		return
	}
	event.RequestRouted.Log(e.log, e.fields(req,
		zap.String("host", choice.Host.Name),
		zap.String("reason", choice.Reason.String()))...)
}

// fields returns the log fields that every event about a request has, after
// more.
func (e *Entry) fields(req *request, more ...zap.Field) []zap.Field {
	return append(more,
		zap.String("service", req.service.contract.Service),
		zap.String("pool", req.service.pool.name),
		zap.String("method", req.message.Method))
}
