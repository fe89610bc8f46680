package adminapi

// ExplainRequest asks where a request of a caller, or a job, would go.
type ExplainRequest struct {
	// Host and Path are those of the request. They are empty if Job is set.
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Job needs no ID.
	Job *JobSpec `json:"job,omitempty"`
	// KeyDigest is the SHA-256 digest of the caller's key in hexadecimal digits, empty
	// for none. The key itself is not sent.
	KeyDigest string `json:"key_digest,omitempty"`
}

// Explanation tells where a request or a job would go, as the process that answers
// knows it.
type Explanation struct {
	// Version is that of the configuration, and AgeMS how long ago the process last
	// knew that no newer one was stored, -1 for never.
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	// Queue is the selected queue, empty if there is none; NoQueue is why.
	Queue   string `json:"queue,omitempty"`
	NoQueue string `json:"no_queue,omitempty"`
	Public  bool   `json:"public,omitempty"`
	Pool    string `json:"pool,omitempty"`
	// Team is that of the key, and Fingerprint the first 8 hexadecimal digits of the
	// key's digest.
	Team        string `json:"team,omitempty"`
	Fingerprint string `json:"fingerprint,omitempty"`
	// Refused is why the configuration does not allow the request, empty if it does.
	Refused string `json:"refused,omitempty"`
	// Admission is nil if there is no queue.
	Admission *ExplainedAdmission `json:"admission,omitempty"`
	// Owner is the host of the owner of the control work, empty if it is vacant or not
	// known. Owned is set if the process that answers is the owner. OwnerAgeMS is the time
	// since it has last seen a heartbeat or a newer record of the owner, -1 for never.
	Owner        string `json:"owner,omitempty"`
	OwnerAddress string `json:"owner_address,omitempty"`
	OwnerAgeMS   int64  `json:"owner_age_ms"`
	Owned        bool   `json:"owned,omitempty"`
	// Workers is nil if NoWorkers tells why workers are not shown.
	Workers   *ExplainedWorkers `json:"workers,omitempty"`
	NoWorkers string            `json:"no_workers,omitempty"`
}

// ExplainedAdmission is what a process decides about a submission for the load of its
// pool.
type ExplainedAdmission struct {
	// Decision is one of the constants below, and Reason explains it.
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	// AgeMS is the age of the published load, -1 if there is none.
	AgeMS int64 `json:"age_ms"`
	// Capacity is the work that the pool does for the team, in cores. AheadTimely and
	// Ahead are the work that stays ahead of the job until its last timely and its last
	// useful start, and Admitted the part of Ahead that was admitted since the load was
	// published, in core-seconds. TimelyMS and UsefulMS are the times until these
	// starts.
	Capacity     float64 `json:"capacity,omitempty"`
	AheadTimely  float64 `json:"ahead_timely,omitempty"`
	Ahead        float64 `json:"ahead,omitempty"`
	Admitted     float64 `json:"admitted,omitempty"`
	TimelyMS     int64   `json:"timely_ms,omitempty"`
	UsefulMS     int64   `json:"useful_ms,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// Decisions of ExplainedAdmission. AdmissionDepends is that about a request whose job
// is not known.
const (
	AdmissionAdmitted = "admitted"
	AdmissionRefused  = "refused"
	AdmissionDepends  = "depends on the job"
)

// ExplainedWorkers tells which workers of a pool could start the tasks of a job.
type ExplainedWorkers struct {
	// CancelsAgeMS and EntriesAgeMS are the ages of what the owner knows of
	// cancellations and of the entries of workers.
	CancelsAgeMS int64 `json:"cancels_age_ms"`
	EntriesAgeMS int64 `json:"entries_age_ms"`
	// Held is why no task starts now on any worker, empty if it may.
	Held string `json:"held,omitempty"`
	// Total is the number of workers of the pool, Explained that of those in Steps, 200
	// at most. WaitingSteps is the number of steps that wait for capacity in the pool
	// and may be served first.
	Total        int `json:"total"`
	Explained    int `json:"explained"`
	WaitingSteps int `json:"waiting_steps"`
	// Steps has one element for a request whose job is not known.
	Steps []ExplainedStep `json:"steps"`
}

// ExplainedStep tells where the tasks of a step would start.
type ExplainedStep struct {
	// Waits is set if other steps have to be done first.
	Waits bool `json:"waits,omitempty"`
	// Chosen are the workers that the engine would choose for the first task, or for all
	// tasks of a gang, ten at most.
	Chosen  []string          `json:"chosen,omitempty"`
	Reasons []ExplainedReason `json:"reasons"`
}

// ExplainedReason is a reason with the workers that it applies to. The empty reason
// stands for the workers on which a task could start.
type ExplainedReason struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Workers are the ids of the first ten.
	Workers []string `json:"workers"`
}
