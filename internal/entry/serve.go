package entry

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/claim"
	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/outcome"
)

// initialClaimBackoff is the first delay before the claim of a key that
// another request holds is retried. It doubles with each retry.
const initialClaimBackoff = 20 * time.Millisecond

// ReasonHeader is the response header with the reason for which egretpitch
// itself answered the request.
const ReasonHeader = "Egretpitch-Reason"

// serve handles one request of a caller.
func (e *Entry) serve(c echo.Context) error {
	arrived := time.Now()
	markHandled(c.Request())
	req, refusal := e.parse(c.Response(), c.Request(), arrived)
	if refusal != nil {
		return e.refuse(c, nil, refusal)
	}
	ctx, cancel := e.requestContext(c, req)
	defer cancel()
	claimed, answered, err := e.claim(ctx, c, req)
	if answered {
		return err
	}
	answer, refusal := e.run(ctx, req)
	if refusal != nil {
		e.settleRefused(claimed, refusal)
		return e.refuse(c, req, refusal)
	}
	defer answer.Body.Close()
	return e.answer(c, req, claimed, answer)
}

// requestContext bounds the request by its deadline. A request with a key
// continues when its caller disconnects, so that a repetition by the caller
// finds the answer.
func (e *Entry) requestContext(c echo.Context, req *request) (context.Context, context.CancelFunc) {
	ctx := c.Request().Context()
	if req.key != "" && !req.message.MayRepeat {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, req.deadline)
}

// claim claims the request's key if it needs one. answered is true if the
// claim already answered the caller, with a refusal or a stored answer.
func (e *Entry) claim(ctx context.Context, c echo.Context, req *request) (claimed *claim.Claim, answered bool, err error) {
	if req.key == "" || req.message.MayRepeat {
		return nil, false, nil
	}
	claimed = e.awaitClaim(ctx, req)
	switch claimed.Verdict {
	case claim.Refuse:
		return claimed, true, e.refuse(c, req, claimed.Refusal)
	case claim.Replay:
		e.countAnswered(req, time.Now())
		return claimed, true, e.replay(c, claimed.Stored)
	}
	return claimed, false, nil
}

// awaitClaim claims the request's key. While another request with the key
// runs, it retries with exponential backoff, so that a repetition gets the
// answer soon after it is stored.
func (e *Entry) awaitClaim(ctx context.Context, req *request) *claim.Claim {
	for wait := initialClaimBackoff; ; wait *= 2 {
		claimed := e.claims.Claim(ctx, claim.Request{
			Service: req.service.contract.Service,
			Key:     req.key,
			Digest:  claim.NewDigest(req.message.Method, req.message.URI, req.message.Body),
			Outage:  req.service.contract.Outage,
		})
		running := claimed.Verdict == claim.Refuse && claimed.Refusal.Reason == claim.ReasonInProgress
		if !running || time.Until(req.deadline) < 2*wait {
			return claimed
		}
		_ = ctxtime.Sleep(ctx, wait)
	}
}

// replay sends the stored answer of the key to the caller.
func (e *Entry) replay(c echo.Context, stored *claim.Stored) error {
	e.setAnswerHeader(c.Response().Header(), stored.Header)
	c.Response().WriteHeader(stored.Status)
	_, err := intake.AnswerWriter(c.Response(), c.Request()).Write(stored.Body)
	return err
}

// setAnswerHeader sets the response header from an upstream's. A reason header
// of the upstream is removed: only egretpitch's own answers have one.
func (e *Entry) setAnswerHeader(header, answer http.Header) {
	maps.Copy(header, answer)
	header.Set(outcome.Header, outcome.Ran.String())
	header.Del(ReasonHeader)
	e.endConnection(header)
}

// run waits for admission by the pool's gate and forwards the request.
func (e *Entry) run(ctx context.Context, req *request) (*link.Answer, *outcome.Refusal) {
	req.service.demand.queued.Add(1)
	release, refusal := req.service.pool.gate.Acquire(ctx, req.service.contract.Priority, req.deadline)
	req.service.demand.queued.Add(-1)
	if refusal != nil {
		return nil, refusal
	}
	answer, refusal := e.forward(ctx, req)
	if refusal != nil || answer.Whole() {
		if refusal == nil {
			// Holds up further requests of the pool while their answers would not
			// fit into memory.
			intake.HoldAnswer(req.caller, answer.HeldBytes())
		}
		release()
		return answer, refusal
	}
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: release}
	return answer, nil
}

