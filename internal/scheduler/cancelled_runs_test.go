package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// testContact is the time after a disruption from which bounds hold.
const testContact = 3 * time.Second

// cancelledRuns is a history of jobs that are cancelled, in which every run has to
// end in time.
type cancelledRuns struct {
	*simulation
	random *rand.Rand
	owner  *testOwner
	ids    []string // of the workers
	jobs   []string
	// calmSince is when the last disruption ended, and lossUntil until when orders
	// may be lost.
	calmSince, lossUntil time.Duration
	loss                 int
	// grants lets the leases of late polls count from their arrival.
	grants bool
	hosts  int
	// cancelsRead is when the owner last read cancellations.
	cancelsRead time.Duration
	// failure describes the first run that went on for too long.
	failure string
}

func (h *cancelledRuns) overdue(format string, args ...any) {
	if h.failure == "" {
		const shown = 60 // lines of the trace
		h.failure = fmt.Sprintf(format, args...) + "\n" + strings.Join(h.trace[max(0, len(h.trace)-shown):], "\n")
	}
}

// check fails if a run went on for too long.
func (h *cancelledRuns) check() {
	h.t.Helper()
	if h.failure != "" {
		h.t.Fatal(h.failure)
	}
}

func (h *cancelledRuns) upTo(n int) int { return h.random.IntN(n + 1) }

func (h *cancelledRuns) millis(from, to time.Duration) time.Duration {
	return from + time.Duration(h.random.Int64N(int64(to-from)/int64(time.Millisecond)+1))*time.Millisecond
}

// disrupted extends the disruption to a time.
func (h *cancelledRuns) disrupted(until time.Duration) { h.calmSince = max(h.calmSince, until) }

func (h *cancelledRuns) addHost() *fakeWorker {
	h.hosts++
	f := h.addWorker(fmt.Sprintf("w%d", h.hosts), "p", 6)
	f.slow = float64(h.upTo(20)) / 1000
	f.stopTakes = time.Duration(h.upTo(100)) * time.Millisecond
	f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
		if task.Job[15]%3 == 0 && !h.records[task.Job].spec.Steps[0].LongRunning {
			return 700 * time.Millisecond, platform.EndDone
		}
		return time.Hour, platform.EndDone
	}
	h.ids = append(h.ids, f.ID)
	return f
}

// fault draws the fault of an order while orders are lost. The job of a lost start
// may be cancelled before the start is carried out.
func (h *cancelledRuns) fault(o Order) orderFault {
	if h.now >= h.lossUntil || h.upTo(99) >= h.loss {
		return orderFault{}
	}
	if start, ok := o.(*StartOrder); ok && h.upTo(1) == 0 {
		h.after(h.millis(0, 6*time.Second), func() { h.cancelJob(start.Task.Job) })
	}
	return orderFault{
		lost: true, applied: h.upTo(3) > 0, delay: h.millis(0, maxOrderDelay), sameIncarnation: true, fromArrival: h.grants,
	}
}

// submitJob submits a job: one that runs until it is cancelled, one with several
// occurrences, or one whose tasks take long.
func (h *cancelledRuns) submitJob() {
	n := len(h.jobs) + 1
	job := jobOf(n, 1+h.upTo(2), float64(1+h.upTo(2)))
	switch h.upTo(2) {
	case 0:
		job.Steps[0].LongRunning = true
	case 1:
		job.Schedule = &workload.Schedule{StartMS: (h.now + h.millis(0, 2*time.Second)).Milliseconds(), Interval: h.millis(300*time.Millisecond, 2*time.Second), Occurrences: 2 + h.upTo(5)}
	}
	h.submit(nil, job)
	h.jobs = append(h.jobs, job.ID)
}

// cancelJob cancels a job that is not over.
func (h *cancelledRuns) cancelJob(id string) {
	if j := h.records[id]; !j.cancelled && !j.progress.State.Over() {
		h.cancel(id)
	}
}

// cancelAny cancels one of the jobs, if there are any.
func (h *cancelledRuns) cancelAny() {
	if len(h.jobs) > 0 {
		h.cancelJob(h.jobs[h.upTo(len(h.jobs)-1)])
	}
}

// read lets the owner read the cancellations since its last read, and new jobs.
// Either may come first.
func (h *cancelledRuns) read(jobsLate, cancelsLate time.Duration) {
	owner, sent := h.owner, h.now
	jobs := sorted(h.records)
	var cancelled []string
	for _, j := range jobs {
		if j.cancelled && j.cancelledAt > h.cancelsRead {
			cancelled = append(cancelled, j.spec.ID)
		}
	}
	h.cancelsRead = sent
	h.after(cancelsLate, func() {
		for _, id := range cancelled {
			owner.Cancel(id, 1, h.now)
		}
		owner.CancelsRead(sent, h.now-sent)
	})
	h.after(jobsLate, func() {
		for _, j := range jobs {
			if j.submitted > owner.token {
				owner.AddJob(j.spec, &workload.Progress{Queue: j.spec.Queue, State: workload.Queued}, j.submitted, sent, false, h.now)
			}
		}
	})
}

