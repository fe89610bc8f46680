package routing

import "github.com/egretpitch/egretpitch/internal/host"

// Policy chooses an upstream. Implementations are safe for concurrent use.
type Policy interface {
	// Pick returns a choice among the snapshot's candidates that the request
	// has not tried, and false when none may take it. Each choice must be
	// given back with Tracker.Done.
	Pick(s *Snapshot, tried Tried) (Choice, bool)
}

// Reason says why a host was chosen. It goes into the routing log line.
type Reason uint8

const (
	// ReasonTurn is the next host in turn.
	ReasonTurn Reason = iota
	// ReasonLeastOutstanding is the host with the fewest requests in flight.
	ReasonLeastOutstanding
	// ReasonLeastExpected is the host with the least expected latency.
	ReasonLeastExpected
	// ReasonTrial is a host set aside that is tried with one request.
	ReasonTrial
	// ReasonLastResort is a host set aside, as no other could take the request.
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

// Choice is a chosen host. It holds a place in flight until Tracker.Done.
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

// Tried is the set of hosts that a request went to before, and what the
// request allows. The zero value is a first attempt.
type Tried struct {
	hosts [maxTried]*Stats
	n     int
	// NoTrial keeps the request off hosts that are set aside, for requests
	// that can't be sent again when the trial fails.
	NoTrial bool
}

// Add puts the choice's host into the set. Hosts beyond the eighth are not
// remembered.
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
