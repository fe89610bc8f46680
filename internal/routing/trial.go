package routing

import "time"

// trial is the state of a host's re-trials.
type trial struct {
	fault Fault
	// nextAt is when the next trial falls due.
	nextAt time.Time
	// interval is the time between the last two trials.
	interval time.Duration
	// passed counts the trials in a row that succeeded.
	passed int
	// returnedAt is when the host last came back.
	returnedAt time.Time
}

// setAside takes the host out of service until its first trial. What it has
// in flight goes on.
func (t *Tracker) setAside(k *trackedHost, f Fault, r Result) {
	k.trial.schedule(f, r, k.stats, t.rules)
	k.stats.phase.Store(uint32(Aside))
	t.notify(Change{Host: k.name, Phase: Aside, Fault: f, Trial: k.trial.nextAt})
}

// schedule plans the first trial of a host that is set aside. A host that failed
// again soon after its return waits twice as long as the last time.
func (s *trial) schedule(f Fault, r Result, stats *Stats, rules HealthRules) {
	s.fault = f
	s.passed = 0
	if s.interval > 0 && r.At.Sub(s.returnedAt) < rules.BackoffResetAfter {
		s.interval = min(2*s.interval, rules.MaxTrialInterval)
	} else {
		s.interval = rules.FirstTrialDelay
	}
	delay := s.interval
	if f == Leaving {
		delay = max(delay, min(r.RetryAfter, rules.MaxTrialInterval))
		if int(stats.consecutiveCloses.Load()) >= rules.ClosesToLeave {
			delay = max(delay, rules.LeavingTrialDelay)
		}
	}
	s.nextAt = r.At.Add(delay)
}

// advancePhase lets the host's trial fall due, and then overdue.
func (k *trackedHost) advancePhase(now time.Time, rules HealthRules) {
	switch k.stats.Phase() {
	case Aside:
		if !now.Before(k.trial.nextAt) {
			k.stats.phase.CompareAndSwap(uint32(Aside), uint32(TrialDue))
		}
	case TrialDue:
		if !now.Before(k.trial.nextAt.Add(rules.TrialOverdue)) {
			k.stats.phase.CompareAndSwap(uint32(TrialDue), uint32(TrialOverdue))
		}
	}
}

// endTrial takes in the result of a host's trial.
func (t *Tracker) endTrial(c Choice, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.hosts[c.Host.Name]
	if k == nil || k.stats != c.stats {
		return // the host left while the trial ran
	}
	switch {
	case t.inconclusive(r):
		k.postpone(r.At.Add(k.trial.interval))
	case r.Kind == Answered && !t.closesConnections(k) && !t.tooSlow(r):
		t.passTrial(k, r.At)
	default:
		k.trial.passed = 0
		k.trial.interval = min(2*k.trial.interval, t.rules.MaxTrialInterval)
		k.postpone(r.At.Add(max(k.trial.interval, min(r.RetryAfter, t.rules.MaxTrialInterval))))
	}
}

// closesConnections reports whether the host asks to close its connections.
func (t *Tracker) closesConnections(k *trackedHost) bool {
	return k.trial.fault == Leaving && int(k.stats.consecutiveCloses.Load()) >= t.rules.ClosesToLeave
}

// inconclusive reports whether a trial says nothing of the host: its caller
// left, or its service fails in the whole pool.
func (t *Tracker) inconclusive(r Result) bool {
	if r.Kind == Failed {
		return t.pool[r.service()].load().failureRate >= t.rules.FailureRateExcess
	}
	return r.Kind == Cancelled
}

// postpone plans the next trial.
func (k *trackedHost) postpone(until time.Time) {
	k.trial.nextAt = until
	k.stats.phase.Store(uint32(Aside))
}

// tooSlow reports whether an answer took much longer than the pool's usual.
func (t *Tracker) tooSlow(r Result) bool {
	typical := t.pool[r.service()].load().latency
	return typical > 0 && float32(r.Latency.Seconds()) >= t.rules.SlowFactor*typical
}

// passTrial lets the next trial fall due at once, or the host serve again.
func (t *Tracker) passTrial(k *trackedHost, now time.Time) {
	k.trial.passed++
	k.trial.nextAt = now
	if k.trial.passed < t.rules.TrialsToReturn {
		k.stats.phase.Store(uint32(TrialDue))
		return
	}
	k.trial.returnedAt = now
	k.stats.resetHealth()
	k.stats.phase.Store(uint32(Serving))
	t.notify(Change{Host: k.name, Phase: Serving, Fault: k.trial.fault})
}
