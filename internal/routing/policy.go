package routing

import "github.com/egretpitch/egretpitch/internal/host"

// Policy chooses the host for a request. Implementations are safe for
// concurrent use.
type Policy interface {
	// Pick returns a choice among the snapshot's candidates that the request
	// has not tried, and false when none can take it. The caller must pass
	// each choice to Tracker.Done.
	Pick(s *Snapshot, tried Tried) (Choice, bool)
}

// Reason is why a host was chosen. It is a field of the routing log line.
type Reason uint8

const (
	// ReasonTurn is the next host in round-robin order.
	ReasonTurn Reason = iota
	// ReasonLeastOutstanding is the host with the fewest requests in flight.
	ReasonLeastOutstanding
	// ReasonLeastExpected is the host with the least expected wait.
	ReasonLeastExpected
	// ReasonTrial is a host set aside that is tried with this one request.
	ReasonTrial
	// ReasonLastResort is a host set aside, chosen because no host is serving.
	ReasonLastResort
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	switch r {
	case ReasonTurn:
		return "turn"
	case ReasonLeastOutstanding:
		return "least-outstanding"
	case ReasonLeastExpected:
		return "least-expected"
	case ReasonTrial:
		return "trial"
	default:
		return "last-resort"
	}
}

// Choice is a chosen host. It counts as one request in flight at the host
// until Tracker.Done.
type Choice struct {
	// Index is the host's index in the snapshot.
	Index int
	// Host belongs to the snapshot and must not be changed.
	Host   *host.Host
	Reason Reason
	stats  *Stats
}

// maxTried bounds how many hosts one request tries.
const maxTried = 8

// Tried is the set of hosts that a request was sent to before, and whether it
// may be used for a trial. The zero value is that of a first attempt.
type Tried struct {
	hosts [maxTried]*Stats
	n     int
	// NoTrial excludes hosts whose trial is due but not overdue. It is set for
	// requests that can't be sent again if the trial fails.
	NoTrial bool
}

// Add adds the host of the choice. Hosts after the eighth are not recorded and
// may be chosen again.
func (t *Tried) Add(c Choice) {
	if t.n < maxTried {
		t.hosts[t.n] = c.stats
		t.n++
	}
}

// Len returns the number of hosts tried.
func (t *Tried) Len() int { return t.n }

// has reports whether the host was tried.
func (t *Tried) has(s *Stats) bool { return t.n > 0 && t.contains(s) }

func (t *Tried) contains(s *Stats) bool {
	for _, h := range t.hosts[:t.n] {
		if h == s {
			return true
		}
	}
	return false
}
