// Package fairshare measures which part of a pool each team has had in the last
// seconds, as a dominant share (Ghodsi et al., "Dominant Resource Fairness", NSDI
// 2011), and how many jobs a team has submitted beyond its weight. It handles a
// pool that is full. It has no clock and does no I/O, and is not safe for
// concurrent use.
package fairshare

import (
	"math"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

const (
	// window is the time constant of the average. A team that got more than its
	// share makes up for it in some seconds, about as long as a surge lasts.
	window = 4 * time.Second
	// horizon is how far a share looks ahead, about as long as a task runs: what a
	// team holds now counts, so that the free capacity of one moment does not all
	// go to one team.
	horizon = time.Second
	// minWeight keeps the shares of teams without a weight finite.
	minWeight = 1e-6
)

// ahead is the part of the average that what is held now replaces within horizon.
var ahead = 1 - math.Exp(-horizon.Seconds()/window.Seconds())

// vector holds processors, memory in MB and accelerators.
type vector [3]float64

func vectorOf(r placement.Resources) vector {
	return vector{r.Processors, float64(r.MemoryMB), float64(r.Accelerators)}
}

// Pool keeps the shares of the teams in one pool. The zero value has none.
type Pool struct {
	members  map[string]*Member
	list     []*Member
	at       time.Duration
	capacity vector
}

// Member is the share of one team in a pool. A nil member, that of jobs without a
// team, has none.
type Member struct {
	pool *Pool
	// held is what runs of the team take, in tasks runs, and mean its average.
	held, mean vector
	tasks      int
}

// Member returns the member for a team, nil for the empty name.
func (p *Pool) Member(team string) *Member {
	if team == "" {
		return nil
	}
	m := p.members[team]
	if m == nil {
		if p.members == nil {
			p.members = map[string]*Member{}
		}
		m = &Member{pool: p}
		p.members[team] = m
		p.list = append(p.list, m)
	}
	return m
}

// Find returns the member for a team, nil if there is none.
func (p *Pool) Find(team string) *Member { return p.members[team] }

// Advance brings the averages up to the given time, as if what teams hold had not
// changed since the last call.
func (p *Pool) Advance(now time.Duration) {
	if now <= p.at {
		return
	}
	kept := math.Exp(-(now - p.at).Seconds() / window.Seconds())
	p.at = now
	for _, m := range p.list {
		m.mean = m.mean.towards(m.held, 1-kept)
	}
}

// SetCapacity sets the capacity of the pool that shares refer to.
func (p *Pool) SetCapacity(capacity placement.Resources) { p.capacity = vectorOf(capacity) }

func (v vector) towards(o vector, part float64) vector {
	for i := range v {
		v[i] += part * (o[i] - v[i])
	}
	return v
}

// Add counts a run from its start order on, with what it takes of its worker.
func (m *Member) Add(size placement.Resources) { m.add(1, size) }

// Remove undoes Add once the run has ended.
func (m *Member) Remove(size placement.Resources) { m.add(-1, size) }

func (m *Member) add(n int, size placement.Resources) {
	if m == nil {
		return
	}
	m.tasks += n
	for i, x := range vectorOf(size) {
		m.held[i] += float64(n) * x
	}
	if m.tasks == 0 {
		m.held = vector{} // sums of fractions of a core leave rounding errors
	}
}

// Share returns the dominant share of the team, 0 to 1 of the pool: the average of
// the window as it will be in a second if the team keeps what it holds.
func (m *Member) Share() float64 {
	if m == nil {
		return 0
	}
	dominant := 0.0
	for i, x := range m.mean.towards(m.held, ahead) {
		if c := m.pool.capacity[i]; c > 0 {
			dominant = max(dominant, x/c)
		}
	}
	return dominant
}

// Weighted returns the share for each unit of the team's weight. Of two teams, the
// one with the lower value is served first.
func (m *Member) Weighted(weight float64) float64 { return m.Share() / max(weight, minWeight) }

// Bucket counts the jobs that a team submits against its weight. The zero value is
// full.
type Bucket struct {
	used float64
	at   time.Duration
	// counted is set once a job was counted, at at. Jobs from before the owner's clock
	// began have negative times.
	counted bool
}

// Take counts a job that was accepted at the given time. It reports whether the
// job is within weight jobs a second, with a burst of one second and at least one
// job. Jobs are counted in the order of their acceptance.
func (b *Bucket) Take(weight float64, at time.Duration) bool {
	switch {
	case !b.counted:
		b.at, b.counted = at, true
	case at > b.at:
		b.used = max(0, b.used-weight*(at-b.at).Seconds())
		b.at = at
	}
	if weight <= 0 || b.used+1 > max(weight, 1) {
		return false
	}
	b.used++
	return true
}
