package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/hostlist"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// hostRow is a host's row with its version in the table.
type hostRow struct {
	host.Row
	version int64
}

// fleet is what the platform said last. It is owned by the control goroutine;
// a reading replaces its parts.
type fleet struct {
	// rows are the host rows by host.
	rows map[string]hostRow
	// changes counts what happened to the hosts of each pool.
	changes map[string]changes
	// rowsAsOf is when the scan began that rows reflect.
	rowsAsOf time.Time
	// rowsVersion is the highest version that a scan brought.
	rowsVersion int64
	// listed is the host list by host, read at listedAsOf; nil before the
	// first reading.
	listed     hostlist.Hosts
	listedAsOf time.Time
	// listedLocally says that this process read the list itself.
	listedLocally bool
	// lastListed are all hosts as the list last lastListed them.
	lastListed map[string]host.Host
	// entries are the registrations, as of a scan that began at entriesAsOf.
	entries     []membership.Entry
	entriesAsOf time.Time
}

// newFleet returns a world of which nothing was read.
func newFleet() fleet {
	return fleet{
		rows:       map[string]hostRow{},
		changes:    map[string]changes{},
		lastListed: map[string]host.Host{},
	}
}

// snapshot is one round of snapshot the platform. A nil part failed.
type snapshot struct {
	began  time.Time
	rows   []hostRow
	rowsOK bool
	listed hostlist.Hosts
	// listedAt is when the list was read: by this process, if listedHere.
	listedAt      time.Time
	listedLocally bool
	entries       []membership.Entry
	entriesOK     bool
}

// readPlatform reads host rows written after a version, the host list and the
// registrations; these not where registry is nil. It is called outside the
// control goroutine.
func (m *Manager) readPlatform(ctx context.Context, registry *membership.Registry, after int64) (snapshot, error) {
	r := snapshot{began: m.now()}
	var failed error
	rows, err := scanHosts(ctx, m.platform.Table, after)
	if err == nil {
		r.rows, r.rowsOK = rows, true
	} else {
		failed = err
	}
	if registry != nil {
		entries, err := registry.Entries(ctx)
		if err == nil {
			r.entries, r.entriesOK = entries, true
		} else {
			failed = err
		}
	}
	if err := m.readList(ctx, &r); err != nil {
		failed = err
	}
	return r, failed
}

// scanHosts returns the host rows written after a version.
func scanHosts(ctx context.Context, table platform.Table, after int64) ([]hostRow, error) {
	rows, err := table.Scan(ctx, host.KeyPrefix, after)
	if err != nil {
		return nil, err
	}
	parsed := make([]hostRow, 0, len(rows))
	for _, row := range rows {
		r := hostRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &r.Row); err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
		parsed = append(parsed, r)
	}
	return parsed, nil
}

// apply replaces what a reading brought. Rows only go up in version, so a scan
// that was overtaken by our own commit takes nothing back.
func (f *fleet) apply(r snapshot) {
	if r.rowsOK {
		for _, row := range r.rows {
			f.put(row)
			// Only scans raise the mark: a commit of our own may be newer
			// than rows of others that no scan has brought yet.
			f.rowsVersion = max(f.rowsVersion, row.version)
		}
		f.rowsAsOf = r.began
	}
	if r.entriesOK {
		f.entries = r.entries
		f.entriesAsOf = r.began
	}
	if r.listed != nil {
		f.listed = r.listed
		f.listedAsOf = r.listedAt
		f.listedLocally = r.listedLocally
		for name, h := range r.listed {
			f.lastListed[name] = h.Host
		}
	}
}

// plausible reports whether a host list may be acted on. One that lacks more
// than half of the hosts listed before is taken for a fault of the list:
// failures take a data centre at the most.
func (f *fleet) plausible(listed hostlist.Hosts) bool {
	missing := 0
	for name := range f.listed {
		if _, ok := listed[name]; !ok {
			missing++
		}
	}
	return 2*missing <= len(f.listed)
}

// put takes in a host row if it is newer than the one known.
func (f *fleet) put(row hostRow) {
	old, known := f.rows[row.Host]
	if known && old.version >= row.version {
		return
	}
	if known {
		f.countChange(old, row)
	}
	f.rows[row.Host] = row
}

// listedHost returns what the platform says of a host, if it is listed.
func (f *fleet) listedHost(name string) (platform.ListedHost, bool) {
	h, ok := f.listed[name]
	return h, ok
}
