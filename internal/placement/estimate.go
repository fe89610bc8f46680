package placement

import "time"

const (
	// minRuns is the number of finished tasks of a class after which the
	// observed usage replaces the declared size.
	minRuns = 3
	// estimateMargin multiplies observed usage to give an estimate.
	estimateMargin = 1.2
	// minObservedRun is how long a task must have run at its last usage report
	// before the report may lower its estimate.
	minObservedRun = 30 * time.Second
	// peakDecay multiplies the recorded peak and run time with every further
	// finished task.
	peakDecay = 0.9
)

// ClassUsage aggregates the usage of the finished tasks of a class. The zero
// value stands for a class without finished tasks.
type ClassUsage struct {
	// Runs is the number of finished tasks.
	Runs int
	// Peak is the highest usage of each resource; it decays by peakDecay with
	// every task.
	Peak Resources
	// Run is the longest run time; it decays by peakDecay with every task.
	Run time.Duration
}

// Observe returns the usage updated by one more finished task.
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

// Estimate returns the resources that a job is expected to use. Accelerators
// are allocated whole, as declared. Processors and memory follow the observed
// usage of the class after minRuns finished tasks, and the usage of the task
// itself once it has run long enough.
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

// estimateTask adjusts the estimate of a running task to its reported usage.
// Memory is only adjusted upwards: a task may still use what it requested, and
// memory can't be reclaimed from a running task.
func estimateTask(size Resources, t *Task) Resources {
	used := withMargin(t.Used)
	if t.UsedAt.Sub(t.Started) < minObservedRun {
		return size.Max(used)
	}
	return Resources{Processors: used.Processors, MemoryMB: max(size.MemoryMB, used.MemoryMB)}
}

// withMargin returns the usage times estimateMargin, without accelerators.
func withMargin(r Resources) Resources {
	return Resources{
		Processors: r.Processors * estimateMargin,
		MemoryMB:   int(float64(r.MemoryMB) * estimateMargin),
	}
}

// expectedRunTime returns the run time observed for the class or, before
// minRuns finished tasks, the declared one.
func expectedRunTime(j *Job, class ClassUsage) time.Duration {
	if class.Runs >= minRuns {
		return class.Run
	}
	return j.DeclaredRun
}
