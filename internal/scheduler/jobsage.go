package scheduler

import "time"

// JobsRead reports that all jobs and cancellations that were stored before asOf
// have been added, after the answer that told of them had waited in this process.
func (e *Engine) JobsRead(asOf, waited time.Duration) {
	e.jobsAsOf, e.jobsWaited = max(e.jobsAsOf, asOf), waited
}

// jobsAge returns the age of the known jobs.
func (e *Engine) jobsAge(now time.Duration) time.Duration { return now - e.jobsAsOf }
