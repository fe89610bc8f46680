// Package adminapi defines the administration API that control processes
// serve, and its client. Bodies are JSON; times are Unix milliseconds and
// spans are milliseconds, as the suffix _ms says.
package adminapi

import (
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Paths of the API.
const (
	// PathSettings answers GET with Settings, and POST of an ApplyRequest
	// with 200 and an ApplyReply, 409 (another version is in force), 422 (the
	// tree is refused) or 504 (the outcome is unknown).
	PathSettings = "/v1/settings"
	// PathInstances answers GET with Instances.
	PathInstances = "/v1/instances"
	// PathHosts answers GET with Hosts.
	PathHosts = "/v1/hosts"
	// PathMaintenance answers GET with Maintenance.
	PathMaintenance = "/v1/maintenance"
	// PathJobs answers GET with Jobs, POST of a SubmitRequest with a
	// JobsReply, and DELETE of a CancelRequest with a JobsReply.
	PathJobs = "/v1/jobs"
	// PathReport answers GET with the report as the Accept header asks:
	// MediaJSON, MediaText or MediaHTML.
	PathReport = "/v1/report"
	// PathStatus answers GET with Status.
	PathStatus = "/v1/status"
)

// Media types of the report.
const (
	MediaJSON = "application/json"
	MediaText = "text/plain"
	MediaHTML = "text/html"
)

// Problem is the body of every answer with a status of 400 and above.
type Problem struct {
	// Message says what failed, with the step and the peer.
	Message string `json:"message"`
	// CurrentVersion is the settings version in force, with status 409.
	CurrentVersion uint64 `json:"current_version,omitempty"`
	// Settled says, with status 409, that no earlier request under the same
	// change id took effect: the server remembers every change since the
	// expected version.
	Settled bool `json:"settled,omitempty"`
	// Errors are all faults of a refused tree, with status 422.
	Errors settings.Errors `json:"errors,omitempty"`
}

// Settings is the tree in force.
type Settings struct {
	// Version rises by one with every accepted change; 0 means that none was.
	Version uint64 `json:"version"`
	// ChangeID is that of the change that made the version.
	ChangeID string `json:"change_id"`
	// YAML is the tree as its operator wrote it.
	YAML string `json:"yaml"`
}

// ApplyRequest asks for a tree to be put in force.
type ApplyRequest struct {
	YAML string `json:"yaml"`
	// File names the tree in the faults of a refusal.
	File string `json:"file,omitempty"`
	// ExpectedVersion is the version that the change was made from. With
	// another in force the request is refused.
	ExpectedVersion uint64 `json:"expected_version"`
	// ChangeID is a random name of the change. A request whose ChangeID is
	// already in force is answered as accepted and changes nothing.
	ChangeID string `json:"change_id"`
}

// ApplyReply says that a tree was accepted.
type ApplyReply struct {
	Version uint64 `json:"version"`
}

// Kinds of instances.
const (
	KindEntry   = "entry"
	KindControl = "control"
)

// Instance is a running process of the system.
type Instance struct {
	Name string `json:"name"`
	// Kind is KindEntry or KindControl.
	Kind string `json:"kind"`
	// SettingsVersion is the version that the process acknowledged.
	SettingsVersion uint64 `json:"settings_version"`
	// SeenMSAgo is how long ago the process was last heard of, -1 for a
	// registered process that was not heard of.
	SeenMSAgo int64 `json:"seen_ms_ago"`
}

// Instances are all live processes of the system.
type Instances struct {
	// SettingsVersion is the version in force.
	SettingsVersion uint64     `json:"settings_version"`
	Instances       []Instance `json:"instances"`
}

// Host is a worker with its row and what the platform says of it.
type Host struct {
	host.Host
	// Row is the host's row in the table service.
	Row host.Row `json:"row"`
	// Listed is the state in the platform's list, empty for a host gone.
	Listed string `json:"listed,omitempty"`
	// InFlight counts requests that entries have at the host.
	InFlight int `json:"in_flight"`
}

// Hosts are all workers.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// States of a pool's maintenance.
const (
	MaintenanceIdle    = "idle"
	MaintenanceRunning = "running"
	MaintenancePaused  = "paused"
)

// PoolMaintenance is the progress of maintenance in a pool.
type PoolMaintenance struct {
	Pool string `json:"pool"`
	// State is one of the states above.
	State string `json:"state"`
	// Reason says why the state is what it is.
	Reason string `json:"reason,omitempty"`
	// InWave are the hosts that the current wave has taken.
	InWave []string `json:"in_wave,omitempty"`
	// Missing are hosts that did not come back in time.
	Missing []string `json:"missing,omitempty"`
	// Done and Total count hosts in the current period.
	Done  int `json:"done"`
	Total int `json:"total"`
	// EstimateMS is when the period's last host is expected to be done, 0
	// when nothing measured allows an estimate.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DueMS is when the period ends.
	DueMS int64 `json:"due_ms"`
}

// Maintenance is the progress of maintenance in all pools.
type Maintenance struct {
	Pools []PoolMaintenance `json:"pools"`
}

// JobSpec is a job as it was submitted.
type JobSpec struct {
	// ID names the job. Submitting the same ID again changes nothing.
	ID   string `json:"id"`
	Team string `json:"team"`
	// Pool is where the job runs.
	Pool    string `json:"pool"`
	Command string `json:"command"`
	// Priority orders jobs; higher goes first (0..100).
	Priority int `json:"priority"`
	// Processors, MemoryMB and Accelerators are the declared sizes.
	Processors   int `json:"processors"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
	// DeadlineMS is when the job must be done, 0 for no deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Idempotent jobs may be started again after a start with an unknown
	// outcome.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpoints says that the job can write a checkpoint and resume from it.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// RunMS is the declared run time, 0 for unknown.
	RunMS int64 `json:"run_ms,omitempty"`
	// Queue, Steps and Schedule describe a job of several tasks, which
	// egretpitch-node runs. Its id is 16 hexadecimal digits; the queue stands in
	// place of team, pool and priority, the steps in place of the sizes.
	Queue    string       `json:"queue,omitempty"`
	Steps    []JobStep    `json:"steps,omitempty"`
	Schedule *JobSchedule `json:"schedule,omitempty"`
}

// JobStep is a set of equal tasks of a job.
type JobStep struct {
	Count int `json:"count"`
	// Processors are cores, and may be fractions.
	Processors   float64 `json:"processors,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// RunMS is the estimated run time of one task.
	RunMS int64 `json:"run_ms,omitempty"`
	// After lists the steps, from 0, that must be done first.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks work only together; RackLocal ones are slow across racks.
	Gang      bool `json:"gang,omitempty"`
	RackLocal bool `json:"rack_local,omitempty"`
	// Requires is a label of the worker, Rack where the data is.
	Requires string `json:"requires,omitempty"`
	Rack     string `json:"rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker, 0 for no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative tasks may have several runs at once; the first end counts.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled. MaxUnavailable of them
	// may be away at once by the system's own doing.
	LongRunning    bool `json:"long_running,omitempty"`
	MaxUnavailable int  `json:"max_unavailable,omitempty"`
	// Image names what the tasks run. TailTargetMS bounds the tail of a serving
	// task's response times. Filler tasks take what others leave.
	Image        string `json:"image,omitempty"`
	TailTargetMS int64  `json:"tail_target_ms,omitempty"`
	Filler       bool   `json:"filler,omitempty"`
}

// JobSchedule repeats the steps of a job.
type JobSchedule struct {
	// StartMS is the first due time as a Unix time in milliseconds.
	StartMS     int64 `json:"start_ms"`
	IntervalMS  int64 `json:"interval_ms"`
	Occurrences int   `json:"occurrences"`
}

// States of a job.
const (
	JobPending    = "pending"
	JobRunning    = "running"
	JobDone       = "done"
	JobFailed     = "failed"
	JobCancelled  = "cancelled"
	JobImpossible = "impossible"
)

// Job is a job and where it has got to.
type Job struct {
	JobSpec
	// State is one of the states above.
	State string `json:"state"`
	// Reason says why the state is what it is.
	Reason string `json:"reason,omitempty"`
	Host   string `json:"host,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	// SubmittedMS is when the job was accepted.
	SubmittedMS int64 `json:"submitted_ms"`
}

// Jobs are all jobs that are not forgotten yet.
type Jobs struct {
	Jobs []Job `json:"jobs"`
	// Pending counts, by queue, the jobs of which no task has started. Only
	// egretpitch-node tells it.
	Pending map[string]int `json:"pending,omitempty"`
}

// SubmitRequest submits jobs: all of them or none.
type SubmitRequest struct {
	Jobs []JobSpec `json:"jobs"`
}

// CancelRequest cancels jobs by their IDs.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// JobsReply counts the jobs that a request changed.
type JobsReply struct {
	Changed int `json:"changed"`
	// Unchanged are IDs that were known already (submit), or unknown or over
	// (cancel).
	Unchanged []string `json:"unchanged,omitempty"`
}

// PoolStatus is a pool as its owner sees it.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Owner is the control process that owns the pool, empty for none.
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch"`
	Spare bool   `json:"spare,omitempty"`
	// Serving, Draining, Stopped and Lost count hosts by phase.
	Serving  int `json:"serving"`
	Draining int `json:"draining"`
	Stopped  int `json:"stopped"`
	Lost     int `json:"lost"`
	// Wanted is how many serving hosts the pool is sized for.
	Wanted int `json:"wanted"`
	// ArrivedPerSecond and RefusedPerSecond are rates of requests.
	ArrivedPerSecond float64 `json:"arrived_per_second"`
	RefusedPerSecond float64 `json:"refused_per_second"`
	// BusySlots is the mean number of slots in use.
	BusySlots float64 `json:"busy_slots"`
	Queued    int     `json:"queued"`
}

// Status is the estate at a glance.
type Status struct {
	Estate          string `json:"estate"`
	SettingsVersion uint64 `json:"settings_version"`
	// TableReachable says whether the answering process reaches the table
	// service.
	TableReachable bool         `json:"table_reachable"`
	Entries        int          `json:"entries"`
	Controls       int          `json:"controls"`
	Pools          []PoolStatus `json:"pools"`
}
