// Package adminapi defines the administration API that control processes
// serve, and its client. Bodies are JSON. Fields with the suffix _ms are points
// in time as Unix milliseconds, or durations in milliseconds.
package adminapi

import (
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// Paths of the API.
const (
	// PathSettings answers GET with Settings, and POST of an ApplyRequest
	// with 200 and an ApplyReply, 409 (another version is in force), 422 (the
	// tree is invalid) or 504 (the outcome is unknown).
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
	// PathReport answers GET with the report in the media type of the Accept
	// header: MediaJSON, MediaText or MediaHTML.
	PathReport = "/v1/report"
	// PathStatus answers GET with Status.
	PathStatus = "/v1/status"
	// PathTeams answers GET with Teams. Only egretpitch-node serves it.
	PathTeams = "/v1/teams"
	// PathExplain answers POST of an ExplainRequest with an Explanation. Only
	// egretpitch-node serves it.
	PathExplain = "/v1/explain"
)

// Media types of the report.
const (
	MediaJSON = "application/json"
	MediaText = "text/plain"
	MediaHTML = "text/html"
)

// Problem is the body of every answer with a status of 400 or above.
type Problem struct {
	// Message describes the failure, with the operation and the peer.
	Message string `json:"message"`
	// CurrentVersion is the settings version in force. It is set with status
	// 409.
	CurrentVersion uint64 `json:"current_version,omitempty"`
	// Settled is set with status 409 if no earlier request with the same
	// ChangeID took effect. The server can guarantee that while its history
	// holds every change since the expected version.
	Settled bool `json:"settled,omitempty"`
	// Errors are all errors found in a refused tree. They are set with status
	// 422.
	Errors settings.Errors `json:"errors,omitempty"`
}

// Settings is the settings tree in force.
type Settings struct {
	// Version increases by one with every accepted change. It is 0 before the
	// first.
	Version uint64 `json:"version"`
	// ChangeID identifies the change that created the version.
	ChangeID string `json:"change_id"`
	// YAML is the text of the tree as the operator wrote it.
	YAML string `json:"yaml"`
}

// ApplyRequest is a request to put a settings tree in force.
type ApplyRequest struct {
	YAML string `json:"yaml"`
	// File is the file name in the errors of a refused tree.
	File string `json:"file,omitempty"`
	// ExpectedVersion is the version that the change was made from. The
	// request is refused if another version is in force.
	ExpectedVersion uint64 `json:"expected_version"`
	// ChangeID is a random ID of the change. A request whose ChangeID is that
	// of the tree in force is answered as accepted and changes nothing.
	ChangeID string `json:"change_id"`
}

// ApplyReply is the answer to an accepted change.
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
	// SeenMSAgo is the time since the entry's last exchange with a control
	// process, -1 for a registered entry without one. It is 0 for control
	// processes.
	SeenMSAgo int64 `json:"seen_ms_ago"`
}

// Instances lists all live processes of the system.
type Instances struct {
	// SettingsVersion is the version in force.
	SettingsVersion uint64     `json:"settings_version"`
	Instances       []Instance `json:"instances"`
}

// Host is a worker with its row in the table service and its state in the
// platform's host list.
type Host struct {
	host.Host
	// Row is the host's row in the table service.
	Row host.Row `json:"row"`
	// Listed is the host's state in the platform's host list, empty if the
	// host is not on it.
	Listed string `json:"listed,omitempty"`
	// InFlight is the number of requests that entries have sent to the host
	// and that are not answered yet.
	InFlight int `json:"in_flight"`
}

// Hosts lists all workers.
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
	// State is MaintenanceIdle, MaintenanceRunning or MaintenancePaused.
	State string `json:"state"`
	// Reason explains the state.
	Reason string `json:"reason,omitempty"`
	// InWave are the hosts of the current wave.
	InWave []string `json:"in_wave,omitempty"`
	// Missing are the hosts that did not return in time.
	Missing []string `json:"missing,omitempty"`
	// Done is the number of hosts maintained in the current period, Total that
	// of all hosts.
	Done  int `json:"done"`
	Total int `json:"total"`
	// EstimateMS is the time at which the last host of the period is expected
	// to be maintained, 0 while there are no samples for an estimate.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DueMS is the time at which the period ends.
	DueMS int64 `json:"due_ms"`
}

// Maintenance is the progress of maintenance in all pools.
type Maintenance struct {
	Pools []PoolMaintenance `json:"pools"`
}

