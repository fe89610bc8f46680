// Package workload describes jobs of many tasks: what a caller submits, and
// how far a job has got.
package workload

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// Job is a job as it was submitted. It never changes.
type Job struct {
	ID    string
	Queue string
	// Pool served the queue when the job was accepted and runs it to its end,
	// also when the queue is sent to another pool meanwhile.
	Pool  string
	Spec  string
	Steps []Step
	// Schedule is nil for a job that runs once, at once.
	Schedule *Schedule
	// AcceptedMS is when the job was accepted on the platform's steady clock.
	AcceptedMS int64
}

// Schedule repeats a job's steps.
type Schedule struct {
	// StartMS is the first due time as a Unix time in milliseconds.
	StartMS int64
	// Interval is the time from one due time to the next.
	Interval time.Duration
	// Occurrences is how many times the steps run.
	Occurrences int
}

// Step is a set of equal tasks.
type Step struct {
	Count int
	// Size is what each task needs of a worker.
	Size placement.Resources
	// Estimate is the rough run time of one task.
	Estimate time.Duration
	// After lists the steps that must be done first.
	After []int
	// Checkpoints says that tasks save their progress and can resume.
	Checkpoints bool
	// Gang tasks work only together and share a run number.
	Gang bool
	// RackLocal gangs are slow when they span racks.
	RackLocal bool
	// Requires is a label that the worker must have, empty for none.
	Requires string
	// Rack is where the data is, empty for anywhere.
	Rack string
	// MaxPerWorker bounds the step's tasks on one worker, 0 for no bound.
	MaxPerWorker int
	// Speculative tasks may have several runs at once; the first end counts.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// TailTarget is the bound on the tail of a serving task's response times,
	// zero for tasks that serve nobody.
	TailTarget time.Duration
	// Filler tasks take what other tasks leave: their processors are not
	// counted against the worker's capacity.
	Filler bool
	// MaxUnavailable is how many tasks of a long-running step may be away by
	// our own doing, 0 for no promise.
	MaxUnavailable int
}

// Requests returns what a task of the step takes of a worker's capacity.
func (s *Step) Requests() placement.Resources {
	r := s.Size
	if s.Filler {
		r.Processors = 0
	}
	return r
}

// Work is the estimated work of one occurrence in core-seconds. An
// accelerator counts as eight cores, as the platform bills it.
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

// Occurrences is how many times the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Occurrences
}

const (
	// maxTasks bounds the tasks of one job, so that one caller cannot exhaust
	// the owner's memory.
	maxTasks = 20000
	// maxSteps bounds the steps of one job.
	maxSteps = 200
	// maxSpecBytes is the platform's bound on a task's specification.
	maxSpecBytes = 4000
	// idLength is the number of hexadecimal digits of a job's id.
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

// Check returns the first fault of a submitted job.
func (j *Job) Check() error {
	if len(j.Spec) > maxSpecBytes {
		return errors.Errorf("specification has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return errors.Errorf("job has %d steps, 1 to %d are allowed", len(j.Steps), maxSteps)
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
	if tasks*j.Occurrences() > maxTasks {
		return errors.Errorf("job has %d tasks over all occurrences, at most %d are allowed", tasks*j.Occurrences(), maxTasks)
	}
	return nil
}

// check returns the first fault of step number i.
func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errors.Errorf("count is %d, 1 to %d are allowed", s.Count, maxTasks)
	}
	if s.Size.Processors < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("sizes and estimate must not be negative")
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return errors.New("bounds must not be negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return errors.Errorf("after names step %d, only earlier steps are allowed", a)
		}
	}
	return nil
}

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name under which workers know the task.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName names the task's step within its occurrence.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads what String wrote.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name %q has %d parts, not 4", name, len(parts))
	}
	t := TaskID{Job: parts[0]}
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, errors.Errorf("task name %q: %q is no number", name, parts[i+1])
		}
		*to = n
	}
	return t, nil
}
