package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// ErrHistoryGone means that changes after a version can no longer be told one
// by one. The caller reads everything anew.
var ErrHistoryGone = errors.New("history of changes is gone")

// RowKey names a row of a table that is split into parts. A transaction
// concerns one part.
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
	// Deleted rows have no value.
	Deleted bool
}

// RowCondition requires that a row has a version, NoVersion for no row.
type RowCondition struct {
	RowKey
	Version int64
}

// RowWrite sets a row.
type RowWrite struct {
	RowKey
	Value []byte
}

// RowTxn applies all of its entries if all conditions hold, or none.
type RowTxn struct {
	Conditions []RowCondition
	Writes     []RowWrite
	Deletes    []RowKey
}

// Entries counts what the platform bounds in one transaction.
func (t *RowTxn) Entries() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// RowConflict is the error of a transaction whose conditions did not hold. It
// matches ErrConflict.
type RowConflict struct {
	// Rows are the current rows of the conditions; a missing one is not listed.
	Rows []PartRow
}

func (e *RowConflict) Error() string {
	return fmt.Sprintf("condition failed, %d rows returned", len(e.Rows))
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *RowConflict) Is(target error) bool { return target == ErrConflict }

// Row returns the current version and value of a row, NoVersion if it is not
// there.
func (e *RowConflict) Row(key RowKey) PartRow {
	for _, r := range e.Rows {
		if r.RowKey == key {
			return r
		}
	}
	return PartRow{RowKey: key, Version: NoVersion}
}

// Stamp is what every answer of the table service says of itself.
type Stamp struct {
	// Version is the newest version of the whole service, or that of the
	// transaction that was committed.
	Version int64
	// NowMS is the service's steady clock.
	NowMS int64
}

// Rows is the platform's table service with parts.
type Rows interface {
	// CommitRows applies a transaction. Its error matches ErrConflict (a
	// *RowConflict), ErrUnavailable (nothing was done) or ErrUnknown.
	CommitRows(ctx context.Context, txn RowTxn) (Stamp, error)
	// ReadRows returns all rows of a part of a table whose key is at least from
	// and below to; an empty to is no bound.
	ReadRows(ctx context.Context, table, part, from, to string) ([]PartRow, Stamp, error)
	// Changes waits for changes of a table after a version and returns the
	// changed rows in order. Its error matches ErrHistoryGone when the caller
	// has to read anew.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartRow, Stamp, error)
}

// OperatorChanges are what the operator wrote since a version.
type OperatorChanges struct {
	Stamp
	// Catalog is the newest configuration, nil if it did not change.
	Catalog *estate.Catalog
	// Waves are the new maintenance waves.
	Waves []estate.Wave
}

// Operator is how the operator's wishes arrive and answers go back.
type Operator interface {
	// ReadOperator returns all that is in force.
	ReadOperator(ctx context.Context) (OperatorChanges, error)
	// WatchOperator waits for changes after a version.
	WatchOperator(ctx context.Context, after int64, wait time.Duration) (OperatorChanges, error)
	// ReportWave tells the operator whether a wave is completed.
	ReportWave(ctx context.Context, wave int64, completed bool) error
}

// WorkerChanges are changes of the workers' own entries.
type WorkerChanges struct {
	Stamp
	Changed []estate.Worker
	// Removed are ids whose entry was removed or cannot be used.
	Removed []string
}

// Discovery tells which workers there are.
type Discovery interface {
	// ReadWorkers returns every usable entry.
	ReadWorkers(ctx context.Context) (WorkerChanges, error)
	// WatchWorkers waits for changes after a version.
	WatchWorkers(ctx context.Context, after int64, wait time.Duration) (WorkerChanges, error)
}

// OrderOutcome is a worker's answer to an order.
type OrderOutcome int

const (
	// OrderDone orders were carried out, now or before.
	OrderDone OrderOutcome = iota
	// OrderFenced orders carried a token below the highest that the worker saw.
	OrderFenced
	// OrderOld starts named a run that is not above one that ended there.
	OrderOld
	// OrderLate starts came after their deadline.
	OrderLate
	// OrderNoCapacity starts found too little capacity left.
	OrderNoCapacity
	// OrderNoTicket starts lacked a valid ticket.
	OrderNoTicket
	// OrderWrongIncarnation orders reached another worker than the one that was meant.
	OrderWrongIncarnation
	// OrderBusy orders were refused by an unhealthy worker.
	OrderBusy
	// OrderInvalid orders were not understood.
	OrderInvalid
)