// step draws one event.
func (h *cancelledRuns) step() {
	i := h.upTo(len(h.ids) - 1)
	f := h.workers[h.ids[i]]
	switch h.upTo(19) {
	case 0, 1, 2, 3:
		h.submitJob()
	case 4, 5, 6, 7, 8:
		h.cancelAny()
	case 9, 10:
		h.lossUntil, h.loss = h.now+h.millis(500*time.Millisecond, 5*time.Second), 20+h.upTo(60)
		h.disrupted(h.lossUntil)
	case 11:
		h.owner.paused = true // it was killed or removed
		vacant := h.millis(0, 3*time.Second)
		for range h.upTo(3) {
			h.after(h.millis(0, vacant), h.cancelAny)
		}
		h.run(vacant, h.owner)
		h.owner, h.cancelsRead = h.newOwnerAfter(vacant), h.now
		h.tracef("owner %d", h.owner.token)
		h.disrupted(h.now)
	case 12:
		if f.reachable && f.up {
			cut := h.millis(500*time.Millisecond, 9*time.Second)
			f.reachable = false
			h.tracef("%s is cut off for %v", f.ID, cut)
			h.disrupted(h.now + cut)
			h.after(cut, func() { f.reachable = true })
		}
	case 13, 14:
		away := h.millis(500*time.Millisecond, 9*time.Second)
		h.tracef("%s is not listed for %v", f.ID, away)
		f.unlisted = true
		h.after(away, func() { f.unlisted = f.removed })
	case 15:
		f.crash()
		h.disrupted(h.now)
		h.after(h.millis(450*time.Millisecond, 3*time.Second), func() {
			if !f.up && !f.removed {
				f.restart(h.now)
				h.tracef("%s restarts", f.ID)
			}
		})
	case 16:
		f.crash()
		f.removed, f.unlisted = true, true
		h.owner.HostRemoved(f.ID, h.now)
		h.ids = append(h.ids[:i], h.ids[i+1:]...)
		h.addHost()
	case 17:
		h.clockStep = h.millis(0, 6*time.Second) - 3*time.Second
	}
}

// checkRuns checks that the runs of cancelled jobs have ended in time.
func (h *cancelledRuns) checkRuns() {
	const bound = testCancelWithin + testStopGrace
	for _, f := range sorted(h.workers) {
		if !f.up {
			continue
		}
		for _, r := range f.runs() {
			j := h.records[r.task.Job]
			if !j.cancelled {
				continue
			}
			since := max(j.cancelledAt, h.calmSince)
			late := f.lateStarts[runKey{r.task, r.run}]
			if late {
				since = max(since, r.startedAt+testContact)
			}
			if h.now > since+bound {
				h.overdue("task %v run %d, which started at %v (late: %v), still runs on %s at %v; its job was cancelled at %v, calm since %v",
					r.task, r.run, r.startedAt, late, f.ID, h.now, j.cancelledAt, h.calmSince)
			}
		}
	}
}

func (h *cancelledRuns) advance(d time.Duration) {
	for end := h.now + d; h.now < end && h.failure == ""; {
		h.run(50*time.Millisecond, h.owner)
		h.checkRuns()
	}
}

func playCancelledRuns(t *rapid.T, grants bool) *cancelledRuns {
	h := &cancelledRuns{simulation: newSimulation(t), random: seededRandom(t), grants: grants}
	h.cancelWithin = testCancelWithin
	h.replaceRecord = true
	h.injectFault = h.fault
	for range 2 + h.upTo(2) {
		h.addHost()
	}
	h.owner = h.newOwner()
	for range 60 {
		h.step()
		h.owner.discover()
		h.read(h.millis(0, 2*time.Second), h.millis(0, 500*time.Millisecond))
		h.advance(h.millis(50*time.Millisecond, 700*time.Millisecond))
		if h.failure != "" {
			return h
		}
	}
	for range 25 {
		h.owner.discover()
		h.read(0, 0)
		h.advance(500 * time.Millisecond)
	}
	return h
}

// Owners change, workers are cut off, moved and restarted, and orders are carried out up to 12 s late, also on idle workers.
func TestNoRunOfACancelledJobGoesOnInAnyHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := playCancelledRuns(t, false)
		h.check()
		h.simulation.check()
	})
}

// The leases of late polls count from their arrival.
func TestNoRunOfACancelledJobGoesOnWhenALeaseOutlastsItsDeadline(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playCancelledRuns(t, true).check() })
}
