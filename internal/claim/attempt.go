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
	// runsUnclaimed says that the request runs also without its claim. A claim
	// that comes late is then kept: it keeps others from a second run.
	runsUnclaimed bool
	// result gets the claim. It has room for it, so that Run never waits.
	result chan *Claim

	mu sync.Mutex
	// settled says that ready got the claim.
	settled bool
	// abandoned says that the request stopped waiting before its claim came.
	abandoned bool

	// The fields below belong to the goroutine of Run.

	// version is the version of the attempt's row, 0 while it has none.
	version int64
	// outcomeUnknown says that a commit with an unknown outcome may still land.
	outcomeUnknown bool
	// watched says that the attempt is in Manager.watched.
	watched bool
}

// settle gives the request its claim. It reports false if the request no
// longer waits for it.
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

// abandon gives the attempt up. It reports false if the claim came first.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled {
		return false
	}
	a.abandoned = true
	return true
}

// isRefused reports whether the request was refused before its claim came, and
// so will not run.
func (a *attempt) isRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned && !a.runsUnclaimed
}

// rowUpdate is one change of a claim row that waits for a transaction.
type rowUpdate struct {
	attempt *attempt
	// isClaim says that the step isClaim the key; else it finishes the attempt.
	isClaim bool
	// final is what a finishing step writes, nil to delete the row.
	final *record
}

// errKeyTaken means that the row belongs to another attempt.
var errKeyTaken = errors.New("key is claimed by another attempt")

// condition returns what must hold for the step.
func (u *rowUpdate) condition() platform.Condition {
	return platform.Condition{Key: u.attempt.key, Version: u.attempt.version}
}

// write returns the change of the step.
func (u *rowUpdate) write() platform.Write {
	if u.isClaim {
		return platform.Write{Key: u.attempt.key, Value: u.attempt.record.encode()}
	}
	if u.final == nil {
		return platform.Write{Key: u.attempt.key, Delete: true}
	}
	return platform.Write{Key: u.attempt.key, Value: u.final.encode()}
}

// committed notes that the step took effect at the version.
func (u *rowUpdate) committed(version int64) {
	if !u.isClaim && u.final == nil {
		version = platform.NoVersion
	}
	u.attempt.version = version
}

// reconcile holds the step against the row that was read back, nil for none. It
// reports whether the step is settled; if not, it is to be committed again.
func (u *rowUpdate) reconcile(row *platform.Row) (settled bool, err error) {
	if row == nil {
		u.attempt.version = platform.NoVersion
		// A claim that is not there may be made; a row to finish is gone.
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
