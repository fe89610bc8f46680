package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// client is a caller of the nodes. Each call is a connection of its own, as the
// platform spreads connections over nodes.
type client struct {
	w    *world
	http *http.Client
}

func newClient(w *world) *client {
	return &client{w: w, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// step is a step of a job.
type step struct {
	Count          int   `json:"count"`
	CPU            int   `json:"cpu"`
	MemMB          int   `json:"mem_mb"`
	EstimatedMS    int   `json:"estimated_ms"`
	After          []int `json:"after,omitempty"`
	LongRunning    bool  `json:"long_running,omitempty"`
	AntiAffinity   int   `json:"anti_affinity,omitempty"`
	MaxUnavailable int   `json:"max_unavailable,omitempty"`
}

// newID returns a new id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes a call at a node and returns the status, 0 for no answer, and the
// body.
func (c *client) call(n *node, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Egretpitch-Deadline-Remaining", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		c.w.note("client", "%s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	var out map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&out) // an answer without a body
	c.w.note("client", "%s %s at %s: %d %v", method, path, n.name, resp.StatusCode, out)
	return resp.StatusCode, out
}

// submit hands a job in, with up to four retries under the same id, and reports
// whether it was accepted.
func (c *client) submit(id, prefix, spec string, steps []step) bool {
	nodes := c.w.nodes
	first := rand.IntN(len(nodes))
	for try := range 5 {
		status, _ := c.call(nodes[(first+try)%len(nodes)], http.MethodPost, prefix+id, map[string]any{"task_spec": spec, "steps": steps})
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// isReady reports whether the node answers the balancer's check with 200.
func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/api/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
