package scheduler

import "time"

// runPhase is the state of a run as far as the engine knows it.
type runPhase int

const (
	// runSent means that the start was sent and its answer is awaited.
	runSent runPhase = iota
	// runUncertain means that the start got no answer: its outcome is unknown.
	runUncertain
	// runConfirmed means that the worker has the run.
	runConfirmed
	// runStopping means that the worker was ordered to stop the run.
	runStopping
)

func (p runPhase) String() string {
	return [...]string{"sent", "uncertain", "confirmed", "stopping"}[p]
}

// run is an execution of a task on a worker.
type run struct {
	task   *task
	number int
	worker *worker
	// order is the order that started the run, nil for an adopted run.
	order *StartOrder
	phase runPhase
	// sentAt is when the start was sent. It is reset when the start turns out
	// to be unanswered. confirmedAt is when the worker last confirmed the run,
	// -1 if it never did.
	sentAt, confirmedAt time.Duration
	deadlineMS          int64
	// answered is set once the start was answered, or failed.
	answered bool
	// openCrash is set while it is open whether the end of a worker counts as a crash
	// under the run.
	openCrash *openCrash
	// stop is the state of its stop orders, and stopReason why it is stopped.
	stop       stopState
	stopReason string
	// startedHere is set once the start was answered by this incarnation of the
	// worker: the clock of a later one starts anew.
	startedHere bool
	// listed is set once a poll has shown the run.
	listed  bool
	percent float64
	// firstPercent is the first progress that was listed, at firstAt, of a run that may
	// have begun with progress.
	firstPercent float64
	firstAt      time.Duration
	// progressAt is when percent last rose.
	progressAt       time.Duration
	load             float64
	throttledPercent int
	throttling       bool
	throttledAt      time.Duration
	sampled          runSample
}

// withdraw keeps the start of the run from being sent, if it was not yet.
func (r *run) withdraw() {
	if r.order != nil {
		r.order.withdrawn.Store(true)
	}
}

// sentToPrevious reports whether the start was sent to a previous incarnation
// of the worker. The current one refuses it once it has answered a poll.
func (r *run) sentToPrevious() bool { return r.order != nil && r.order.Token < r.worker.token }
