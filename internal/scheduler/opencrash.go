package scheduler

import (
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// openCrash is the end of a worker to which a start was sent, as long as it is open
// whether the worker has carried it out.
type openCrash struct {
	workerID string
	alone    bool
}

// leaveOpenCrash handles the end of a run whose crash is open. It counts if it stays
// unknown whether the start was carried out, and waits for the answer to the start if
// there is none yet.
func (e *Engine) leaveOpenCrash(r *run, now time.Duration) {
	switch {
	case r.openCrash == nil:
	case r.answered:
		e.recordOpenCrash(r, now)
	default:
		r.task.openCrashes++
	}
}

// settleOpenCrash handles the answer to the start of a run that was given up with its
// worker. A start that was refused or not sent was never under the crash.
func (e *Engine) settleOpenCrash(r *run, a platform.OrderAnswer, err error, now time.Duration) {
	if r.openCrash == nil {
		return
	}
	r.task.openCrashes--
	if errors.Is(err, platform.ErrUnavailable) || (err == nil && a.Outcome != platform.OrderDone) {
		r.openCrash = nil
		return
	}
	e.recordOpenCrash(r, now)
}

func (e *Engine) recordOpenCrash(r *run, now time.Duration) {
	c := r.openCrash
	r.openCrash = nil
	e.recordCrash(r.task, crash{r.number, workload.CrashUncertain}, c.alone, c.workerID, now)
	e.pauseRestart(r, now)
}
