package rollout

import (
	"maps"
	"slices"
	"time"
)

// trackedVersions is the number of rollouts that a Tracker keeps.
const trackedVersions = 32

// Rollout is the progress of a version through the live instances.
type Rollout struct {
	Version uint64
	// Pending lists the live instances that have not acknowledged the version,
	// sorted by name.
	Pending []string
	// Done is set once all live instances had acknowledged the version at the
	// same time.
	Done bool
	// Elapsed is the time from acceptance to completion, or until now if the
	// rollout is not done.
	Elapsed time.Duration
}

// Tracker measures how long rollouts take, from the versions that instances
// report. An instance with a higher version counts as having acknowledged all
// lower ones. A Tracker does no I/O and must be used by one goroutine at a
// time.
type Tracker struct {
	// instances holds the version of each live instance, by name.
	instances map[string]uint64
	// rollouts is sorted by version.
	rollouts []trackedRollout
}

// trackedRollout is a rollout that is in progress or done.
type trackedRollout struct {
	version  uint64
	accepted time.Time
	done     bool
	elapsed  time.Duration
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{instances: map[string]uint64{}} }

// Accepted records a version and the time at which it was accepted.
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

// Observe records the version that an instance has in force. The name
// identifies one incarnation of a process, since a restarted process begins
// without settings.
func (t *Tracker) Observe(now time.Time, instance string, version uint64) {
	t.instances[instance] = max(t.instances[instance], version)
	t.markCompleted(now)
}

// Remove records that an instance is no longer live.
func (t *Tracker) Remove(now time.Time, instance string) {
	delete(t.instances, instance)
	t.markCompleted(now)
}

// markCompleted marks the rollouts that every live instance has acknowledged
// as done.
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

// Status returns the progress of a version, and false if the Tracker does not
// know it.
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

// Completed returns the rollouts that are done, in order of versions.
func (t *Tracker) Completed() []Rollout {
	var done []Rollout
	for _, r := range t.rollouts {
		if r.done {
			done = append(done, Rollout{Version: r.version, Done: true, Elapsed: r.elapsed})
		}
	}
	return done
}

// pendingInstances returns the sorted names of the instances below a version.
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
