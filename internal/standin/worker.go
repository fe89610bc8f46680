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

// RequestIDHeader names a caller's request in the record of executions.
const RequestIDHeader = "X-Request-Id"

// HostHeader names the worker on its answers.
const HostHeader = "X-Worker"

// WorkerFaults are the switches of a Worker. The zero value has no fault.
type WorkerFaults struct {
	// Silent stops all traffic on connections that are open now, for good;
	// connections made later work.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to each execution.
	Delay time.Duration `json:"delay,omitempty"`
	// FailFast answers 500 at once without executing.
	FailFast bool `json:"fail_fast,omitempty"`
	// Leaving answers what arrives and closes each connection after it.
	Leaving bool `json:"leaving,omitempty"`
	// Cut breaks each connection in the middle of an execution, whose answer
	// is lost.
	Cut bool `json:"cut,omitempty"`
	// Truncate cuts every answer short of its stated length.
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

// Recorder keeps the executions of all workers.
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

// Executions returns a copy of the record.
func (r *Recorder) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// Worker is an upstream that executes requests and says so in its answers.
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

// StartWorker listens on address and serves until Close.
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

// Close ends the worker and cuts its connections, as a crash does.
func (w *Worker) Close() { _ = w.server.Close() }

// Shutdown ends the worker once its executions have ended.
func (w *Worker) Shutdown(ctx context.Context) error { return w.server.Shutdown(ctx) }

// SetFaults replaces the fault switches.
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

// ServeHTTP executes one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	rw.Header().Set(HostHeader, w.Host.Name)
	if faults.Leaving {
		rw.Header().Set("Connection", "close")
	}
	if faults.FailFast {
		http.Error(rw, "worker fails everything", http.StatusInternalServerError)
		return
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.execute(rw, r, faults)
}

// execute records the request, waits as long as it takes and answers.
func (w *Worker) execute(rw http.ResponseWriter, r *http.Request, faults WorkerFaults) {
	i := w.recorder.begin(Execution{
		Host: w.Host.Name, Method: r.Method, Path: r.URL.RequestURI(),
		RequestID: r.Header.Get(RequestIDHeader), Key: r.Header.Get("Idempotency-Key"),
		Start: time.Now(),
	})
	defer w.recorder.end(i)
	body, _ := io.ReadAll(r.Body)
	if faults.Delay > 0 {
		// An execution goes on when its caller is gone, as an order does.
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

// Answer is the whole answer that a worker gives to a request.
func Answer(method, uri, requestID string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("done %s %s id=%s body=%s\n", method, uri, requestID, hex.EncodeToString(sum[:8]))
}

// silentListener wraps accepted connections so that they can go silent.
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

// silentConn stops reading and writing for good once it is silenced.
type silentConn struct {
	net.Conn
	worker *Worker
	once   sync.Once
	silent chan struct{}
}

func (c *silentConn) silence() { c.once.Do(func() { close(c.silent) }) }

// blockIfSilent waits for ever on a silent connection.
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
