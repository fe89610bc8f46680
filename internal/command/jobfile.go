package command

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const jobsStartHelp = `Submits a job of several tasks, which egretpitch-node runs, from a file. Submitting the same id again changes nothing, so a submission whose answer was lost may be repeated.

Examples:
  egretpitch jobs start nightly.yaml
  egretpitch jobs start nightly.yaml --id 5c0e7a21d94b36f8 --output json`

const jobsPendingHelp = `Shows for each queue the number of jobs of which no task has started.

Examples:
  egretpitch jobs pending
  egretpitch jobs pending --queue ledger`

// jobFile is the YAML form of a job of several tasks.
type jobFile struct {
	Queue    string       `yaml:"queue"`
	Command  string       `yaml:"command"`
	Steps    []stepFile   `yaml:"steps"`
	Schedule scheduleFile `yaml:"schedule"`
}

// stepFile is the YAML form of an adminapi.JobStep.
type stepFile struct {
	Count          int           `yaml:"count"`
	Processors     float64       `yaml:"processors"`
	MemoryMB       int           `yaml:"memory_mb"`
	Accelerators   int           `yaml:"accelerators"`
	Run            time.Duration `yaml:"run"`
	After          []int         `yaml:"after"`
	Checkpoints    bool          `yaml:"checkpoints"`
	Gang           bool          `yaml:"gang"`
	RackLocal      bool          `yaml:"rack_local"`
	Requires       string        `yaml:"requires"`
	Rack           string        `yaml:"rack"`
	MaxPerWorker   int           `yaml:"max_per_worker"`
	Speculative    bool          `yaml:"speculative"`
	LongRunning    bool          `yaml:"long_running"`
	MaxUnavailable int           `yaml:"max_unavailable"`
	Image          string        `yaml:"image"`
	TailTarget     time.Duration `yaml:"tail_target"`
	Filler         bool          `yaml:"filler"`
}

// scheduleFile is the YAML form of an adminapi.JobSchedule. A job without a
// schedule runs once and is due immediately.
type scheduleFile struct {
	// Start is the due time of the first occurrence in RFC 3339 format.
	Start       string        `yaml:"start"`
	Interval    time.Duration `yaml:"interval"`
	Occurrences int           `yaml:"occurrences"`
}

// readJob reads and checks a job file. The spec that it returns has no ID.
func readJob(file string) (adminapi.JobSpec, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return adminapi.JobSpec{}, operr.Wrap(err, "command: read job", file)
	}
	var f jobFile
	if _, faults := strictyaml.Decode(file, data, &f); len(faults) > 0 {
		return adminapi.JobSpec{}, faults
	}
	spec := adminapi.JobSpec{Queue: f.Queue, Command: f.Command, Steps: make([]adminapi.JobStep, len(f.Steps))}
	for i := range f.Steps {
		spec.Steps[i] = f.Steps[i].step()
	}
	if f.Schedule != (scheduleFile{}) {
		start, err := time.Parse(time.RFC3339, f.Schedule.Start)
		if err != nil {
			return spec, &usageError{file + ": bad start of the schedule " + f.Schedule.Start + "; allowed: a time such as 2026-07-12T05:00:00Z"}
		}
		spec.Schedule = &adminapi.JobSchedule{
			StartMS: start.UnixMilli(), IntervalMS: f.Schedule.Interval.Milliseconds(), Occurrences: f.Schedule.Occurrences,
		}
	}
	if f.Queue == "" || len(f.Steps) == 0 {
		return spec, &usageError{file + ": a job needs a queue and at least one step"}
	}
	return spec, nil
}

// step converts the step to its form in the administration API.
func (s *stepFile) step() adminapi.JobStep {
	return adminapi.JobStep{
		Count: s.Count, Processors: s.Processors, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators, RunMS: s.Run.Milliseconds(),
		After: s.After, Checkpoints: s.Checkpoints, Gang: s.Gang, RackLocal: s.RackLocal, Requires: s.Requires, Rack: s.Rack,
		MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative, LongRunning: s.LongRunning, MaxUnavailable: s.MaxUnavailable,
		Image: s.Image, TailTargetMS: s.TailTarget.Milliseconds(), Filler: s.Filler,
	}
}

// jobsStartCommand is `jobs start`.
type jobsStartCommand struct {
	app  *app
	ID   string `long:"id" value-name:"ID" description:"16 hexadecimal digits that name the job (default: random ones)"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *jobsStartCommand) Execute([]string) error {
	spec, err := readJob(c.Args.File)
	if err != nil {
		return err
	}
	spec.ID = c.ID
	if spec.ID == "" {
		id := make([]byte, 8)
		_, _ = rand.Read(id) // never fails
		spec.ID = hex.EncodeToString(id)
	}
	if !workload.ValidID(spec.ID) {
		return &usageError{fmt.Sprintf("bad id %s; allowed: 16 hexadecimal digits", spec.ID)}
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	reply, err := client.SubmitJobs(c.app.ctx, []adminapi.JobSpec{spec})
	if err != nil {
		return operr.Wrap(err, "command: submit job "+spec.ID, "")
	}
	return c.app.submitted(spec.ID, reply)
}

// jobsPendingCommand is `jobs pending`.
type jobsPendingCommand struct {
	app   *app
	Queue string `long:"queue" value-name:"NAME" description:"only this queue"`
}

// Execute implements flags.Commander.
func (c *jobsPendingCommand) Execute([]string) error {
	all, err := c.app.allJobs()
	if err != nil {
		return err
	}
	pending := map[string]int{}
	for queue, n := range all.Pending {
		if matches(c.Queue, queue) {
			pending[queue] = n
		}
	}
	if c.app.json() {
		return c.app.printJSON(pending)
	}
	t := &table{header: []string{"QUEUE", "PENDING"}}
	for _, queue := range slices.Sorted(maps.Keys(pending)) {
		t.add(queue, strconv.Itoa(pending[queue]))
	}
	return c.app.printTable(t)
}
