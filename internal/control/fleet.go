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

// fleet is the state of hosts and entries as last read from the platform. Only
// the control goroutine uses it. Snapshots update it, and commits of this
// process update its rows.
type fleet struct {
	// rows are the host rows by host name.
	rows map[string]hostRow
	// changes counts the moves, maintenances and failures of each pool's hosts.
	changes map[string]changes
	// rowsAsOf is the start of the last successful scan of the host rows.
	rowsAsOf time.Time
	// rowsVersion is the highest row version returned by a scan.
	rowsVersion int64
	// listed is the host list by host name, read at listedAsOf. It is nil
	// before the first read.
	listed     hostlist.Hosts
	listedAsOf time.Time
	// listedLocally is true if this process read the list from the platform
	// itself.
	listedLocally bool
	// lastListed is the last description, by host name, of every host that was
	// on the list since the start of this process.
	lastListed map[string]host.Host
	// entries are the registrations as of a scan that began at entriesAsOf.
	entries     []membership.Entry
	entriesAsOf time.Time
}

// newFleet returns an empty fleet, before the first snapshot.
func newFleet() fleet {
	return fleet{
		rows:       map[string]hostRow{},
		changes:    map[string]changes{},
		lastListed: map[string]host.Host{},
	}
}

// snapshot is the result of one read of the platform. Parts that could not be
// read, or were not requested, are missing.
type snapshot struct {
	began  time.Time
	rows   []hostRow
	rowsOK bool
	listed hostlist.Hosts
	// listedAt is when the list was read: by this process if listedLocally is
	// true, otherwise by the process that it was fetched from.
	listedAt      time.Time
	listedLocally bool
	entries       []membership.Entry
	entriesOK     bool
}

// readPlatform reads the host rows written after the version after, the host
// list and, unless registry is nil, the registrations. It returns the parts
// that it could read together with the last error. It runs outside the control
// goroutine.
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

// apply updates the parts that a snapshot contains. A row is replaced only by a
// newer version, so a scan that began before a commit of this process does not
// undo it.
func (f *fleet) apply(r snapshot) {
	if r.rowsOK {
		for _, row := range r.rows {
			f.put(row)
			// Only scans advance rowsVersion: a commit of this process may be
			// newer than rows of other processes that no scan has returned yet.
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

// plausible reports whether a host list may be acted on. A list that lacks more
// than half of the previously listed hosts is treated as faulty, because the
// largest expected failure is the loss of one data centre.
func (f *fleet) plausible(listed hostlist.Hosts) bool {
	missing := 0
	for name := range f.listed {
		if _, ok := listed[name]; !ok {
			missing++
		}
	}
	return 2*missing <= len(f.listed)
}

// put stores a host row if it is newer than the stored one.
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

// listedHost returns the host list's record of a host, and whether the host is
// listed.
func (f *fleet) listedHost(name string) (platform.ListedHost, bool) {
	h, ok := f.listed[name]
	return h, ok
}
