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
	// applyAttempts bounds how often one change is sent.
	applyAttempts = 5
	// applyBackoff is the wait before the second attempt; it doubles.
	applyBackoff = 200 * time.Millisecond
)

// ErrOutcomeUnknown means that a change may or may not be in force.
var ErrOutcomeUnknown = errors.New("outcome unknown: the change may or may not be in force")

// NewChangeID returns a random name for a change.
func NewChangeID() string { return rand.Text() }

// Apply asks for a tree to be put in force and returns its version. An unknown
// outcome is settled by the change id: the same request is sent again, and the
// server answers a change that is in force as accepted. The error holds a
// *StatusError for a refusal and ErrOutcomeUnknown when nothing settled it.
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

// isRefusal reports whether a status says that this request changed nothing.
func isRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// resolveRefusal returns the refusal of an attempt, unless an earlier attempt with an
// unknown outcome turns out to be in force.
func (c *Client) resolveRefusal(ctx context.Context, req ApplyRequest, refusal error) (uint64, error) {
	now, err := c.Settings(ctx)
	if err != nil {
		return 0, operr.Wrap(errors.Join(ErrOutcomeUnknown, err), "adminapi: apply change "+req.ChangeID, c.server)
	}
	if now.ChangeID == req.ChangeID {
		return now.Version, nil
	}
	if now.Version > req.ExpectedVersion+1 {
		// Ours may have been in force before the one that replaced it.
		return 0, operr.Wrap(errors.Join(ErrOutcomeUnknown, refusal), "adminapi: apply change "+req.ChangeID, c.server)
	}
	return 0, refusal
}
