package assignment

import (
	"maps"

	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// maxDeltaVersions is how many versions back a delta may reach; an entry further
// behind gets the whole set.
const maxDeltaVersions = 64

// Log is the owner's record of one entry of one pool. Its versions start at
// 1 in each epoch, so that an entry never takes a former owner's assignment
// for this owner's.
type Log struct {
	set Set
	// changes holds the names that changed at each version, oldest first;
	// the last belongs to set.Version.
	changes [][]string
}

// NewLog returns a book without hosts and without versions.
func NewLog(pool string, epoch uint64) *Log {
	return &Log{set: Set{Pool: pool, Epoch: epoch, Hosts: map[string]Host{}}}
}

// Update sets the hosts, as of the version of the table that they reflect, and
// reports whether the entry has something to learn. The first update always
// makes a version, so that an empty set can be acknowledged; so does one that
// reflects atLeast while the last did not, as somebody waits for that.
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

// Set returns the current set; the caller must not change it.
func (l *Log) Set() *Set { return &l.set }

// Since returns what an entry at (epoch, version) lacks, or nil.
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

// delta returns the current state of all hosts named in changes.
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

// changedNames returns the names that differ between two sets.
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
