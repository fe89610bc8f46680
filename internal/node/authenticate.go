package node

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// refusal is why the configuration does not allow a request. It names a counter of
// egretpitch_node_refusals.
type refusal string

const (
	refusedNoConfiguration refusal = "no_configuration"
	refusedUnconfirmed     refusal = "configuration_unconfirmed"
	refusedNoQueue         refusal = "no_queue"
	refusedKeyMissing      refusal = "key_missing"
	refusedKeyMalformed    refusal = "key_malformed"
	refusedKeyUnknown      refusal = "key_unknown"
	refusedOtherTeam       refusal = "other_team"
)

// refusalReasons are what callers and the log are told.
var refusalReasons = map[refusal]string{
	refusedNoConfiguration: "no configuration yet",
	refusedUnconfirmed:     "configuration is not known to be up to date",
	refusedNoQueue:         "no such queue",
	refusedKeyMissing:      "key is missing",
	refusedKeyMalformed:    "key is malformed",
	refusedKeyUnknown:      "key is not known",
	refusedOtherTeam:       "job is of another team",
}

// caller is who sends a request, as far as its key tells.
type caller struct {
	// team is empty if the request has no valid key, or keys are not required.
	team string
	// fingerprint is that of the key, empty for none.
	fingerprint string
	// lacks is why there is no team.
	lacks refusal
}

// refuse returns the answer to a request that the configuration does not allow. A
// configuration that may be out of date does not show that, so the answer is 503
// then.
func (h *QueueAPI) refuse(r *queueRequest, status int, why refusal) response {
	if r.use != configurationCurrent {
		status, why = http.StatusServiceUnavailable, refusedUnconfirmed
	}
	h.node.metrics.refusals.Add(string(why), 1)
	if status == http.StatusUnauthorized {
		r.Response().Header().Set(echo.HeaderWWWAuthenticate, h.codec.Challenge)
	}
	a := response{status: status, reason: refusalReasons[why]}
	if r.caller.fingerprint != "" {
		a.fields = append(a.fields, zap.String("team", r.caller.team), zap.String("fingerprint", r.caller.fingerprint))
	}
	return a
}

// checkConfiguration determines the configuration by which a request is served. It
// returns false and the answer if there is none.
func (h *QueueAPI) checkConfiguration(r *queueRequest) (response, bool) {
	if r.catalog == nil {
		return h.refuse(r, http.StatusServiceUnavailable, refusedNoConfiguration), false
	}
	if !r.catalog.RequiresKeys && !h.node.hasTeams() {
		return response{}, true
	}
	r.use = h.node.awaitConfiguration(r.Request().Context(), r.deadline)
	r.catalog = h.node.catalog.Load() // it may have changed during the wait
	if r.use == configurationUnconfirmed {
		return h.refuse(r, http.StatusServiceUnavailable, refusedUnconfirmed), false
	}
	return response{}, true
}

// authenticate determines the team of a request to a queue. It returns false and
// the answer if the queue needs a key and the request has no valid one.
func (h *QueueAPI) authenticate(r *queueRequest) (response, bool) {
	if !r.catalog.RequiresKeys {
		return response{}, true
	}
	key, present := h.codec.CallerKey(r.Request().Header)
	r.caller.lacks = refusedKeyMissing
	switch {
	case key != "":
		if r.caller = callerWith(r.catalog, estate.DigestOf(key)); r.caller.team != "" {
			return response{}, true
		}
	case present:
		r.caller.lacks = refusedKeyMalformed
	}
	if r.queue.Public {
		return response{}, true
	}
	return h.refuse(r, http.StatusUnauthorized, r.caller.lacks), false
}

// callerWith returns the caller that has the key with the given digest.
func callerWith(c *estate.Catalog, digest estate.KeyDigest) caller {
	who := caller{fingerprint: digest.Fingerprint(), lacks: refusedKeyUnknown}
	if t := c.TeamOf(digest); t != nil {
		who.team = t.Name
	}
	return who
}

// authorize decides whether a request may see or change a job of a team that was
// submitted to a queue. Any team may if the job has none. It returns false and the
// answer if the request may not.
func (h *QueueAPI) authorize(r *queueRequest, team, queue string) (response, bool) {
	switch {
	case !r.catalog.RequiresKeys:
	case r.caller.team != "" && team != "" && r.caller.team != team:
		return h.refuse(r, http.StatusForbidden, refusedOtherTeam), false
	case r.caller.team == "":
		// The request came by a public queue, and may name a job of any queue.
		if q := r.catalog.Queues[queue]; q == nil || !q.Public {
			return h.refuse(r, http.StatusUnauthorized, r.caller.lacks), false
		}
	}
	return response{}, true
}

// authorizeStored decides whether a submission may be answered as stored, given the
// row of the job that was stored under its id before, nil for none. It returns false
// and the answer if not.
func (h *QueueAPI) authorizeStored(r *queueRequest, existing *platform.PartRow) (response, bool) {
	if existing == nil || !r.catalog.RequiresKeys {
		return response{}, true
	}
	ctx, cancel := context.WithDeadline(r.Request().Context(), r.deadline)
	defer cancel()
	team, queue, err := h.node.storedTeam(ctx, r.id, existing)
	if err != nil {
		return response{status: http.StatusGatewayTimeout, reason: "a job is stored under the id, its team is not known: " + err.Error()}, false
	}
	return h.authorize(r, team, queue)
}
