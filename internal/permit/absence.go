package permit

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// firstListingDelay is how long a new host may take to appear on the
	// platform's list.
	firstListingDelay = 10 * time.Minute
	// maxObservationGap is the longest time between two observations of the
	// list. After a longer gap all absences are measured anew.
	maxObservationGap = 10 * time.Second
)

// Absences measures how long entries have been absent, from the platform's list
// of hosts and the registrations. It is not safe for concurrent use; times are
// on the observer's monotonic clock.
//
// It relies on two guarantees of the platform: a host that is missing from its
// list runs no process other than a paused one, and no two hosts of one name
// run at once.
type Absences struct {
	// observedAt is the time of the last observation.
	observedAt time.Duration
	// observed is false before the first observation.
	observed bool
	entries  map[string]*absence
}

// absence is the state of one registration.
type absence struct {
	// version is the table's version of the entry's row. A higher one means
	// that the entry wrote the row again, so it was running.
	version int64
	// lastPresent is when the entry was last present, or first observed.
	lastPresent time.Duration
	// listed is set once the entry's host has been on the list.
	listed bool
}

// NewAbsences returns an Absences without observations.
func NewAbsences() *Absences { return &Absences{entries: map[string]*absence{}} }

// Observe records the platform's list and the registrations as of now.
func (a *Absences) Observe(now time.Duration, listed []platform.ListedHost, entries []membership.Entry) {
	present := make(map[string]bool, len(listed))
	for _, h := range listed {
		present[h.Name] = true
	}
	boots := latestBoots(entries)
	startOver := !a.observed || now-a.observedAt > maxObservationGap
	kept := make(map[string]*absence, len(entries))
	for _, e := range entries {
		s := a.entries[e.Key()]
		if s == nil || s.version != e.Version {
			s = &absence{version: e.Version, lastPresent: now}
		}
		isPresent := present[e.Host] && (e.Boot == "" || e.Boot == boots[e.Host])
		if isPresent || startOver {
			s.lastPresent = now
		}
		s.listed = s.listed || present[e.Host]
		kept[e.Key()] = s
	}
	a.entries = kept
	a.observedAt = now
	a.observed = true
}

// MessageReceived records a message from an entry, which proves that it was
// running.
func (a *Absences) MessageReceived(now time.Duration, id EntryID) {
	if s := a.entries[membership.EntryKey(id.Name, id.Incarnation)]; s != nil {
		s.lastPresent = max(s.lastPresent, now)
	}
}

// AbsentFor returns how long an entry had been absent at the last observation.
// An entry whose host was never on the list counts as absent only after
// firstListingDelay.
func (a *Absences) AbsentFor(e membership.Entry) time.Duration {
	s := a.entries[e.Key()]
	if s == nil || s.version != e.Version {
		return 0
	}
	absentFor := a.observedAt - s.lastPresent
	if !s.listed {
		absentFor -= firstListingDelay
	}
	return max(0, absentFor)
}

// latestBoots returns, for each host, the boot id of its latest registration
// that has one. An older registration with another boot id dates from before
// the host was rebooted or replaced.
func latestBoots(entries []membership.Entry) map[string]string {
	boots := make(map[string]string, len(entries))
	versions := make(map[string]int64, len(entries))
	for _, e := range entries {
		if e.Boot != "" && e.Version > versions[e.Host] {
			versions[e.Host] = e.Version
			boots[e.Host] = e.Boot
		}
	}
	return boots
}
