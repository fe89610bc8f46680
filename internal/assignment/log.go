package assignment

import (
	"maps"

	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// maxDeltaVersions is the most versions that a delta covers. An entry that is
// further behind gets the whole set.
const maxDeltaVersions = 64

// Log is the owner's record of what it assigned to one entry for one pool: the
// current set and the latest changes to it. Versions start at 1 in each epoch
// and are compared together with it, so that an entry never mistakes a previous
// owner's assignment for this owner's.
type Log struct {
	set Set
	// changes holds the names of the hosts that changed with each version,
	// oldest first. The last element belongs to set.Version.
	changes [][]string
}

// NewLog returns a log without hosts, at version 0.
func NewLog(pool string, epoch uint64) *Log {
	return &Log{set: Set{Pool: pool, Epoch: epoch, Hosts: map[string]Host{}}}
}

// Update sets the hosts, which reflect the given version of the table, and
// reports whether that made a new version to send to the entry. The first update
// always makes one, so that an empty set can be acknowledged. So does one that
// reflects the version atLeast when the set before did not, since a drain waits
// for the entry to acknowledge it.
func (l *Log) Update(hosts map[string]Host, reflects, atLeast uint64) bool {
	changed := changedNames(l.set.Hosts, hosts)
	awaited := l.set.Reflects < atLeast && reflects >= atLeast
	if len(changed) == 0 && l.set.Version > 0 && !awaited {
		return false
	}
	l.set.Version++
	l.set.Reflects = reflects
	l.set.Hosts = maps.Clone(hosts)
	l.changes = append(l.changes, changed)
	if len(l.changes) > maxDeltaVersions {
		l.changes = l.changes[1:]
	}
	return true
}

// Set returns the current set. The caller must not change it.
func (l *Log) Set() *Set { return &l.set }

// Since returns the assignment that brings an entry at (epoch, version) up to
// date: a delta if it can, otherwise the whole set. It returns nil if the entry
// is up to date or no version exists yet.
func (l *Log) Since(epoch, version uint64) *controlpb.PoolAssignment {
	if l.set.Version == 0 || epoch == l.set.Epoch && version == l.set.Version {
		return nil
	}
	behind := l.set.Version - version
	if epoch != l.set.Epoch || version > l.set.Version || behind > uint64(len(l.changes)) {
		return l.set.Message()
	}
	return l.delta(l.changes[uint64(len(l.changes))-behind:])
}

// delta returns an assignment with the current state of all hosts named in
// changes.
func (l *Log) delta(changes [][]string) *controlpb.PoolAssignment {
	a := &controlpb.PoolAssignment{Pool: l.set.Pool, Epoch: l.set.Epoch, Version: l.set.Version, Reflects: l.set.Reflects}
	seen := map[string]bool{}
	for _, names := range changes {
		for _, name := range names {
			if seen[name] {
				continue
			}
			seen[name] = true
			if h, held := l.set.Hosts[name]; held {
				a.Hosts = append(a.Hosts, toMessage(h))
			} else {
				a.Removed = append(a.Removed, name)
			}
		}
	}
	return a
}

// changedNames returns the names of the hosts that differ between two sets.
func changedNames(old, next map[string]Host) []string {
	var names []string
	for name, h := range next {
		if before, ok := old[name]; !ok || before != h {
			names = append(names, name)
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}
