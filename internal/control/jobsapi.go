package control

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/job"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// registerJobs registers the routes of the jobs API.
func (m *Manager) registerJobs(e *echo.Echo) {
	e.GET(adminapi.PathJobs, m.getJobs)
	e.POST(adminapi.PathJobs, m.submitJobs)
	e.DELETE(adminapi.PathJobs, m.cancelJobs)
}

// getJobs returns all jobs. It reads them from the table, so every process can
// answer.
func (m *Manager) getJobs(c echo.Context) error {
	rows, err := job.Scan(c.Request().Context(), m.platform.Table, job.KeyPrefix, 0)
	if err != nil {
		return problem(c, http.StatusServiceUnavailable, err)
	}
	answer := adminapi.Jobs{Jobs: make([]adminapi.Job, 0, len(rows))}
	for i := range rows {
		answer.Jobs = append(answer.Jobs, rows[i].APIJob())
	}
	return c.JSON(http.StatusOK, answer)
}

// submitJobs validates jobs and writes them to the table. It replies after the
// commit.
func (m *Manager) submitJobs(c echo.Context) error {
	var req adminapi.SubmitRequest
	if err := c.Bind(&req); err != nil {
		return problem(c, http.StatusBadRequest, err)
	}
	current := m.adopter.Current()
	if current == nil {
		return problem(c, http.StatusServiceUnavailable, errNoSettings)
	}
	if err := job.Check(req.Jobs, current.Value); err != nil {
		return problem(c, http.StatusUnprocessableEntity, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	reply, err := job.Submit(ctx, m.platform.Table, req.Jobs, m.now())
	if err != nil {
		return jobsProblem(c, err)
	}
	m.forwardSubmission(c, req.Jobs)
	return c.JSON(http.StatusOK, reply)
}

// cancelJobs marks jobs as cancelled in the table. It replies after the commit.
func (m *Manager) cancelJobs(c echo.Context) error {
	var req adminapi.CancelRequest
	// Context.Bind does not read the body of a DELETE request.
	if err := (&echo.DefaultBinder{}).BindBody(c, &req); err != nil {
		return problem(c, http.StatusBadRequest, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	reply, err := job.Cancel(ctx, m.platform.Table, req.IDs)
	if err != nil {
		return jobsProblem(c, err)
	}
	m.jobs.Wake()
	return c.JSON(http.StatusOK, reply)
}

// jobsProblem writes the error response for a request whose rows were not
// written or whose outcome is unknown.
func jobsProblem(c echo.Context, err error) error {
	if errors.Is(err, platform.ErrUnknown) {
		return problem(c, http.StatusGatewayTimeout, err)
	}
	return problem(c, http.StatusServiceUnavailable, err)
}

// forwardSubmission repeats a submission at the owners of the jobs' pools, so
// that urgent jobs start without waiting for the next scan. The jobs are
// already in the table: an owner that cannot be reached finds them at its next
// scan, and one that is reached replies that they exist.
func (m *Manager) forwardSubmission(c echo.Context, specs []adminapi.JobSpec) {
	m.jobs.Wake()
	if c.Request().Header.Get(adminapi.ForwardedHeader) != "" {
		return
	}
	byOwner := map[string][]adminapi.JobSpec{}
	for _, spec := range specs {
		if owner, ok := m.leases.Directory().Lookup(spec.Pool); ok && owner.Owner != m.name {
			byOwner[owner.Owner] = append(byOwner[owner.Owner], spec)
		}
	}
	for _, member := range m.members.Snapshot().Live() {
		if specs := byOwner[member.Name]; len(specs) > 0 {
			go m.notifyOwner(adminapi.NewForwarder(member.AdminAddress), specs)
		}
	}
}

// notifyOwner repeats a submission at the owner of its pools.
func (m *Manager) notifyOwner(owner *adminapi.Client, specs []adminapi.JobSpec) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if _, err := owner.SubmitJobs(ctx, specs); err != nil {
		m.log.Debug("failed to forward jobs to the owner of their pool", zap.Error(err))
	}
}

// countJobs counts the waiting and running jobs by pool and team.
func (m *Manager) countJobs(ctx context.Context, state *settings.State) error {
	rows, err := job.Scan(ctx, m.platform.Table, job.KeyPrefix, 0)
	if err != nil {
		return err
	}
	for i := range rows {
		if r := &rows[i]; !r.Terminal() {
			state.PoolJobs[r.Pool]++
			state.TeamJobs[r.Team]++
		}
	}
	return nil
}
