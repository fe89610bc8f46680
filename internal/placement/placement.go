// Package placement schedules jobs onto workers. It is a pure function of its
// input: Pass takes a State and returns decisions, and uses neither a clock nor
// I/O.
//
// Jobs are packed onto few workers (first fit), so that the other workers stay
// without tasks and can be moved or maintained without stopping any. The
// capacity reserved for request traffic on each worker is never given to jobs.
package placement

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/settings"
)

// Resources are the resources that a job requests or uses, or that a worker
// offers.
type Resources struct {
	// Processors is the number of cores; fractions are allowed.
	Processors float64
	// MemoryMB is memory in mebibytes.
	MemoryMB int
	// Accelerators is the number of whole accelerators.
	Accelerators int
}

// Worker is a host that runs tasks for its pool.
type Worker struct {
	// Name is unique within the estate.
	Name string
	// Pool is the name of the worker's pool.
	Pool string
	// Capacity is the worker's total capacity.
	Capacity Resources
	// Reserved is the part of the capacity that is reserved for request
	// traffic. Jobs may use the rest.
	Reserved Resources
	// Traffic is the present usage of request traffic, from the last report.
	Traffic Resources
	// Serving reports whether the worker accepts new tasks. It is false while
	// the worker drains, is stopped or is lost.
	Serving bool
	// SetAsideUntil is the time from which a worker that was set aside may get
	// tasks again. It is zero if the worker was never set aside or has finished
	// a task since.
	SetAsideUntil time.Time
}

// Job is an unfinished job, pending or running.
type Job struct {
	// ID is unique within the estate.
	ID string
	// Team is the team whose quota the job counts against.
	Team string
	// Class groups jobs with similar usage, such as the runs of one command of
	// a team.
	Class string
	// Pool is the name of the pool whose workers may run the job.
	Pool string
	// Priority is between 0 and 100; jobs of higher priority are placed first.
	Priority int
	// Submitted is when the job was accepted.
	Submitted time.Time
	// Deadline is when the job must have finished, zero for none.
	Deadline time.Time
	// NotBefore is the earliest time of the next start after a failure.
	NotBefore time.Time
	// Declared is the size declared by the team. It is used until the class has
	// enough observed usage.
	Declared Resources
	// DeclaredRun is the run time declared by the team. It is used until the
	// class has enough finished tasks.
	DeclaredRun time.Duration
	// Gang is the number of workers that must start together; 0 and 1 both mean
	// a single worker.
	Gang int
	// Checkpoints reports whether the job can write a checkpoint and resume
	// from it.
	Checkpoints bool
	// Idempotent reports whether the job may be run more than once.
	Idempotent bool
	// MayHaveRun reports whether the outcome of an earlier start is unknown.
	MayHaveRun bool
	// Cancelled reports whether the job was cancelled and has to end.
	Cancelled bool
	// Epoch is the epoch of the last placement, 0 for none.
	Epoch uint64
	// Failed lists the workers on which the job failed, the latest last.
	Failed []string
	// LastReason is the reason of the last Wait or Never decision.
	LastReason Reason
	// Task is the job's running task, nil for a pending job.
	Task *Task
}

// Task is the running task of a job.
type Task struct {
	// Host is the name of the worker that runs the task.
	Host string
	// Started is the time of the placement.
	Started time.Time
	// Used is the highest usage reported by the worker.
	Used Resources
	// UsedAt is when the last usage report was read; zero without a report.
	UsedAt time.Time
	// Throttled reports whether the task was ordered to use fewer processors.
	Throttled bool
	// Stopping reports whether the task was ordered to checkpoint or stop.
	Stopping bool
}

// Outcome records how a task ended. Outcomes decide which workers are set
// aside.
type Outcome struct {
	Job   string
	Class string
	Host  string
	// At is when the task ended.
	At time.Time
	// Failed is false for a task that finished successfully.
	Failed bool
}

// State is the input of Pass.
type State struct {
	// Now is the time of the decision.
	Now     time.Time
	Workers []Worker
	// Jobs are all unfinished jobs, pending or running.
	Jobs []Job
	// Teams holds the teams with their quotas, by name.
	Teams map[string]settings.Team
	// Usage holds the observed usage of each class, by name.
	Usage map[string]ClassUsage
	// Outcomes are the recent task outcomes, oldest first.
	Outcomes []Outcome
}

// Kind is the type of a decision.
type Kind string

const (
	// Place starts the job on Host with Epoch.
	Place Kind = "place"
	// Wait reports why a job doesn't start yet.
	Wait Kind = "wait"
	// Never reports why a job can't run with the present settings and workers.
	Never Kind = "never"
	// Drop ends a cancelled job that isn't running.
	Drop Kind = "drop"
	// Checkpoint orders the task to write a checkpoint and stop.
	Checkpoint Kind = "checkpoint"
	// Throttle limits the processors that the task may use.
	Throttle Kind = "throttle"
	// Unthrottle removes the limit set by Throttle.
	Unthrottle Kind = "unthrottle"
	// Stop stops the task without a checkpoint.
	Stop Kind = "stop"
	// SetAside excludes Host from new placements until Until.
	SetAside Kind = "set-aside"
)

// Decision is one action, or one reported reason, for a job or worker.
type Decision struct {
	Kind Kind
	// Job is empty for SetAside.
	Job string
	// Host is the name of the affected worker; empty for Wait, Never and Drop.
	Host string
	// Epoch is the epoch of the placement. The job's row is written only if its
	// epoch is one less, and a worker rejects a start whose epoch isn't above
	// the highest that it has seen, so a placement starts at most once.
	Epoch uint64
	// Size is the estimated usage of a placed job.
	Size Resources
	// Until is the time until which the worker is set aside, for SetAside.
	Until  time.Time
	Reason Reason
}
