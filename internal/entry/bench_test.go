package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/logging"
)

// answerBytes is the size of the answers' bodies in bytes.
const answerBytes = 1 << 10

// blockOrders is the number of orders in a block.
const blockOrders = 200

// processorTime returns the user and system CPU time of the process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// caller is a client that sends orders to one address.
type caller struct {
	client *http.Client
	url    string
}

func newCaller(address string) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{}}, url: "http://" + address + "/orders/1"}
}

// order sends one order and reads its answer.
func (c *caller) order(b *testing.B) {
	resp, err := c.client.Post(c.url, "text/plain", strings.NewReader("one gross of mantles"))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != answerBytes {
		b.Fatal(n, err)
	}
}

// orders sends one block of orders and returns the CPU time that the caller,
// the upstream and everything between them used.
func (c *caller) orders(b *testing.B) time.Duration {
	before := processorTime(b)
	for range blockOrders {
		c.order(b)
	}
	return processorTime(b) - before
}

// compare alternates blocks of direct calls and of requests through the entry,
// so that other load on the machine affects both alike.
func compare(b *testing.B, bare, entry *caller) {
	var bareTime, entryTime time.Duration
	blocks := 0
	for b.Loop() {
		bareTime += bare.orders(b)
		entryTime += entry.orders(b)
		blocks++
	}
	perOrder := func(d time.Duration) float64 { return float64(d) / float64(blocks*blockOrders) }
	b.ReportMetric(perOrder(bareTime), "bare-cpu-ns")
	b.ReportMetric(perOrder(entryTime), "entry-cpu-ns")
	b.ReportMetric(perOrder(entryTime-bareTime), "added-cpu-ns")
	b.ReportMetric(float64(entryTime-bareTime)/float64(bareTime), "added/bare")
}

// BenchmarkEntryRequest compares a request through an entry with a direct call
// of the same upstream: allocations of each, and the CPU time of both in
// alternating blocks. "added" is the part that the entry adds.
func BenchmarkEntryRequest(b *testing.B) {
	answer := bytes.Repeat([]byte("x"), answerBytes)
	upstream := func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(answer) }
	server := httptest.NewServer(http.HandlerFunc(upstream))
	b.Cleanup(server.Close)
	bare := newCaller(server.Listener.Addr().String())
	b.Run("bare", func(b *testing.B) { each(b, bare) })
	for _, sample := range []float64{1, 0} {
		f := newFixture(b, upstream)
		log, flush, err := logging.New(io.Discard, "info", "entry-1")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(flush)
		f.entry.log = log
		f.entry.catalog.Load().services["orders"].logSample = sample
		entry := newCaller(f.address)
		b.Run(fmt.Sprintf("entry-log-sample-%v", sample), func(b *testing.B) { each(b, entry) })
		b.Run(fmt.Sprintf("blocks-log-sample-%v", sample), func(b *testing.B) { compare(b, bare, entry) })
	}
}

// each measures single orders.
func each(b *testing.B, c *caller) {
	b.ReportAllocs()
	for b.Loop() {
		c.order(b)
	}
}
