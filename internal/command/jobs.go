package command

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
)

const jobsHelp = `Jobs run on the workers next to the services, within the quota of their team.

Examples:
  egretpitch jobs list --team finance
  egretpitch jobs submit --team finance --pool shared-administration --processors 8 --memory-mb 16384 ledger-close
  egretpitch jobs cancel ledger-7 ledger-8`

const jobsListHelp = `Lists jobs with their state and its reason.

Examples:
  egretpitch jobs list
  egretpitch jobs list --team finance --state impossible --output json`

const jobsSubmitHelp = `Submits a job. Submitting the same id again changes nothing, so a submission whose answer was lost may be repeated.

Examples:
  egretpitch jobs submit --team finance --pool shared-administration --processors 8 --memory-mb 16384 ledger-close
  egretpitch jobs submit --id ledger-0712 --team finance --pool shared-administration --processors 8 --memory-mb 16384 --deadline 2026-07-12T05:00:00Z --idempotent -- ledger-close --full`

const jobsCancelHelp = `Cancels jobs by their ids, or all jobs of a team that wait or run.

Examples:
  egretpitch jobs cancel ledger-7 ledger-8
  egretpitch jobs cancel --team finance`

// jobsListCommand is `jobs list`.
type jobsListCommand struct {
	app   *app
	Team  string `long:"team" value-name:"NAME" description:"only jobs of this team"`
	Pool  string `long:"pool" value-name:"NAME" description:"only jobs of this pool"`
	State string `long:"state" value-name:"STATE" description:"only jobs in this state"`
}

// Execute implements flags.Commander.
func (c *jobsListCommand) Execute([]string) error {
	all, err := c.app.allJobs()
	if err != nil {
		return err
	}
	chosen := &adminapi.Jobs{Jobs: []adminapi.Job{}}
	for _, j := range all.Jobs {
		if matches(c.Team, j.Team) && matches(c.Pool, j.Pool) && matches(c.State, j.State) {
			chosen.Jobs = append(chosen.Jobs, j)
		}
	}
	if c.app.json() {
		return c.app.printJSON(chosen)
	}
	t := &table{header: []string{"JOB", "TEAM", "POOL", "QUEUE", "PRIORITY", "STATE", "HOST", "SUBMITTED", "DEADLINE", "REASON"}}
	for _, j := range chosen.Jobs {
		t.add(j.ID, orDash(j.Team), orDash(j.Pool), orDash(j.Queue), strconv.Itoa(j.Priority), j.State, orDash(j.Host),
			timeText(j.SubmittedMS), timeText(j.DeadlineMS), orDash(j.Reason))
	}
	return c.app.printTable(t)
}

// allJobs returns all jobs of the selected server.
func (a *app) allJobs() (*adminapi.Jobs, error) {
	client, err := a.client()
	if err != nil {
		return nil, err
	}
	return client.Jobs(a.ctx)
}

// matches reports whether a value passes a filter. An empty filter passes every
// value.
func matches(filter, value string) bool { return filter == "" || filter == value }

// jobsSubmitCommand is `jobs submit`.
type jobsSubmitCommand struct {
	app          *app
	ID           string        `long:"id" value-name:"ID" description:"name of the job (default: a random one)"`
	Team         string        `long:"team" value-name:"NAME" required:"yes" description:"team that owns the job"`
	Pool         string        `long:"pool" value-name:"NAME" required:"yes" description:"pool in which it runs"`
	Processors   int           `long:"processors" value-name:"N" required:"yes" description:"declared cores"`
	MemoryMB     int           `long:"memory-mb" value-name:"N" required:"yes" description:"declared memory in mebibytes"`
	Accelerators int           `long:"accelerators" value-name:"N" description:"declared accelerators"`
	Priority     int           `long:"priority" value-name:"N" default:"50" description:"0 to 100; higher goes first"`
	Deadline     string        `long:"deadline" value-name:"TIME" description:"when it must be done, as RFC 3339"`
	Idempotent   bool          `long:"idempotent" description:"it may be started again when a start's outcome is unknown"`
	Checkpoints  bool          `long:"checkpoints" description:"it can write a checkpoint and resume from it"`
	Run          time.Duration `long:"run" value-name:"TIME" description:"declared run time, such as 20m"`
	Args         struct {
		Command []string `positional-arg-name:"COMMAND" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *jobsSubmitCommand) Execute([]string) error {
	spec, err := c.spec()
	if err != nil {
		return err
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

// submitted prints the result of a submission.
func (a *app) submitted(id string, reply *adminapi.JobsReply) error {
	if a.json() {
		return a.printJSON(struct {
			ID string `json:"id"`
			*adminapi.JobsReply
		}{id, reply})
	}
	if reply.Changed == 0 {
		return a.printf("job %s was submitted before; nothing changed\n", id)
	}
	return a.printf("job %s submitted\n", id)
}

// spec checks the flags and returns the job that they describe, with a random ID
// if none is given.
func (c *jobsSubmitCommand) spec() (adminapi.JobSpec, error) {
	spec := adminapi.JobSpec{
		ID: c.ID, Team: c.Team, Pool: c.Pool, Command: strings.Join(c.Args.Command, " "), Priority: c.Priority,
		Processors: c.Processors, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators, Idempotent: c.Idempotent,
		Checkpoints: c.Checkpoints, RunMS: c.Run.Milliseconds(),
	}
	if spec.ID == "" {
		spec.ID = "job-" + strings.ToLower(rand.Text())
	}
	if c.Priority < 0 || c.Priority > 100 {
		return spec, &usageError{fmt.Sprintf("priority %d is out of range; allowed: 0 to 100", c.Priority)}
	}
	if c.Processors < 0 || c.MemoryMB < 0 || c.Accelerators < 0 {
		return spec, &usageError{"a size is negative; allowed: 0 and above"}
	}
	if c.Deadline == "" {
		return spec, nil
	}
	deadline, err := time.Parse(time.RFC3339, c.Deadline)
	if err != nil {
		return spec, &usageError{"bad deadline " + c.Deadline + "; allowed: a time such as 2026-07-12T05:00:00Z"}
	}
	spec.DeadlineMS = deadline.UnixMilli()
	return spec, nil
}

// jobsCancelCommand is `jobs cancel`.
type jobsCancelCommand struct {
	app  *app
	Team string `long:"team" value-name:"NAME" description:"cancel all jobs of this team that wait or run"`
	Args struct {
		IDs []string `positional-arg-name:"ID"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *jobsCancelCommand) Execute([]string) error {
	if (c.Team == "") == (len(c.Args.IDs) == 0) {
		return &usageError{"give ids or --team"}
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	ids, err := c.ids(client)
	if err != nil {
		return err
	}
	reply, err := client.CancelJobs(c.app.ctx, ids)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(reply)
	}
	return c.app.printf("%d jobs cancelled, %d unknown or over\n", reply.Changed, len(reply.Unchanged))
}

// ids returns the IDs of the jobs to cancel: those given, or those of the team's
// pending and running jobs.
func (c *jobsCancelCommand) ids(client API) ([]string, error) {
	if c.Team == "" {
		return c.Args.IDs, nil
	}
	all, err := client.Jobs(c.app.ctx)
	if err != nil {
		return nil, err
	}
	ids := []string{}
	for _, j := range all.Jobs {
		if j.Team == c.Team && (j.State == adminapi.JobPending || j.State == adminapi.JobRunning) {
			ids = append(ids, j.ID)
		}
	}
	return ids, nil
}
