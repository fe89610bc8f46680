package scheduler

// Stats counts decisions and outcomes since the engine was created. It is
// published under its field names.
type Stats struct {
	// Starts and Stops count orders to workers, and Looks polls.
	Starts, Stops, Looks, Commits int64
	// Done counts finished tasks, FailedRuns failed runs and LostRuns runs
	// whose end was not seen.
	Done, FailedRuns, LostRuns               int64
	JobsCompleted, JobsFailed, JobsCancelled int64
	// UncertainStarts counts starts without an answer, and RefusedNoRoom starts
	// that a worker refused for lack of free capacity.
	UncertainStarts, RefusedNoRoom int64
	// StuckRuns counts stalled runs that were stopped, Copies the second runs
	// of slow tasks, and Paces throttle orders.
	WorkersSetAside, StuckRuns, Copies, Paces int64
	Recommendations, TicketsRefused           int64
	// UnansweredPolls counts polls without an answer that renewed a lease or
	// acknowledged ends, and EndsIgnored ends that were acknowledged without a
	// record.
	UnansweredPolls, EndsIgnored int64
	// TasksWithoutRun is how many long-running tasks no worker listed for 2 s or
	// more at the last check, and LongestWithoutRunMS the longest such time of
	// any task so far, in milliseconds.
	TasksWithoutRun, LongestWithoutRunMS int64
	// OrphansStopped counts the stop orders for listed runs that no job needs.
	OrphansStopped int64
	// OverdueStops is how many runs of cancelled jobs and orphans were, at the last
	// check, still there after the bound on cancellations and a stop.
	OverdueStops int64
	// CancelsAgeMS is the age of the known cancellations at the last sweep, and
	// OldestCancelsAtStartMS the greatest such age at any start so far, in
	// milliseconds. StartsHeldMS is how long starts were held because of it.
	CancelsAgeMS, OldestCancelsAtStartMS, StartsHeldMS int64
	// EntriesAgeMS is the age of the known entries of workers at the last sweep, in
	// milliseconds.
	EntriesAgeMS int64
	// CrashesCounted counts the crashes of workers that were recorded with a task,
	// SuspectsIsolated the starts of such tasks apart from others, and TasksGivenUp
	// those that are not started again.
	CrashesCounted, SuspectsIsolated, TasksGivenUp int64
	PerformanceStats
}
