package routing

// Phase is the state of a host in one entry: whether it serves, or is set
// aside and tried with single requests (a half-open circuit breaker).
type Phase uint32

const (
	// Serving hosts get requests.
	Serving Phase = iota
	// Aside hosts get no requests until their next trial is due.
	Aside
	// TrialDue hosts get one request, which must be one that can be repeated.
	TrialDue
	// TrialOverdue hosts get one request of any kind, as no request that can
	// be repeated arrived within HealthRules.TrialOverdue.
	TrialOverdue
	// TrialRunning hosts have their one request in flight.
	TrialRunning
)

// String returns the phase's name in logs and status.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Aside:
		return "aside"
	case TrialDue:
		return "trial-due"
	case TrialOverdue:
		return "trial-overdue"
	default:
		return "trial-running"
	}
}

// startTrial moves the host to TrialRunning. It reports false if no trial is
// due or another request started it. noTrial excludes trials that are only
// due, not overdue.
func (s *Stats) startTrial(noTrial bool) bool {
	if s.phase.CompareAndSwap(uint32(TrialOverdue), uint32(TrialRunning)) {
		return true
	}
	return !noTrial && s.phase.CompareAndSwap(uint32(TrialDue), uint32(TrialRunning))
}
