package permit

import (
	"sync"
	"time"
)

// Registration is an entry process's view of its own row in the table. It
// detects pauses of the process and holds the Permit of each pool. All times
// are on the process's monotonic clock, counted from its start. Its methods are
// safe for concurrent use.
//
// To obtain a grant, the entry writes its row with the renewal that Pending
// returns, reports it by Registered, and then fetches assignments. A pause
// longer than MaxPause revokes all grants and raises the renewal: hosts may have
// been moved without waiting for the entry, so its row must be written again.
// Reading the row is not enough, since a move that is about to complete may have
// been decided by the old row; writing it makes that move's transaction fail.
type Registration struct {
	mu sync.Mutex
	// deadline is the last tick plus MaxPause. All grants lapse then.
	deadline time.Duration
	// renewal is the number that the row must have to count as written since
	// the last revocation.
	renewal uint64
	// registered reports whether the row with this renewal was in the table
	// at registeredAt.
	registered   bool
	registeredAt time.Duration
	permits      map[string]*Permit
}

// NewRegistration returns a Registration that is not in the table yet.
func NewRegistration(now time.Duration) *Registration {
	return &Registration{deadline: now + MaxPause, permits: map[string]*Permit{}}
}

// Permit returns the permit for a pool.
func (g *Registration) Permit(pool string) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.permits[pool]
	if p == nil {
		p = &Permit{registration: g}
		g.permits[pool] = p
	}
	return p
}

// Tick records that the process runs, and extends all grants. It must be called
// much more often than once in MaxPause.
func (g *Registration) Tick(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	g.deadline = now + MaxPause
	for _, p := range g.permits {
		p.extend()
	}
}

// Pending returns the renewal with which the row has to be written, and whether
// a write is due.
func (g *Registration) Pending(now time.Duration) (renewal uint64, pending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	return g.renewal, !g.registered
}

// Registered records that the row was written with the renewal.
func (g *Registration) Registered(now time.Duration, renewal uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	g.setRegistered(now, renewal)
}

// Confirmed records what Confirm read. If the row is missing, it revokes all
// grants and the entry has to register again.
func (g *Registration) Confirmed(now time.Duration, c Confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	if c.Renewal != g.renewal {
		return // read before the last revocation
	}
	if !c.Registered {
		g.revoke()
		return
	}
	g.setRegistered(now, c.Renewal)
	for pool, epoch := range c.Epochs {
		if p := g.permits[pool]; p != nil {
			p.state.setMinEpoch(epoch)
		}
	}
}

// Unregister revokes all grants, before the entry removes its row.
func (g *Registration) Unregister(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	g.revoke()
}

// setRegistered records that the row with the renewal is in the table. A row
// from before the last revocation has an older renewal and is ignored.
func (g *Registration) setRegistered(now time.Duration, renewal uint64) {
	if renewal == g.renewal && !g.registered {
		g.registered = true
		g.registeredAt = now
	}
}

// revokeIfPaused revokes all grants if the process was paused for longer than
// MaxPause since the last tick.
func (g *Registration) revokeIfPaused(now time.Duration) {
	if now > g.deadline {
		g.revoke()
		g.deadline = now + MaxPause
	}
}

// revoke ends the registration and all grants for good. The next registration
// has a new renewal.
func (g *Registration) revoke() {
	g.renewal++
	g.registered = false
	for _, p := range g.permits {
		p.revoke()
	}
}
