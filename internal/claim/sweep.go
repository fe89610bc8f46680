package claim

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// partsPerService is the number of parts in which the claims of a service are
// scanned: one for each value of the first byte of the hashed key.
const partsPerService = 256

// versionSample records that every row up to a version existed at a time.
type versionSample struct {
	version int64
	at      time.Time
}

// sweeper removes old claims. It determines the age of a row without the clock
// of another host: versions rise with every write, so a row whose version is not
// above one that was read a retention period ago is at least that old.
type sweeper struct {
	opts Options
	// samples holds the highest versions read of each part, oldest first.
	samples map[string][]versionSample
	// lastPart is the index of the part that was scanned last, over all parts
	// of all services.
	lastPart int

	mu sync.Mutex
	// services lists the services that this entry serves, sorted.
	services []string
}

// newSweeper returns a sweeper without services.
func newSweeper(opts Options) *sweeper {
	return &sweeper{opts: opts, samples: map[string][]versionSample{}}
}

// addService adds a service whose claims are swept.
func (w *sweeper) addService(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := sort.SearchStrings(w.services, service)
	if i < len(w.services) && w.services[i] == service {
		return
	}
	w.services = append(w.services[:i], append([]string{service}, w.services[i:]...)...)
}

// sweep scans the next part of a service's claims and removes old ones.
func (w *sweeper) sweep(ctx context.Context) {
	w.mu.Lock()
	if len(w.services) == 0 {
		w.mu.Unlock()
		return
	}
	w.lastPart = (w.lastPart + 1) % (len(w.services) * partsPerService)
	service := w.services[w.lastPart/partsPerService]
	w.mu.Unlock()
	w.sweepPart(ctx, fmt.Sprintf("%s%02x", servicePrefix(service), w.lastPart%partsPerService))
}

// sweepPart removes the old claims of one part, at most a batch of them.
func (w *sweeper) sweepPart(ctx context.Context, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.TableTimeout)
	defer cancel()
	rows, err := w.opts.Table.Scan(ctx, prefix, 0)
	if err != nil {
		return
	}
	expired := w.expiredVersion(prefix, rows, time.Now())
	var txn platform.Txn
	for _, row := range rows {
		if row.Version <= expired && len(txn.Writes) < w.opts.BatchSize {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
	}
	if len(txn.Writes) == 0 {
		return
	}
	// A conflict means that another entry removed some of them. After a
	// conflict or a lost answer, the next sweep removes those that are left.
	_, err = w.opts.Table.Commit(ctx, txn)
	event.ClaimsRemoved.Log(w.opts.Log, zap.String("part", prefix), zap.Int("rows", len(txn.Writes)), zap.Error(err))
}

// expiredVersion records the highest version among the rows of a part now, and
// returns the version up to which its rows are older than the retention period.
func (w *sweeper) expiredVersion(prefix string, rows []platform.Row, now time.Time) int64 {
	highest := platform.NoVersion
	for _, row := range rows {
		highest = max(highest, row.Version)
	}
	samples := append(w.samples[prefix], versionSample{version: highest, at: now})
	expired := platform.NoVersion
	for len(samples) > 0 && now.Sub(samples[0].at) >= w.opts.Retention {
		expired = samples[0].version
		samples = samples[1:]
	}
	if expired != platform.NoVersion {
		// Keep the sample for rows that did not fit into this batch.
		samples = append([]versionSample{{version: expired, at: now.Add(-w.opts.Retention)}}, samples...)
	}
	w.samples[prefix] = samples
	return expired
}
