// Package claim ensures that a request with an idempotency key runs at most once
// across all entries. An entry claims the key with a row in the table service
// before it forwards the request, and records the outcome in that row.
package claim

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Header is the request header that carries the idempotency key.
const Header = "Idempotency-Key"

// Defaults of Options.
const (
	// DefaultBatchPeriod is the shortest time between two transactions of an
	// entry, unless a batch is full. A claim that arrives later than that after
	// the last transaction is committed at once.
	DefaultBatchPeriod = 40 * time.Millisecond
	// DefaultBatchSize is the most rows that one transaction writes.
	DefaultBatchSize = 64
	// DefaultClaimTimeout is how long a request waits for its claim.
	DefaultClaimTimeout = 500 * time.Millisecond
	// DefaultTableTimeout is the time limit for one call to the table.
	DefaultTableTimeout = time.Second
	// DefaultRetention is the shortest time that a claim is kept after its
	// last change.
	DefaultRetention = time.Hour
	// DefaultSweepPeriod is the time between two scans for old claims. Each
	// scans one part of one service's claims.
	DefaultSweepPeriod = time.Second
	// DefaultStoredAnswerBytes is the longest body that is stored.
	DefaultStoredAnswerBytes = 8 << 10
	// queueSize is the most updates that may wait at an entry.
	queueSize = 4096
)

// Options configure a Manager. A zero field takes its default.
type Options struct {
	// Entry is the name of the entry, Incarnation the number of its current
	// run.
	Entry       string
	Incarnation uint64
	Table       platform.Table
	Log         *zap.Logger

	BatchPeriod  time.Duration
	BatchSize    int
	ClaimTimeout time.Duration
	TableTimeout time.Duration
	Retention    time.Duration
	SweepPeriod  time.Duration
	// StoredAnswerBytes is the longest body that is stored with its claim.
	StoredAnswerBytes int
}

// withDefaults returns the options with every zero field set.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	setDefault(&o.BatchPeriod, DefaultBatchPeriod)
	setDefault(&o.BatchSize, DefaultBatchSize)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.TableTimeout, DefaultTableTimeout)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.SweepPeriod, DefaultSweepPeriod)
	setDefault(&o.StoredAnswerBytes, DefaultStoredAnswerBytes)
	return o
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Request describes a request with an idempotency key that is to be claimed.
type Request struct {
	Service string
	// Key is the parsed value of the Header.
	Key Key
	// Digest is the digest of the request's method, URI and body.
	Digest Digest
	// Outage is the contract's policy for the time in which the table cannot
	// be reached.
	Outage contract.OutagePolicy
}

// ReasonInProgress is the reason of a refusal while another request with the key
// is in progress.
const ReasonInProgress = "key-in-progress"

// Verdict is what to do with a request with an idempotency key.
type Verdict int

const (
	// Forward means that the request has claimed the key: forward it, then call
	// Manager.Done, Lost or Release.
	Forward Verdict = iota + 1
	// ForwardUnclaimed means that the key could not be claimed and that the
	// contract's outage policy is to run the request all the same.
	ForwardUnclaimed
	// Replay means that a request with the key has finished: return Stored.
	Replay
	// Refuse means that the request must not be forwarded: return Refusal.
	Refuse
)

// Stored is the answer of a finished request.
type Stored struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Claim is the result of Manager.Claim.
type Claim struct {
	Verdict Verdict
	// Stored is set with Replay.
	Stored *Stored
	// Refusal is set with Refuse.
	Refusal *outcome.Refusal

	// attempt is set with Forward and with ForwardUnclaimed, where the claim
	// may still succeed later.
	attempt *attempt
}
