package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// defaultRequestTimeout is the timeout of a request without a deadline
	// header.
	defaultRequestTimeout = 2500 * time.Millisecond
	// answerMargin is the part of a request's timeout reserved for the answer's
	// way back to the caller.
	answerMargin = 150 * time.Millisecond
	// minRequestTimeout is the least time that a request gets, whatever its
	// deadline.
	minRequestTimeout = 50 * time.Millisecond
	// retryAfterSeconds is the Retry-After value of a refusal. Outages of the
	// table service last seconds.
	retryAfterSeconds = "1"
	// maxPendingAge is the age of the last heartbeat at which the owner's count
	// of pending jobs is no longer used and the rows are counted instead.
	maxPendingAge = 1400 * time.Millisecond
	// maxJobsAge is how long ago the owner may have last read new jobs. Beyond
	// it, the jobs accepted since are counted from their rows and added to the
	// owner's count. The count in an answer may be up to 2 s old.
	maxJobsAge = 2 * time.Second
)

// Codec decodes and encodes the bodies of the callers' API, and names its
// deadline header, whose value is in milliseconds.
type Codec struct {
	// CallerKey returns the key in the headers of a request. present is set if the
	// request has one at all; the key is empty if that is malformed.
	CallerKey func(http.Header) (key string, present bool)
	// Challenge names the scheme of keys in an answer that a key is needed.
	Challenge string

	DecodeJob      func(id, queue, pool string, body []byte) (*workload.Job, error)
	EncodeState    func(workload.State) map[string]string
	EncodePending  func(int) map[string]int
	DeadlineHeader string
}

// QueueAPI serves the callers' API: submission, state and cancellation of the
// jobs of a queue.
type QueueAPI struct {
	node  *Node
	codec Codec
}

// NewQueueAPI returns the callers' API of a process.
func NewQueueAPI(n *Node, codec Codec) *QueueAPI { return &QueueAPI{node: n, codec: codec} }

// Register adds the routes to e. They match all paths, since queues are
// selected by host and path prefix.
func (h *QueueAPI) Register(e *echo.Echo) {
	e.POST("/*", h.handle(h.submit))
	e.GET("/*", h.handle(h.state))
	e.DELETE("/*", h.handle(h.cancel))
}

// queueRequest is a caller's request to a queue.
type queueRequest struct {
	echo.Context
	queue *estate.Queue
	// id is the part of the path after the queue's prefix, empty for the queue
	// itself.
	id       string
	deadline time.Time
	catalog  *estate.Catalog
	caller   caller
	// use is what the request may rely on the catalog for.
	use configurationUse
	// notStored is called if the job of a submission is not stored, or was before, if
	// set.
	notStored func()
}

// response is the answer to a request. reason is logged, and sent as the error
// if there is no body. fields are logged.
type response struct {
	status int
	body   any
	reason string
	fields []zap.Field
	// retryAfter is the Retry-After of a refusal, 0 for retryAfterSeconds.
	retryAfter time.Duration
}

// handle finds the queue of a request, serves it with the given function,
// answers and logs the answer.
func (h *QueueAPI) handle(serve func(*queueRequest) response) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := time.Now()
		r := &queueRequest{Context: c, deadline: start.Add(h.timeout(c.Request())), catalog: h.node.catalog.Load()}
		a := h.route(r, serve)
		if a.status >= http.StatusInternalServerError && h.node.requests.Err() != nil {
			a.reason = "process is shutting down: " + a.reason
		}
		if r.queue != nil || a.status != http.StatusNotFound {
			h.log(r, a, time.Since(start))
		}
		h.node.metrics.countRequest(c.Request().Method, a.status, time.Since(start))
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			c.Response().Header().Set("Retry-After", a.retryAfterHeader())
		}
		if h.node.stopping.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		if a.body == nil {
			a.body = map[string]string{"error": a.reason}
		}
		return c.JSON(a.status, a.body)
	}
}

// route finds the queue by host and path and serves the request.
func (h *QueueAPI) route(r *queueRequest, serve func(*queueRequest) response) response {
	if a, ok := h.checkConfiguration(r); !ok {
		return a
	}
	host := r.Request().Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	r.queue, r.id = r.catalog.Route(host, r.Request().URL.Path)
	if r.queue == nil {
		return h.refuse(r, http.StatusNotFound, refusedNoQueue)
	}
	if a, ok := h.authenticate(r); !ok {
		return a
	}
	return serve(r)
}

