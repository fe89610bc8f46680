package control

import (
	"context"
	"time"
)

const (
	// readInterval is the time between two readings of the platform by a
	// process that owns shards.
	readInterval = time.Second
	// minIdleInterval is the least time between two readings by a process
	// without shards, which needs them only for operators' questions.
	minIdleInterval = 5 * time.Second
	// idleReadingsPerSecond bounds the readings of all processes without
	// shards together; their interval grows with the number of members.
	idleReadingsPerSecond = 5
	// registrationsPerSecond bounds the registrations that an owner reads when
	// nothing waits for them.
	registrationsPerSecond = 100
	// maxRegistrationAge bounds the time between two readings of the
	// registrations. It is below the gap in looks after which package right
	// begins to count absences anew.
	maxRegistrationAge = 5 * time.Second
	// trackCallsPerSecond bounds the calls of a process that watches a
	// roll-out, each look being one call to every member.
	trackCallsPerSecond = 100
	// maxListAge is the age above which a new owner does not act by the host
	// list that it read while it had no shards.
	maxListAge = 5 * time.Second
	// freshTimeout bounds the wait for a reading that an operator's question
	// asks for; after it the answer is what was read last.
	freshTimeout = 2 * time.Second
)

// readPeriod returns the time between two readings.
func readPeriod(owned, members int) time.Duration {
	if owned > 0 {
		return readInterval
	}
	return max(minIdleInterval, time.Duration(members)*time.Second/idleReadingsPerSecond)
}

// trackPeriod returns the time between two looks at a roll-out.
func trackPeriod(members int) time.Duration {
	return max(trackInterval, time.Duration(members)*time.Second/trackCallsPerSecond)
}

// registrationPeriod returns the time between two readings of the registrations
// by an owner for whom nothing waits for them.
func registrationPeriod(entries int) time.Duration {
	return min(maxRegistrationAge, time.Duration(entries)*time.Second/registrationsPerSecond)
}

// needsRegistrations reports whether the next reading brings the
// registrations. A drain waits for each scan that begins after it did, and a
// new owner for the first after it took the shard.
func (m *Manager) needsRegistrations(now time.Time) bool {
	for _, s := range m.shards {
		if len(s.drains) > 0 || !m.fleet.entriesAsOf.After(s.acquired) {
			return true
		}
	}
	age := now.Sub(m.fleet.entriesAsOf)
	return len(m.shards) == 0 || age >= registrationPeriod(len(m.fleet.entries))
}

// nextReading returns how long to wait for the next reading.
func (m *Manager) nextReading() time.Duration {
	return readPeriod(len(m.leases.Held()), len(m.members.Snapshot().Members))
}

// dropOldList forgets a host list that is too old to act by, when a process
// without shards gets its first. The shard is not ready before the next one.
func (m *Manager) dropOldList(now time.Time) {
	if len(m.shards) == 0 && now.Sub(m.fleet.listedAsOf) > maxListAge {
		m.fleet.listed = nil
	}
}

// refresh waits for a reading that began after the call, if the process reads
// seldom.
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