// JobSpec is a job as submitted.
type JobSpec struct {
	// ID identifies the job. Submitting the same ID again changes nothing.
	ID   string `json:"id"`
	Team string `json:"team"`
	// Pool is the pool on whose workers the job runs.
	Pool    string `json:"pool"`
	Command string `json:"command"`
	// Priority is between 0 and 100. Jobs of a higher priority start first.
	Priority int `json:"priority"`
	// Processors (cores), MemoryMB (MiB) and Accelerators are the declared
	// resource requests.
	Processors   int `json:"processors"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
	// DeadlineMS is the time by which the job must be done, 0 for no deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Idempotent jobs may be started again after a start with an unknown
	// outcome.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpoints is set for a job that can write a checkpoint and resume from
	// it.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// RunMS is the declared run time, 0 for unknown.
	RunMS int64 `json:"run_ms,omitempty"`
	// Queue, Steps and Schedule describe a job of several tasks, which
	// egretpitch-node runs. Such a job has an ID of 16 hexadecimal digits. Queue
	// replaces Team, Pool and Priority; Steps replace the resource requests.
	Queue    string       `json:"queue,omitempty"`
	Steps    []JobStep    `json:"steps,omitempty"`
	Schedule *JobSchedule `json:"schedule,omitempty"`
}

// JobStep is a set of identical tasks of a job.
type JobStep struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Processors (cores, possibly a fraction), MemoryMB (MiB) and Accelerators
	// are the resource requests of one task.
	Processors   float64 `json:"processors,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// RunMS is the estimated run time of one task.
	RunMS int64 `json:"run_ms,omitempty"`
	// After lists the indexes, from 0, of the steps that must be done before
	// this one starts.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang is set for tasks that work only together, RackLocal for tasks that
	// are slow if they are spread over racks.
	Gang      bool `json:"gang,omitempty"`
	RackLocal bool `json:"rack_local,omitempty"`
	// Requires is a label that the worker must have. Rack is the rack that
	// holds the data of the tasks.
	Requires string `json:"requires,omitempty"`
	Rack     string `json:"rack,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker, 0
	// for no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative tasks may have several runs at once; the first run that ends
	// decides the task.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled. The system itself
	// interrupts at most MaxUnavailable of them at once.
	LongRunning    bool `json:"long_running,omitempty"`
	MaxUnavailable int  `json:"max_unavailable,omitempty"`
	// Image is the image that the tasks run. TailTargetMS is the upper limit
	// for the tail latency of a serving task. Filler tasks use the capacity
	// that other tasks leave free.
	Image        string `json:"image,omitempty"`
	TailTargetMS int64  `json:"tail_target_ms,omitempty"`
	Filler       bool   `json:"filler,omitempty"`
}

// JobSchedule repeats the steps of a job at a fixed interval.
type JobSchedule struct {
	// StartMS is the due time of the first occurrence as a Unix time in
	// milliseconds.
	StartMS int64 `json:"start_ms"`
	// IntervalMS is the time between two due times in milliseconds.
	IntervalMS int64 `json:"interval_ms"`
	// Occurrences is how often the steps run.
	Occurrences int `json:"occurrences"`
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

// Job is a job with its state.
type Job struct {
	JobSpec
	// State is one of the constants above.
	State string `json:"state"`
	// Reason explains the state.
	Reason string `json:"reason,omitempty"`
	Host   string `json:"host,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	// SubmittedMS is the time at which the job was accepted.
	SubmittedMS int64 `json:"submitted_ms"`
}

// Jobs lists all jobs that are not deleted yet.
type Jobs struct {
	Jobs []Job `json:"jobs"`
	// Pending is the number of jobs by queue of which no task has started.
	// Only egretpitch-node sets it.
	Pending map[string]int `json:"pending,omitempty"`
}

// SubmitRequest submits jobs. Either all of them are accepted or none.
type SubmitRequest struct {
	Jobs []JobSpec `json:"jobs"`
}

// CancelRequest cancels jobs by their IDs.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// JobsReply is the answer to a SubmitRequest or CancelRequest.
type JobsReply struct {
	// Changed is the number of jobs that the request changed.
	Changed int `json:"changed"`
	// Unchanged are the IDs that existed already (submit), or that are unknown
	// or of jobs that have ended (cancel).
	Unchanged []string `json:"unchanged,omitempty"`
}

// Teams are the teams of the configuration that is in force at the process that
// answers.
type Teams struct {
	// Version is that of the configuration.
	Version int64 `json:"version"`
	// AgeMS is how long ago the process last knew that no newer one was stored, -1
	// for never.
	AgeMS int64 `json:"age_ms"`
	// KeysRequired is set if callers need a key of a team, except for public queues.
	KeysRequired bool `json:"keys_required"`
	// PublicQueues are the queues that need no key, sorted.
	PublicQueues []string `json:"public_queues,omitempty"`
	// Teams are sorted by name.
	Teams []Team `json:"teams"`
	// Problems are contradictions in the configuration.
	Problems []string `json:"problems,omitempty"`
}

// Team is a team of callers.
type Team struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Processors (cores, possibly a fraction), MemoryMB (MiB) and Accelerators are
	// the team's quota, 0 for no bound.
	Processors   float64 `json:"processors,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// Keys are the fingerprints of the team's keys: the first 8 hexadecimal digits of
	// their SHA-256 digests.
	Keys []string `json:"keys"`
}

// PoolStatus is the state of a pool as its owner reports it.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Owner is the control process that owns the pool, empty for none.
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch"`
	Spare bool   `json:"spare,omitempty"`
	// Serving, Draining, Stopped and Lost are the numbers of hosts by phase.
	Serving  int `json:"serving"`
	Draining int `json:"draining"`
	Stopped  int `json:"stopped"`
	Lost     int `json:"lost"`
	// Wanted is the number of serving hosts that the pool needs.
	Wanted int `json:"wanted"`
	// ArrivedPerSecond and RefusedPerSecond are rates of requests.
	ArrivedPerSecond float64 `json:"arrived_per_second"`
	RefusedPerSecond float64 `json:"refused_per_second"`
	// BusySlots is the mean number of slots in use.
	BusySlots float64 `json:"busy_slots"`
	// Queued is the number of requests in the queues of entries.
	Queued int `json:"queued"`
}

// Status is a summary of the estate.
type Status struct {
	Estate          string `json:"estate"`
	SettingsVersion uint64 `json:"settings_version"`
	// TableReachable is set if the process that answers can reach the table
	// service.
	TableReachable bool         `json:"table_reachable"`
	Entries        int          `json:"entries"`
	Controls       int          `json:"controls"`
	Pools          []PoolStatus `json:"pools"`
}
