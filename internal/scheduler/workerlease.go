package scheduler

import "time"

// expireLeases gives up the runs of workers whose lease has expired and that
// have not answered a probe since, though this process reads answers: it has
// read that of a probe sent later. If there is no such answer, another MaxLease
// has to pass. It also drops unlisted workers that have nothing left to settle.
func (e *Engine) expireLeases(now time.Duration) {
	for _, w := range e.workers {
		switch {
		case w.silentAt == 0 || !w.occupied():
		case e.promptSentAt < w.silentAt && now <= w.leaseEnd()+e.opts.MaxLease:
			e.probeAnother(w, now)
		default:
			e.countCrash(w, endPresumed, now)
			for _, r := range w.runs {
				if !r.sentToPrevious() || r.listed || now > r.sentAt+maxOrderDelay+e.opts.MaxLease {
					e.loseRun(r, "lease expired", now)
				}
			}
			w.removeUnlistedOrphans(nil, now)
		}
		if !w.listed && !w.occupied() && len(w.pendingEnds) == 0 && !w.inherited {
			w.pool.remove(w)
			delete(e.workers, w.ID)
			e.speeds.Forget(w.ID)
		}
	}
}

// leaseEnd returns when the worker has killed all its runs, if no poll or start
// extends its lease beyond the latest deadline that was sent.
func (w *worker) leaseEnd() time.Duration {
	left := time.Duration(w.leaseMS-w.clockMS) * time.Millisecond
	if left < 0 {
		left = 0
	}
	return max(w.clockAt+atSlowClock(left), w.inheritedLeaseEnd)
}

// atSlowClock returns the time after which a lease has expired by the slowest
// clock of a worker.
func atSlowClock(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockDrift) + leaseSlack
}

// clock estimates the worker's clock in milliseconds from below: it leaves out
// the time that the last answer took to arrive.
func (w *worker) clock(now time.Duration) int64 {
	return w.clockMS + (now - w.clockAt).Milliseconds()
}

// earliestClock returns the least that the worker's clock, which may be slow, can
// show at the given time, in milliseconds.
func (w *worker) earliestClock(at time.Duration) int64 {
	return w.clockMS + time.Duration(float64(at-w.clockAt)*(1-clockDrift)).Milliseconds()
}
