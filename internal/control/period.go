package control

import (
	"context"
	"time"
)

const (
	// readInterval is the time between two reads of the platform by a process
	// that owns shards.
	readInterval = time.Second
	// minIdleInterval is the minimum time between two reads by a process
	// without shards, which needs them only to answer operators' requests.
	minIdleInterval = 5 * time.Second
	// idleReadingsPerSecond bounds the reads of all processes without shards
	// together; the interval of each grows with the number of members.
	idleReadingsPerSecond = 5
	// registrationsPerSecond bounds the rate at which an owner reads
	// registration rows while neither a drain nor a new shard needs them.
	registrationsPerSecond = 100
	// maxRegistrationAge bounds the time between two reads of the
	// registrations. It is below the gap between observations after which
	// package permit restarts counting absences.
	maxRegistrationAge = 5 * time.Second
	// trackCallsPerSecond bounds the calls of a process that tracks a rollout.
	// Each check makes one call to every member.
	trackCallsPerSecond = 100
	// maxListAge is the maximum age of a host list that a process accepts from
	// another one, or still acts on when it acquires its first shard.
	maxListAge = 5 * time.Second
	// freshTimeout bounds the wait for a snapshot that an operator's request
	// triggers. After it the request is answered from the previous snapshot.
	freshTimeout = 2 * time.Second
)

// readPeriod returns the time between two reads of the platform by a process
// that owns the given number of shards.
func readPeriod(owned, members int) time.Duration {
	if owned > 0 {
		return readInterval
	}
	return max(minIdleInterval, time.Duration(members)*time.Second/idleReadingsPerSecond)
}

// trackPeriod returns the time between two checks of a rollout.
func trackPeriod(members int) time.Duration {
	return max(trackInterval, time.Duration(members)*time.Second/trackCallsPerSecond)
}

// registrationPeriod returns the time between two reads of the registrations by
// an owner while neither a drain nor a new shard needs them.
func registrationPeriod(entries int) time.Duration {
	return min(maxRegistrationAge, time.Duration(entries)*time.Second/registrationsPerSecond)
}

// needsRegistrations reports whether the next read includes the registrations.
// A drain needs every scan that begins after the drain, and a new owner the
// first one that begins after it acquired the shard. A process without shards,
// which reads seldom, includes them every time.
func (m *Manager) needsRegistrations(now time.Time) bool {
	for _, s := range m.shards {
		if len(s.drains) > 0 || !m.fleet.entriesAsOf.After(s.acquired) {
			return true
		}
	}
	age := now.Sub(m.fleet.entriesAsOf)
	return len(m.shards) == 0 || age >= registrationPeriod(len(m.fleet.entries))
}

// nextReading returns the time until the next read of the platform.
func (m *Manager) nextReading() time.Duration {
	return readPeriod(len(m.leases.Held()), len(m.members.Snapshot().Members))
}

// dropOldList discards the host list if it is older than maxListAge when a
// process without shards acquires its first one. The shard is not ready before
// a new list has been read.
func (m *Manager) dropOldList(now time.Time) {
	if len(m.shards) == 0 && now.Sub(m.fleet.listedAsOf) > maxListAge {
		m.fleet.listed = nil
	}
}

// refresh waits up to freshTimeout for a scan of the host rows that began after
// the call. It returns at once in a process that owns shards, which reads the
// platform every readInterval.
func (m *Manager) refresh(ctx context.Context) {
	if len(m.leases.Held()) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	asked := m.now()
	for {
		var readDone <-chan struct{}
		fresh := false
		if !m.exec.Do(ctx, func() { readDone, fresh = m.readDone, m.fleet.rowsAsOf.After(asked) }) || fresh {
			return
		}
		m.requestRead()
		select {
		case <-readDone:
		case <-ctx.Done():
			return
		}
	}
}
