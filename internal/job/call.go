package job

import (
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// CallKind is the operation that a Call performs.
type CallKind string

// Kinds of calls.
const (
	// CallCommit writes rows under the pool's epoch.
	CallCommit CallKind = "commit"
	// CallStart starts a task.
	CallStart CallKind = "start"
	// CallStop stops a task.
	CallStop CallKind = "stop"
	// CallCheckpoint requests a checkpoint from a task and then stops the task.
	CallCheckpoint CallKind = "checkpoint"
	// CallThrottle limits a task to a share of its processors.
	CallThrottle CallKind = "throttle"
	// CallRenew renews the leases of a worker's tasks.
	CallRenew CallKind = "renew"
	// CallUsage reads the state and usage of the tasks of a worker.
	CallUsage CallKind = "usage"
)

// Call is a platform call requested by Pool.Step. The caller passes its result
// to Pool.Done.
type Call struct {
	Kind CallKind
	// Host is the name of the worker, empty for CallCommit.
	Host string
	// Job is the ID of the job that waits for the result, empty for CallCommit,
	// CallRenew and CallUsage.
	Job string
	// TaskIDs are the tasks that the call concerns.
	TaskIDs []string
	// Task is the task that CallStart starts.
	Task platform.Task
	// NotAfter is the latest time at which CallStart may be sent.
	NotAfter time.Time
	// Share is the fraction of its processors that CallThrottle leaves to the
	// task; 1 removes the limit.
	Share float64
	// Txn is the transaction that CallCommit commits.
	Txn platform.Txn

	writes []write
}

// write is one row written by a CallCommit.
type write struct {
	state *state
	next  Row
	// host is the condition on the version of the host's row for a placement, and
	// the zero value for any other write.
	host platform.Condition
	// confirmOwnership marks a write that leaves the row unchanged: its commit
	// only confirms that this process still owns the pool.
	confirmOwnership bool
	// deleteRow marks a write that deletes the row.
	deleteRow bool
}

// Result is the outcome of a Call.
type Result struct {
	Call *Call
	// Began is the time at which the call was sent.
	Began time.Time
	Err   error
	// Version is the version of the rows that CallCommit wrote.
	Version int64
	// Usage holds the tasks read by CallUsage.
	Usage []platform.TaskUsage
}

// ErrNotSent is returned for a start that was not sent, because its deadline
// had passed or the pool was lost.
var ErrNotSent = errors.New("too late to start, not sent")

// startHadNoEffect reports whether err proves that a start had no effect.
func startHadNoEffect(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotFound)
}
