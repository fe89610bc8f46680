package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Client is an HTTP client of one service of the platform.
type Client struct {
	base string
	http *http.Client
}

// Services holds the base URLs of the platform's services.
type Services struct {
	Table, Objects, Hosts, Workers string
}

// New returns a platform whose calls go to the given services.
func New(s Services) *platform.Platform {
	return &platform.Platform{
		Table:   newClient(s.Table),
		Objects: newClient(s.Objects),
		Hosts:   newClient(s.Hosts),
		Workers: newClient(s.Workers),
	}
}

func newClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// statusErrors maps HTTP statuses to the errors of package platform.
var statusErrors = map[int]error{
	http.StatusConflict:           platform.ErrConflict,
	http.StatusServiceUnavailable: platform.ErrUnavailable,
	http.StatusGatewayTimeout:     platform.ErrUnknown,
	http.StatusNotFound:           platform.ErrNotFound,
}

// call sends a request and decodes the JSON response body into reply. A reply of
// type *[]byte gets the body as it is; a nil reply ignores it.
func (c *Client) call(ctx context.Context, method, path, step string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return operr.Wrap(err, step, c.base)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return operr.Wrap(transportError(err), step, c.base)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return operr.Wrap(errors.Wrap(platform.ErrUnknown, err.Error()), step, c.base)
	}
	if resp.StatusCode != http.StatusOK {
		return operr.Wrap(statusError(resp.StatusCode, data), step, c.base)
	}
	if raw, ok := reply.(*[]byte); ok {
		*raw = data
		return nil
	}
	if reply == nil {
		return nil
	}
	return operr.Wrap(json.Unmarshal(data, reply), step, c.base)
}

// transportError returns an error that matches platform.ErrUnavailable if no
// connection could be set up, so that the call was not sent, and
// platform.ErrUnknown otherwise.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return errors.Wrap(platform.ErrUnknown, err.Error())
}

// statusError returns the error for a response whose status is not 200.
func statusError(status int, data []byte) error {
	var reply errorReply
	_ = json.Unmarshal(data, &reply)
	if err, ok := statusErrors[status]; ok {
		return errors.Wrap(err, reply.Error)
	}
	return errors.Errorf("status %d: %s", status, reply.Error)
}

// post sends request as JSON and decodes the response into reply.
func (c *Client) post(ctx context.Context, path, step string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return operr.Wrap(err, step, c.base)
	}
	return c.call(ctx, http.MethodPost, path, step, body, reply)
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	var reply commitReply
	err := c.post(ctx, pathCommit, "table: commit", txn, &reply)
	return reply.Version, err
}

// Read implements platform.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var reply rowsReply
	err := c.post(ctx, pathRead, "table: read", readRequest{Keys: keys}, &reply)
	return reply.Rows, err
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	var reply rowsReply
	err := c.post(ctx, pathScan, "table: scan", scanRequest{Prefix: prefix, After: after}, &reply)
	return reply.Rows, err
}

// Put implements platform.Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, http.MethodPut, pathObjects+url.PathEscape(name), "objects: put", data, nil)
}

// Get implements platform.Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, http.MethodGet, pathObjects+url.PathEscape(name), "objects: get", nil, &data)
	return data, err
}

// List implements platform.Objects.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	path := pathObjects + "?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, http.MethodGet, path, "objects: list", nil, &names)
	return names, err
}

// Hosts implements platform.HostList.
func (c *Client) Hosts(ctx context.Context) ([]platform.ListedHost, error) {
	var hosts []platform.ListedHost
	err := c.call(ctx, http.MethodGet, pathHosts, "hosts: list", nil, &hosts)
	return hosts, err
}

// callWorker sends the call named verb to a worker.
func (c *Client) callWorker(ctx context.Context, hostName, verb string, req workerRequest, reply any) error {
	return c.post(ctx, pathWorkers+url.PathEscape(hostName)+"/"+verb, "workers: "+verb, req, reply)
}

// Start implements platform.Workers.
func (c *Client) Start(ctx context.Context, task platform.Task) error {
	return c.callWorker(ctx, task.Host, "start", workerRequest{Task: &task}, nil)
}

// Renew implements platform.Workers.
func (c *Client) Renew(ctx context.Context, hostName string, ids []string) error {
	return c.callWorker(ctx, hostName, "renew", workerRequest{IDs: ids}, nil)
}

// Checkpoint implements platform.Workers.
func (c *Client) Checkpoint(ctx context.Context, hostName, id string) error {
	return c.callWorker(ctx, hostName, "checkpoint", workerRequest{ID: id}, nil)
}

// Throttle implements platform.Workers.
func (c *Client) Throttle(ctx context.Context, hostName, id string, share float64) error {
	return c.callWorker(ctx, hostName, "throttle", workerRequest{ID: id, Share: share}, nil)
}

// Stop implements platform.Workers.
func (c *Client) Stop(ctx context.Context, hostName, id string) error {
	return c.callWorker(ctx, hostName, "stop", workerRequest{ID: id}, nil)
}

// Usage implements platform.Workers.
func (c *Client) Usage(ctx context.Context, hostName string) ([]platform.TaskUsage, error) {
	var usage []platform.TaskUsage
	err := c.callWorker(ctx, hostName, "usage", workerRequest{}, &usage)
	return usage, err
}

// Reboot implements platform.Workers.
func (c *Client) Reboot(ctx context.Context, hostName string) error {
	return c.callWorker(ctx, hostName, "reboot", workerRequest{}, nil)
}
