package settings

import (
	"maps"
	"slices"
)

// State counts the hosts and jobs in the fleet at the moment of a change. A
// pool or team that is missing from a map has none.
type State struct {
	// PoolHosts counts the hosts that are now assigned to each pool.
	PoolHosts map[string]int
	// PoolJobs counts the pending and running jobs of each pool.
	PoolJobs map[string]int
	// TeamJobs counts the pending and running jobs of each team.
	TeamJobs map[string]int
}

// CheckChange refuses a change that would leave hosts or jobs without their
// pool or team: a removed pool that still has hosts or jobs, a removed team
// that still has jobs, and a tree of another estate. Its error is of type
// Errors and holds every reason. A nil old means that next is the first tree;
// every tree is then accepted.
func CheckChange(old, next *Effective, state State) error {
	if old == nil {
		return nil
	}
	var errs Errors
	refuse := func(path, problem string) {
		errs = append(errs, Error{Path: path, Problem: problem})
	}
	if old.Estate != next.Estate {
		refuse("estate", "the tree is of estate "+next.Estate+"; allowed: "+old.Estate)
	}
	for _, name := range slices.Sorted(maps.Keys(old.Pools)) {
		if next.Pools[name] != nil {
			continue
		}
		if n := state.PoolJobs[name]; n > 0 {
			refuse("pools["+name+"]", "the pool may not go while jobs wait or run in it: "+plural(n, "job"))
		}
		if n := state.PoolHosts[name]; n > 0 {
			refuse("pools["+name+"]", "the pool may not go while hosts belong to it: "+plural(n, "host")+
				"; take its services out and set min_hosts to 0 first")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old.Teams)) {
		_, stays := next.Teams[name]
		if n := state.TeamJobs[name]; n > 0 && !stays {
			refuse("teams["+name+"]", "the team may not go while its jobs wait or run: "+plural(n, "job"))
		}
	}
	return errs.Err()
}

// plural formats a count with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return formatFloat(float64(n)) + " " + noun + "s"
}