var orderNames = [...]string{"done", "fenced", "old", "late", "no room", "no ticket", "other life", "busy", "invalid"}

// String names the outcome in logs.
func (o OrderOutcome) String() string { return orderNames[o] }

// OrderAnswer is what a worker answers to an order.
type OrderAnswer struct {
	Outcome OrderOutcome
	// ClockMS is the worker's steady clock, 0 if it did not say.
	ClockMS int64
}

// Start tells a worker to run a task.
type Start struct {
	Task workload.TaskID
	Run  int
	Spec string
	// DeadlineMS is a time on the worker's clock: the start is refused after
	// it, and the worker's lease is extended to it.
	DeadlineMS int64
	Token      int64
	// Checkpoint resumes from a saved state, empty for a fresh start.
	Checkpoint string
	// Ticket permits the step on this worker, empty where none is needed.
	Ticket string
}

// Poll extends a worker's lease, acknowledges ends and reads what runs.
type Poll struct {
	Token int64
	// Acknowledged is the number of the last end that may be forgotten.
	Acknowledged int64
	// DeadlineMS extends the lease, 0 to leave it.
	DeadlineMS int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// RunStatus is a run on a worker.
type RunStatus struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is how far a task is at work, 0 to 100.
	Percent float64
	// Load is the tail in milliseconds of a serving task, and the processors
	// in thousandths that any other task uses.
	Load float64
}

// RunEnd is how a run ended.
type RunEnd string

const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	// EndLapsed runs were killed when the worker's lease ran out.
	EndLapsed RunEnd = "lapsed"
	// EndBroken runs ended because another member of their gang did.
	EndBroken RunEnd = "broken"
	// EndAlone runs waited in vain for the other members of their gang.
	EndAlone RunEnd = "alone"
)

// EndedRun is an end that a worker lists until it is acknowledged.
type EndedRun struct {
	Number     int64
	Task       workload.TaskID
	Run        int
	End        RunEnd
	Checkpoint string
}

// WorkerStatus is the answer to a look.
type WorkerStatus struct {
	Outcome OrderOutcome
	ClockMS int64
	// StartedMS tells the worker's incarnations apart.
	StartedMS int64
	Runs      []RunStatus
	Ends      []EndedRun
}

// Runner carries orders to workers. A call that returns an error may have been
// carried out, or may still be, seconds later.
type Runner interface {
	StartRun(ctx context.Context, w *estate.Worker, order Start) (OrderAnswer, error)
	StopRun(ctx context.Context, w *estate.Worker, task workload.TaskID, run int, token int64) (OrderAnswer, error)
	ThrottleRun(ctx context.Context, w *estate.Worker, task workload.TaskID, run, percent int, token int64) (OrderAnswer, error)
	PollWorker(ctx context.Context, w *estate.Worker, poll Poll) (WorkerStatus, error)
}

// HostOrderOutcome is the fleet service's answer to an order about a host.
type HostOrderOutcome int

const (
	// HostOrderDone orders were carried out, now or before.
	HostOrderDone HostOrderOutcome = iota
	// HostOrderFenced orders carried a token that is too low.
	HostOrderFenced
	// HostOrderBusy orders found the host not up, or leaving.
	HostOrderBusy
	// HostOrderNotInWave orders named a host that is not of the wave.
	HostOrderNotInWave
	// HostOrderInvalid orders named no host, or a pool of other hosts.
	HostOrderInvalid
	// HostOrderThrottled orders exceeded the service's rate.
	HostOrderThrottled
)

var hostOrderNames = [...]string{"done", "fenced", "busy", "not in wave", "invalid", "throttled"}

// String names the outcome in logs.
func (o HostOrderOutcome) String() string { return hostOrderNames[o] }

// HostOrderHolder identifies who gives orders about hosts, and since when.
type HostOrderHolder struct {
	Name  string
	Token int64
}

// Fleet lists hosts, and moves and maintains them. A call that returns an
// error may have been carried out.
type Fleet interface {
	ListHosts(ctx context.Context) ([]estate.Host, error)
	MoveHost(ctx context.Context, holder HostOrderHolder, host, pool string) (HostOrderOutcome, error)
	MaintainHost(ctx context.Context, holder HostOrderHolder, host string, wave int64) (HostOrderOutcome, error)
}

// Tickets permit a step on workers.
type Tickets struct {
	ByWorker map[string]string
	Validity time.Duration
}

// Recommender asks which workers may run a step. Its error matches
// ErrUnavailable when too many calls wait.
type Recommender interface {
	Recommend(ctx context.Context, step string, workers []string) (Tickets, error)
}