// timeout returns how long a request may take: the caller's timeout less
// answerMargin.
func (h *QueueAPI) timeout(r *http.Request) time.Duration {
	timeout := defaultRequestTimeout
	if text := r.Header.Get(h.codec.DeadlineHeader); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil {
			timeout = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return max(timeout-answerMargin, minRequestTimeout)
}

func (h *QueueAPI) log(r *queueRequest, a response, took time.Duration) {
	queue := ""
	if r.queue != nil {
		queue = r.queue.Name
	}
	event.RequestAnswered.Log(h.node.Log, append([]zap.Field{zap.String("method", r.Request().Method), zap.String("job", r.id), zap.String("queue", queue),
		zap.Int("status", a.status), zap.String("reason", a.reason), zap.Int64("catalog", catalogVersion(r.catalog)), zap.Duration("took", took)}, a.fields...)...)
}

// catalogVersion returns the version of a catalog, 0 for none.
func catalogVersion(c *estate.Catalog) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// submit stores the job in the request's body.
func (h *QueueAPI) submit(r *queueRequest) response {
	if !workload.ValidID(r.id) {
		return response{status: http.StatusNotFound, reason: "the path names no job"}
	}
	limit := int64(intake.Defaults.MaxBodyBytes)
	if r.catalog.Limits.MaxBodyBytes > 0 {
		limit = int64(r.catalog.Limits.MaxBodyBytes)
	}
	body, err := intake.ReadBody(r.Request(), limit)
	if err != nil {
		return response{status: intake.Status(err), reason: "read body: " + err.Error()}
	}
	job, err := h.codec.DecodeJob(r.id, r.queue.Name, r.queue.Pool, body)
	if err != nil {
		return response{status: http.StatusBadRequest, reason: err.Error()}
	}
	job.AcceptedMS, job.Terms, job.Team = h.node.Clock.StoreMS(h.node.Clock.Now()), r.queue, r.caller.team
	if refusal, refused := h.node.refuse(r, job); refused {
		return refusal
	}
	outcome, existing := h.node.acceptor.submitChecked(r.Request().Context(), job, r.deadline)
	// A job that was stored before is in the published load, or was admitted then. An
	// attempt of this request whose answer was lost looks the same: that job is not
	// counted, which refuses none wrongly.
	if r.notStored != nil && outcome != submitUnknown && (outcome != submitStored || existing != nil) {
		r.notStored()
	}
	switch outcome {
	case submitStored:
		if a, ok := h.authorizeStored(r, existing); !ok {
			return a
		}
		return response{status: http.StatusOK, body: h.codec.EncodeState(workload.Queued), reason: "stored"}
	case submitNotStored:
		return response{status: http.StatusServiceUnavailable, reason: "not stored: table service unavailable"}
	case submitTooLarge:
		return response{status: http.StatusRequestEntityTooLarge, reason: "job is too large"}
	case submitCancelled:
		return response{status: http.StatusGone, reason: "not stored: job was cancelled before"}
	}
	return response{status: http.StatusGatewayTimeout, reason: "not known to be stored: table service does not answer"}
}

// state answers with a job's state, or with a queue's count of pending jobs if
// the path names no job.
func (h *QueueAPI) state(r *queueRequest) response {
	if r.id == "" {
		return h.pending(r)
	}
	if !workload.ValidID(r.id) {
		return response{status: http.StatusGone, reason: "the path names no job"}
	}
	ctx, cancel := context.WithDeadline(r.Request().Context(), r.deadline)
	defer cancel()
	p, err := h.node.readProgress(ctx, r.id)
	switch {
	case err != nil:
		return response{status: http.StatusServiceUnavailable, reason: err.Error()}
	case p == nil:
		return response{status: http.StatusGone, reason: "no such job"}
	}
	if a, ok := h.authorize(r, p.Team, p.Queue); !ok {
		return a
	}
	return response{status: http.StatusOK, body: h.codec.EncodeState(p.State), reason: string(p.State)}
}

// readProgress reads a job's progress. It returns nil without an error if the
// job does not exist.
func (n *Node) readProgress(ctx context.Context, id string) (*workload.Progress, error) {
	call := n.storeHealth.begin(ctx, partName(partOf(id)), 0, nil)
	rows, stamp, err := n.Rows.ReadRows(ctx, progressTable, partName(partOf(id)), id, id+"\x00")
	call.end(err)
	if err != nil {
		return nil, err
	}
	n.Clock.ObserveStore(stamp, n.Clock.Now())
	if len(rows) == 0 {
		return nil, nil
	}
	return workload.DecodeProgress(rows[0].Value)
}

// pending answers with the number of pending jobs of a queue: from the owner's
// last heartbeat if that is recent, with the jobs that the owner has not read
// yet, otherwise counted from the rows.
func (h *QueueAPI) pending(r *queueRequest) response {
	n := h.node
	ctx, cancel := context.WithDeadline(r.Request().Context(), r.deadline)
	defer cancel()
	view, now := n.view.Load(), n.Clock.Now()
	heartbeat := &view.Heartbeat
	if heartbeat.PendingKnown && now-view.HeartbeatSeen < maxPendingAge && heartbeat.Incarnation == view.Record.Incarnation {
		count := heartbeat.Pending[r.queue.Name]
		age := time.Duration(n.Clock.StoreMS(now)-heartbeat.JobsMS) * time.Millisecond
		if age <= maxJobsAge {
			return h.pendingResponse(count, "counted by the owner", zap.Duration("age", age))
		}
		if added, err := n.newJobs.count(ctx, heartbeat.JobsVersion, r.queue.Name); err == nil {
			return h.pendingResponse(count+added, "counted by the owner, newer jobs from the rows", zap.Duration("age", age), zap.Int("newer", added))
		}
	}
	rows, _, err := n.readJobParts(ctx, progressTable)
	if err != nil {
		return response{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	count := 0
	for _, row := range rows {
		p, err := workload.DecodeProgress(row.Value)
		if err == nil && p.Queue == r.queue.Name && p.State == workload.Queued {
			count++
		}
	}
	return h.pendingResponse(count, "counted from the rows")
}

// pendingResponse returns the answer with a count of pending jobs.
func (h *QueueAPI) pendingResponse(count int, reason string, fields ...zap.Field) response {
	return response{
		status: http.StatusOK, body: h.codec.EncodePending(count), reason: reason,
		fields: append(fields, zap.Int("pending", count)),
	}
}

// cancel cancels a job.
func (h *QueueAPI) cancel(r *queueRequest) response {
	if !workload.ValidID(r.id) {
		return response{status: http.StatusGone, reason: "the path names no job"}
	}
	ctx, cancel := context.WithDeadline(r.Request().Context(), r.deadline)
	defer cancel()
	before, err := h.node.readProgress(ctx, r.id)
	if err != nil {
		return response{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	var status int
	unknown := before == nil && r.caller.team != ""
	if unknown {
		before, status, err = h.node.cancelUnknown(ctx, r.id, r.caller.team)
	}
	if before != nil {
		if a, ok := h.authorize(r, before.Team, before.Queue); !ok {
			return a
		}
	}
	if err == nil && (before != nil || !unknown) {
		status, err = h.node.cancelKnown(ctx, r.id, before)
	}
	switch {
	case err != nil:
		return response{status: status, reason: err.Error()}
	case before == nil:
		return response{status: http.StatusGone, reason: "no such job, its submission is refused"}
	case before.State.Over():
		return response{status: http.StatusOK, body: h.codec.EncodeState(before.State), reason: "already over"}
	}
	return response{status: http.StatusOK, body: h.codec.EncodeState(workload.Cancelled), reason: "cancelled"}
}

// cancelJob records a job's cancellation, unless it has already ended, and returns
// its progress before that. The progress is nil if the job does not exist: it is
// cancelled too, since its submission may still be on its way, and is refused from
// then on. An error comes with its HTTP status: 503 if nothing was recorded, 504 if
// the cancellation may be.
func (n *Node) cancelJob(ctx context.Context, id string) (before *workload.Progress, status int, err error) {
	before, err = n.readProgress(ctx, id)
	if err != nil {
		return nil, http.StatusServiceUnavailable, err
	}
	status, err = n.cancelKnown(ctx, id, before)
	return before, status, err
}

// cancelKnown is cancelJob for a job whose progress was just read.
func (n *Node) cancelKnown(ctx context.Context, id string, before *workload.Progress) (status int, err error) {
	if before != nil && before.State.Over() {
		return 0, nil
	}
	if err := n.writeCancel(ctx, id); err != nil {
		return cancelStatus(err), err
	}
	return 0, nil
}

// cancelStatus returns the HTTP status for an error of writeCancelRows.
func cancelStatus(err error) int {
	if errors.Is(err, platform.ErrUnavailable) {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// writeCancel stores the cancellation of a job.
func (n *Node) writeCancel(ctx context.Context, id string) error {
	return n.writeCancelRows(ctx, jobRow(cancelTable, id))
}

// writeCancelRows stores the rows of a cancellation, which share a part. The write is
// idempotent, so an attempt that fails is retried until ctx ends. The error matches
// platform.ErrUnavailable if nothing was or will be written.
func (n *Node) writeCancelRows(ctx context.Context, keys ...platform.RowKey) error {
	var txn platform.RowTxn
	for _, key := range keys {
		txn.Writes = append(txn.Writes, platform.RowWrite{RowKey: key, Value: []byte("{}")})
	}
	var unknown error // of an attempt that may be applied
	for {
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		_, err := n.Rows.CommitRows(callCtx, txn)
		cancel()
		switch {
		case err == nil, errors.Is(err, platform.ErrConflict):
			return err
		case unknown != nil:
			err = unknown
		case !errors.Is(err, platform.ErrUnavailable):
			unknown = err
		}
		if ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(acceptRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}
