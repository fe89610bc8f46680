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
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/outcome"
)

// firstClaimWait is the first pause before a key is claimed again that another
// request runs under.
const firstClaimWait = 20 * time.Millisecond

// ReasonHeader says in a word why egretpitch itself answered.
const ReasonHeader = "Egretpitch-Reason"

// serve answers one caller's request.
func (e *Entry) serve(c echo.Context) error {
	arrived := time.Now()
	noteHandled(c.Request())
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

// requestContext bounds the request by its deadline. A keyed request goes on
// when its caller leaves, so that the caller's repetition finds the answer.
func (e *Entry) requestContext(c echo.Context, req *request) (context.Context, context.CancelFunc) {
	ctx := c.Request().Context()
	if req.key != "" && !req.message.MayRepeat {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, req.deadline)
}

// claim claims the request's key, if it needs one. answered says that the
// caller has its answer already, from the claim.
func (e *Entry) claim(ctx context.Context, c echo.Context, req *request) (claimed *claim.Claim, answered bool, err error) {
	if req.key == "" || req.message.MayRepeat {
		return nil, false, nil
	}
	claimed = e.awaitClaim(ctx, req)
	switch claimed.Verdict {
	case claim.Refuse:
		return claimed, true, e.refuse(c, req, claimed.Refusal)
	case claim.Replay:
		e.count(req, time.Now())
		return claimed, true, e.replay(c, claimed.Stored)
	}
	return claimed, false, nil
}

// awaitClaim claims the request's key. While another request runs under it, it
// asks again, ever less often, so that a repetition gets the answer as soon as
// it is there.
func (e *Entry) awaitClaim(ctx context.Context, req *request) *claim.Claim {
	for wait := firstClaimWait; ; wait *= 2 {
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

// replay gives the caller the stored answer of its key.
func (e *Entry) replay(c echo.Context, stored *claim.Stored) error {
	e.setAnswerHeader(c.Response().Header(), stored.Header)
	c.Response().WriteHeader(stored.Status)
	_, err := c.Response().Write(stored.Body)
	return err
}

// setAnswerHeader sets the header of an upstream's answer. A reason that the
// upstream gives is not one of egretpitch's own.
func (e *Entry) setAnswerHeader(header, answer http.Header) {
	maps.Copy(header, answer)
	header.Set(outcome.Header, outcome.Ran.String())
	header.Del(ReasonHeader)
	e.endConnection(header)
}

// run waits for the pool's gate and forwards the request.
func (e *Entry) run(ctx context.Context, req *request) (*link.Answer, *outcome.Refusal) {
	req.service.demand.queued.Add(1)
	release, refusal := req.service.pool.gate.Acquire(ctx, req.service.contract.Priority, req.deadline)
	req.service.demand.queued.Add(-1)
	if refusal != nil {
		return nil, refusal
	}
	answer, refusal := e.forward(ctx, req)
	if refusal != nil || answer.Whole() {
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

// settleRefused settles the claim of a request without an answer.
func (e *Entry) settleRefused(claimed *claim.Claim, refusal *outcome.Refusal) {
	switch {
	case claimed == nil:
	case refusal.Outcome == outcome.NotRun:
		e.claims.Release(claimed)
	default:
		e.claims.Lost(claimed)
	}
}

// answer gives the caller the upstream's answer.
func (e *Entry) answer(c echo.Context, req *request, claimed *claim.Claim, answer *link.Answer) error {
	body, err := e.storeWhole(claimed, answer)
	if err != nil {
		refusal := outcome.Lost("answer-broken", err)
		return e.refuse(c, req, refusal)
	}
	e.setAnswerHeader(c.Response().Header(), answer.Header)
	e.count(req, time.Now())
	c.Response().WriteHeader(answer.Status)
	_, err = io.Copy(c.Response(), body)
	e.settleStream(claimed, answer, err)
	if err != nil {
		// The head is out: the caller must see the break, so that it never
		// takes a part for the whole.
		brokenAnswers.Add(1)
		event.RequestOutcomeUnknown.Log(e.log, e.fields(req, zap.Error(err))...)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// storeWhole records a claimed request's answer and returns the body to send.
func (e *Entry) storeWhole(claimed *claim.Claim, answer *link.Answer) (io.Reader, error) {
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

// settleStream settles the claim of an answer that was too long to be held,
// once its stream has ended.
func (e *Entry) settleStream(claimed *claim.Claim, answer *link.Answer, err error) {
	switch {
	case claimed == nil || answer.Whole():
	case err != nil:
		e.claims.Lost(claimed)
	default:
		e.claims.Done(claimed, nil)
	}
}

// count adds an answered request to the demand.
func (e *Entry) count(req *request, now time.Time) {
	countRan()
	req.service.latency.record(now.Sub(req.arrived))
	req.service.demand.answered.Add(1)
	if now.After(req.deadline) {
		req.service.demand.late.Add(1)
	}
}

// refuse gives the caller an answer of egretpitch's own. req is nil for a
// request that was not understood.
func (e *Entry) refuse(c echo.Context, req *request, r *outcome.Refusal) error {
	countRefusal(r)
	e.logRefusal(req, r)
	header := c.Response().Header()
	header.Set(outcome.Header, r.Outcome.String())
	header.Set(ReasonHeader, r.Reason)
	e.endConnection(header)
	if req == nil && c.Request().ProtoMajor == 1 && c.Request().ContentLength != 0 {
		// net/http would await the rest of the body before it answers.
		header.Set("Connection", "close")
	}
	return c.String(r.Status, r.Reason+"\n")
}

// logRefusal logs and counts a refusal.
func (e *Entry) logRefusal(req *request, r *outcome.Refusal) {
	fields := []zap.Field{zap.String("reason", r.Reason)}
	if r.Err != nil {
		// zap.Error would add the stack of each refusal.
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
