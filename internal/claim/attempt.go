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
	// runsAnyway says that the request runs also without its claim. A claim
	// that comes late is then kept: it keeps others from a second run.
	runsAnyway bool
	// ready gets the claim. It has room for it, so that Run never waits.
	ready chan *Claim

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
	a.ready <- c
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
	return a.abandoned && !a.runsAnyway
}

// step is one change of a claim row that waits for a transaction.
type step struct {
	attempt *attempt
	// claims says that the step claims the key; else it finishes the attempt.
	claims bool
	// final is what a finishing step writes, nil to delete the row.
	final *record
}

// errTaken means that the row belongs to another attempt.
var errTaken = errors.New("key is claimed by another attempt")

// condition returns what must hold for the step.
func (s *step) condition() platform.Condition {
	return platform.Condition{Key: s.attempt.key, Version: s.attempt.version}
}

// write returns the change of the step.
func (s *step) write() platform.Write {
	if s.claims {
		return platform.Write{Key: s.attempt.key, Value: s.attempt.record.encode()}
	}
	if s.final == nil {
		return platform.Write{Key: s.attempt.key, Delete: true}
	}
	return platform.Write{Key: s.attempt.key, Value: s.final.encode()}
}

// committed notes that the step took effect at the version.
func (s *step) committed(version int64) {
	if !s.claims && s.final == nil {
		version = platform.NoVersion
	}
	s.attempt.version = version
}

// compare holds the step against the row that was read back, nil for none. It
// reports whether the step is settled; if not, it is to be committed again.
func (s *step) compare(row *platform.Row) (settled bool, err error) {
	if row == nil {
		s.attempt.version = platform.NoVersion
		// A claim that is not there may be made; a row to finish is gone.
		return !s.claims, nil
	}
	r, err := decode(*row)
	if err != nil {
		return true, err
	}
	if r.ID != s.attempt.record.ID {
		return true, errTaken
	}
	s.attempt.version = row.Version
	if s.claims {
		return true, nil
	}
	return s.final != nil && r.State == s.final.State, nil
}
