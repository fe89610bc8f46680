package permit

import (
	"sync"
	"time"
)

// Registration is what an entry process knows of its own row in the table, and
// the watch over its own pauses. It holds the Permit of each pool. All times are
// on the process's monotonic clock, counted from its start. Methods may be
// called by any goroutine.
//
// The way to a grant is: the entry writes its row with the renewal that Pending
// returns, notes it by Registered, and then fetches assignments. A pause longer
// than MaxPause drops everything and raises the renewal: moves may have done
// without the entry, so its row must be written again. Reading it would not
// do, since a move that is about to complete may have decided by the old row;
// the new one makes that move's transaction fail.
type Registration struct {
	mu sync.Mutex
	// deadline is the last tick plus MaxPause.
	deadline time.Duration
	// renewal is the renewal that the row must have to count.
	renewal uint64
	// registered says that the row was in the table at registeredAt.
	registered   bool
	registeredAt time.Duration
	permits      map[string]*Permit
}

// NewRegistration returns a Registration that is not in the table yet.
func NewRegistration(now time.Duration) *Registration {
	return &Registration{deadline: now + MaxPause, permits: map[string]*Permit{}}
}

// Permit returns the right to route for a pool.
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

// Tick notes that the process runs. It is to be called much more often than
// once in MaxPause.
func (g *Registration) Tick(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	g.deadline = now + MaxPause
	for _, p := range g.permits {
		p.extend()
	}
}

// Pending returns the renewal with which the row is to be written, and whether
// it has to be written.
func (g *Registration) Pending(now time.Duration) (renewal uint64, pending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	return g.renewal, !g.registered
}

// Registered notes that the row was written with the renewal.
func (g *Registration) Registered(now time.Duration, renewal uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	g.setRegistered(now, renewal)
}

// Confirmed takes in what Confirm read. Without the row everything is dropped.
func (g *Registration) Confirmed(now time.Duration, c Confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	if c.Renewal != g.renewal {
		return // read before the last drop
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

// Unregister drops everything, before the entry removes its row.
func (g *Registration) Unregister(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revokeIfPaused(now)
	g.revoke()
}

// setRegistered notes a sight of the row. A sight from before a drop has an older
// renewal and does not count.
func (g *Registration) setRegistered(now time.Duration, renewal uint64) {
	if renewal == g.renewal && !g.registered {
		g.registered = true
		g.registeredAt = now
	}
}

// revokeIfPaused drops everything if the process was paused.
func (g *Registration) revokeIfPaused(now time.Duration) {
	if now > g.deadline {
		g.revoke()
		g.deadline = now + MaxPause
	}
}

// revoke ends the registration and all grants for good.
func (g *Registration) revoke() {
	g.renewal++
	g.registered = false
	for _, p := range g.permits {
		p.revoke()
	}
}
