package job

import (
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// CallKind is what a Call does.
type CallKind string

// Kinds of calls.
const (
	// CallCommit writes rows under the pool's epoch.
	CallCommit CallKind = "commit"
	// CallStart starts a task.
	CallStart CallKind = "start"
	// CallStop stops a task.
	CallStop CallKind = "stop"
	// CallCheckpoint asks a task for a checkpoint and then stops it.
	CallCheckpoint CallKind = "checkpoint"
	// CallThrottle bounds the processors of a task.
	CallThrottle CallKind = "throttle"
	// CallRenew renews the leases of a worker's tasks.
	CallRenew CallKind = "renew"
	// CallUsage reads the tasks of a worker.
	CallUsage CallKind = "usage"
)

// Call is a call to the platform that a Pool asks for. Its result is handed
// back with Pool.Done.
type Call struct {
	Kind CallKind
	// Host is the worker, empty for CallCommit.
	Host string
	// Job is the ID of the job that waits for the result, empty for CallCommit,
	// CallRenew and CallUsage.
	Job string
	// TaskIDs are the tasks concerned.
	TaskIDs []string
	// Task is the task of CallStart.
	Task platform.Task
	// NotAfter is when CallStart must not be sent any more.
	NotAfter time.Time
	// Share is that of CallThrottle.
	Share float64
	// Txn is the transaction of CallCommit.
	Txn platform.Txn

	writes []write
}

// write is one row of a CallCommit.
type write struct {
	state *state
	next  Row
	// host is the version of the host's row that a placement depends on.
	host platform.Condition
	// confirmOwnership says that the row stays as it is and only proves the ownership.
	confirmOwnership bool
	// deleteRow says that the row is deleted.
	deleteRow bool
}

// Result is the end of a Call.
type Result struct {
	Call *Call
	// Began is when the call was sent.
	Began time.Time
	Err   error
	// Version is that of the rows that CallCommit wrote.
	Version int64
	// Usage is what CallUsage read.
	Usage []platform.TaskUsage
}

// ErrNotSent means that a start came too late and was not sent.
var ErrNotSent = errors.New("too late to start, not sent")

// startHadNoEffect reports whether an error proves that a start had no effect.
func startHadNoEffect(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotFound)
}
