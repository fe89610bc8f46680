package entry

import (
	"encoding/json"
	"expvar"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/egretpitch/egretpitch/internal/logging"
)

// published returns the value of a metric as expvar publishes it.
func published[T any](t *testing.T, name string) T {
	var value T
	if err := json.Unmarshal([]byte(expvar.Get(name).String()), &value); err != nil {
		t.Fatal(err)
	}
	return value
}

func TestEveryAnswerIsCountedByItsOutcome(t *testing.T) {
	f := newFixture(t, answerByPath)
	counts := func() map[string]int64 {
		got := published[map[string]int64](t, "egretpitch_entry_requests")
		got["unknown-service"] = published[map[string]int64](t, "egretpitch_entry_refusals")["unknown-service"]
		got["latencies"] = published[map[string]latencySummary](t, "egretpitch_entry_latency_us")["orders"].Count
		return got
	}
	before := counts()
	for _, target := range []string{"/orders/1", "/orders/2", "/ledger", "/orders/../x"} {
		f.raw(t, get(target))
	}
	got := counts()
	for name := range got {
		got[name] -= before[name]
	}
	want := map[string]int64{"ran": 2, "not-run": 2, "unknown": 0, "unknown-service": 1, "latencies": 2}
	if _, ok := got["unknown"]; !ok {
		delete(want, "unknown")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestLatenciesOfAllStripesAreMerged(t *testing.T) {
	l := newLatency()
	for ms := range 1000 {
		l.record(time.Duration(ms+1) * time.Millisecond)
	}
	l.record(time.Hour)
	l.record(-1)
	got := l.summary()
	// The histogram's precision is two significant digits.
	if got.Count != 1002 || got.P50 < 490_000 || got.P50 > 510_000 || got.Max < maxLatency.Microseconds() {
		t.Errorf("got %+v", got)
	}
}

// blockedWriter blocks every write until opened is closed.
type blockedWriter struct{ opened chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.opened
	return len(p), nil
}

func TestBlockedLogDoesNotStallRequestsAndDroppedLinesAreCounted(t *testing.T) {
	f := newFixture(t, answerByPath)
	w := blockedWriter{make(chan struct{})}
	log, flush, err := logging.New(w, "info", "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	defer flush()
	defer close(w.opened)
	f.entry.log = log
	before := published[int64](t, "log_dropped_lines")
	answered := make(chan string)
	go func() {
		// More lines than the log's buffers hold.
		for range 100_000 {
			log.Info("line")
		}
		resp, _ := f.raw(t, get("/orders/1"))
		answered <- summarize(resp)
	}()
	select {
	case got := <-answered:
		if got != "200 ran " {
			t.Errorf("got %s", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("a blocked log stalls requests")
	}
	if published[int64](t, "log_dropped_lines") <= before {
		t.Error("no dropped line was counted")
	}
}

// TestDocumentedMetricsMatchTheCode compares the table under "Metrics" in
// docs/OPERATORS.md with the names in the source.
func TestDocumentedMetricsMatchTheCode(t *testing.T) {
	inCode, documented := map[string]bool{}, map[string]bool{}
	name := regexp.MustCompile(`expvar\.(?:New\w+|Publish)\("(\w+)"`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, found := range name.FindAllStringSubmatch(string(source), -1) {
			inCode[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "\n## Metrics\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, found := range regexp.MustCompile("(?m)^\\| `(\\w+)`").FindAllStringSubmatch(section, -1) {
		documented[found[1]] = true
	}
	if diff := cmp.Diff(inCode, documented); diff != "" {
		t.Errorf("code (-), docs/OPERATORS.md (+):\n%s", diff)
	}
}

func TestRoutingDecisionsAreLoggedAtTheSampleRate(t *testing.T) {
	for sample, want := range map[float64]int{0: 0, 1: 5} {
		core, lines := observer.New(zap.InfoLevel)
		f := newFixture(t, answerByPath)
		f.entry.log = zap.New(core)
		f.entry.catalog.Load().services["orders"].logSample = sample
		for range 5 {
			f.raw(t, get("/orders/1"))
		}
		if got := lines.FilterField(zap.String("host", "kano-01")).Len(); got != want {
			t.Errorf("sample %v: %d of 5 decisions logged, want %d", sample, got, want)
		}
	}
}
