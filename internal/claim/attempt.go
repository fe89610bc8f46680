package claim

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// attempt is one request's attempt to claim its key.
type attempt struct {
	key    string
	record record
	// runsUnclaimed reports whether the request is also forwarded without a
	// claim. A claim that succeeds later is then kept, since it prevents a
	// second run of the request.
	runsUnclaimed bool
	// result receives the claim. It is buffered, so that Run never blocks.
	result chan *Claim

	mu sync.Mutex
	// settled is set once the claim was settled.
	settled bool
	// abandoned is set if the request stopped waiting before that.
	abandoned bool

	// The fields below are used only by the goroutine of Run.

	// version is the version of the attempt's row, 0 while it has none.
	version int64
	// outcomeUnknown is set if a commit had an unknown outcome and may still
	// take effect.
	outcomeUnknown bool
	// watched reports whether the attempt is in Manager.watched.
	watched bool
}

// settle passes the claim to the waiting request. It reports false if the
// request no longer waits for it.
func (a *attempt) settle(c *Claim) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = true
	if a.abandoned {
		return false
	}
	a.result <- c
	return true
}

// abandon marks the attempt as no longer waited for. It reports false if the
// claim was settled before.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled {
		return false
	}
	a.abandoned = true
	return true
}

// isRefused reports whether the request was refused before its claim was
// settled, and so will not run.
func (a *attempt) isRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned && !a.runsUnclaimed
}

// rowUpdate is one change of a claim row, committed in a batch with others.
type rowUpdate struct {
	attempt *attempt
	// isClaim reports whether the update claims the key. Otherwise it finishes
	// the attempt.
	isClaim bool
	// final is the record that a finishing update writes, nil to delete the row.
	final *record
}

// errKeyTaken is returned if the row belongs to another attempt.
var errKeyTaken = errors.New("key is claimed by another attempt")

// condition returns the condition of the update's transaction.
func (u *rowUpdate) condition() platform.Condition {
	return platform.Condition{Key: u.attempt.key, Version: u.attempt.version}
}

// write returns the row change of the update.
func (u *rowUpdate) write() platform.Write {
	if u.isClaim {
		return platform.Write{Key: u.attempt.key, Value: u.attempt.record.encode()}
	}
	if u.final == nil {
		return platform.Write{Key: u.attempt.key, Delete: true}
	}
	return platform.Write{Key: u.attempt.key, Value: u.final.encode()}
}

// committed records that the update took effect at the version.
func (u *rowUpdate) committed(version int64) {
	if !u.isClaim && u.final == nil {
		version = platform.NoVersion
	}
	u.attempt.version = version
}

// reconcile compares the update with the row that was read back, nil if there is
// none. It reports whether the update is settled; if not, it has to be committed
// again.
func (u *rowUpdate) reconcile(row *platform.Row) (settled bool, err error) {
	if row == nil {
		u.attempt.version = platform.NoVersion
		// A claim may be committed again; there is no row left to finish.
		return !u.isClaim, nil
	}
	r, err := decode(*row)
	if err != nil {
		return true, err
	}
	if r.ID != u.attempt.record.ID {
		return true, errKeyTaken
	}
	u.attempt.version = row.Version
	if u.isClaim {
		return true, nil
	}
	return u.final != nil && r.State == u.final.State, nil
}
