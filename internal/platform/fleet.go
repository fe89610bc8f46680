package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// ErrHistoryGone means that the service no longer has the history of changes
// after the given version. The caller has to read everything again.
var ErrHistoryGone = errors.New("history of changes is no longer available")

// RowKey identifies a row of a table that is split into parts. All rows of a
// transaction are in one part.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// PartRow is a row of a table that is split into parts.
type PartRow struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted is set for a row that was deleted at Version; it has no value.
	Deleted bool
}

// RowCondition requires that a row has a version, or that it does not exist if
// Version is NoVersion.
type RowCondition struct {
	RowKey
	Version int64
}

// RowWrite sets a row.
type RowWrite struct {
	RowKey
	Value []byte
}

// RowTxn is a transaction: if all conditions hold it applies all writes and
// deletes, otherwise none.
type RowTxn struct {
	Conditions []RowCondition
	Writes     []RowWrite
	Deletes    []RowKey
}

// Entries returns the number of conditions, writes and deletes. The platform
// bounds it.
func (t *RowTxn) Entries() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// RowConflict is the error of a transaction of which a condition did not hold.
// errors.Is matches it with ErrConflict.
type RowConflict struct {
	// Rows holds the current rows of all conditions, without those that do not
	// exist.
	Rows []PartRow
}

func (e *RowConflict) Error() string {
	return fmt.Sprintf("condition failed, %d rows returned", len(e.Rows))
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *RowConflict) Is(target error) bool { return target == ErrConflict }

// Row returns the current row of a condition, with NoVersion if it does not
// exist.
func (e *RowConflict) Row(key RowKey) PartRow {
	for _, r := range e.Rows {
		if r.RowKey == key {
			return r
		}
	}
	return PartRow{RowKey: key, Version: NoVersion}
}

// Stamp is the version and the time in every response of the table service.
type Stamp struct {
	// Version is the newest version of the whole service, or that of the
	// transaction that was committed.
	Version int64
	// NowMS is the service's monotonic clock in milliseconds.
	NowMS int64
}

// Rows is the platform's table service whose tables are split into parts.
type Rows interface {
	// CommitRows applies a transaction. Its error matches ErrConflict (a
	// *RowConflict), ErrUnavailable (nothing was done) or ErrUnknown.
	CommitRows(ctx context.Context, txn RowTxn) (Stamp, error)
	// ReadRows returns all rows of a part of a table whose key is at least from
	// and below to; an empty to is no bound.
	ReadRows(ctx context.Context, table, part, from, to string) ([]PartRow, Stamp, error)
	// Changes returns the rows of a table that changed after a version, ordered
	// by version. If there are none it waits for changes, at most for wait. Its
	// error matches ErrHistoryGone if the caller has to read everything again.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartRow, Stamp, error)
}

// OperatorChanges holds what the operator wrote after a version.
type OperatorChanges struct {
	Stamp
	// Catalog is the newest configuration, nil if it did not change.
	Catalog *estate.Catalog
	// Waves holds the maintenance waves that were written.
	Waves []estate.Wave
	// Unreadable is set if the newest configuration among the changes could not be
	// decoded.
	Unreadable bool
	// MayHaveMore is set if there may be further changes that were stored before the
	// answer.
	MayHaveMore bool
}

// Operator reads the operator's configuration and maintenance waves, and reports
// the status of waves.
type Operator interface {
	// ReadOperator returns the current configuration and all waves.
	ReadOperator(ctx context.Context) (OperatorChanges, error)
	// WatchOperator waits for changes after a version, at most for wait. Its
	// error matches ErrHistoryGone if the caller has to read everything again.
	WatchOperator(ctx context.Context, after int64, wait time.Duration) (OperatorChanges, error)
	// ReportWave reports a wave as running or as completed.
	ReportWave(ctx context.Context, wave int64, completed bool) error
}

// WorkerChanges holds the changes to the entries that workers write.
type WorkerChanges struct {
	Stamp
	Changed []estate.Worker
	// Removed holds the ids of workers whose entry was removed or is invalid.
	Removed []string
	// LastVersion is the version of the latest of the changes. There may be more of
	// them if it is the version of the whole answer.
	LastVersion int64
}

// Discovery lists the workers and watches them for changes.
type Discovery interface {
	// ReadWorkers returns all workers with a valid entry.
	ReadWorkers(ctx context.Context) (WorkerChanges, error)
	// WatchWorkers waits for changes after a version, at most for wait. Its error
	// matches ErrHistoryGone if the caller has to read everything again.
	WatchWorkers(ctx context.Context, after int64, wait time.Duration) (WorkerChanges, error)
}

// OrderOutcome is the outcome of an order to a worker.
type OrderOutcome int

const (
	// OrderDone means that the order was carried out, now or before.
	OrderDone OrderOutcome = iota
	// OrderFenced means that the order's fencing token is below the highest one
	// that the worker has received.
	OrderFenced
	// OrderOld means that the run to start is not above the highest run of its
	// task that ended on the worker.
	OrderOld
	// OrderLate means that a start arrived after its deadline.
	OrderLate
	// OrderNoCapacity means that the worker has too little free capacity for a
	// start.
	OrderNoCapacity
	// OrderNoTicket means that a start had no valid ticket.
	OrderNoTicket
	// OrderWrongIncarnation means that the order reached another incarnation than
	// the one it was meant for.
	OrderWrongIncarnation
	// OrderBusy means that the worker is overloaded or unhealthy and refused the
	// order.
	OrderBusy
	// OrderInvalid means that the worker could not decode the order, or that its
	// reason for refusing it is unknown.
	OrderInvalid
	// OrderNotSent means that this process did not send the order.
	OrderNotSent
)

