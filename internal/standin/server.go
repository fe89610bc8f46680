package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/platform/httpapi"
)

// Platform holds the stand-ins of all services of the platform.
type Platform struct {
	Table   *Table
	Objects *Objects
	Fleet   *Fleet
}

// NewPlatform returns a platform without hosts, rows and objects.
func NewPlatform() *Platform {
	return &Platform{Table: NewTable(), Objects: NewObjects(), Fleet: NewFleet()}
}

// Interfaces returns the stand-ins as the interfaces that the product uses.
func (p *Platform) Interfaces() *platform.Platform {
	return &platform.Platform{Table: p.Table, Objects: p.Objects, Hosts: p.Fleet, Workers: p.Fleet}
}

// Register adds the routes of the platform's protocol (package httpapi), and
// those that set faults and read records:
//
//	PUT /faults/table           Faults
//	GET /load/table             Load
//	PUT /faults/workers/:host   WorkerFaults
//	PUT /faults/tasks/:host     TaskFaults
//	GET /tasks                  []TaskRun
//	PUT /listed/:host?state=    live, leaving or gone
//	GET /executions             []Execution
func (p *Platform) Register(e *echo.Echo) {
	httpapi.Register(e, p.Interfaces())
	e.PUT("/faults/table", p.setTableFaults)
	e.GET("/load/table", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Table.Load()) })
	e.PUT("/faults/workers/:host", p.setWorkerFaults)
	e.PUT("/faults/tasks/:host", p.setTaskFaults)
	e.GET("/tasks", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Fleet.TaskRuns()) })
	e.PUT("/listed/:host", p.setListed)
	e.GET("/executions", func(c echo.Context) error {
		return c.JSON(http.StatusOK, p.Fleet.Recorder.Executions())
	})
}

func (p *Platform) setTableFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	p.Table.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) setWorkerFaults(c echo.Context) error {
	w, ok := p.Fleet.Worker(c.Param("host"))
	if !ok {
		return echo.ErrNotFound
	}
	var f WorkerFaults
	if err := c.Bind(&f); err != nil {
		return err
	}
	w.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) setTaskFaults(c echo.Context) error {
	var f TaskFaults
	if err := c.Bind(&f); err != nil {
		return err
	}
	p.Fleet.SetTaskFaults(c.Param("host"), f)
	return c.NoContent(http.StatusNoContent)
}

// setListed changes or removes the entry of a worker in the host list.
func (p *Platform) setListed(c echo.Context) error {
	w, ok := p.Fleet.Worker(c.Param("host"))
	if !ok {
		return echo.ErrNotFound
	}
	switch state := c.QueryParam("state"); state {
	case "gone":
		p.Fleet.SetListed(w.Host.Name, nil)
	case string(platform.HostLive), string(platform.HostLeaving):
		p.Fleet.SetListed(w.Host.Name, &platform.ListedHost{Host: w.Host, State: platform.HostState(state)})
	default:
		return echo.NewHTTPError(http.StatusBadRequest, "state must be live, leaving or gone")
	}
	return c.NoContent(http.StatusNoContent)
}
