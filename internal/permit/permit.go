package permit

import (
	"sync/atomic"
	"time"
)

// Source says on what an entry routes for a pool.
type Source int

// The values are those of the Right enumeration of package controlpb.
const (
	// SourceNone entries do not route.
	SourceNone Source = iota
	// SourceOwner entries had an exchange with the pool's owner lately.
	SourceOwner
	// SourceTable entries read the rows of the table themselves lately.
	SourceTable
	// SourceStatic entries reach neither and route on their last assignment.
	SourceStatic
)

// String returns the name of the kind.
func (s Source) String() string {
	return [...]string{"none", "owner", "table", "static"}[s]
}

// maxConfirmationAge is how long an exchange or a table read counts as late.
const maxConfirmationAge = 10 * time.Second

// Grant is a right to route that was not interrupted. The snapshot that
// traffic routes by carries the grant of its assignment, and a routing
// decision checks it last. A grant that lapsed never comes back, so a decision
// begun before a pause cannot go through on a right regained after it.
type Grant struct {
	// until is the time in nanoseconds at which the grant lapses unless a
	// tick extends it.
	until atomic.Int64
}

// MayRoute reports whether the entry may route at the time now of its
// monotonic clock, counted from the start of the process. It takes no lock and
// allocates nothing.
func (g *Grant) MayRoute(now time.Duration) bool {
	return g != nil && int64(now) <= g.until.Load()
}

// Permit is an entry's right to route for one pool. Methods may be called by
// any goroutine.
type Permit struct {
	registration *Registration
	grant        atomic.Pointer[Grant]
	// state is guarded by the registration's mutex.
	state assignmentState
}

// assignmentState is what a Permit knows of its assignment.
type assignmentState struct {
	// minEpoch is the pool's epoch as read together with the entry's row.
	minEpoch      uint64
	minEpochKnown bool
	// version is the highest adopted version. It outlives a pause.
	version AssignmentVersion
	// granted says that a grant is in force.
	granted bool
	// source says where the assignment was last confirmed from, at heard.
	source      Source
	confirmedAt time.Duration
}

// MayRoute reports whether the entry may route now. Traffic uses the Grant of
// its assignment instead.
func (p *Permit) MayRoute(now time.Duration) bool { return p.grant.Load().MayRoute(now) }

// OfferFromOwner offers an assignment from the pool's owner by a call that began at
// the given time. It returns the grant to route by it with, or nil if the
// assignment must not be used.
func (p *Permit) OfferFromOwner(began, now time.Duration, version AssignmentVersion) *Grant {
	return p.offer(SourceOwner, began, now, version)
}

// OfferFromTable offers an assignment that the entry read from the table itself.
func (p *Permit) OfferFromTable(began, now time.Duration, version AssignmentVersion) *Grant {
	return p.offer(SourceTable, began, now, version)
}

// OfferFromPeer offers the assignment of a peer that held a grant when it answered.
func (p *Permit) OfferFromPeer(began, now time.Duration, version AssignmentVersion) *Grant {
	return p.offer(SourceStatic, began, now, version)
}

// Held returns the mark of the assignment in use, and whether there is one.
func (p *Permit) Held(now time.Duration) (AssignmentVersion, bool) {
	p.registration.mu.Lock()
	defer p.registration.mu.Unlock()
	p.registration.revokeIfPaused(now)
	return p.state.version, p.state.granted
}

// Source returns on what the entry routes now.
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

// offer takes an assignment in if it may be used.
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

// extend moves the end of the grant to the deadline. It never uses the time of
// an input: one read before a pause and used after it would extend the grant
// over the pause.
func (p *Permit) extend() {
	if g := p.grant.Load(); g != nil {
		g.until.Store(int64(p.registration.deadline))
	}
}

// revoke ends the grant for good. The mark stays: it only rises.
func (p *Permit) revoke() {
	p.state.minEpochKnown = false
	p.state.granted = false
	if g := p.grant.Swap(nil); g != nil {
		g.until.Store(-1)
	}
}

// setMinEpoch notes the pool's epoch, read together with the entry's row.
func (s *assignmentState) setMinEpoch(epoch uint64) {
	s.minEpoch = max(s.minEpoch, epoch)
	s.minEpochKnown = true
}

// mayUse reports whether an assignment whose fetch began after the entry's row
// was in the table may be used. A move then waits for this entry, or has
// removed its host from the assignment, provided that
//
//   - the mark does not fall, so that an acknowledgement stays true;
//   - for the first assignment from an owner, the owner's epoch was the
//     shard's after the row was in the table. A deposed owner that answers
//     would not know of moves by its successor. A peer needs no such check:
//     moves wait for its acknowledgement.
func (s *assignmentState) mayUse(from Source, version AssignmentVersion) bool {
	if version.Compare(s.version) < 0 {
		return false
	}
	return from != SourceOwner || s.granted || s.minEpochKnown && version.Epoch >= s.minEpoch
}

// adopt takes an accepted assignment in.
func (s *assignmentState) adopt(from Source, now time.Duration, version AssignmentVersion) {
	s.version = version
	s.granted = true
	s.source = from
	s.confirmedAt = now
}
