package node

import (
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretpitch/egretpitch/internal/scheduler"
)

// metrics holds the process's metrics, which expvar publishes. Durations are in
// microseconds.
type metrics struct {
	requests   *expvar.Map
	latency    map[string]*histogram
	ownerships *expvar.Int
	// refusals counts the requests that the configuration did not allow, by refusal.
	refusals *expvar.Map
	// configuration returns the figures of the configuration in force.
	configuration atomic.Pointer[func() map[string]any]
	// unresolved is the number of submissions without an answer whose callers wait.
	unresolved *expvar.Int
	// refused counts refused submissions by reason.
	refused   *expvar.Map
	cancelled *cancelledRuns
	mu        sync.Mutex
	stats     scheduler.Stats
	teams     []scheduler.TeamStats
}

// histogram is a latency histogram that is safe for concurrent use.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const (
	// maxLatencyUS is the largest latency recorded: one minute, in
	// microseconds.
	maxLatencyUS = 60_000_000
	// latencyDigits is the precision of the histograms in decimal digits.
	latencyDigits = 2
)

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}
}

// record adds a latency, clamped to the range of the histogram.
func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS)) // in range
}

// summary returns the count, percentiles and maximum, in microseconds.
func (h *histogram) summary() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"count": h.h.TotalCount(), "p50": h.h.ValueAtQuantile(50), "p90": h.h.ValueAtQuantile(90),
		"p99": h.h.ValueAtQuantile(99), "max": h.h.Max(),
	}
}

// publishOnce guards the expvar names, which can be published only once per
// process; tests create several nodes.
var publishOnce sync.Once

// newMetrics returns new metrics. Only those of the first call are published, with
// the state of the table service that storeState returns.
func newMetrics(storeState func() string) *metrics {
	m := &metrics{
		requests: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), ownerships: new(expvar.Int),
		refused: new(expvar.Map).Init(), unresolved: new(expvar.Int), cancelled: newCancelledRuns(),
		latency: map[string]*histogram{"POST": newHistogram(), "GET": newHistogram(), "DELETE": newHistogram()},
	}
	publishOnce.Do(func() {
		expvar.Publish("egretpitch_node_requests", m.requests)
		expvar.Publish("egretpitch_node_refusals", m.refusals)
		expvar.Publish("egretpitch_node_configuration", expvar.Func(func() any {
			if f := m.configuration.Load(); f != nil {
				return (*f)()
			}
			return nil
		}))
		expvar.Publish("egretpitch_node_ownerships", m.ownerships)
		expvar.Publish("egretpitch_node_refused", m.refused)
		expvar.Publish("egretpitch_node_unresolved", m.unresolved)
		expvar.Publish("egretpitch_node_store", expvar.Func(func() any { return storeState() }))
		expvar.Publish("egretpitch_node_latency_us", expvar.Func(func() any {
			out := map[string]any{}
			for method, h := range m.latency {
				out[method] = h.summary()
			}
			return out
		}))
		expvar.Publish("egretpitch_node_cancelled_runs_us", expvar.Func(func() any { return m.cancelled.summary() }))
		expvar.Publish("egretpitch_node_control", expvar.Func(func() any {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.stats
		}))
		expvar.Publish("egretpitch_node_teams", expvar.Func(func() any {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.teams
		}))
	})
	return m
}

// cancelledRuns measures how long the runs of cancelled jobs go on. It is safe for
// concurrent use.
type cancelledRuns struct {
	// known counts from when the owner learned of the cancellation, and stored from
	// the earliest time at which it can have been stored.
	known, stored *histogram
	mu            sync.Mutex
	// slowest is the end that took longest.
	slowest scheduler.CancelledRunsEnd
}

func newCancelledRuns() *cancelledRuns {
	return &cancelledRuns{known: newHistogram(), stored: newHistogram()}
}

// record adds the end of the last run of a cancelled job.
func (c *cancelledRuns) record(end scheduler.CancelledRunsEnd) {
	c.known.record(end.Took)
	if end.Age >= 0 {
		c.stored.record(end.Age + end.Took)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slowest.Job == "" || end.Took > c.slowest.Took {
		c.slowest = end
	}
}

// summary returns the histograms and what the slowest end waited for.
func (c *cancelledRuns) summary() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{
		"known": c.known.summary(), "stored": c.stored.summary(),
		"slowest": map[string]any{"job": c.slowest.Job, "worker": c.slowest.Worker, "us": c.slowest.Took.Microseconds()},
	}
}

// countRequest counts an answered request and records its latency.
func (m *metrics) countRequest(method string, status int, took time.Duration) {
	m.requests.Add(method+" "+strconv.Itoa(status), 1)
	if h := m.latency[method]; h != nil {
		h.record(took)
	}
}

// setEngineStats publishes the counters of the control work.
func (m *metrics) setEngineStats(s scheduler.Stats, teams []scheduler.TeamStats) {
	m.mu.Lock()
	m.stats, m.teams = s, teams
	m.mu.Unlock()
}
