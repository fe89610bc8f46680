package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// Order is an action that the caller carries out. The concrete types are
// *StartOrder, *StopOrder, *ThrottleOrder, *PollOrder, *Commit and
// *RecommendOrder.
type Order interface{ order() }

// StartOrder starts a task on a worker. Its answer goes to Started.
type StartOrder struct {
	Worker estate.Worker
	platform.Start
	// NotAfter is the time after which the start must not be sent any more: a
	// cancellation of its job may have been acknowledged too long ago.
	NotAfter time.Duration
	run      *run
	withdrawal
}

// withdrawal lets an order be withdrawn before it is sent.
type withdrawal struct{ withdrawn atomic.Bool }

// Withdrawn reports whether the engine no longer wants the order, which must not be
// sent any more. An order may wait for its worker; the caller checks right before it
// sends one. It may be called from any goroutine.
func (w *withdrawal) Withdrawn() bool { return w.withdrawn.Load() }

// StopOrder ends a run on a worker. Its answer goes to Stopped.
type StopOrder struct {
	withdrawal
	Worker estate.Worker
	Task   workload.TaskID
	Run    int
	Token  int64
	worker *worker
}

// ThrottleOrder throttles a run to a percentage of its full speed. Its answer
// goes to Throttled.
type ThrottleOrder struct {
	Worker  estate.Worker
	Task    workload.TaskID
	Run     int
	Percent int
	Token   int64
	run     *run
}

// PollOrder extends the lease of a worker and reads its runs and ends. Its
// answer goes to Polled, also a late one; PollOverdue is called when it is not
// there ProbeTimeout after the wait.
type PollOrder struct {
	Worker estate.Worker
	platform.Poll
	worker *worker
	sentAt time.Duration
	probe  bool
	// overdue is set once PollOverdue was called, and answered once Polled was.
	overdue, answered bool
}

// Commit records the progress of jobs in one transaction. Its outcome goes to
// Committed or CommitFailed.
type Commit struct {
	// Part is the part that holds all of its jobs.
	Part    int
	Records []Record
}

// Record is the progress of one job to write.
type Record struct {
	Job string
	// Version is the expected version of the row that is replaced.
	Version  int64
	Progress workload.Progress
	seq      uint64
	job      *job
}

// RecommendOrder requests from the recommendation service the workers that may
// run a step. Its answer goes to Recommended.
type RecommendOrder struct {
	Step    string
	Workers []string
	step    *step
}

func (*StartOrder) order()     {}
func (*StopOrder) order()      {}
func (*ThrottleOrder) order()  {}
func (*PollOrder) order()      {}
func (*Commit) order()         {}
func (*RecommendOrder) order() {}
