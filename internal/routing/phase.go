package routing

// Phase is whether a host gets work from this entry.
type Phase uint32

const (
	// Serving hosts get work.
	Serving Phase = iota
	// Aside hosts get none until their re-trial is due.
	Aside
	// TrialDue hosts get one request that can be repeated.
	TrialDue
	// TrialOverdue hosts get one request of any kind, as none that can be
	// repeated came.
	TrialOverdue
	// TrialRunning hosts have their one request.
	TrialRunning
)

// String returns the phase's name in logs.
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

// startTrial takes the host's one trial, if it is due and open to the request.
func (s *Stats) startTrial(noTrial bool) bool {
	if s.phase.CompareAndSwap(uint32(TrialOverdue), uint32(TrialRunning)) {
		return true
	}
	return !noTrial && s.phase.CompareAndSwap(uint32(TrialDue), uint32(TrialRunning))
}
