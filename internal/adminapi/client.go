package adminapi

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// requestTimeout bounds one request with its answer, so that a connection
	// on which nothing arrives any more is detected.
	requestTimeout = 10 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 3 * time.Second
	// maxAnswerBytes is the maximum size of an answer, which is read into
	// memory as a whole.
	maxAnswerBytes = 256 << 20
)

// StatusError is the error for an answer with a status of 400 or above.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	Problem
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	if len(e.Errors) > 0 {
		return e.Errors.Error()
	}
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Client calls the administration API of one control process. It is safe for
// concurrent use.
type Client struct {
	server    string
	http      *http.Client
	forwarded bool
}

// ForwardedHeader marks a request that a control process forwarded to the
// process that it regards as the owner. The receiver does not forward it
// again; otherwise two processes with different views of the ownership would
// forward it to each other forever.
const ForwardedHeader = "Egretpitch-Forwarded"

// NewForwarder returns a client that sets ForwardedHeader on its requests.
func NewForwarder(server string) *Client {
	c := NewClient(server)
	c.forwarded = true
	return c
}

// NewClient returns a client of the server, given as an IP address and port.
func NewClient(server string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		server: server,
		http: &http.Client{
			Timeout: requestTimeout,
			// Each request uses a new connection, because an idle one may have
			// failed without notice.
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		},
	}
}

// Server returns the server's IP address and port.
func (c *Client) Server() string { return c.server }

// Settings returns the settings tree in force.
func (c *Client) Settings(ctx context.Context) (*Settings, error) {
	return get[Settings](ctx, c, PathSettings)
}

// Instances returns all live processes of the system.
func (c *Client) Instances(ctx context.Context) (*Instances, error) {
	return get[Instances](ctx, c, PathInstances)
}

// Hosts returns all workers.
func (c *Client) Hosts(ctx context.Context) (*Hosts, error) {
	return get[Hosts](ctx, c, PathHosts)
}

// Maintenance returns the progress of maintenance in all pools.
func (c *Client) Maintenance(ctx context.Context) (*Maintenance, error) {
	return get[Maintenance](ctx, c, PathMaintenance)
}

// Jobs returns all jobs that the server still stores.
func (c *Client) Jobs(ctx context.Context) (*Jobs, error) {
	return get[Jobs](ctx, c, PathJobs)
}

// Status returns a summary of the estate.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[Status](ctx, c, PathStatus)
}

// Teams returns the teams of the configuration in force at the server.
func (c *Client) Teams(ctx context.Context) (*Teams, error) {
	return get[Teams](ctx, c, PathTeams)
}

// Explain returns where a request or a job would go now, and why. It changes nothing.
func (c *Client) Explain(ctx context.Context, req *ExplainRequest) (*Explanation, error) {
	return call[Explanation](ctx, c, http.MethodPost, PathExplain, req)
}

// SubmitJobs submits jobs. It may be repeated, because a job whose ID exists
// already is left unchanged.
func (c *Client) SubmitJobs(ctx context.Context, jobs []JobSpec) (*JobsReply, error) {
	return call[JobsReply](ctx, c, http.MethodPost, PathJobs, &SubmitRequest{Jobs: jobs})
}

// CancelJobs cancels jobs by their IDs. It may be repeated.
func (c *Client) CancelJobs(ctx context.Context, ids []string) (*JobsReply, error) {
	return call[JobsReply](ctx, c, http.MethodDelete, PathJobs, &CancelRequest{IDs: ids})
}

// Report returns the report in the given media type: MediaJSON, MediaText or
// MediaHTML.
func (c *Client) Report(ctx context.Context, media string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, PathReport, media, nil)
}

// get sends a GET request and decodes its JSON answer.
func get[T any](ctx context.Context, c *Client, path string) (*T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil)
}

// call sends a request with body as JSON, or with no body if it is nil, and
// decodes the JSON answer.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (*T, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, operr.Wrap(err, "adminapi: encode request", c.server)
		}
	}
	answer, err := c.do(ctx, method, path, MediaJSON, data)
	if err != nil {
		return nil, err
	}
	out := new(T)
	if err := json.Unmarshal(answer, out); err != nil {
		return nil, operr.Wrap(err, "adminapi: decode answer to "+method+" "+path, c.server)
	}
	return out, nil
}

// do sends one request and returns the whole body of its answer. The error
// wraps a *StatusError if the answer has a status of 400 or above.
func (c *Client) do(ctx context.Context, method, path, accept string, body []byte) ([]byte, error) {
	step := "adminapi: " + method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.server+path, bytes.NewReader(body))
	if err != nil {
		return nil, operr.Wrap(err, step, c.server)
	}
	req.Header.Set("Accept", accept)
	if c.forwarded {
		req.Header.Set(ForwardedHeader, "1")
	}
	if body != nil {
		req.Header.Set("Content-Type", MediaJSON)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, operr.Wrap(err, step, c.server)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, operr.Wrap(err, step, c.server)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, operr.Wrap(statusError(resp.StatusCode, answer), step, c.server)
	}
	return answer, nil
}

// statusError decodes the body of an error answer. A body that is not a Problem
// with a message gets the text of the status as its message.
func statusError(status int, body []byte) *StatusError {
	e := &StatusError{Status: status}
	if json.Unmarshal(body, &e.Problem) != nil || e.Message == "" {
		e.Message = cmp.Or(e.Message, http.StatusText(status))
	}
	return e
}
