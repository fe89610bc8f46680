package membership

import "time"

// minStandstill is how many of the observer's own heartbeats must have
// reached the table while another row stood still before that member is taken
// for dead. It keeps a slow table from looking like a dead member.
const minStandstill = 3

// sighting is what the observer knows of one member.
type sighting struct {
	version int64
	// since is when the row was first seen with the version, or when leases
	// last started anew.
	since time.Time
	// heartbeats counts the observer's own heartbeats that landed since then.
	heartbeats int
	dead       bool
}

// view judges which members live. It is pure: rows and times in, judgements
// out.
type view struct {
	self string
	// selfVersion is the version of the observer's own row when last scanned.
	selfVersion int64
	seen        map[string]*sighting
	// outage says that leases start anew with the next good round.
	outage bool
}

func newView(self string) *view {
	return &view{self: self, seen: map[string]*sighting{}}
}

// failed notes a round in which the observer could not read the table. All
// leases start anew once it can: during an outage no row changes, so a row
// that stood still says nothing of its writer.
func (v *view) failed() { v.outage = true }

// observe sets Live on each of the scanned members and reports whether the
// observer could judge. It cannot while its own row stands still, since the
// table then takes no writes from anybody.
func (v *view) observe(now time.Time, lease time.Duration, members []Member) bool {
	own := ownVersion(members, v.self)
	moved := own != v.selfVersion
	v.selfVersion = own
	if !moved {
		v.outage = true
	}
	renew := v.outage && moved
	present := make(map[string]bool, len(members))
	for i := range members {
		m := &members[i]
		present[m.Name] = true
		s := v.sight(now, m)
		switch {
		case renew:
			s.since, s.heartbeats = now, 0
		case moved && s.since != now:
			s.heartbeats++
			s.dead = s.dead || s.heartbeats >= minStandstill && now.Sub(s.since) >= lease
		}
		m.Live = !s.dead
	}
	v.forget(present)
	if renew {
		v.outage = false
	}
	return moved
}

// sight returns the sighting of a member, a new one if its row changed.
func (v *view) sight(now time.Time, m *Member) *sighting {
	s := v.seen[m.Name]
	if s == nil || s.version != m.Version {
		s = &sighting{version: m.Version, since: now}
		v.seen[m.Name] = s
	}
	return s
}

// forget drops members whose rows are gone.
func (v *view) forget(present map[string]bool) {
	for name := range v.seen {
		if !present[name] {
			delete(v.seen, name)
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
func (v *view) expired(now time.Time, d time.Duration, name string) bool {
	s := v.seen[name]
	return s != nil && s.dead && now.Sub(s.since) >= d
}
