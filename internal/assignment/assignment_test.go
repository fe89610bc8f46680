package assignment

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// TestEntryFollowsOwnerThroughLostReplies guards against deltas that leave an
// entry with other hosts than its owner assigned, or with a host that drains at
// the version that the entry acknowledges. Replies are lost and owners change.
func TestEntryFollowsOwnerThroughLostReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := NewLog("pool", 1)
		entry := &Set{Pool: "pool", Hosts: map[string]Host{}}
		// drained holds the version of the table at which each draining host
		// began to drain; reflects is the version that the owner has read.
		drained := map[string]uint64{}
		reflects := uint64(0)
		exchange := func(lost bool) {
			reply := log.Since(entry.Epoch, entry.Version)
			if reply == nil || lost {
				return
			}
			next, ok := entry.Apply(reply)
			if !ok {
				t.Fatalf("entry at epoch %d, version %d rejects the assignment %v", entry.Epoch, entry.Version, reply)
			}
			entry = next
		}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				hosts := map[string]Host{}
				reflects++
				for i := range 4 {
					name := fmt.Sprintf("host-%d", i)
					if rapid.Bool().Draw(t, "held") {
						hosts[name] = Host{Name: name, Slots: rapid.IntRange(1, 2).Draw(t, "slots")}
						delete(drained, name)
					} else if _, draining := drained[name]; !draining {
						drained[name] = reflects
					}
				}
				log.Update(hosts, reflects, reflects)
			},
			"exchange": func(t *rapid.T) { exchange(false) },
			"lose":     func(t *rapid.T) { exchange(true) },
			"new owner": func(t *rapid.T) {
				log = NewLog("pool", log.Set().Epoch+1)
				log.Update(map[string]Host{}, reflects, 0)
			},
			"": func(t *rapid.T) {
				for name, version := range drained {
					if _, held := entry.Hosts[name]; held && entry.Epoch == log.Set().Epoch && entry.Reflects >= version {
						t.Fatalf("entry holds %s in a set that reflects version %d, but it drains since %d", name, entry.Reflects, version)
					}
				}
			},
		})
		exchange(false)
		if log.Set().Version > 0 {
			if diff := cmp.Diff(log.Set().Hosts, entry.Hosts); diff != "" {
				t.Fatalf("the entry's hosts differ from the owner's (-owner +entry):\n%s", diff)
			}
		}
	})
}
