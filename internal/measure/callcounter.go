package measure

import (
	"context"
	"strings"
	"sync"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Load counts the calls of a process to the platform. In a Sample the counts
// are rates per second.
type Load struct {
	Commits     float64 `json:"commits"`
	RowsWritten float64 `json:"rows_written"`
	TableReads  float64 `json:"table_reads"`
	// Scans are the scans by the prefix of their keys up to the first slash.
	Scans map[string]float64 `json:"scans"`
	// Rows are the rows returned by reads and scans.
	Rows float64 `json:"rows_read"`
	// Objects are the calls of the object store, HostList the reads of the host
	// list.
	Objects  float64 `json:"object_calls"`
	HostList float64 `json:"host_list_reads"`
}

// reads returns the sum of table reads, scans, object calls and host list reads.
func (l *Load) reads() float64 {
	sum := l.TableReads + l.Objects + l.HostList
	for _, n := range l.Scans {
		sum += n
	}
	return sum
}

// callCounter forwards calls to the platform and counts them.
type callCounter struct {
	platform.Table
	platform.Objects
	platform.HostList

	mu     sync.Mutex
	counts Load
}

// newCallCounter returns a counter and the platform through it. Calls to workers
// are not counted.
func newCallCounter(p *platform.Platform) (*callCounter, *platform.Platform) {
	c := &callCounter{Table: p.Table, Objects: p.Objects, HostList: p.Hosts}
	c.reset()
	return c, &platform.Platform{Table: c, Objects: c, Hosts: c, Workers: p.Workers}
}

// reset sets all counts to 0.
func (c *callCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = Load{Scans: map[string]float64{}}
}

// rates returns the counts divided by a time in seconds.
func (c *callCounter) rates(seconds float64) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.counts
	l.Scans = map[string]float64{}
	for prefix, n := range c.counts.Scans {
		l.Scans[prefix] = n / seconds
	}
	for _, v := range []*float64{&l.Commits, &l.RowsWritten, &l.TableReads, &l.Rows, &l.Objects, &l.HostList} {
		*v /= seconds
	}
	return l
}

// update changes the counts under the lock.
func (c *callCounter) update(change func(*Load)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// Commit implements platform.Table.
func (c *callCounter) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	c.update(func(l *Load) { l.Commits++; l.RowsWritten += float64(len(txn.Writes)) })
	return c.Table.Commit(ctx, txn)
}

// Read implements platform.Table.
func (c *callCounter) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := c.Table.Read(ctx, keys...)
	c.update(func(l *Load) { l.TableReads++; l.Rows += float64(len(rows)) })
	return rows, err
}

// Scan implements platform.Table.
func (c *callCounter) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	rows, err := c.Table.Scan(ctx, prefix, after)
	kind, _, _ := strings.Cut(prefix, "/")
	c.update(func(l *Load) { l.Scans[kind]++; l.Rows += float64(len(rows)) })
	return rows, err
}

// Put implements platform.Objects.
func (c *callCounter) Put(ctx context.Context, name string, data []byte) error {
	c.update(func(l *Load) { l.Objects++ })
	return c.Objects.Put(ctx, name, data)
}

// Get implements platform.Objects.
func (c *callCounter) Get(ctx context.Context, name string) ([]byte, error) {
	c.update(func(l *Load) { l.Objects++ })
	return c.Objects.Get(ctx, name)
}

// Hosts implements platform.HostList.
func (c *callCounter) Hosts(ctx context.Context) ([]platform.ListedHost, error) {
	c.update(func(l *Load) { l.HostList++ })
	return c.HostList.Hosts(ctx)
}