var orderNames = [...]string{"done", "fenced", "old", "late", "no capacity", "no ticket", "wrong incarnation", "busy", "invalid", "not sent"}

// String returns the outcome's name for logs.
func (o OrderOutcome) String() string { return orderNames[o] }

// OrderAnswer is a worker's response to an order.
type OrderAnswer struct {
	Outcome OrderOutcome
	// ClockMS is the worker's monotonic clock in milliseconds, 0 if unknown.
	ClockMS int64
}

// Start is an order to run a task.
type Start struct {
	Task workload.TaskID
	Run  int
	Spec string
	// DeadlineMS is a time on the worker's clock. The worker refuses the start
	// after it, and extends its lease to it.
	DeadlineMS int64
	// Token is the owner's fencing token.
	Token int64
	// Checkpoint resumes from a saved state, empty for a fresh start.
	Checkpoint string
	// Ticket permits the step on this worker, empty if the step needs none.
	Ticket string
}

// Poll extends a worker's lease, acknowledges ends, and reads the worker's runs
// and ends.
type Poll struct {
	Token int64
	// Acknowledged is the number of the last acknowledged end. The worker drops
	// the ends up to it.
	Acknowledged int64
	// DeadlineMS is the time on the worker's clock to which the lease is extended,
	// 0 to leave it unchanged.
	DeadlineMS int64
	// Wait is how long the worker may wait for an end before it responds.
	Wait time.Duration
}

// RunStatus is the status of a run on a worker.
type RunStatus struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the run's progress, 0 to 100.
	Percent float64
	// Load is the tail latency in milliseconds of a task that serves requests, and
	// the processor use in thousandths of a core of any other task.
	Load float64
}

// RunEnd is how a run ended.
type RunEnd string

const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	// EndLapsed means that the run was killed because the worker's lease expired.
	EndLapsed RunEnd = "lapsed"
	// EndBroken means that the run ended because another member of its gang ended.
	EndBroken RunEnd = "broken"
	// EndAlone means that the other members of the run's gang did not start in
	// time.
	EndAlone RunEnd = "alone"
)

// EndedRun is the end of a run. A worker reports it until a poll acknowledges it.
type EndedRun struct {
	// Number numbers the ends of one incarnation of the worker in order.
	Number     int64
	Task       workload.TaskID
	Run        int
	End        RunEnd
	Checkpoint string
}

// MaxListedEnds is the number of ends that a worker lists in one answer; it
// lists later ones when these are acknowledged.
const MaxListedEnds = 500

// WorkerStatus is the response to a poll. All fields but Outcome are zero if the
// worker refused the poll.
type WorkerStatus struct {
	Outcome OrderOutcome
	ClockMS int64
	// StartedMS is when the worker's incarnation started, which identifies it.
	StartedMS int64
	Runs      []RunStatus
	Ends      []EndedRun
}

// Runner sends orders and polls to workers. A call that returns an error may have
// been carried out, or may be carried out seconds later.
type Runner interface {
	StartRun(ctx context.Context, w *estate.Worker, order Start) (OrderAnswer, error)
	StopRun(ctx context.Context, w *estate.Worker, task workload.TaskID, run int, token int64) (OrderAnswer, error)
	ThrottleRun(ctx context.Context, w *estate.Worker, task workload.TaskID, run, percent int, token int64) (OrderAnswer, error)
	PollWorker(ctx context.Context, w *estate.Worker, poll Poll) (WorkerStatus, error)
}

// HostOrderOutcome is the outcome of an order to the fleet service to move or
// maintain a host.
type HostOrderOutcome int

const (
	// HostOrderDone means that the order was carried out, now or before.
	HostOrderDone HostOrderOutcome = iota
	// HostOrderFenced means that the order's fencing token is too low.
	HostOrderFenced
	// HostOrderBusy means that the host is not up, or is leaving.
	HostOrderBusy
	// HostOrderNotInWave means that the host does not belong to the maintenance
	// wave.
	HostOrderNotInWave
	// HostOrderInvalid means that the host does not exist, or that it cannot be in
	// the pool.
	HostOrderInvalid
	// HostOrderThrottled means that the order exceeded the service's rate limit.
	HostOrderThrottled
)

var hostOrderNames = [...]string{"done", "fenced", "busy", "not in wave", "invalid", "throttled"}

// String returns the outcome's name for logs.
func (o HostOrderOutcome) String() string { return hostOrderNames[o] }

// HostOrderHolder identifies the process that may give orders about hosts, by its
// name and its fencing token.
type HostOrderHolder struct {
	Name  string
	Token int64
	// Valid reports whether the process still may. It is called right before an
	// order is written, which is not sent if it may not. Nil stands for true.
	Valid func() bool
}

// Fleet lists hosts, and moves and maintains them. An order that returns an error
// may have been carried out unless the error matches ErrUnavailable. It does not
// reach the service after its call has ended.
type Fleet interface {
	ListHosts(ctx context.Context) ([]estate.Host, error)
	MoveHost(ctx context.Context, holder HostOrderHolder, host, pool string) (HostOrderOutcome, error)
	MaintainHost(ctx context.Context, holder HostOrderHolder, host string, wave int64) (HostOrderOutcome, error)
}

// Tickets holds the tickets that permit a step on workers, by worker id, and how
// long they are valid.
type Tickets struct {
	ByWorker map[string]string
	Validity time.Duration
}

// Recommender returns tickets for those of the given workers that may run a step.
// Its error matches ErrUnavailable if the service has too many waiting calls.
type Recommender interface {
	Recommend(ctx context.Context, step string, workers []string) (Tickets, error)
}
