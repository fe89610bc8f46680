package adminapi

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// applyAttempts is the maximum number of times that one change is sent.
	applyAttempts = 5
	// applyBackoff is the wait before the second attempt. It doubles with
	// each further attempt.
	applyBackoff = 200 * time.Millisecond
)

// ErrOutcomeUnknown is returned for a change that may or may not be in force.
var ErrOutcomeUnknown = errors.New("outcome unknown: the change may or may not be in force")

// NewChangeID returns a random ID for a change.
func NewChangeID() string { return rand.Text() }

// Apply puts a settings tree in force and returns its version. It generates a
// ChangeID if the request has none. An attempt with an unknown outcome is
// retried under the same ChangeID, and the server answers a change that is
// already in force as accepted. The error wraps a *StatusError if the server
// refused the change, and ErrOutcomeUnknown if the outcome remains unknown after
// all attempts.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (uint64, error) {
	req.ChangeID = cmp.Or(req.ChangeID, NewChangeID())
	wait := applyBackoff
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		reply, err := call[ApplyReply](ctx, c, http.MethodPost, PathSettings, &req)
		if err == nil {
			return reply.Version, nil
		}
		var refused *StatusError
		if errors.As(err, &refused) && isRefusal(refused.Status) {
			if !outcomeUnknown || refused.Settled {
				return 0, err
			}
			return c.resolveRefusal(ctx, req, err)
		}
		outcomeUnknown = true
		if attempt == applyAttempts {
			return 0, operr.Wrap(errors.Join(ErrOutcomeUnknown, err), "adminapi: apply change "+req.ChangeID, c.server)
		}
		select {
		case <-ctx.Done():
			return 0, operr.Wrap(errors.Join(ErrOutcomeUnknown, ctx.Err()), "adminapi: apply change "+req.ChangeID, c.server)
		case <-time.After(wait):
		}
		wait *= 2
	}
}

// isRefusal reports whether the status means that this request changed nothing.
func isRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// resolveRefusal handles a refused attempt that follows attempts with an unknown
// outcome. It reads the tree in force: if that comes from this change, an
// earlier attempt succeeded. If two or more versions were accepted since the
// expected one, this change may have been one of them, and the error wraps
// ErrOutcomeUnknown. Otherwise it returns the refusal.
func (c *Client) resolveRefusal(ctx context.Context, req ApplyRequest, refusal error) (uint64, error) {
	now, err := c.Settings(ctx)
	if err != nil {
		return 0, operr.Wrap(errors.Join(ErrOutcomeUnknown, err), "adminapi: apply change "+req.ChangeID, c.server)
	}
	if now.ChangeID == req.ChangeID {
		return now.Version, nil
	}
	if now.Version > req.ExpectedVersion+1 {
		// This change may have been in force and been replaced since.
		return 0, operr.Wrap(errors.Join(ErrOutcomeUnknown, refusal), "adminapi: apply change "+req.ChangeID, c.server)
	}
	return 0, refusal
}
