package routing

import "time"

// trial is the state of the trials of a host that is or was set aside.
type trial struct {
	fault Fault
	// nextAt is the time at which the next trial is due.
	nextAt time.Time
	// interval is the current trial interval, which doubles with each failed
	// trial. It is 0 before the host was first set aside.
	interval time.Duration
	// passed counts the consecutive trials that succeeded.
	passed int
	// returnedAt is the time at which the host last returned to service.
	returnedAt time.Time
}

// setAside takes the host out of service until its first trial. Its requests
// in flight continue.
func (t *Tracker) setAside(k *trackedHost, f Fault, r Result) {
	k.trial.schedule(f, r, k.stats, t.rules)
	k.stats.phase.Store(uint32(Aside))
	t.notify(Change{Host: k.name, Phase: Aside, Fault: f, Trial: k.trial.nextAt})
}

// schedule sets the time of the first trial of a host that is set aside. A
// host that is set aside again within BackoffResetAfter of its return waits
// twice its last interval.
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

// advancePhase makes a trial due when its time has come, and overdue when it
// has waited for TrialOverdue.
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

// endTrial handles the result of a host's trial.
func (t *Tracker) endTrial(c Choice, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.hosts[c.Host.Name]
	if k == nil || k.stats != c.stats {
		return // the host was removed during the trial
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

// closesConnections reports whether a host that was set aside as leaving still
// closes its connections.
func (t *Tracker) closesConnections(k *trackedHost) bool {
	return k.trial.fault == Leaving && int(k.stats.consecutiveCloses.Load()) >= t.rules.ClosesToLeave
}

// inconclusive reports whether the result of a trial is no information about
// the host: the caller disconnected, or the service fails in the whole pool.
func (t *Tracker) inconclusive(r Result) bool {
	if r.Kind == Failed {
		return t.pool[r.service()].load().failureRate >= t.rules.FailureRateExcess
	}
	return r.Kind == Cancelled
}

// postpone sets the host aside until its next trial.
func (k *trackedHost) postpone(until time.Time) {
	k.trial.nextAt = until
	k.stats.phase.Store(uint32(Aside))
}

// tooSlow reports whether an answer took at least SlowFactor times the pool's
// mean latency for the service.
func (t *Tracker) tooSlow(r Result) bool {
	typical := t.pool[r.service()].load().latency
	return typical > 0 && float32(r.Latency.Seconds()) >= t.rules.SlowFactor*typical
}

// passTrial counts a successful trial. It returns the host to service after
// TrialsToReturn of them, and otherwise makes the next trial due at once.
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
