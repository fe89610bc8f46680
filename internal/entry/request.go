package entry

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/claim"
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/retry"
)

// request is a parsed request with the contract of its service.
type request struct {
	service *service
	// caller is the request of the caller.
	caller   *http.Request
	message  link.Request
	key      claim.Key
	arrived  time.Time
	deadline time.Time
}

// parse reads a caller's whole request. All its refusals have the outcome "not
// run".
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, *outcome.Refusal) {
	svc, refusal := e.lookup(r)
	if refusal != nil {
		return nil, refusal
	}
	deadline, refusal := deadlineOf(r, arrived, svc.contract.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	key, err := claim.ParseKey(r.Header)
	if err != nil {
		return nil, outcome.Refuse(http.StatusBadRequest, "bad-key", err)
	}
	body, refusal := readBody(w, r, svc.contract.MaxBodyBytes, deadline)
	if refusal != nil {
		return nil, refusal
	}
	svc.demand.arrived.Add(1)
	return &request{
		service: svc,
		caller:  r,
		message: link.Request{
			Method:          r.Method,
			URI:             r.URL.RequestURI(),
			Host:            r.Host,
			Header:          r.Header,
			Body:            body,
			MayRepeat:       svc.contract.MayRepeat(r.Method),
			HeldAnswerBytes: svc.contract.HeldAnswerBytes,
		},
		key:      key,
		arrived:  arrived,
		deadline: deadline,
	}, nil
}

// lookup returns the service that the first segment of the path names.
func (e *Entry) lookup(r *http.Request) (*service, *outcome.Refusal) {
	if err := checkTarget(r); err != nil {
		return nil, outcome.Refuse(http.StatusBadRequest, "bad-target", err)
	}
	current := e.catalog.Load()
	if current == nil {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, "no-settings", nil)
	}
	// Escapes are not decoded, since names of services need none.
	name, _, _ := strings.Cut(r.URL.EscapedPath()[1:], "/")
	svc, ok := current.services[name]
	if !ok {
		err := fmt.Errorf("no service %q", name)
		return nil, outcome.Refuse(http.StatusNotFound, "unknown-service", err)
	}
	return svc, nil
}

// deadlineOf returns the earlier of the contract's deadline and the caller's.
func deadlineOf(r *http.Request, arrived time.Time, limit time.Duration) (time.Time, *outcome.Refusal) {
	values := r.Header.Values(retry.DeadlineHeader)
	if len(values) > 1 {
		err := fmt.Errorf("header %s occurs %d times", retry.DeadlineHeader, len(values))
		return time.Time{}, outcome.Refuse(http.StatusBadRequest, "bad-deadline", err)
	}
	for _, value := range values {
		requested, err := retry.ParseDeadline(value)
		if err != nil {
			return time.Time{}, outcome.Refuse(http.StatusBadRequest, "bad-deadline", err)
		}
		limit = min(limit, requested)
	}
	return arrived.Add(limit), nil
}

// readBody reads the body, which may have limit bytes and must arrive by the
// deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *outcome.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	// An error means that the connection is broken; the read below returns it,
	// too.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	body, err := intake.ReadBody(r, limit)
	switch {
	case err == nil:
	case errors.Is(err, intake.ErrOverloaded):
		return nil, outcome.Refuse(http.StatusServiceUnavailable, reasonOverloaded, err)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, intake.ErrSlow):
		return nil, outcome.Refuse(http.StatusRequestTimeout, "body-late", err)
	case errors.Is(err, intake.ErrTooLarge):
		err = fmt.Errorf("body has over %d bytes", limit)
		return nil, outcome.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", err)
	default:
		return nil, outcome.Refuse(http.StatusBadRequest, "bad-body", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}
