package soak

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	validKey     = "soak-secret-valid"
	secondKey    = "soak-secret-second"
	withdrawnKey = "soak-secret-withdrawn"
	unknownKey   = "soak-secret-unknown"
	// wrongKeyInterval is the number of jobs with a valid key for each with a wrong
	// one, and firstWrongKeyJob the number of the first of those.
	wrongKeyInterval = 8
	firstWrongKeyJob = 1 << 21
	// configApplied is how long after its commit a version of the configuration has
	// to be in force.
	configApplied = 3 * time.Second
)

// withdrawKey withdraws withdrawnKey, unless a fault keeps the operator from it.
func (c *callers) withdrawKey() {
	if c.world.platform.ConfigureTeams(teams(startQuotas, validKey)) == nil {
		c.world.keyWithdrawn = time.Now()
	}
}

// submitWithWrongKey submits a job with an unknown key, or the withdrawn one once its
// withdrawal has to be in force. The checker finds its tasks if any runs.
func (c *callers) submitWithWrongKey(id string, rng *rand.Rand) {
	key := unknownKey
	if at := c.world.keyWithdrawn; !at.IsZero() && time.Since(at) > configApplied && rng.IntN(2) == 0 {
		key = withdrawnKey
	}
	c.world.checker.addJob(id, &jobRecord{steps: []step{{count: 1, after: -1}}})
	status, _ := c.callWithin(requestTimeout, key, http.MethodPost, c.world.anyNode(rng), id, longBody(1))
	c.world.checker.update(id, func(*jobRecord) {
		switch status {
		case http.StatusUnauthorized:
			c.world.checker.unauthorized++
		case 0, http.StatusServiceUnavailable:
		default:
			c.world.checker.addViolation("KEY: job %s with the key %s is answered %d", id, key, status)
		}
	})
}

// checkLogsForKeys records a violation for each node whose log holds a key.
func (w *world) checkLogsForKeys() {
	for _, n := range w.nodes {
		if log, err := os.ReadFile(n.logPath); err != nil || strings.Contains(string(log), "soak-secret") {
			w.checker.mu.Lock()
			w.checker.addViolation("KEY: the log of %s holds a key, or cannot be read: %v", n.name, err)
			w.checker.mu.Unlock()
		}
	}
}
