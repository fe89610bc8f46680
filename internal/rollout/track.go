package rollout

import (
	"maps"
	"slices"
	"time"
)

// trackedVersions is how many roll-outs a Tracker remembers.
const trackedVersions = 32

// Rollout is how far a version has got.
type Rollout struct {
	Version uint64
	// Pending names the live instances that have not acknowledged it.
	Pending []string
	// Done says that every live instance had acknowledged it at one moment.
	Done bool
	// Elapsed is the time from acceptance to the last acknowledgement, or to now
	// while it is not done.
	Elapsed time.Duration
}

// Tracker measures roll-outs: instance versions go in, times to complete come
// out. An instance with a higher version counts as having acknowledged all
// lower ones. It does no I/O and is for one goroutine.
type Tracker struct {
	// instances holds the version of each live instance.
	instances map[string]uint64
	// rollouts is in order of versions.
	rollouts []trackedRollout
}

// trackedRollout is a roll-out under way or done.
type trackedRollout struct {
	version  uint64
	accepted time.Time
	done     bool
	elapsed  time.Duration
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{instances: map[string]uint64{}} }

// Accepted notes a version and when it was accepted.
func (t *Tracker) Accepted(version uint64, at time.Time) {
	i, known := slices.BinarySearchFunc(t.rollouts, version, func(r trackedRollout, v uint64) int {
		return int(int64(r.version) - int64(v))
	})
	if known {
		return
	}
	t.rollouts = slices.Insert(t.rollouts, i, trackedRollout{version: version, accepted: at})
	t.rollouts = t.rollouts[max(0, len(t.rollouts)-trackedVersions):]
}

// Observe notes the version that an instance has in force. The name stands for
// one start of a process, since a restarted one begins without settings.
func (t *Tracker) Observe(now time.Time, instance string, version uint64) {
	t.instances[instance] = max(t.instances[instance], version)
	t.markCompleted(now)
}

// Remove notes that an instance does not live any more.
func (t *Tracker) Remove(now time.Time, instance string) {
	delete(t.instances, instance)
	t.markCompleted(now)
}

// markCompleted marks the roll-outs that every live instance has acknowledged.
func (t *Tracker) markCompleted(now time.Time) {
	if len(t.instances) == 0 {
		return
	}
	lowest := slices.Min(slices.Collect(maps.Values(t.instances)))
	for i := range t.rollouts {
		r := &t.rollouts[i]
		if !r.done && r.version <= lowest {
			r.done = true
			r.elapsed = now.Sub(r.accepted)
		}
	}
}

// Status returns how far a version has got, false if it is not remembered.
func (t *Tracker) Status(now time.Time, version uint64) (Rollout, bool) {
	for _, r := range t.rollouts {
		if r.version != version {
			continue
		}
		s := Rollout{Version: version, Done: r.done, Elapsed: r.elapsed}
		if !r.done {
			s.Elapsed = now.Sub(r.accepted)
			s.Pending = t.pendingInstances(version)
		}
		return s, true
	}
	return Rollout{}, false
}

// Completed returns the roll-outs that are done, in order of versions.
func (t *Tracker) Completed() []Rollout {
	var done []Rollout
	for _, r := range t.rollouts {
		if r.done {
			done = append(done, Rollout{Version: r.version, Done: true, Elapsed: r.elapsed})
		}
	}
	return done
}

// pendingInstances names the instances below a version, in order.
func (t *Tracker) pendingInstances(version uint64) []string {
	var names []string
	for name, v := range t.instances {
		if v < version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
