package membership

import "time"

// minOwnHeartbeats is the number of the observer's own heartbeats that must
// have reached the table while another row stayed unchanged before that member
// is considered dead. Otherwise a slow table would make live members appear dead.
const minOwnHeartbeats = 3

// observation is what the observer knows about one member.
type observation struct {
	version int64
	// unchangedSince is the time at which the row was first read with this
	// version, or at which leases were last restarted.
	unchangedSince time.Time
	// ownHeartbeats is the number of the observer's own heartbeats that reached
	// the table since then.
	ownHeartbeats int
	dead          bool
}

// detector is a failure detector: it assesses which members are live. It does
// no I/O and reads no clock.
type detector struct {
	self string
	// selfVersion is the version of the observer's own row in the last scan.
	selfVersion  int64
	observations map[string]*observation
	// outage is set while the table cannot be read or takes no writes. The next
	// good round restarts all leases.
	outage bool
}

func newDetector(self string) *detector {
	return &detector{self: self, observations: map[string]*observation{}}
}

// scanFailed records a round in which the observer could not read the table.
// All leases restart once it can: rows do not change during an outage, so an
// unchanged row does not prove that its writer is dead.
func (v *detector) scanFailed() { v.outage = true }

// assess sets Live on each of the scanned members and reports whether the
// observer could assess them. It cannot while its own row stays unchanged,
// since the table may then accept no writes from any member.
func (v *detector) assess(now time.Time, lease time.Duration, members []Member) bool {
	own := ownVersion(members, v.self)
	ownRowChanged := own != v.selfVersion
	v.selfVersion = own
	if !ownRowChanged {
		v.outage = true
	}
	renew := v.outage && ownRowChanged
	present := make(map[string]bool, len(members))
	for i := range members {
		m := &members[i]
		present[m.Name] = true
		s := v.observeMember(now, m)
		switch {
		case renew:
			s.unchangedSince, s.ownHeartbeats = now, 0
		case ownRowChanged && s.unchangedSince != now:
			s.ownHeartbeats++
			s.dead = s.dead || s.ownHeartbeats >= minOwnHeartbeats && now.Sub(s.unchangedSince) >= lease
		}
		m.Live = !s.dead
	}
	v.removeAbsent(present)
	if renew {
		v.outage = false
	}
	return ownRowChanged
}

// observeMember returns the observation of a member. It starts a new one if
// the row has changed.
func (v *detector) observeMember(now time.Time, m *Member) *observation {
	s := v.observations[m.Name]
	if s == nil || s.version != m.Version {
		s = &observation{version: m.Version, unchangedSince: now}
		v.observations[m.Name] = s
	}
	return s
}

// removeAbsent drops the observations of members without a row.
func (v *detector) removeAbsent(present map[string]bool) {
	for name := range v.observations {
		if !present[name] {
			delete(v.observations, name)
		}
	}
}

// ownVersion returns the version of the observer's own row, 0 if there is
// none.
func ownVersion(members []Member, self string) int64 {
	for _, m := range members {
		if m.Name == self {
			return m.Version
		}
	}
	return 0
}

// expired reports whether a member is dead and its row has been unchanged for
// d.
func (v *detector) expired(now time.Time, d time.Duration, name string) bool {
	s := v.observations[name]
	return s != nil && s.dead && now.Sub(s.unchangedSince) >= d
}
