package node

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// jobsTimeout bounds a request to the administration API.
	jobsTimeout = 5 * time.Second
	// maxSubmitted is the maximum number of jobs in one submission.
	maxSubmitted = 100
)

// JobsAPI serves jobs of steps in egretpitch's own administration API.
// egretpitch-control serves jobs of a single command there.
type JobsAPI struct{ node *Node }

// NewJobsAPI returns the jobs API of a process.
func NewJobsAPI(n *Node) *JobsAPI { return &JobsAPI{node: n} }

// Register adds the routes to e.
func (a *JobsAPI) Register(e *echo.Echo) {
	e.GET(adminapi.PathJobs, a.list)
	e.POST(adminapi.PathJobs, a.submit)
	e.DELETE(adminapi.PathJobs, a.cancel)
}

// adminStates maps a job's state to its name in the administration API.
var adminStates = map[workload.State]string{
	workload.Queued: adminapi.JobPending, workload.Running: adminapi.JobRunning, workload.Completed: adminapi.JobDone,
	workload.Failed: adminapi.JobFailed, workload.Cancelled: adminapi.JobCancelled,
}

// list returns all jobs, read from the table service.
func (a *JobsAPI) list(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), jobsTimeout)
	defer cancel()
	rows, _, err := a.node.readJobParts(ctx, progressTable)
	if err != nil {
		return a.problem(c, http.StatusServiceUnavailable, err)
	}
	answer := adminapi.Jobs{Jobs: make([]adminapi.Job, 0, len(rows)), Pending: map[string]int{}}
	for _, r := range rows {
		p, err := workload.DecodeProgress(r.Value)
		if err != nil {
			event.RowUnreadable.Log(a.node.Log, zap.String("key", r.Key), zap.Error(err))
			continue
		}
		answer.Jobs = append(answer.Jobs, adminapi.Job{JobSpec: adminapi.JobSpec{ID: r.Key, Queue: p.Queue, Team: p.Team}, State: adminStates[p.State]})
		if p.State == workload.Queued {
			answer.Pending[p.Queue]++
		}
	}
	return c.JSON(http.StatusOK, answer)
}

// submit stores jobs. It checks all of them before it stores the first. Each is
// stored in its own call, and a job that is already stored is left unchanged.
func (a *JobsAPI) submit(c echo.Context) error {
	var req adminapi.SubmitRequest
	if err := c.Bind(&req); err != nil {
		return a.problem(c, http.StatusBadRequest, err)
	}
	catalog := a.node.catalog.Load()
	if catalog == nil {
		return a.problem(c, http.StatusServiceUnavailable, errors.New("no configuration yet"))
	}
	jobs, err := a.jobs(req.Jobs, catalog)
	if err != nil {
		return a.problem(c, http.StatusUnprocessableEntity, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), jobsTimeout)
	defer cancel()
	reply := &adminapi.JobsReply{}
	for _, j := range jobs {
		existing, err := a.node.readProgress(ctx, j.ID)
		if err != nil {
			return a.problem(c, http.StatusServiceUnavailable, errors.Wrapf(err, "job %s", j.ID))
		}
		if existing != nil {
			reply.Unchanged = append(reply.Unchanged, j.ID)
			continue
		}
		switch a.node.acceptor.submit(ctx, j, time.Now().Add(jobsTimeout)) {
		case submitNotStored:
			return a.problem(c, http.StatusServiceUnavailable, errors.Errorf("job %s is not stored: table service unavailable", j.ID))
		case submitTooLarge:
			return a.problem(c, http.StatusUnprocessableEntity, errors.Errorf("job %s is too large", j.ID))
		case submitCancelled:
			return a.problem(c, http.StatusConflict, errors.Errorf("job %s was cancelled before", j.ID))
		case submitUnknown:
			return a.problem(c, http.StatusGatewayTimeout, errors.Errorf("job %s may or may not be stored; submit it again under the same id", j.ID))
		}
		reply.Changed++
	}
	return c.JSON(http.StatusOK, reply)
}

