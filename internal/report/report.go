// Package report builds the capacity report that finance and operations both
// read: what spare capacity was held, what it cost and what it bought. It is
// pure: samples go in, a Report comes out, and it is written as text, JSON or
// one HTML page.
//
// Every figure is a sum over measured intervals. An interval without a sample
// is listed as missing and is never filled in.
package report

import "time"

// PoolSample is what one pool did in one interval.
type PoolSample struct {
	Pool string `json:"pool"`
	// At is the start of the interval.
	At time.Time `json:"at"`
	// Serving is the mean number of hosts that served.
	Serving float64 `json:"serving"`
	// Busy is the mean number of hosts that demand kept busy.
	Busy float64 `json:"busy"`
	// Moves counts the hosts that came from another pool.
	Moves int `json:"moves"`
	// Maintained counts the hosts whose maintenance was completed.
	Maintained int `json:"maintained"`
	// Failures counts the hosts that were lost.
	Failures int             `json:"failures"`
	Services []ServiceSample `json:"services"`
}

// ServiceSample is what one service did in the same interval.
type ServiceSample struct {
	Service string `json:"service"`
	// Answered counts the requests answered within their deadline.
	Answered int64 `json:"answered"`
	// Late counts those answered after it.
	Late int64 `json:"late"`
	// Refused counts those that were refused as not run.
	Refused int64 `json:"refused"`
	// Lost counts those with an unknown outcome.
	Lost int64 `json:"lost"`
}

// requests returns how many requests the service was requests.
func (s ServiceSample) requests() int64 { return s.Answered + s.Late + s.Refused + s.Lost }

// Rollout is one change of the settings.
type Rollout struct {
	Version int64 `json:"version"`
	// Accepted is when the change was committed.
	Accepted time.Time `json:"accepted"`
	// Complete is when the last live instance had it in force, zero while
	// some have not.
	Complete time.Time `json:"complete"`
}

// Terms are what a pool's figures are valued by.
type Terms struct {
	Pool string `json:"pool"`
	// BufferWeight is the cost of one idle host for an hour.
	BufferWeight float64 `json:"buffer_weight"`
	// MoveWeight is the cost of one move.
	MoveWeight float64 `json:"move_weight"`
	// Availability is the promised share of requests by service.
	Availability map[string]float64 `json:"availability"`
}

// Input is all that a report is built from.
type Input struct {
	Estate string
	// From and To bound the report; Step is the length of an interval.
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
	// Ignored counts samples that were outside the report, of an unknown pool
	// or given twice.
	Ignored  int             `json:"ignored_samples"`
	Pools    []PoolReport    `json:"pools"`
	Rollouts []RolloutReport `json:"rollouts"`
}

// PoolReport is one pool over the whole time.
type PoolReport struct {
	Pool string `json:"pool"`
	// Measured counts the intervals with a sample, of Intervals.
	Measured  int `json:"measured_intervals"`
	Intervals int `json:"intervals"`
	// Missing are the times without samples.
	Missing []Gap `json:"missing"`
	// SpareHours are the host-hours that served and were not busy.
	SpareHours float64 `json:"spare_host_hours"`
	// BufferCost is SpareHours times the buffer weight.
	BufferCost float64 `json:"buffer_cost"`
	Moves      int     `json:"moves"`
	// MoveCost is Moves times the move weight.
	MoveCost   float64 `json:"move_cost"`
	Maintained int     `json:"maintained"`
	Failures   int     `json:"failures"`
	// Absorbed counts the failures in intervals in which no request was
	// refused or lost.
	Absorbed int             `json:"failures_absorbed"`
	Services []ServiceReport `json:"services"`
	// Series has one point for each interval.
	Series []Point `json:"series"`
}

// ServiceReport is one service over the whole time.
type ServiceReport struct {
	Service  string `json:"service"`
	Asked    int64  `json:"asked"`
	Answered int64  `json:"answered"`
	Late     int64  `json:"late"`
	Refused  int64  `json:"refused"`
	Lost     int64  `json:"lost"`
	// AnsweredBySpare is how many requests were answered on hosts beyond those that
	// the mean demand keeps busy. Without spare capacity they would have been
	// refused.
	AnsweredBySpare float64 `json:"answered_by_spare"`
	// Promised is the availability of the contract.
	Promised float64 `json:"promised"`
	// BudgetSpent is the share of the availability budget that is spent. It
	// has a meaning only where requests were asked and a budget exists.
	BudgetSpent float64 `json:"budget_spent"`
	BudgetKnown bool    `json:"budget_known"`
}

// Point is one interval of a pool.
type Point struct {
	At time.Time `json:"at"`
	// Missing says that no sample exists; the figures are then 0 and mean
	// nothing.
	Missing bool    `json:"missing"`
	Spare   float64 `json:"spare"`
	Busy    float64 `json:"busy"`
}

// Gap is a time without samples.
type Gap struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// RolloutReport is one change of the settings with the time that it took.
type RolloutReport struct {
	Version  int64     `json:"version"`
	Accepted time.Time `json:"accepted"`
	// Done says that every live instance has the change in force; Seconds is
	// then the time that it took.
	Done    bool    `json:"done"`
	Seconds float64 `json:"seconds"`
}
