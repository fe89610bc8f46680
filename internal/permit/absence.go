package permit

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// firstListingDelay is how long a host that never was on the list may take to
	// appear there.
	firstListingDelay = 10 * time.Minute
	// maxObservationGap is the time without a look at the list after which absences
	// are counted anew.
	maxObservationGap = 10 * time.Second
)

// Absences measures how long entries have been gone, from the platform's list
// of hosts and the registrations. It is for one goroutine; times are on the
// observer's monotonic clock.
//
// It trusts the platform that a host missing from its list runs nothing, but
// for a process that takes no step, and that no two hosts of one name run at
// once.
type Absences struct {
	observedAt time.Duration
	// observed is false before the first observation.
	observed bool
	entries  map[string]*absence
}

// absence is what is known of one registration.
type absence struct {
	// version is the table's version of the row. A row written again shows
	// that the entry runs.
	version int64
	// lastPresent is when the entry was last present, or first observed.
	lastPresent time.Duration
	listed      bool
}

// NewAbsences returns an Absences that has seen nothing.
func NewAbsences() *Absences { return &Absences{entries: map[string]*absence{}} }

// Observe takes a look at the list and at the registrations.
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

// MessageReceived notes a message from an entry, which shows that it runs.
func (a *Absences) MessageReceived(now time.Duration, id EntryID) {
	if s := a.entries[membership.EntryKey(id.Name, id.Incarnation)]; s != nil {
		s.lastPresent = max(s.lastPresent, now)
	}
}

// AbsentFor returns how long an entry had been gone at the last observation. A host
// that never was on the list counts only after the list's lag.
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
// that has one. An older registration with another boot id ran before the host
// was rebooted or replaced.
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
