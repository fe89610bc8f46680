// Package quota keeps what the tasks of each team hold on all workers together
// and decides whether more fit the team's quota. It handles teams that ask for
// more than their quota, also while runs of previous owners are undiscovered. It
// has no clock and does no I/O, and is not safe for concurrent use.
package quota

import (
	"math"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// microsPerCore and maxAmount convert and bound amounts: integers leave no
// rounding errors in sums, and 20,000 tasks of the largest amount do not overflow.
const (
	microsPerCore = 1e6
	maxAmount     = 1e12
)

// amount is placement.Resources in integers: micro-cores, MB and accelerators.
type amount [3]int64

func amountOf(r placement.Resources) amount {
	bounded := func(x float64) int64 { return int64(math.Round(max(0, min(x, maxAmount)))) }
	return amount{bounded(r.Processors * microsPerCore), bounded(float64(r.MemoryMB)), bounded(float64(r.Accelerators))}
}

func (a amount) resources() placement.Resources {
	return placement.Resources{Processors: float64(a[0]) / microsPerCore, MemoryMB: int(a[1]), Accelerators: int(a[2])}
}

// add returns the sum of a and n times b.
func (a amount) add(n int64, b amount) amount {
	for i := range a {
		a[i] += n * b[i]
	}
	return a
}

// Tracker keeps the accounts of all teams.
type Tracker struct {
	teams    map[string]*estate.Team
	accounts map[string]*Account
	anyone   *Account
	limited  bool
}

// New returns a tracker without teams and quotas.
func New() *Tracker {
	t := &Tracker{accounts: map[string]*Account{}}
	t.anyone = &Account{tracker: t}
	return t
}

// Account is what the tasks of one team hold and may hold. A nil account, that of
// jobs without a team, holds nothing and has no quota.
type Account struct {
	tracker *Tracker
	// quota is the team's quota if limited is set. 0 does not bound a resource.
	quota   amount
	limited bool
	// runs is what the known runs hold and longRunning the part that ends only with a
	// cancellation. orphans is what orphaned runs hold, and undiscovered what runs
	// of previous owners that nobody has read yet may hold at most.
	runs, longRunning, orphans, undiscovered amount
	// unbounded is set while nothing bounds the undiscovered runs.
	unbounded bool
	tasks     int
	largest   amount
}

// SetTeams replaces the quotas. A team that is not among them has none.
func (t *Tracker) SetTeams(teams map[string]*estate.Team) {
	t.teams, t.limited = teams, false
	for _, team := range teams {
		t.limited = t.limited || team.Quota != placement.Resources{}
	}
	for name, a := range t.accounts {
		a.setQuota(teams[name])
	}
}

// Limited reports whether any team has a quota.
func (t *Tracker) Limited() bool { return t.limited }

// Account returns the account of a team, nil for the empty name.
func (t *Tracker) Account(team string) *Account {
	if team == "" {
		return nil
	}
	a := t.accounts[team]
	if a == nil {
		a = &Account{tracker: t}
		a.setQuota(t.teams[team])
		t.accounts[team] = a
	}
	return a
}

// Anyone returns an account whose holdings count for every team: they are of runs
// whose team is unknown.
func (t *Tracker) Anyone() *Account { return t.anyone }

func (a *Account) setQuota(team *estate.Team) {
	a.quota, a.limited = amount{}, false
	if team != nil {
		a.quota = amountOf(team.Quota)
		a.limited = a.quota != amount{}
	}
}

// Observe records the size of a task of the team, for Largest.
func (a *Account) Observe(size placement.Resources) {
	if a == nil {
		return
	}
	for i, x := range amountOf(size) {
		a.largest[i] = max(a.largest[i], x)
	}
}

// Largest returns the largest amount of each resource that an observed task of the
// team declares.
func (a *Account) Largest() placement.Resources { return a.largest.resources() }

// AddRun counts a run from its start order on. longRunning is set for one that runs
// until its job is cancelled.
func (a *Account) AddRun(size placement.Resources, longRunning bool) { a.addRun(1, size, longRunning) }

// RemoveRun undoes AddRun once the run has certainly ended.
func (a *Account) RemoveRun(size placement.Resources, longRunning bool) {
	a.addRun(-1, size, longRunning)
}

func (a *Account) addRun(n int64, size placement.Resources, longRunning bool) {
	if a == nil {
		return
	}
	a.tasks += int(n)
	a.runs = a.runs.add(n, amountOf(size))
	if longRunning {
		a.longRunning = a.longRunning.add(n, amountOf(size))
	}
}

// AddOrphan counts a listed run that no job needs.
func (a *Account) AddOrphan(size placement.Resources) {
	if a != nil {
		a.orphans = a.orphans.add(1, amountOf(size))
	}
}

// RemoveOrphan undoes AddOrphan once the run has certainly ended.
func (a *Account) RemoveOrphan(size placement.Resources) {
	if a != nil {
		a.orphans = a.orphans.add(-1, amountOf(size))
	}
}

// ClearUndiscovered forgets what undiscovered runs may hold, of all teams.
func (t *Tracker) ClearUndiscovered() {
	t.anyone.undiscovered, t.anyone.unbounded = amount{}, false
	for _, a := range t.accounts {
		a.undiscovered, a.unbounded = amount{}, false
	}
}

// AddUndiscovered adds what undiscovered runs may hold at most.
func (a *Account) AddUndiscovered(most placement.Resources) {
	if a != nil {
		a.undiscovered = a.undiscovered.add(1, amountOf(most))
	}
}

// AddUnbounded records that nothing bounds the undiscovered runs.
func (a *Account) AddUnbounded() {
	if a != nil {
		a.unbounded = true
	}
}

// Tasks returns the number of known runs.
func (a *Account) Tasks() int { return a.tasks }

// Held returns what known and orphaned runs of the team hold.
func (a *Account) Held() placement.Resources { return a.runs.add(1, a.orphans).resources() }

// Undiscovered returns what undiscovered runs of the team may hold at most, as far as
// it is bounded.
func (a *Account) Undiscovered() placement.Resources { return a.undiscovered.resources() }

// Quota returns the quota. It reports false if the team has none.
func (a *Account) Quota() (placement.Resources, bool) { return a.quota.resources(), a.limited }

// Fits reports whether n more tasks of a size fit the quota, beside what the team
// holds at worst and what is planned for it. A resource that the tasks do not
// request is not considered: they do not raise what the team holds of it.
func (a *Account) Fits(n int, size, planned placement.Resources) bool {
	if a == nil || !a.limited {
		return true
	}
	other := a.tracker.anyone
	if a.unbounded || other.unbounded {
		return false
	}
	held := a.runs.add(1, a.orphans).add(1, a.undiscovered).add(1, other.orphans).add(1, other.undiscovered)
	return a.fitsBeside(held.add(1, amountOf(planned)), n, size)
}

// MayFit reports whether n tasks of a size fit the quota once all runs but those of
// long-running tasks have ended.
func (a *Account) MayFit(n int, size placement.Resources) bool {
	return a == nil || !a.limited || a.fitsBeside(a.longRunning, n, size)
}

func (a *Account) fitsBeside(held amount, n int, size placement.Resources) bool {
	s := amountOf(size)
	for i, limit := range a.quota {
		if limit > 0 && s[i] > 0 && held[i]+int64(n)*s[i] > limit {
			return false
		}
	}
	return true
}

// Share returns the fraction, 0 to 1, of waiting work that fits the quota beside
// the known and orphaned runs. wanted is what the work requests in all.
func (a *Account) Share(wanted placement.Resources) float64 {
	if a == nil || !a.limited {
		return 1
	}
	held, share := a.runs.add(1, a.orphans), 1.0
	for i, x := range amountOf(wanted) {
		if limit := a.quota[i]; limit > 0 && x > 0 {
			share = min(share, float64(max(0, limit-held[i]))/float64(x))
		}
	}
	return share
}
