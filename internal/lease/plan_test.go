package lease

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/membership"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// runUntilStable lets every live member execute its plan until no shard
// changes, and returns the number of acquisitions.
func runUntilStable(t *rapid.T, members []membership.MemberRow, shards []State) int {
	acquired := 0
	for round := 0; ; round++ {
		if round > 2*roundsPerCandidate*len(members)+len(shards) {
			t.Fatalf("shards still change after %d rounds: %+v", round, shards)
		}
		changed := map[string]string{}
		scanned := slices.Clone(shards)
		for _, m := range members {
			for _, a := range Plan(members, scanned, Identity{Name: m.Name, Incarnation: m.Incarnation}) {
				if a.Kind == Keep {
					continue
				}
				if other, ok := changed[a.Shard]; ok {
					t.Fatalf("both %s and %s change %s", other, m.Name, a.Shard)
				}
				changed[a.Shard] = m.Name
				i := slices.IndexFunc(shards, func(s State) bool { return s.Shard == a.Shard })
				shards[i] = next(shards[i], m, a.Kind)
			}
		}
		for i := range shards {
			shards[i].UnownedRounds++
			acquired += btoi(changed[shards[i].Shard] != "" && shards[i].Owner != "")
		}
		if len(changed) == 0 && round > 0 {
			return acquired
		}
	}
}

func next(s State, m membership.MemberRow, kind Kind) State {
	s.Version++
	if kind == Release {
		s.Owner = ""
		return s
	}
	s.Owner, s.Incarnation, s.UnownedRounds = m.Name, m.Incarnation, 0
	s.Epoch++
	return s
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestPlanSpreadsShardsAndMovesFew guards against uneven or unowned shards and
// against needless moves while members start and die.
func TestPlanSpreadsShardsAndMovesFew(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := make([]State, rapid.IntRange(1, 40).Draw(rt, "shards"))
		for i := range shards {
			shards[i].Shard = fmt.Sprint("pool", i)
		}
		var members []membership.MemberRow
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			if len(members) > 1 && rapid.Bool().Draw(rt, "one dies") {
				i := rapid.IntRange(0, len(members)-1).Draw(rt, "dying")
				lost := owned(shards, members[i].Name)
				members = append(members[:i:i], members[i+1:]...)
				if taken := runUntilStable(rt, members, shards); taken > lost {
					rt.Fatalf("%d shards were acquired after a member with %d died", taken, lost)
				}
			} else {
				members = append(members, membership.MemberRow{Name: fmt.Sprint("control", step), Incarnation: uint64(step)})
				runUntilStable(rt, members, shards)
			}
			share := (len(shards) + len(members) - 1) / len(members)
			for _, m := range members {
				if n := owned(shards, m.Name); n > share+shareTolerance {
					rt.Fatalf("%s owns %d shards, an even share is %d", m.Name, n, share)
				}
			}
			if n := owned(shards, ""); n > 0 {
				rt.Fatalf("%d shards have no owner", n)
			}
		}
	})
}

func owned(shards []State, name string) int {
	n := 0
	for _, s := range shards {
		n += btoi(s.Owner == name)
	}
	return n
}
