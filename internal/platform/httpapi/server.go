package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Register adds routes to e that serve the platform's protocol from p.
func Register(e *echo.Echo, p *platform.Platform) {
	s := &server{p: p}
	e.POST(pathCommit, s.commit)
	e.POST(pathRead, s.read)
	e.POST(pathScan, s.scan)
	e.PUT(pathObjects+":name", s.putObject)
	e.GET(pathObjects+":name", s.getObject)
	e.GET(pathObjects, s.listObjects)
	e.GET(pathHosts, s.hosts)
	e.POST(pathWorkers+":host/:verb", s.handleWorkerCall)
}

type server struct{ p *platform.Platform }

// respond writes reply, or the status for err according to statusErrors (500 for
// other errors).
func respond(c echo.Context, reply any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, reply)
	}
	status := http.StatusInternalServerError
	for code, sentinel := range statusErrors {
		if errors.Is(err, sentinel) {
			status = code
		}
	}
	return c.JSON(status, errorReply{Error: err.Error()})
}

func (s *server) commit(c echo.Context) error {
	var txn platform.Txn
	if err := c.Bind(&txn); err != nil {
		return err
	}
	version, err := s.p.Table.Commit(c.Request().Context(), txn)
	return respond(c, commitReply{Version: version}, err)
}

func (s *server) read(c echo.Context) error {
	var req readRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	rows, err := s.p.Table.Read(c.Request().Context(), req.Keys...)
	return respond(c, rowsReply{Rows: rows}, err)
}

func (s *server) scan(c echo.Context) error {
	var req scanRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	rows, err := s.p.Table.Scan(c.Request().Context(), req.Prefix, req.After)
	return respond(c, rowsReply{Rows: rows}, err)
}

// objectName returns the object name in the path. The router matches the escaped
// path if there is one, so that the parameter has to be unescaped.
func objectName(c echo.Context) (string, error) {
	if c.Request().URL.RawPath == "" {
		return c.Param("name"), nil
	}
	name, err := url.PathUnescape(c.Param("name"))
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return name, nil
}

func (s *server) putObject(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	name, err := objectName(c)
	if err != nil {
		return err
	}
	err = s.p.Objects.Put(c.Request().Context(), name, data)
	return respond(c, struct{}{}, err)
}

func (s *server) getObject(c echo.Context) error {
	name, err := objectName(c)
	if err != nil {
		return err
	}
	data, err := s.p.Objects.Get(c.Request().Context(), name)
	if err != nil {
		return respond(c, nil, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *server) listObjects(c echo.Context) error {
	names, err := s.p.Objects.List(c.Request().Context(), c.QueryParam("prefix"))
	return respond(c, names, err)
}

func (s *server) hosts(c echo.Context) error {
	hosts, err := s.p.Hosts.Hosts(c.Request().Context())
	return respond(c, hosts, err)
}

func (s *server) handleWorkerCall(c echo.Context) error {
	var req workerRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	if c.Param("verb") == "usage" {
		usage, err := s.p.Workers.Usage(c.Request().Context(), c.Param("host"))
		return respond(c, usage, err)
	}
	return respond(c, struct{}{}, s.callWorker(c.Request().Context(), c.Param("host"), c.Param("verb"), req))
}

// callWorker makes the call named verb to a worker. An unknown verb fails with
// platform.ErrNotFound.
func (s *server) callWorker(ctx context.Context, hostName, verb string, req workerRequest) error {
	w := s.p.Workers
	switch verb {
	case "start":
		if req.Task == nil {
			return errors.New("start: request has no task")
		}
		return w.Start(ctx, *req.Task)
	case "renew":
		return w.Renew(ctx, hostName, req.IDs)
	case "checkpoint":
		return w.Checkpoint(ctx, hostName, req.ID)
	case "throttle":
		return w.Throttle(ctx, hostName, req.ID, req.Share)
	case "stop":
		return w.Stop(ctx, hostName, req.ID)
	case "reboot":
		return w.Reboot(ctx, hostName)
	}
	return errors.Wrapf(platform.ErrNotFound, "verb %q", verb)
}