// jobs converts and checks the jobs of a submission. The error names the first
// invalid job.
func (a *JobsAPI) jobs(specs []adminapi.JobSpec, catalog *estate.Catalog) ([]*workload.Job, error) {
	if len(specs) == 0 || len(specs) > maxSubmitted {
		return nil, errors.Errorf("%d jobs at once; allowed: 1 to %d", len(specs), maxSubmitted)
	}
	now := a.node.Clock.StoreMS(a.node.Clock.Now())
	jobs := make([]*workload.Job, 0, len(specs))
	for i := range specs {
		s := &specs[i]
		queue := catalog.Queues[s.Queue]
		switch {
		case !workload.ValidID(s.ID):
			return nil, errors.Errorf("job %q: bad id; allowed: 16 hexadecimal digits", s.ID)
		case queue == nil:
			return nil, errors.Errorf("job %s: no such queue: %q", s.ID, s.Queue)
		case s.Team != "" || s.Pool != "" || s.Processors != 0 || s.MemoryMB != 0 || s.Accelerators != 0 || s.DeadlineMS != 0:
			return nil, errors.Errorf("job %s: team, pool, sizes and deadline are for jobs of a single command; give queue and steps", s.ID)
		}
		j := jobOf(s, queue.Pool)
		j.AcceptedMS, j.Terms = now, queue
		if err := j.Check(); err != nil {
			return nil, errors.Wrapf(err, "job %s", s.ID)
		}
		jobs = append(jobs, j)
	}
	return jobs, nil
}

// jobOf converts a job of the API.
func jobOf(s *adminapi.JobSpec, pool string) *workload.Job {
	j := &workload.Job{ID: s.ID, Queue: s.Queue, Pool: pool, Spec: s.Command, Steps: make([]workload.Step, len(s.Steps))}
	for i := range s.Steps {
		j.Steps[i] = stepOf(&s.Steps[i])
	}
	if s.Schedule != nil {
		j.Schedule = &workload.Schedule{
			StartMS: s.Schedule.StartMS, Interval: milliseconds(s.Schedule.IntervalMS), Occurrences: s.Schedule.Occurrences,
		}
	}
	return j
}

// stepOf converts a step of the API.
func stepOf(s *adminapi.JobStep) workload.Step {
	return workload.Step{
		Count: s.Count, Size: placement.Resources{Processors: s.Processors, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
		Estimate: milliseconds(s.RunMS), After: s.After, Checkpoints: s.Checkpoints, Gang: s.Gang, RackLocal: s.RackLocal,
		Requires: s.Requires, Rack: s.Rack, MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative, LongRunning: s.LongRunning,
		Image: s.Image, TailTarget: milliseconds(s.TailTargetMS), Filler: s.Filler, MaxUnavailable: s.MaxUnavailable,
	}
}

// milliseconds converts a count of milliseconds. A count that overflows
// time.Duration becomes negative, which the job's check refuses.
func milliseconds(ms int64) time.Duration {
	if ms > math.MaxInt64/int64(time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// cancel requests the cancellation of jobs. Jobs that do not exist or have ended
// are reported as unchanged; the submission of one that does not exist is refused
// from then on.
func (a *JobsAPI) cancel(c echo.Context) error {
	var req adminapi.CancelRequest
	// Bind ignores the body of a DELETE.
	if err := (&echo.DefaultBinder{}).BindBody(c, &req); err != nil {
		return a.problem(c, http.StatusBadRequest, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), jobsTimeout)
	defer cancel()
	reply := &adminapi.JobsReply{}
	for _, id := range req.IDs {
		if !workload.ValidID(id) {
			reply.Unchanged = append(reply.Unchanged, id)
			continue
		}
		before, status, err := a.node.cancelJob(ctx, id)
		if err != nil {
			return a.problem(c, status, errors.Wrapf(err, "job %s", id))
		}
		if before == nil || before.State.Over() {
			reply.Unchanged = append(reply.Unchanged, id)
			continue
		}
		reply.Changed++
	}
	return c.JSON(http.StatusOK, reply)
}

// problem logs an error and answers with it.
func (a *JobsAPI) problem(c echo.Context, status int, err error) error {
	event.RequestAnswered.Log(a.node.Log, zap.String("method", c.Request().Method), zap.String("path", c.Path()), zap.Int("status", status), zap.Error(err))
	return c.JSON(status, adminapi.Problem{Message: err.Error()})
}
