// Package permit decides when an entry may route to the hosts of a pool, and
// when a host may leave a pool without any entry still routing to it.
//
// A host leaves a pool only after every registered entry has acknowledged an
// assignment without it, has deregistered, or has been absent together with its
// own host for MaxAbsence (Drain). An entry that is cut off from the network may
// therefore go on routing for any length of time, since no host that it holds is
// moved. Only for an entry that was paused for longer than MaxPause may drains
// have stopped waiting, so it loses its permits and has to register again
// (Registration, Permit).
package permit

import (
	"sync/atomic"
	"time"
)

// Source is where the assignment that an entry routes by was last confirmed.
type Source int

// String relies on the order of the values. They are not sent or stored.
const (
	// SourceNone means that the entry may not route.
	SourceNone Source = iota
	// SourceOwner means that the entry recently had an exchange with the
	// pool's owner.
	SourceOwner
	// SourceTable means that the entry recently read the table itself.
	SourceTable
	// SourceStatic means that neither is recent: the entry routes by its last
	// assignment.
	SourceStatic
)

// String returns the name of the source.
func (s Source) String() string {
	return [...]string{"none", "owner", "table", "static"}[s]
}

// maxConfirmationAge is for how long an exchange or a table read is recent.
const maxConfirmationAge = 10 * time.Second

// Grant is an uninterrupted period in which a permit is valid. The snapshot that
// requests are routed by carries the grant of its assignment, and a routing
// decision checks it last. A grant that lapsed is never valid again, so a
// decision begun before a pause cannot use a grant obtained after it.
type Grant struct {
	// until is the time in nanoseconds at which the grant lapses unless a
	// tick extends it, or -1 once it is revoked.
	until atomic.Int64
}

// MayRoute reports whether the entry may route at the time now of its
// monotonic clock, counted from the start of the process. A nil grant permits
// nothing. MayRoute takes no lock and allocates nothing.
func (g *Grant) MayRoute(now time.Duration) bool {
	return g != nil && int64(now) <= g.until.Load()
}

// Permit is an entry's permission to route to the hosts of one pool. Its methods
// are safe for concurrent use.
type Permit struct {
	registration *Registration
	grant        atomic.Pointer[Grant]
	// state is guarded by the registration's mutex.
	state assignmentState
}

// assignmentState is the state of the assignment that a Permit covers.
type assignmentState struct {
	// minEpoch is the highest epoch of the pool that was read together with
	// the entry's row. It counts only while minEpochKnown is set.
	minEpoch      uint64
	minEpochKnown bool
	// version is the highest adopted version. It is kept over a pause.
	version AssignmentVersion
	// granted reports whether a grant is in force.
	granted bool
	// source is where the assignment was last confirmed, at confirmedAt.
	source      Source
	confirmedAt time.Duration
}

// MayRoute reports whether the entry may route now. Routing decisions use the
// Grant of their assignment instead.
func (p *Permit) MayRoute(now time.Duration) bool { return p.grant.Load().MayRoute(now) }

// OfferFromOwner offers an assignment that the pool's owner returned for a call
// that began at the given time. It returns the grant for the assignment, or nil
// if the assignment must not be used.
func (p *Permit) OfferFromOwner(began, now time.Duration, version AssignmentVersion) *Grant {
	return p.offer(SourceOwner, began, now, version)
}

// OfferFromTable offers an assignment that the entry read from the table itself,
// as OfferFromOwner does.
func (p *Permit) OfferFromTable(began, now time.Duration, version AssignmentVersion) *Grant {
	return p.offer(SourceTable, began, now, version)
}

// OfferFromPeer offers the assignment of another entry that held a grant when it
// answered, as OfferFromOwner does.
func (p *Permit) OfferFromPeer(began, now time.Duration, version AssignmentVersion) *Grant {
	return p.offer(SourceStatic, began, now, version)
}

// Held returns the version of the assignment in use, and whether there is one.
func (p *Permit) Held(now time.Duration) (AssignmentVersion, bool) {
	p.registration.mu.Lock()
	defer p.registration.mu.Unlock()
	p.registration.revokeIfPaused(now)
	return p.state.version, p.state.granted
}

// Source returns the source of the assignment in use now.
func (p *Permit) Source(now time.Duration) Source {
	p.registration.mu.Lock()
	defer p.registration.mu.Unlock()
	p.registration.revokeIfPaused(now)
	switch {
	case !p.state.granted:
		return SourceNone
	case now-p.state.confirmedAt > maxConfirmationAge:
		return SourceStatic
	}
	return p.state.source
}

// offer adopts an assignment if it may be used, and returns its grant.
func (p *Permit) offer(from Source, began, now time.Duration, version AssignmentVersion) *Grant {
	g := p.registration
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	if !g.registered || began < g.registeredAt || !p.state.mayUse(from, version) {
		return nil
	}
	p.state.adopt(from, now, version)
	if p.grant.Load() == nil {
		p.grant.Store(&Grant{})
	}
	p.extend()
	return p.grant.Load()
}

// extend sets the end of the grant to the registration's deadline. It must not
// use the current time of its caller: a time taken before a pause and used
// after it would extend the grant over the pause.
func (p *Permit) extend() {
	if g := p.grant.Load(); g != nil {
		g.until.Store(int64(p.registration.deadline))
	}
}

// revoke ends the grant for good. The version stays, since it must not fall.
func (p *Permit) revoke() {
	p.state.minEpochKnown = false
	p.state.granted = false
	if g := p.grant.Swap(nil); g != nil {
		g.until.Store(-1)
	}
}

// setMinEpoch records the pool's epoch, read together with the entry's row.
func (s *assignmentState) setMinEpoch(epoch uint64) {
	s.minEpoch = max(s.minEpoch, epoch)
	s.minEpochKnown = true
}

// mayUse reports whether an assignment whose fetch began after the entry's row
// was in the table may be used. The move of a host then either waits for this
// entry or has already removed the host from the assignment, provided that
//
//   - the version does not fall, so that an acknowledgement stays true;
//   - for the first assignment from an owner, the owner's epoch is not below
//     the shard's as read together with the row. A previous owner that still
//     answers doesn't have the moves of its successor. An assignment from a
//     peer needs no such check: moves wait for the peer's acknowledgement.
func (s *assignmentState) mayUse(from Source, version AssignmentVersion) bool {
	if version.Compare(s.version) < 0 {
		return false
	}
	return from != SourceOwner || s.granted || s.minEpochKnown && version.Epoch >= s.minEpoch
}

// adopt records an assignment that mayUse allows as the one in use.
func (s *assignmentState) adopt(from Source, now time.Duration, version AssignmentVersion) {
	s.version = version
	s.granted = true
	s.source = from
	s.confirmedAt = now
}
