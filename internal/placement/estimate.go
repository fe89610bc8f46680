package placement

import "time"

const (
	// minRuns is how many finished tasks a class needs before its past use
	// counts for more than what was declared.
	minRuns = 3
	// estimateMargin is put on observed use.
	estimateMargin = 1.2
	// minObservedRun is how long a task runs before its reports tell its use.
	minObservedRun = 30 * time.Second
	// peakDecay is how much of a remembered peak a smaller one leaves.
	peakDecay = 0.9
)

// ClassUsage is what finished tasks of a class used. Its zero value has seen
// none.
type ClassUsage struct {
	// Runs is how many tasks were seen.
	Runs int
	// Peak is the highest use, decaying.
	Peak Resources
	// Run is a long run time, decaying.
	Run time.Duration
}

// Observe returns the usage with one more finished task.
func (u ClassUsage) Observe(used Resources, run time.Duration) ClassUsage {
	decayed := Resources{
		Processors: u.Peak.Processors * peakDecay,
		MemoryMB:   int(float64(u.Peak.MemoryMB) * peakDecay),
	}
	return ClassUsage{
		Runs: u.Runs + 1,
		Peak: used.Max(decayed),
		Run:  max(run, time.Duration(float64(u.Run)*peakDecay)),
	}
}

// Estimate returns what a job will hold. Accelerators are held whole, as
// declared; the rest follows past use of the class once that is known, and the
// use of the task itself once its reports are in.
func Estimate(j *Job, class ClassUsage) Resources {
	size := j.Declared
	if class.Runs >= minRuns {
		size = withMargin(class.Peak)
	}
	if j.Task != nil {
		size = estimateTask(size, j.Task)
	}
	size.Accelerators = j.Declared.Accelerators
	return size
}

// estimateTask corrects the size of a running task. Memory is corrected only
// upwards: a task that has not yet used what it asked for may still do so, and
// memory can't be taken back.
func estimateTask(size Resources, t *Task) Resources {
	used := withMargin(t.Used)
	if t.UsedAt.Sub(t.Started) < minObservedRun {
		return size.Max(used)
	}
	return Resources{Processors: used.Processors, MemoryMB: max(size.MemoryMB, used.MemoryMB)}
}

// withMargin returns observed use with a margin.
func withMargin(r Resources) Resources {
	return Resources{
		Processors: r.Processors * estimateMargin,
		MemoryMB:   int(float64(r.MemoryMB) * estimateMargin),
	}
}

// expectedRunTime returns the run time to expect.
func expectedRunTime(j *Job, class ClassUsage) time.Duration {
	if class.Runs >= minRuns {
		return class.Run
	}
	return j.DeclaredRun
}
