package job

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Worker is a host of a pool, from the host's row and the platform's host
// list.
type Worker struct {
	placement.Worker
	// RowVersion is the version of the host's row. Placements are conditional on
	// it, so that none commits after the host started to drain.
	RowVersion int64
	// Phase is the phase of the host within its pool.
	Phase host.Phase
}

// View is the input of a Pool apart from its jobs. It is immutable once passed
// on.
type View struct {
	// Shard is the ownership of the pool.
	Shard *lease.Shard
	// Workers are the hosts of the pool by name.
	Workers map[string]Worker
	// Teams are the team settings, with their quotas, by name.
	Teams map[string]settings.Team
	// Placed are the placed jobs of all pools, which count against the quotas of
	// their teams. Jobs of the pool itself are ignored.
	Placed []placement.Job
}

// serving reports whether a worker may be given tasks.
func (v *View) serving(name string) bool {
	w, ok := v.Workers[name]
	return ok && w.Serving
}

// lost reports whether a worker is no longer in the pool, or is in phase lost.
func (v *View) lost(name string) bool {
	w, ok := v.Workers[name]
	return !ok || w.Phase == host.Lost
}

// draining reports whether the tasks of a worker are to be stopped.
func (v *View) draining(name string) bool {
	w, ok := v.Workers[name]
	return ok && (w.Phase == host.Draining || w.Phase == host.Stopped)
}

// Intervals and timeouts of tasks.
const (
	// passInterval is the time between two placement passes.
	passInterval = 250 * time.Millisecond
	// TaskLease is how long a task runs without a lease renewal.
	TaskLease = 60 * time.Second
	// renewInterval is the time between two renewals of the leases of a worker's
	// tasks.
	renewInterval = TaskLease / 4
	// usageInterval is the time between two usage reads of a worker with tasks.
	usageInterval = time.Second
	// idleUsageInterval is the time between two usage reads of a worker without
	// tasks, which detect orphaned runs.
	idleUsageInterval = 15 * time.Second
	// retryInterval is the minimum time between two calls about one task.
	retryInterval = time.Second
	// startWindow is how long after its owner's last commit of the job's row a
	// task may be started, on the owner's clock. The commit is that of the
	// placement, or a later one that confirms the ownership.
	startWindow = 10 * time.Second
	// startResolveTimeout is how long a start may stay of unknown outcome before
	// it is given up. It exceeds startWindow plus callTimeout, so that no start
	// is sent after it.
	startResolveTimeout = 30 * time.Second
	// lostTimeout is how long usage reads must lack a started task before it
	// counts as lost. It allows for reads that lag behind.
	lostTimeout = 30 * time.Second
	// outcomeRetention is how long the outcomes of runs are kept as evidence
	// about workers.
	outcomeRetention = time.Hour
	// initialBackoff and maxBackoff bound the delay before a failed job runs
	// again.
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
	// setAsideAfterRefusal is how long a worker that accepted no start within
	// startWindow is excluded from placement.
	setAsideAfterRefusal = time.Minute
	// throttleShare is the share of its processors that a throttled task may use.
	throttleShare = 0.5
	// Retention is how long the rows of ended jobs are kept. During this time a
	// submission of the same ID changes nothing.
	Retention = 24 * time.Hour
)
