package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	spec        = "soak"
	maxAttempts = 2
	queueHost   = "soak.example"
	queuePrefix = "/jobs/"
	// requestTimeout bounds one request of a caller.
	requestTimeout = 2 * time.Second
	// impatience is how long a caller that withdraws its job has waited at most.
	impatience = 300 * time.Millisecond
	// requestAttempts is how many times a caller sends a submission or a
	// cancellation before it gives up.
	requestAttempts = 5
)

// callers simulates the users of a queue, who submit, watch and cancel jobs.
type callers struct {
	world  *world
	client *http.Client
}

func newCallers(w *world) *callers {
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{TCPConn: conn.(*net.TCPConn), world: w, node: w.nodeAt(address)}, nil
	}
	return &callers{world: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DialContext: dial}}}
}

// call sends a request about the job id to a node and returns the HTTP status
// and the state of the job. The status is 0 if there is no complete response.
func (c *callers) call(method, address, id string, body []byte) (int, string) {
	return c.callWithin(requestTimeout, keyOf(id), method, address, id, body)
}

// callWithin is call with another bound on the request and another key.
func (c *callers) callWithin(timeout time.Duration, key, method, address, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("Authorization", "Token "+key)
	begun := time.Now()
	var data []byte
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		data, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		if n := c.world.nodeAt(address); errors.Is(err, io.ErrUnexpectedEOF) && !n.disturbedSince(begun) {
			c.world.checker.countClosed("read", n.name, time.Since(begun))
		}
		return 0, ""
	}
	if s := resp.StatusCode; key == keyOf(id) && (s == http.StatusUnauthorized || s == http.StatusForbidden || s == http.StatusNotFound) {
		c.world.checker.mu.Lock()
		c.world.checker.addViolation("KEY: %s of job %s with a valid key is answered %d", method, id, s)
		c.world.checker.mu.Unlock()
	}
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &out) // most error responses have no state
	return resp.StatusCode, out.State
}

// runJob submits one job, cancels one in ten of the accepted ones, and reads the
// state until the job ends or ctx is done. One in ten is withdrawn instead.
func (c *callers) runJob(ctx context.Context, id string, rng *rand.Rand) {
	if rng.IntN(10) == 0 {
		c.withdrawJob(ctx, id, rng)
		return
	}
	j := &jobRecord{poison: rng.IntN(12) == 0}
	var steps []map[string]any
	for i := range 1 + rng.IntN(3) {
		s := step{count: 1 + rng.IntN(4), after: i - 1}
		stepSpec := map[string]any{"count": s.count, "cpu": 1000, "mem_mb": 64, "estimated_ms": 200}
		if i > 0 {
			stepSpec["after"] = []int{i - 1}
		}
		j.steps = append(j.steps, s)
		steps = append(steps, stepSpec)
	}
	body, err := json.Marshal(map[string]any{"task_spec": spec, "steps": steps})
	if err != nil {
		panic(err)
	}
	c.world.checker.addJob(id, j)
	if !c.submit(id, body, rng) {
		return
	}
	if rng.IntN(10) == 0 {
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		c.cancel(id, rng)
	}
	c.watch(ctx, id, rng)
}

// watch reads the state of an accepted job until it ends or ctx is done.
func (c *callers) watch(ctx context.Context, id string, rng *rand.Rand) {
	for ctx.Err() == nil {
		status, state := c.call(http.MethodGet, c.world.anyNode(rng), id, nil)
		switch {
		case status == http.StatusOK:
			c.world.checker.observeState(id, state)
			if state == "completed" || state == "failed" || state == "cancelled" {
				return
			}
		case status == http.StatusGone:
			c.world.checker.update(id, func(*jobRecord) { c.world.checker.addViolation("LOST: accepted job %s is reported as unknown", id) })
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// submit submits a job and reports whether it was accepted. Only 503 and 429 are
// refusals: after any other answer, or none, the job may run.
func (c *callers) submit(id string, body []byte, rng *rand.Rand) bool {
	for range requestAttempts {
		status, _ := c.call(http.MethodPost, c.world.anyNode(rng), id, body)
		switch status {
		case http.StatusOK:
			c.world.checker.update(id, func(j *jobRecord) { j.accepted, j.allRefused = true, false })
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.world.checker.update(id, func(j *jobRecord) { j.allRefused = false })
	}
	return false
}

// withdrawJob submits a job whose task runs until it is cancelled, and cancels it
// soon, whether it was accepted, refused or not answered.
func (c *callers) withdrawJob(ctx context.Context, id string, rng *rand.Rand) {
	c.world.checker.addJob(id, &jobRecord{steps: []step{{count: 1, after: -1}}, longRunning: true})
	wait := time.Duration(rng.Int64N(int64(impatience)))
	status, _ := c.callWithin(wait, keyOf(id), http.MethodPost, c.world.anyNode(rng), id, longBody(1))
	accepted := status == http.StatusOK
	c.world.checker.update(id, func(j *jobRecord) {
		j.accepted = accepted
		j.allRefused = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	})
	c.cancelUntilConfirmed(ctx, id, rng)
	if accepted {
		c.watch(ctx, id, rng)
	}
}

// cancelUntilConfirmed cancels a job that ends by nothing else, until that is
// confirmed or ctx is done.
func (c *callers) cancelUntilConfirmed(ctx context.Context, id string, rng *rand.Rand) {
	for !c.cancel(id, rng) && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// cancel cancels a job, records when the cancellation was confirmed, and reports
// whether it was. That there is no such job confirms it, too.
func (c *callers) cancel(id string, rng *rand.Rand) bool {
	c.world.checker.update(id, func(j *jobRecord) { j.cancelSent = true })
	for range requestAttempts {
		status, _ := c.call(http.MethodDelete, c.world.anyNode(rng), id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			c.world.checker.confirmCancellation(id, status)
			return true
		}
	}
	return false
}

// jobID returns the ID of the nth job of a seed.
func jobID(seed uint64, n int) string { return fmt.Sprintf("%08x%08x", uint32(seed), n) }
