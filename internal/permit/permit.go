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
func (k Source) String() string {
	return [...]string{"none", "owner", "table", "static"}[k]
}

// freshBound is how long an exchange or a table read counts as late.
const freshBound = 10 * time.Second

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
	// s is guarded by the registration's mutex.
	s state
}

// state is what a Permit knows of its assignment.
type state struct {
	// floor is the pool's epoch as read together with the entry's row.
	floor      uint64
	floorKnown bool
	// mark is the highest adopted mark. It outlives a pause.
	mark AssignmentVersion
	// routing says that a grant is in force.
	routing bool
	// source says where the assignment was last confirmed from, at heard.
	source Source
	heard  time.Duration
}

// MayRoute reports whether the entry may route now. Traffic uses the Grant of
// its assignment instead.
func (r *Permit) MayRoute(now time.Duration) bool { return r.grant.Load().MayRoute(now) }

// OfferFromOwner offers an assignment from the pool's owner by a call that began at
// the given time. It returns the grant to route by it with, or nil if the
// assignment must not be used.
func (r *Permit) OfferFromOwner(began, now time.Duration, mark AssignmentVersion) *Grant {
	return r.offer(SourceOwner, began, now, mark)
}

// OfferFromTable offers an assignment that the entry read from the table itself.
func (r *Permit) OfferFromTable(began, now time.Duration, mark AssignmentVersion) *Grant {
	return r.offer(SourceTable, began, now, mark)
}

// OfferFromPeer offers the assignment of a peer that held a grant when it answered.
func (r *Permit) OfferFromPeer(began, now time.Duration, mark AssignmentVersion) *Grant {
	return r.offer(SourceStatic, began, now, mark)
}

// Held returns the mark of the assignment in use, and whether there is one.
func (r *Permit) Held(now time.Duration) (AssignmentVersion, bool) {
	r.registration.mu.Lock()
	defer r.registration.mu.Unlock()
	r.registration.catchUp(now)
	return r.s.mark, r.s.routing
}

// Source returns on what the entry routes now.
func (r *Permit) Source(now time.Duration) Source {
	r.registration.mu.Lock()
	defer r.registration.mu.Unlock()
	r.registration.catchUp(now)
	switch {
	case !r.s.routing:
		return SourceNone
	case now-r.s.heard > freshBound:
		return SourceStatic
	}
	return r.s.source
}

// offer takes an assignment in if it may be used.
func (r *Permit) offer(from Source, began, now time.Duration, mark AssignmentVersion) *Grant {
	g := r.registration
	g.mu.Lock()
	defer g.mu.Unlock()
	g.catchUp(now)
	if !g.registered || began < g.registeredAt || !r.s.accept(from, mark) {
		return nil
	}
	r.s.adopt(from, now, mark)
	if r.grant.Load() == nil {
		r.grant.Store(&Grant{})
	}
	r.extend()
	return r.grant.Load()
}

// extend moves the end of the grant to the deadline. It never uses the time of
// an input: one read before a pause and used after it would extend the grant
// over the pause.
func (r *Permit) extend() {
	if g := r.grant.Load(); g != nil {
		g.until.Store(int64(r.registration.deadline))
	}
}

// drop ends the grant for good. The mark stays: it only rises.
func (r *Permit) drop() {
	r.s.floorKnown = false
	r.s.routing = false
	if g := r.grant.Swap(nil); g != nil {
		g.until.Store(-1)
	}
}

// confirm notes the pool's epoch, read together with the entry's row.
func (s *state) confirm(epoch uint64) {
	s.floor = max(s.floor, epoch)
	s.floorKnown = true
}

// accept reports whether an assignment whose fetch began after the entry's row
// was in the table may be used. A move then waits for this entry, or has
// removed its host from the assignment, provided that
//
//   - the mark does not fall, so that an acknowledgement stays true;
//   - for the first assignment from an owner, the owner's epoch was the
//     shard's after the row was in the table. A deposed owner that answers
//     would not know of moves by its successor. A peer needs no such check:
//     moves wait for its acknowledgement.
func (s *state) accept(from Source, mark AssignmentVersion) bool {
	if mark.Compare(s.mark) < 0 {
		return false
	}
	return from != SourceOwner || s.routing || s.floorKnown && mark.Epoch >= s.floor
}

// adopt takes an accepted assignment in.
func (s *state) adopt(from Source, now time.Duration, mark AssignmentVersion) {
	s.mark = mark
	s.routing = true
	s.source = from
	s.heard = now
}
