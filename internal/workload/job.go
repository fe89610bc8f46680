// Package workload describes batch jobs: what a caller submits, how its tasks
// are named, and the stored progress of a job.
package workload

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// Job is a job as it was submitted. It does not change after it was accepted,
// and it is stored as JSON under its Go field names.
type Job struct {
	ID    string
	Queue string
	// Team is the name of the team that submitted the job, empty for none.
	Team string `json:",omitempty"`
	// Pool is the pool that served the queue when the job was accepted. It runs
	// the job to its end, even if the queue is assigned to another pool in the
	// meantime.
	Pool string
	// Terms are the settings of the queue when the job was accepted. They hold
	// once a configuration has no such queue. Nil in rows of old releases.
	Terms *estate.Queue `json:",omitempty"`
	Spec  string
	Steps []Step
	// Schedule is nil for a job that runs once and starts immediately.
	Schedule *Schedule
	// AcceptedMS is when the job was accepted, in milliseconds on the
	// platform's monotonic clock.
	AcceptedMS int64
}

// Schedule runs a job's steps several times, at a fixed interval.
type Schedule struct {
	// StartMS is the first due time, as a Unix time in milliseconds.
	StartMS int64
	// Interval is the time from one due time to the next.
	Interval time.Duration
	// Occurrences is how many times the steps run.
	Occurrences int
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	// Size is what each task requests from its worker. See Requests for filler
	// tasks.
	Size placement.Resources
	// Estimate is the approximate run time of one task.
	Estimate time.Duration
	// After lists the indices of the steps that must be done before this one
	// starts.
	After []int
	// Checkpoints is set if the tasks save their progress and can resume from
	// it.
	Checkpoints bool
	// Gang is set if the tasks can only run all together. They then share a run
	// number.
	Gang bool
	// RackLocal is set for a gang that is slow if its tasks span racks.
	RackLocal bool
	// Requires is a label that the worker must have, empty for none.
	Requires string
	// Rack is the rack that holds the input data, empty for no preference.
	Rack string
	// MaxPerWorker bounds the number of the step's tasks on one worker, 0 for
	// no bound.
	MaxPerWorker int
	// Speculative is set if a task may have several runs at once, of which the
	// first one to end counts.
	Speculative bool
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool
	// Image names the program that the tasks run. Tasks of one image are
	// expected to behave alike.
	Image string
	// TailTarget is the bound on the tail latency of a serving task, zero for
	// tasks that serve no requests.
	TailTarget time.Duration
	// Filler is set if the tasks use only the processors that other tasks leave
	// idle. Those processors are not counted against the worker's capacity.
	Filler bool
	// MaxUnavailable bounds how many tasks of a long-running step may be
	// unavailable when egretpitch stops one of them, for example to evacuate a
	// worker. It is 0 for no bound.
	MaxUnavailable int
}

// Requests returns the capacity that a task of the step takes on a worker: its
// Size, without the processors for a filler task.
func (s *Step) Requests() placement.Resources {
	r := s.Size
	if s.Filler {
		r.Processors = 0
	}
	return r
}

// Work returns the estimated work of one occurrence in core-seconds. An
// accelerator counts as eight cores, which is how the platform bills it.
func (j *Job) Work() float64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		cores := s.Size.Processors + 8*float64(s.Size.Accelerators)
		sum += float64(s.Count) * cores * s.Estimate.Seconds()
	}
	return sum
}

// RunsUntilCancelled reports whether the job runs until it is cancelled.
func (j *Job) RunsUntilCancelled() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Occurrences
}

const (
	// maxTasks bounds the tasks of one job over all its occurrences, so that
	// one caller cannot exhaust the owner's memory.
	maxTasks = 20000
	// MaxSteps bounds the steps of one job.
	MaxSteps = 200
	// maxSpecBytes is the platform's limit on the size of a task's
	// specification.
	maxSpecBytes = 4000
	// idLength is the number of hexadecimal digits of a job id.
	idLength = 16
)

// ValidID reports whether id is 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// Check returns an error that describes the first invalid field of a submitted
// job, or nil.
func (j *Job) Check() error {
	if len(j.Spec) > maxSpecBytes {
		return errors.Errorf("specification has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Errorf("job has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
		tasks += j.Steps[i].Count
	}
	if s := j.Schedule; s != nil && (s.Occurrences < 1 || s.Interval < 0) {
		return errors.New("schedule needs at least one occurrence and no negative interval")
	}
	if j.Occurrences() > maxTasks/tasks { // their product may overflow
		return errors.Errorf("job has more than %d tasks over all occurrences: %d in each of %d", maxTasks, tasks, j.Occurrences())
	}
	return nil
}

// check returns an error that describes the first invalid field of the step,
// which has index i in its job.
func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errors.Errorf("count is %d, 1 to %d are allowed", s.Count, maxTasks)
	}
	if s.Size.Processors < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("size and estimate must not be negative")
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return errors.New("max_per_worker and max_unavailable must not be negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return errors.Errorf("after names step %d, only earlier steps are allowed", a)
		}
	}
	return nil
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name on workers: job, occurrence, step and index,
// separated by dots.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in its occurrence: job,
// occurrence and step, separated by dots.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// ParseTaskID parses a name that String returned.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name %q has %d parts, not 4", name, len(parts))
	}
	t := TaskID{Job: parts[0]}
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, errors.Errorf("task name %q: %q is not a non-negative number", name, parts[i+1])
		}
		*to = n
	}
	return t, nil
}
