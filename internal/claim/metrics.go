package claim

import (
	"expvar"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Numbers of transactions of this process: all of them, and those that ended
// in a conflict, without reaching the table, or with an unknown outcome.
var (
	commits     = expvar.NewInt("egretpitch_claim_commits")
	conflicts   = expvar.NewInt("egretpitch_claim_conflicts")
	unreachable = expvar.NewInt("egretpitch_claim_unavailable")
	unknown     = expvar.NewInt("egretpitch_claim_unknown")
)

// countCommit counts a transaction by the error of its commit.
func countCommit(err error) {
	commits.Add(1)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		conflicts.Add(1)
	case errors.Is(err, platform.ErrUnavailable):
		unreachable.Add(1)
	default:
		unknown.Add(1)
	}
}
