package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretpitch/egretpitch/internal/membership"
)

const (
	// shareTolerance is the number of shards above its even share that an owner
	// keeps. Within it shards do not move, since each change of owner delays the
	// work of its pool.
	shareTolerance = 1
	// roundsPerCandidate is the number of rounds for which a shard without a live
	// owner is left to one candidate before it is the turn of the next.
	roundsPerCandidate = 5
)

// Kind is what a process does with a shard.
type Kind string

const (
	// Keep keeps the ownership.
	Keep Kind = "keep"
	// Acquire makes the process the owner.
	Acquire Kind = "take"
	// Release ends the ownership.
	Release Kind = "release"
)

// Action is a decision about one shard.
type Action struct {
	Shard string
	Kind  Kind
	// Reason explains the decision in logs.
	Reason string
}

// Identity identifies one incarnation of a control process.
type Identity struct {
	Name        string
	Incarnation uint64
	// Address is the IP address and port of its drpc server.
	Address string
}

// Plan decides what the process self does with the shards, given the live
// members. All members compute the same assignment from the same input. If
// their inputs differ for a while, conditional writes keep the result safe.
//
// A shard without a live owner goes to the member that ranks first for it by
// rendezvous hashing among those with less than an even share. A shard with a
// live owner stays, unless the owner is leaving or exceeds its share by more
// than shareTolerance.
func Plan(members []membership.MemberRow, shards []State, self Identity) []Action {
	p := newPlanner(members, shards)
	var actions []Action
	for _, s := range p.shards {
		switch owner := p.owner(s); {
		case owner == self.Name && s.Incarnation == self.Incarnation:
			actions = append(actions, p.ownedAction(s, self.Name))
		case owner == "" && p.nextOwner(s) == self.Name:
			actions = append(actions, Action{Shard: s.Shard, Kind: Acquire, Reason: unownedReason(s)})
		}
	}
	return p.releaseSurplus(actions, self.Name)
}

// planner holds the intermediate state of one call of Plan.
type planner struct {
	shards []State
	// members holds the incarnation of every live member, by name.
	members map[string]uint64
	// candidates are the live members that may acquire shards.
	candidates []string
	// load is the number of shards of each live member, by name.
	load map[string]int
	// share is the even share of a candidate, rounded up.
	share int
}

func newPlanner(members []membership.MemberRow, shards []State) *planner {
	p := &planner{members: map[string]uint64{}, load: map[string]int{}}
	for _, m := range members {
		p.members[m.Name] = m.Incarnation
		if !m.Leaving {
			p.candidates = append(p.candidates, m.Name)
		}
	}
	p.shards = slices.SortedFunc(slices.Values(shards), func(a, b State) int {
		return cmp.Compare(a.Shard, b.Shard)
	})
	for _, s := range p.shards {
		p.load[p.owner(s)]++
	}
	if n := len(p.candidates); n > 0 {
		p.share = (len(shards) + n - 1) / n
	}
	return p
}

// owner returns the live owner of a shard, or an empty string.
func (p *planner) owner(s State) string {
	incarnation, live := p.members[s.Owner]
	if !live || incarnation != s.Incarnation {
		return ""
	}
	return s.Owner
}

// nextOwner returns the candidate that is to acquire a shard and adds the
// shard to its load. If the candidate does not acquire the shard within
// roundsPerCandidate rounds, the next one in rank is chosen.
func (p *planner) nextOwner(s State) string {
	var open []string
	for _, name := range rank(s.Shard, p.candidates) {
		if p.load[name] < p.share {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return ""
	}
	name := open[s.UnownedRounds/roundsPerCandidate%len(open)]
	p.load[name]++
	return name
}

// ownedAction returns the action of an owner on its own shard.
func (p *planner) ownedAction(s State, self string) Action {
	if !slices.Contains(p.candidates, self) {
		return Action{Shard: s.Shard, Kind: Release, Reason: "leaving"}
	}
	return Action{Shard: s.Shard, Kind: Keep, Reason: "owner is live"}
}

// releaseSurplus changes Keep actions to Release if the owner exceeds its
// share by more than shareTolerance. It releases the shards for which the
// owner has the lowest scores.
func (p *planner) releaseSurplus(actions []Action, self string) []Action {
	if p.share == 0 || p.load[self] <= p.share+shareTolerance {
		return actions
	}
	var kept []int
	for i, a := range actions {
		if a.Kind == Keep {
			kept = append(kept, i)
		}
	}
	slices.SortStableFunc(kept, func(i, j int) int {
		return cmp.Compare(score(self, actions[i].Shard), score(self, actions[j].Shard))
	})
	surplus := min(p.load[self]-p.share, len(kept))
	for _, i := range kept[:surplus] {
		actions[i].Kind = Release
		actions[i].Reason = "more than an even share"
	}
	return actions
}

// unownedReason returns why a shard has no live owner.
func unownedReason(s State) string {
	switch {
	case s.Version == 0:
		return "never owned"
	case s.Owner == "":
		return "released"
	}
	return "owner " + s.Owner + " is not live"
}

// rank returns the members ordered by rendezvous score for a shard, highest
// first.
func rank(shard string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b, shard), score(a, shard)), cmp.Compare(a, b))
	})
	return ranked
}

// score is the rendezvous hash of a member and a shard.
func score(member, shard string) uint64 {
	return xxhash.Sum64String(member + "\x00" + shard)
}
