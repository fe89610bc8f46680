package membership

import "time"

// minOwnHeartbeats is how many of the observer's own heartbeats must have
// reached the table while another row stood still before that member is taken
// for dead. It keeps a slow table from looking like a dead member.
const minOwnHeartbeats = 3

// observation is what the observer knows of one member.
type observation struct {
	version int64
	// unchangedSince is when the row was first seen with the version, or when leases
	// last started anew.
	unchangedSince time.Time
	// ownHeartbeats counts the observer's own ownHeartbeats that landed since then.
	ownHeartbeats int
	dead          bool
}

// detector judges which members live. It is pure: rows and times in, judgements
// out.
type detector struct {
	self string
	// selfVersion is the version of the observer's own row when last scanned.
	selfVersion  int64
	observations map[string]*observation
	// outage says that leases start anew with the next good round.
	outage bool
}

func newDetector(self string) *detector {
	return &detector{self: self, observations: map[string]*observation{}}
}

// scanFailed notes a round in which the observer could not read the table. All
// leases start anew once it can: during an outage no row changes, so a row
// that stood still says nothing of its writer.
func (v *detector) scanFailed() { v.outage = true }

// assess sets Live on each of the scanned members and reports whether the
// observer could judge. It cannot while its own row stands still, since the
// table then takes no writes from anybody.
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

// observeMember returns the sighting of a member, a new one if its row changed.
func (v *detector) observeMember(now time.Time, m *Member) *observation {
	s := v.observations[m.Name]
	if s == nil || s.version != m.Version {
		s = &observation{version: m.Version, unchangedSince: now}
		v.observations[m.Name] = s
	}
	return s
}

// removeAbsent drops members whose rows are gone.
func (v *detector) removeAbsent(present map[string]bool) {
	for name := range v.observations {
		if !present[name] {
			delete(v.observations, name)
		}
	}
}

// ownVersion returns the version of the observer's row, 0 if there is none.
func ownVersion(members []Member, self string) int64 {
	for _, m := range members {
		if m.Name == self {
			return m.Version
		}
	}
	return 0
}

// expired reports whether a dead member's row has stood still for d.
func (v *detector) expired(now time.Time, d time.Duration, name string) bool {
	s := v.observations[name]
	return s != nil && s.dead && now.Sub(s.unchangedSince) >= d
}
