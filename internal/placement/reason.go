package placement

// Reason explains a decision. The texts are stored with jobs and shown to
// users.
type Reason string

const (
	// ReasonNone means that there is no reason to wait.
	ReasonNone Reason = ""
	// ReasonFits is the reason of a placement.
	ReasonFits Reason = "fits"
	// ReasonNoCapacity is given while no worker has enough free capacity.
	ReasonNoCapacity Reason = "no worker has room now"
	// ReasonPreempting is given while tasks of lower priority are being
	// evicted.
	ReasonPreempting Reason = "tasks of less priority are making room"
	// ReasonQuota is given while the job would exceed its team's quota.
	ReasonQuota Reason = "the team holds its quota"
	// ReasonBackoff is given until NotBefore of a failed job.
	ReasonBackoff Reason = "waits before the next try"
	// ReasonNoWorker is given while the pool has no schedulable worker.
	ReasonNoWorker Reason = "the pool has no worker in service"

	// ReasonTooLarge is given for a job larger than any worker of its pool.
	ReasonTooLarge Reason = "larger than what any worker of the pool gives to jobs"
	// ReasonOverQuota is given for a job larger than its team's quota.
	ReasonOverQuota Reason = "larger than the team's quota"
	// ReasonFailsEverywhere is given for a job that failed on maxFailures
	// workers.
	ReasonFailsEverywhere Reason = "failed on several workers"
	// ReasonMayHaveRun is given for a job that is not idempotent and whose
	// last start has an unknown outcome.
	ReasonMayHaveRun Reason = "may have run and is not idempotent"
	// ReasonGang is given for a gang, which isn't supported.
	ReasonGang Reason = "gangs are not supported"
	// ReasonNoPool is given for a job whose pool does not exist.
	ReasonNoPool Reason = "no such pool"

	// ReasonCancelled is given for a cancelled job.
	ReasonCancelled Reason = "cancelled"
	// ReasonPreempted is given for a task that is evicted for a job of higher
	// priority.
	ReasonPreempted Reason = "makes room for a job of higher priority"
	// ReasonTraffic is given for a task that is throttled in favour of request
	// traffic.
	ReasonTraffic Reason = "request traffic needs the processors"
	// ReasonMemory is given for a task evicted from a worker that runs out of
	// memory.
	ReasonMemory Reason = "tasks use more memory than the worker gives to jobs"
	// ReasonTrafficLow is given for a task whose throttling ends.
	ReasonTrafficLow Reason = "request traffic leaves room"
	// ReasonWorkerFails is given for a worker that is set aside.
	ReasonWorkerFails Reason = "tasks of several jobs failed here and not elsewhere"
)
