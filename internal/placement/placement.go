// Package placement decides which job runs on which worker. Its decisions are
// pure: Pass takes a State and returns decisions, without a clock and without
// I/O.
//
// Jobs are packed onto few workers, so that the others stay free of tasks and
// can be moved and maintained without stopping any. What request traffic needs
// is reserved on every worker and never given to a job.
package placement

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/settings"
)

// Resources are what a job holds and a worker has.
type Resources struct {
	// Processors is a number of cores.
	Processors float64
	// MemoryMB is memory in mebibytes.
	MemoryMB int
	// Accelerators is a number of whole accelerators.
	Accelerators int
}

// Worker is a host that runs tasks for its pool.
type Worker struct {
	// Name is unique within the estate.
	Name string
	// Pool is the pool that the worker belongs to.
	Pool string
	// Capacity is all that the worker has.
	Capacity Resources
	// Reserved is what request traffic may need; jobs get the rest.
	Reserved Resources
	// Traffic is what request traffic uses now, by the last report.
	Traffic Resources
	// Serving says that the worker may get new tasks. It is false for one that
	// drains, is stopped or lost.
	Serving bool
	// SetAsideUntil is when a worker that was set aside is tried again, zero
	// for one that has finished a task since.
	SetAsideUntil time.Time
}

// Job is a job that is not finished.
type Job struct {
	// ID is unique within the estate.
	ID string
	// Team is charged for the job.
	Team string
	// Class names jobs that use alike, such as a command of a team.
	Class string
	// Pool is the pool whose workers may run the job.
	Pool string
	// Priority orders jobs (0..100); higher goes first.
	Priority int
	// Submitted is when the job was accepted.
	Submitted time.Time
	// Deadline is when the job must have finished, zero for none.
	Deadline time.Time
	// NotBefore is the earliest start, after a failure.
	NotBefore time.Time
	// Declared is the size that the team stated. It is a hint.
	Declared Resources
	// DeclaredRun is the run time that the team stated. It is a hint.
	DeclaredRun time.Duration
	// Gang is how many workers must start together; 0 and 1 mean one.
	Gang int
	// Checkpoints says that the job can write a checkpoint and resume from it.
	Checkpoints bool
	// Idempotent says that the job may be started again after it ran.
	Idempotent bool
	// MayHaveRun says that an earlier start has an unknown outcome.
	MayHaveRun bool
	// Cancelled says that the job is to end.
	Cancelled bool
	// Epoch is the epoch of the last placement, 0 for none.
	Epoch uint64
	// Failed names the workers on which the job failed, latest last.
	Failed []string
	// LastReason is the last reason to wait that was told.
	LastReason Reason
	// Task is the job's running task, nil for a pending job.
	Task *Task
}

// Task is the running task of a job.
type Task struct {
	// Host is the worker that runs it.
	Host string
	// Started is when it was placed.
	Started time.Time
	// Used is the highest use that its worker reported.
	Used Resources
	// UsedAt is when the last report was read, zero for none.
	UsedAt time.Time
	// Throttled says that it was told to use fewer processors.
	Throttled bool
	// Stopping says that it was told to checkpoint or stop.
	Stopping bool
}

// Outcome is the end of one task, for the evidence against workers.
type Outcome struct {
	Job   string
	Class string
	Host  string
	// At is when the task ended.
	At time.Time
	// Failed is false for a task that finished.
	Failed bool
}

// State is all that Pass decides from.
type State struct {
	// Now is the time of the decision.
	Now     time.Time
	Workers []Worker
	// Jobs are all jobs that are not finished, pending or running.
	Jobs []Job
	// Teams are the quotas by name.
	Teams map[string]settings.Team
	// Usage is what past tasks of each class used.
	Usage map[string]ClassUsage
	// Outcomes are the ends of recent tasks, oldest first.
	Outcomes []Outcome
}

// Kind is what a decision does.
type Kind string

const (
	// Place starts the job on the host with the epoch.
	Place Kind = "place"
	// Wait tells why a job does not start yet.
	Wait Kind = "wait"
	// Never tells why a job cannot run as things stand.
	Never Kind = "never"
	// Drop ends a cancelled job that is not running.
	Drop Kind = "drop"
	// Checkpoint asks the task to write a checkpoint and then stops it.
	Checkpoint Kind = "checkpoint"
	// Throttle bounds the processors of the task.
	Throttle Kind = "throttle"
	// Unthrottle ends the bound.
	Unthrottle Kind = "unthrottle"
	// Stop ends the task.
	Stop Kind = "stop"
	// SetAside gives the host no new task until the time.
	SetAside Kind = "set-aside"
)

// Decision is one thing to do or to tell.
type Decision struct {
	Kind Kind
	// Job is empty for SetAside.
	Job string
	// Host is the worker concerned, empty for Wait, Never and Drop.
	Host string
	// Epoch is the epoch of the placement. Its row in the table is written
	// only if the job's epoch is one less, and a worker refuses a start whose
	// epoch is not above what it has seen, so a placement starts once.
	Epoch uint64
	// Size is what the placement holds of the host.
	Size Resources
	// Until is the end of SetAside.
	Until  time.Time
	Reason Reason
}
