// Package platform defines the interfaces through which egretpitch uses the
// platform. A Platform is the table service, the object store, the host list and
// the workers; its adapters are in packages below this one. Rows, Operator,
// Discovery, Runner, Fleet and Recommender are the services of the users'
// platform, whose adapter is the package platform at the module's root. Only
// adapters depend on a platform's protocol.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/host"
)

// Errors to which every adapter maps the failures of its protocol.
var (
	// ErrConflict means that a condition of the transaction did not hold and
	// nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnknown means that the call may or may not have taken effect. The caller
	// of a transaction finds out by reading its rows.
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable means that the service could not be reached or refused the
	// call, and that nothing was written.
	ErrUnavailable = errors.New("service unavailable")
	// ErrLimited is an ErrUnavailable that the service itself answered, because this
	// process or all of them make too many calls: the service is reachable.
	ErrLimited = errors.WithMessage(ErrUnavailable, "too many calls")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
)

// NoVersion is the version of a row that does not exist. Versions of rows start
// at 1.
const NoVersion int64 = 0

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the version of the transaction that wrote the row. Versions
	// increase with every transaction of the table.
	Version int64 `json:"version"`
}

// Condition requires that a row has a version.
type Condition struct {
	Key string `json:"key"`
	// Version is the version that the row must have, NoVersion if the row must not
	// exist.
	Version int64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: if all conditions hold it applies all writes, otherwise
// none.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Commit applies the transaction and returns the version given to all
	// rows it wrote. Its error is ErrConflict, ErrUnavailable or ErrUnknown,
	// wrapped with step and peer.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns the rows that exist among keys, at one point in time.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose key has the prefix and whose version is
	// above after, in key order, at one point in time. Deleted rows are not
	// reported; a scan with after = 0 shows which rows still exist.
	Scan(ctx context.Context, prefix string, after int64) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
}

// HostState is the state of a host in the platform's host list, which may be out
// of date.
type HostState string

const (
	// HostLive means that the host is running.
	HostLive HostState = "live"
	// HostLeaving means that the platform is about to stop the host.
	HostLeaving HostState = "leaving"
)

// ListedHost is an entry of the host list. A host without an entry no longer
// exists.
type ListedHost struct {
	host.Host
	State HostState `json:"state"`
	// Entry is set for a host that runs one of egretpitch's entry processes, not a
	// worker.
	Entry bool `json:"entry,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It may be out of
// date.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// Task is a job's process on a worker.
type Task struct {
	// ID identifies the task; starting the same ID and Epoch again has no effect.
	ID   string `json:"id"`
	Host string `json:"host"`
	// Epoch increases with every placement of the job. A worker refuses a start
	// whose epoch is not above the highest that it or its platform has received.
	Epoch        uint64 `json:"epoch"`
	Command      string `json:"command"`
	Processors   int    `json:"processors"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators,omitempty"`
	// Lease is how long the task may run without renewal.
	Lease time.Duration `json:"lease"`
	// Checkpoint names the object to resume from, empty for a fresh start.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskState is the state of a task on its worker.
type TaskState string

const (
	TaskRunning   TaskState = "running"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
	TaskThrottled TaskState = "throttled"
)

// TaskUsage is a worker's report of a task's state and resource usage. It may be
// out of date: AsOf is when the usage was measured.
type TaskUsage struct {
	ID         string    `json:"id"`
	Host       string    `json:"host"`
	Epoch      uint64    `json:"epoch"`
	State      TaskState `json:"state"`
	Processors float64   `json:"processors"`
	MemoryMB   int       `json:"memory_mb"`
	// Reason is why a task failed, empty for other states.
	Reason string `json:"reason,omitempty"`
	// Checkpoint names the last object written.
	Checkpoint string `json:"checkpoint,omitempty"`
	// AsOf is the time of the measurement.
	AsOf time.Time `json:"as_of"`
}

// Workers runs tasks on workers and restarts workers.
type Workers interface {
	Start(ctx context.Context, task Task) error
	Renew(ctx context.Context, hostName string, ids []string) error
	Checkpoint(ctx context.Context, hostName, id string) error
	Throttle(ctx context.Context, hostName, id string, share float64) error
	Stop(ctx context.Context, hostName, id string) error
	Usage(ctx context.Context, hostName string) ([]TaskUsage, error)
	// Reboot restarts the worker for its maintenance. The worker is in the host
	// list again once it is running.
	Reboot(ctx context.Context, hostName string) error
}

// Platform holds all services of a platform.
type Platform struct {
	Table   Table
	Objects Objects
	Hosts   HostList
	Workers Workers
}
