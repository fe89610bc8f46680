package entry

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// Counters of this process's responses: by outcome, refusals by reason, and
// answers of upstreams that were cut off after their header was sent on.
var (
	requests      = expvar.NewMap("egretpitch_entry_requests")
	refusals      = expvar.NewMap("egretpitch_entry_refusals")
	brokenAnswers = expvar.NewInt("egretpitch_entry_broken_answers")
)

// init publishes the latencies of answered requests by service.
func init() {
	expvar.Publish("egretpitch_entry_latency_us", expvar.Func(func() any { return latencies.summary() }))
}

// countRan counts a request that an upstream answered.
func countRan() { requests.Add(outcome.Ran.String(), 1) }

// countRefusal counts a response that egretpitch itself gives.
func countRefusal(r *outcome.Refusal) {
	requests.Add(r.Outcome.String(), 1)
	refusals.Add(r.Reason, 1)
}

const (
	// latencyStripes is the number of histograms of a service, over which
	// concurrent requests are spread to reduce lock contention.
	latencyStripes = 8
	// maxLatency is the upper end of the histogram; longer latencies are recorded
	// as this value.
	maxLatency = 2 * time.Minute
	// latencyDigits is the precision of the histogram in significant digits.
	latencyDigits = 2
)

// latency records the latencies of one service.
type latency struct {
	stripes [latencyStripes]latencyStripe
}

// latencyStripe is a histogram in microseconds with its lock.
type latencyStripe struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	// Padding keeps the stripes on separate cache lines.
	_ [64]byte
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

func newLatency() *latency {
	l := &latency{}
	for i := range l.stripes {
		l.stripes[i].hist = newHistogram()
	}
	return l
}

// record records one latency. Two concurrent requests contend only if they
// draw the same stripe.
func (l *latency) record(d time.Duration) {
	s := &l.stripes[rand.IntN(latencyStripes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	// The value is clamped to the histogram's range, so this cannot fail.
	_ = s.hist.RecordValue(min(max(d, 0), maxLatency).Microseconds())
}

// latencySummary is the published summary of a service's latencies. Count is
// the number of requests; all other values are in microseconds.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// summary returns the summary of all stripes together.
func (l *latency) summary() latencySummary {
	all := newHistogram()
	for i := range l.stripes {
		l.stripes[i].mu.Lock()
		all.Merge(l.stripes[i].hist)
		l.stripes[i].mu.Unlock()
	}
	return latencySummary{
		Count: all.TotalCount(),
		P50:   all.ValueAtQuantile(50),
		P90:   all.ValueAtQuantile(90),
		P99:   all.ValueAtQuantile(99),
		P999:  all.ValueAtQuantile(99.9),
		Max:   all.Max(),
	}
}

// latencyTable has the latencies of all services of the process by name.
type latencyTable struct {
	mu       sync.Mutex
	services map[string]*latency
}

var latencies = latencyTable{services: map[string]*latency{}}

// get returns the latencies of a service and creates them if they do not
// exist.
func (t *latencyTable) get(service string) *latency {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.services[service]
	if l == nil {
		l = newLatency()
		t.services[service] = l
	}
	return l
}

// summary returns the summaries by service, as published.
func (t *latencyTable) summary() map[string]latencySummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]latencySummary, len(t.services))
	for name, l := range t.services {
		all[name] = l.summary()
	}
	return all
}
