package job

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Worker is a host of a pool, as its row and the platform's list say.
type Worker struct {
	placement.Worker
	// RowVersion is the version of the host's row. A placement is conditional
	// on it, so that none is written after the host began to drain.
	RowVersion int64
	// Phase is what the host does for its pool.
	Phase host.Phase
}

// View is what one pool's jobs are decided by, apart from the jobs themselves.
// It is not changed once it is handed over.
type View struct {
	// Shard is the ownership of the pool.
	Shard *lease.Shard
	// Workers are the hosts of the pool by name.
	Workers map[string]Worker
	// Teams are the quotas by name.
	Teams map[string]settings.Team
	// Placed are the placed jobs of all pools, which count for the quotas of
	// their teams. Those of this pool are passed over.
	Placed []placement.Job
}

// serving reports whether a worker may get a task now.
func (v *View) serving(name string) bool {
	w, ok := v.Workers[name]
	return ok && w.Serving
}

// lost reports whether a worker is lost to its pool.
func (v *View) lost(name string) bool {
	w, ok := v.Workers[name]
	return !ok || w.Phase == host.Lost
}

// draining reports whether a worker's tasks are to end.
func (v *View) draining(name string) bool {
	w, ok := v.Workers[name]
	return ok && (w.Phase == host.Draining || w.Phase == host.Stopped)
}

// Spans and intervals of the life of a task.
const (
	// passInterval is the time between two passes of placement.
	passInterval = 250 * time.Millisecond
	// TaskLease is how long a task runs without renewal.
	TaskLease = 60 * time.Second
	// renewInterval is the time between two renewals of a worker's tasks.
	renewInterval = TaskLease / 4
	// usageInterval is the time between two readings of a worker with tasks.
	usageInterval = time.Second
	// idleUsageInterval is the time between two readings of a worker without
	// tasks, which find tasks that should not run.
	idleUsageInterval = 15 * time.Second
	// retryInterval is the time between two tries of a call about one task.
	retryInterval = time.Second
	// startWindow is how long after its placement a task may be started, by
	// the clock of the process that placed it.
	startWindow = 10 * time.Second
	// startResolveTimeout is how long a start stays unsettled before it is given up.
	// It is longer than startWindow and the time a call may take, so that no
	// start is sent after it.
	startResolveTimeout = 30 * time.Second
	// lostTimeout is for how long readings must lack a task that was seen to
	// run. Readings lag.
	lostTimeout = 30 * time.Second
	// outcomeRetention is for how long ends of tasks are kept as evidence.
	outcomeRetention = time.Hour
	// initialBackoff and maxBackoff bound the wait after a failure.
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
	// setAsideAfterRefusal is for how long a worker that took no start gets no task.
	setAsideAfterRefusal = time.Minute
	// throttleShare is the share of its processors that a throttled task uses.
	throttleShare = 0.5
	// Retention is how long jobs that are over are kept. Within it, submitting
	// the same ID again changes nothing.
	Retention = 24 * time.Hour
)
