package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// keyPrefix is the prefix of all claim rows in the table.
const keyPrefix = "claim/"

// state is the state of a claimed request.
type state string

const (
	// stateClaimed means that the request may be running.
	stateClaimed state = "claimed"
	// stateDone means that it ran and its whole answer was received.
	stateDone state = "done"
	// stateLost means that it was sent and no whole answer was received.
	stateLost state = "lost"
)

// record is the value of a claim row.
type record struct {
	// ID is unique to each attempt. It identifies the attempt that wrote the
	// row if the answer to the commit was lost.
	ID          string `json:"id"`
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	// Digest identifies the request that the key was used for.
	Digest Digest `json:"digest"`
	State  state  `json:"state"`
	// Stored is the answer of a done request, nil if it was too long.
	Stored *Stored `json:"stored,omitempty"`
	// Status is the status of a done request, 0 if it is not known.
	Status int `json:"status,omitempty"`
	// ClaimedAt is the Unix time in milliseconds by the entry's clock. It is
	// for operators only; no decision depends on it.
	ClaimedAt int64 `json:"claimed_at_ms"`
}

// rowKey returns the key of a claim row. The caller's key is hashed, since it
// may be long and hold any printable character.
func rowKey(service string, key Key) string {
	sum := sha256.Sum256([]byte(key))
	return servicePrefix(service) + hex.EncodeToString(sum[:])
}

// servicePrefix returns the prefix of the claim rows of a service.
func servicePrefix(service string) string { return keyPrefix + service + "/" }

// encode returns the value of the record's row.
func (r *record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// All fields of a record can be marshalled.
		panic(err)
	}
	return value
}

// decode returns the record of a row.
func decode(row platform.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, errors.Wrapf(err, "claim row %q", row.Key)
	}
	return r, nil
}

// resolveTaken returns the claim of a request whose key belongs to another
// attempt with the record r.
func resolveTaken(r record, digest Digest) *Claim {
	switch {
	case r.Digest != digest:
		return refuse(http.StatusUnprocessableEntity, outcome.NotRun, "key-reused",
			errors.New("the idempotency key was used for a request with another method, URI or body"))
	case r.State == stateDone && r.Stored != nil:
		return &Claim{Verdict: Replay, Stored: r.Stored}
	case r.State == stateDone:
		return refuse(http.StatusConflict, outcome.Ran, "key-done",
			errors.Errorf("the request ran, but its answer (status %d) was too long to be stored", r.Status))
	case r.State == stateLost:
		return refuse(http.StatusConflict, outcome.Unknown, "key-lost",
			errors.New("the request was sent, but no complete answer was received"))
	}
	return refuse(http.StatusConflict, outcome.Unknown, ReasonInProgress,
		errors.Errorf("entry %s claimed the key at %d ms (Unix time) and has recorded no outcome", r.Entry, r.ClaimedAt))
}

// refuse returns the claim of a request that is not forwarded.
func refuse(status int, o outcome.Outcome, reason string, err error) *Claim {
	return &Claim{Verdict: Refuse, Refusal: &outcome.Refusal{Status: status, Outcome: o, Reason: reason, Err: err}}
}
