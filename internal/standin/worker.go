package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/operr"
)

// RequestIDHeader is the request header with the request id that is recorded with
// each execution.
const RequestIDHeader = "X-Request-Id"

// HostHeader is the response header with the worker's name.
const HostHeader = "X-Worker"

// WorkerFaults holds the faults injected into a Worker. The zero value injects
// none.
type WorkerFaults struct {
	// Silent permanently blocks reads and writes on the connections that are open
	// when the faults are set; later connections work.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to each execution.
	Delay time.Duration `json:"delay,omitempty"`
	// FailFast responds with 500 at once, without executing the request.
	FailFast bool `json:"fail_fast,omitempty"`
	// Leaving executes requests and closes each connection after the response,
	// with the header Connection: close.
	Leaving bool `json:"leaving,omitempty"`
	// Cut closes each connection after an execution without a response.
	Cut bool `json:"cut,omitempty"`
	// Truncate sends only half of the bytes that each response's Content-Length
	// announces.
	Truncate bool `json:"truncate,omitempty"`
}

// Execution is the record of one request that reached a worker.
type Execution struct {
	Host      string    `json:"host"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Start     time.Time `json:"start"`
	// End is zero for an execution that has not ended.
	End time.Time `json:"end,omitzero"`
}

// Recorder records the executions of all workers.
type Recorder struct {
	mu         sync.Mutex
	executions []Execution
}

// begin records the start of an execution and returns its index.
func (r *Recorder) begin(e Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = append(r.executions, e)
	return len(r.executions) - 1
}

// end records the end of an execution.
func (r *Recorder) end(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[i].End = time.Now()
}

// Executions returns a copy of the recorded executions.
func (r *Recorder) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// Worker is an upstream that executes HTTP requests and records each execution.
// It executes at most Host.Slots requests at a time; others wait.
type Worker struct {
	Host     host.Host
	recorder *Recorder
	slots    chan struct{}
	server   *http.Server
	listener net.Listener

	mu     sync.Mutex
	faults WorkerFaults
	conns  map[*silentConn]struct{}
}

// StartWorker starts a worker that listens on h.Address and serves until Close or
// Shutdown. The worker's Host has the address that was bound.
func StartWorker(h host.Host, recorder *Recorder) (*Worker, error) {
	listener, err := net.Listen("tcp", h.Address)
	if err != nil {
		return nil, operr.Wrap(err, "stand-in: listen", h.Address)
	}
	h.Address = listener.Addr().String()
	w := &Worker{
		Host:     h,
		recorder: recorder,
		slots:    make(chan struct{}, h.Slots),
		listener: listener,
		conns:    map[*silentConn]struct{}{},
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(&silentListener{Listener: listener, worker: w}) }()
	return w, nil
}

// Close stops the worker and closes its connections at once, as a crash does.
func (w *Worker) Close() { _ = w.server.Close() }

// Shutdown stops the worker after its executions have ended.
func (w *Worker) Shutdown(ctx context.Context) error { return w.server.Shutdown(ctx) }

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	if !f.Silent {
		return
	}
	for c := range w.conns {
		c.silence()
	}
}

// ServeHTTP implements http.Handler: it executes one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	rw.Header().Set(HostHeader, w.Host.Name)
	if faults.Leaving {
		rw.Header().Set("Connection", "close")
	}
	if faults.FailFast {
		http.Error(rw, "injected failure", http.StatusInternalServerError)
		return
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.execute(rw, r, faults)
}

// execute records the execution, waits for the configured delay and responds.
func (w *Worker) execute(rw http.ResponseWriter, r *http.Request, faults WorkerFaults) {
	i := w.recorder.begin(Execution{
		Host: w.Host.Name, Method: r.Method, Path: r.URL.RequestURI(),
		RequestID: r.Header.Get(RequestIDHeader), Key: r.Header.Get("Idempotency-Key"),
		Start: time.Now(),
	})
	defer w.recorder.end(i)
	body, _ := io.ReadAll(r.Body)
	if faults.Delay > 0 {
		// The delay doesn't end with the request's context: an execution
		// continues after its caller has disconnected, as a real one does.
		time.Sleep(faults.Delay)
	}
	if faults.Cut {
		panic(http.ErrAbortHandler)
	}
	answer := Answer(r.Method, r.URL.RequestURI(), r.Header.Get(RequestIDHeader), body)
	length := len(answer)
	if faults.Truncate {
		length *= 2
	}
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", fmt.Sprint(length))
	_, _ = io.WriteString(rw, answer)
}

// Answer returns the complete response body that a worker sends for a request, so
// that a test can compare it with the one received.
func Answer(method, uri, requestID string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("done %s %s id=%s body=%s\n", method, uri, requestID, hex.EncodeToString(sum[:8]))
}

// silentListener wraps accepted connections in a silentConn.
type silentListener struct {
	net.Listener
	worker *Worker
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, worker: l.worker, silent: make(chan struct{})}
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	l.worker.conns[s] = struct{}{}
	return s, nil
}

// silentConn is a connection whose reads and writes block for ever once it is
// silenced.
type silentConn struct {
	net.Conn
	worker *Worker
	once   sync.Once
	silent chan struct{}
}

func (c *silentConn) silence() { c.once.Do(func() { close(c.silent) }) }

// blockIfSilent never returns if the connection is silenced.
func (c *silentConn) blockIfSilent() {
	select {
	case <-c.silent:
		select {}
	default:
	}
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	c.blockIfSilent()
	n, err := c.Conn.Read(p)
	c.blockIfSilent()
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	c.blockIfSilent()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.worker.mu.Lock()
	delete(c.worker.conns, c)
	c.worker.mu.Unlock()
	return c.Conn.Close()
}