// releasingBody calls release when it is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}

// settleRefused releases the claim of a request that did not run, and marks
// that of a request which may have run as lost.
func (e *Entry) settleRefused(claimed *claim.Claim, refusal *outcome.Refusal) {
	switch {
	case claimed == nil:
	case refusal.Outcome == outcome.NotRun:
		e.claims.Release(claimed)
	default:
		e.claims.Lost(claimed)
	}
}

// answer sends the upstream's answer to the caller.
func (e *Entry) answer(c echo.Context, req *request, claimed *claim.Claim, answer *link.Answer) error {
	body, err := e.storeAnswer(claimed, answer)
	if err != nil {
		refusal := outcome.Lost("answer-broken", err)
		return e.refuse(c, req, refusal)
	}
	e.setAnswerHeader(c.Response().Header(), answer.Header)
	e.countAnswered(req, time.Now())
	c.Response().WriteHeader(answer.Status)
	_, err = io.Copy(intake.AnswerWriter(c.Response(), c.Request()), body)
	e.settleStream(claimed, answer, err)
	if err != nil {
		// The response header is already sent: the connection is aborted so
		// that the caller does not take a partial body for the whole.
		brokenAnswers.Add(1)
		event.RequestOutcomeUnknown.Log(e.log, e.fields(req, zap.Error(err))...)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// storeAnswer stores the whole answer of a claimed request and returns the
// body to send.
func (e *Entry) storeAnswer(claimed *claim.Claim, answer *link.Answer) (io.Reader, error) {
	if claimed == nil {
		return answer.Body, nil
	}
	if !answer.Whole() {
		return answer.Body, nil
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		e.claims.Lost(claimed)
		return nil, err
	}
	e.claims.Done(claimed, &claim.Stored{Status: answer.Status, Header: answer.Header, Body: body})
	return bytes.NewReader(body), nil
}

// settleStream settles the claim of an answer that was too long to store, once
// its stream has ended.
func (e *Entry) settleStream(claimed *claim.Claim, answer *link.Answer, err error) {
	switch {
	case claimed == nil || answer.Whole():
	case err != nil:
		e.claims.Lost(claimed)
	default:
		e.claims.Done(claimed, nil)
	}
}

// countAnswered counts an answered request and records its latency.
func (e *Entry) countAnswered(req *request, now time.Time) {
	countRan()
	req.service.latency.record(now.Sub(req.arrived))
	req.service.demand.answered.Add(1)
	if now.After(req.deadline) {
		req.service.demand.late.Add(1)
	}
}

// refuse sends a response of egretpitch's own. req is nil for a request that
// could not be parsed.
func (e *Entry) refuse(c echo.Context, req *request, r *outcome.Refusal) error {
	countRefusal(r)
	e.logRefusal(req, r)
	header := c.Response().Header()
	header.Set(outcome.Header, r.Outcome.String())
	header.Set(ReasonHeader, r.Reason)
	e.endConnection(header)
	if r.Reason == reasonOverloaded {
		header.Set("Retry-After", "1")
	}
	if req == nil && c.Request().ProtoMajor == 1 && c.Request().ContentLength != 0 {
		// Otherwise net/http reads the rest of the body before it responds.
		header.Set("Connection", "close")
	}
	return c.String(r.Status, r.Reason+"\n")
}

// logRefusal logs a refusal and counts it in the service's demand.
func (e *Entry) logRefusal(req *request, r *outcome.Refusal) {
	fields := []zap.Field{zap.String("reason", r.Reason)}
	if r.Err != nil {
		// zap.Error would add a stack trace to each refusal.
		fields = append(fields, zap.String("error", r.Err.Error()))
	}
	if req != nil {
		fields = e.fields(req, fields...)
	}
	if r.Outcome == outcome.NotRun {
		event.RequestRefused.Log(e.log, fields...)
	} else {
		event.RequestOutcomeUnknown.Log(e.log, fields...)
	}
	if req == nil {
		return
	}
	if r.Outcome == outcome.NotRun {
		req.service.demand.refused.Add(1)
	} else {
		req.service.demand.lost.Add(1)
	}
}
