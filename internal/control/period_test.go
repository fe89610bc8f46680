package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/maintenance"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// TestNewOwnerDoesNotActByOldHostList guards against a new owner that acts on a
// host list from long before it acquired the shard. This occurs when the list
// cannot be read for a while but the rows can.
func TestNewOwnerDoesNotActByOldHostList(t *testing.T) {
	read := time.Unix(1_800_000_000, 0)
	model := newConnModel()
	m := &Manager{fleet: model.fleet, shards: map[string]*shard{}}
	m.fleet.apply(snapshot{began: read, listed: map[string]platform.ListedHost{}})
	acquired := read.Add(maxListAge + time.Second)
	m.dropOldList(acquired)
	s := &shard{pool: modelPool, acquired: acquired}
	m.fleet.apply(snapshot{began: acquired.Add(time.Second), rowsOK: true, entriesOK: true})
	if s.ready(&m.fleet) {
		t.Error("shard is ready with a host list from before it was acquired")
	}
	listed := map[string]platform.ListedHost{"kano-01": {Host: host.Host{Name: "kano-01"}}}
	m.fleet.apply(snapshot{began: acquired.Add(2 * time.Second), listed: listed})
	if !s.ready(&m.fleet) {
		t.Error("shard is not ready after a new host list")
	}
}

// TestIdleReadingsAreBounded guards against a read load that grows with the
// number of control processes without shards. 590 is the planned number of
// members.
func TestIdleReadingsAreBounded(t *testing.T) {
	const members = 590
	if perSecond := members / readPeriod(0, members).Seconds(); perSecond > idleReadingsPerSecond {
		t.Errorf("%.1f reads per second by idle members", perSecond)
	}
	if got := readPeriod(1, members); got != readInterval {
		t.Errorf("an owner reads every %v", got)
	}
}

// TestDrainsAndNewOwnersReadRegistrations guards against an owner that reads
// all registrations of a large estate every second, and against a rate limit
// that holds back the scans that a drain or a new owner waits for.
func TestDrainsAndNewOwnersReadRegistrations(t *testing.T) {
	acquired := time.Unix(1_800_000_000, 0)
	read := acquired.Add(time.Second)
	now := read.Add(time.Second)
	s := &shard{acquired: acquired}
	m := &Manager{shards: map[string]*shard{modelPool: s}}
	m.fleet.entries = make([]membership.Entry, 590)
	m.fleet.entriesAsOf = read
	if m.needsRegistrations(now) {
		t.Error("registrations of 590 entries are read again after a second")
	}
	if !m.needsRegistrations(read.Add(maxRegistrationAge)) {
		t.Errorf("registrations are not read after %v", maxRegistrationAge)
	}
	s.drains = map[string]*drain{"kano-01": nil}
	if !m.needsRegistrations(now) {
		t.Error("registrations are not read for a drain")
	}
	s.drains, s.acquired = nil, read
	if !m.needsRegistrations(now) {
		t.Error("registrations are not read for a new owner")
	}
}

// TestUnknownMaintenanceIsSpread guards against hosts that are all due for
// maintenance at once, because no earlier maintenance is known when their first
// rows are written.
func TestUnknownMaintenanceIsSpread(t *testing.T) {
	const period = 49 * 24 * time.Hour
	now := time.Unix(1_800_000_000, 0)
	ages := map[int64]bool{}
	for i := range 100 {
		last := firstMaintained(fmt.Sprintf("kano-%02d", i), period, now)
		age := now.Sub(time.UnixMilli(last))
		if age < 0 || age >= maintenance.DueAfter(period) {
			t.Errorf("host %d is due at once: last maintained %v ago", i, age)
		}
		ages[last] = true
	}
	if len(ages) < 90 {
		t.Errorf("100 hosts fall due at only %d times", len(ages))
	}
}
