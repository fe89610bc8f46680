// Package report builds the capacity report for finance and operations: how
// much spare capacity was held, what it cost, and how many requests and host
// failures it absorbed. Build has no side effects: it turns samples into a
// Report, which is written as text, JSON or one HTML page.
//
// Every figure is a sum over intervals with a sample. An interval without one
// is listed as missing; its values are never interpolated.
package report

import "time"

// PoolSample holds the measurements of one pool in one interval.
type PoolSample struct {
	Pool string `json:"pool"`
	// At is the start of the interval.
	At time.Time `json:"at"`
	// Serving is the mean number of hosts that served.
	Serving float64 `json:"serving"`
	// Busy is the mean number of hosts that were needed for the demand.
	Busy float64 `json:"busy"`
	// Moves counts the hosts that were moved in from another pool.
	Moves int `json:"moves"`
	// Maintained counts the hosts whose maintenance was completed.
	Maintained int `json:"maintained"`
	// Failures counts the hosts that failed.
	Failures int             `json:"failures"`
	Services []ServiceSample `json:"services"`
}

// ServiceSample holds the request counts of one service in the same interval.
type ServiceSample struct {
	Service string `json:"service"`
	// Answered counts the requests answered within their deadline.
	Answered int64 `json:"answered"`
	// Late counts the requests answered after their deadline.
	Late int64 `json:"late"`
	// Refused counts the requests that were refused without being run.
	Refused int64 `json:"refused"`
	// Lost counts the requests with an unknown outcome.
	Lost int64 `json:"lost"`
}

// requests returns the number of requests to the service.
func (s ServiceSample) requests() int64 { return s.Answered + s.Late + s.Refused + s.Lost }

// Rollout is one change of the settings.
type Rollout struct {
	Version int64 `json:"version"`
	// Accepted is when the change was committed.
	Accepted time.Time `json:"accepted"`
	// Complete is when the last live instance applied the change; zero while
	// some have not.
	Complete time.Time `json:"complete"`
}

// Terms are the weights and contracts by which the report values a pool's
// figures.
type Terms struct {
	Pool string `json:"pool"`
	// BufferWeight is the cost of one idle host for an hour.
	BufferWeight float64 `json:"buffer_weight"`
	// MoveWeight is the cost of moving one host.
	MoveWeight float64 `json:"move_weight"`
	// Availability is, by service, the fraction of requests that the contract
	// promises to answer in time.
	Availability map[string]float64 `json:"availability"`
}

// Input holds the data from which a report is built.
type Input struct {
	Estate string
	// From and To are the limits of the report, From included and To excluded;
	// Step is the length of an interval.
	From, To time.Time
	Step     time.Duration
	Terms    []Terms
	Samples  []PoolSample
	Rollouts []Rollout
}

// Report is the whole report.
type Report struct {
	Estate string    `json:"estate"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	// StepSeconds is the length of an interval.
	StepSeconds float64 `json:"step_seconds"`
	// Ignored counts samples outside the report, samples of an unknown pool and
	// duplicates.
	Ignored  int             `json:"ignored_samples"`
	Pools    []PoolReport    `json:"pools"`
	Rollouts []RolloutReport `json:"rollouts"`
}

// PoolReport holds the figures of one pool over the whole report.
type PoolReport struct {
	Pool string `json:"pool"`
	// Measured is the number of intervals with a sample; Intervals is the
	// number of all.
	Measured  int `json:"measured_intervals"`
	Intervals int `json:"intervals"`
	// Missing lists the times without samples.
	Missing []Gap `json:"missing"`
	// SpareHours is the sum of serving hosts that were not busy, in host-hours.
	SpareHours float64 `json:"spare_host_hours"`
	// BufferCost is SpareHours times the buffer weight.
	BufferCost float64 `json:"buffer_cost"`
	Moves      int     `json:"moves"`
	// MoveCost is Moves times the move weight.
	MoveCost   float64 `json:"move_cost"`
	Maintained int     `json:"maintained"`
	Failures   int     `json:"failures"`
	// Absorbed counts the host failures in intervals without a refused or lost
	// request.
	Absorbed int             `json:"failures_absorbed"`
	Services []ServiceReport `json:"services"`
	// Series has one point for each interval.
	Series []Point `json:"series"`
}

// ServiceReport holds the figures of one service over the whole report. Its
// counts are defined as in ServiceSample.
type ServiceReport struct {
	Service  string `json:"service"`
	Asked    int64  `json:"asked"`
	Answered int64  `json:"answered"`
	Late     int64  `json:"late"`
	Refused  int64  `json:"refused"`
	Lost     int64  `json:"lost"`
	// AnsweredBySpare estimates the requests answered in time by hosts beyond
	// those that are busy at the mean demand. Without spare capacity they would
	// have been refused.
	AnsweredBySpare float64 `json:"answered_by_spare"`
	// Promised is the availability in the service's contract; 0 without a
	// contract.
	Promised float64 `json:"promised"`
	// BudgetSpent is the spent fraction of the availability budget; more than 1
	// means that the contract was not met. It is valid only if BudgetKnown, that
	// is, if there were requests and the contract allows some to fail.
	BudgetSpent float64 `json:"budget_spent"`
	BudgetKnown bool    `json:"budget_known"`
}

// Point holds the spare and busy hosts of a pool in one interval.
type Point struct {
	At time.Time `json:"at"`
	// Missing is true for an interval without a sample; Spare and Busy are then
	// 0 and have no meaning.
	Missing bool    `json:"missing"`
	Spare   float64 `json:"spare"`
	Busy    float64 `json:"busy"`
}

// Gap is a span of time without samples.
type Gap struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// RolloutReport is one change of the settings with the time until it was in
// force everywhere.
type RolloutReport struct {
	Version  int64     `json:"version"`
	Accepted time.Time `json:"accepted"`
	// Done is true once every live instance applied the change; Seconds is then
	// the time that it took.
	Done    bool    `json:"done"`
	Seconds float64 `json:"seconds"`
}
