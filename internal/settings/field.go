package settings

import (
	"fmt"
	"strconv"
	"time"

	"github.com/egretpitch/egretpitch/internal/contract"
)

// Scope lists the levels at which a value may be set.
type Scope string

const (
	// ScopeService values may be set at every level.
	ScopeService Scope = "estate, region, pool, service"
	// ScopePool values may be set at every level except the service.
	ScopePool Scope = "estate, region, pool"
)

// field describes one of Values for inheritance, checks and display.
type field struct {
	name    string
	scope   Scope
	allowed string
	// text returns the value in its YAML form, and false for an inherited one.
	text func(v *Values) (string, bool)
	// valid reports whether the value is allowed. An inherited value is valid.
	valid func(v *Values) bool
	// override copies the value of from to to, unless from inherits it.
	override func(to, from *Values)
	// unset removes the value, so that it is inherited.
	unset func(v *Values)
}

// newField describes the value whose address fieldOf returns.
func newField[T any](name string, scope Scope, allowed string, fieldOf func(*Values) **T,
	valid func(T) bool, format func(T) string) field {
	return field{
		name: name, scope: scope, allowed: allowed,
		text: func(v *Values) (string, bool) {
			p := *fieldOf(v)
			if p == nil {
				return "", false
			}
			return format(*p), true
		},
		valid: func(v *Values) bool {
			p := *fieldOf(v)
			return p == nil || valid(*p)
		},
		override: func(to, from *Values) {
			if p := *fieldOf(from); p != nil {
				*fieldOf(to) = p
			}
		},
		unset: func(v *Values) { *fieldOf(v) = nil },
	}
}

// floatField describes a number within inclusive bounds.
func floatField(name string, scope Scope, low, high float64, fieldOf func(*Values) **float64) field {
	allowed := fmt.Sprintf("%s to %s", formatFloat(low), formatFloat(high))
	return newField(name, scope, allowed, fieldOf, inRange(low, high), formatFloat)
}

// intField describes an integer within inclusive bounds.
func intField(name string, scope Scope, low, high int, fieldOf func(*Values) **int) field {
	allowed := fmt.Sprintf("%d to %d", low, high)
	return newField(name, scope, allowed, fieldOf, inRange(low, high), strconv.Itoa)
}

// bytesField describes a number of bytes within inclusive bounds.
func bytesField(name string, scope Scope, low, high int64, fieldOf func(*Values) **int64) field {
	allowed := fmt.Sprintf("%d to %d bytes", low, high)
	return newField(name, scope, allowed, fieldOf, inRange(low, high), func(n int64) string {
		return strconv.FormatInt(n, 10)
	})
}

// durationField describes a duration within inclusive bounds.
func durationField(name string, scope Scope, low, high time.Duration, fieldOf func(*Values) **time.Duration) field {
	allowed := fmt.Sprintf("%s to %s", low, high)
	return newField(name, scope, allowed, fieldOf, inRange(low, high), time.Duration.String)
}

// inRange returns a check of inclusive bounds.
func inRange[T int | int64 | float64 | time.Duration](low, high T) func(T) bool {
	return func(v T) bool { return v >= low && v <= high }
}

// formatFloat formats a number with the fewest digits that represent it.
func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// Upper bounds that several values share.
const (
	maxBytes  = 64 << 20 // 64 MiB
	maxWeight = 1e6
	maxHosts  = 10_000
	week      = 7 * 24 * time.Hour
)

// fields describes all of Values, in the order in which `settings show` prints
// them.
var fields = []field{
	floatField("availability", ScopeService, 0.5, 0.99999, func(v *Values) **float64 { return &v.Availability }),
	durationField("deadline", ScopeService, 10*time.Millisecond, 10*time.Minute, func(v *Values) **time.Duration { return &v.Deadline }),
	intField("priority", ScopeService, 0, 100, func(v *Values) **int { return &v.Priority }),
	newField("idempotent", ScopeService, "true or false", func(v *Values) **bool { return &v.Idempotent },
		func(bool) bool { return true }, strconv.FormatBool),
	newField("key_outage", ScopeService, "refuse or run", func(v *Values) **contract.OutagePolicy { return &v.KeyOutage },
		validOutage, func(p contract.OutagePolicy) string { return string(p) }),
	floatField("retry_budget", ScopeService, 0, 1, func(v *Values) **float64 { return &v.RetryBudget }),
	bytesField("max_body_bytes", ScopeService, 0, maxBytes, func(v *Values) **int64 { return &v.MaxBodyBytes }),
	bytesField("held_answer_bytes", ScopeService, 0, maxBytes, func(v *Values) **int64 { return &v.HeldAnswerBytes }),
	floatField("buffer_weight", ScopePool, 0, maxWeight, func(v *Values) **float64 { return &v.BufferWeight }),
	floatField("move_weight", ScopePool, 0, maxWeight, func(v *Values) **float64 { return &v.MoveWeight }),
	durationField("min_stay", ScopePool, 0, week, func(v *Values) **time.Duration { return &v.MinStay }),
	intField("min_hosts", ScopePool, 0, maxHosts, func(v *Values) **int { return &v.MinHosts }),
	intField("max_unavailable", ScopePool, 1, maxHosts, func(v *Values) **int { return &v.MaxUnavailable }),
	durationField("maintenance_period", ScopePool, time.Hour, 53*week, func(v *Values) **time.Duration { return &v.MaintenancePeriod }),
	durationField("drain_timeout", ScopePool, time.Second, 24*time.Hour, func(v *Values) **time.Duration { return &v.DrainTimeout }),
	durationField("return_timeout", ScopePool, time.Second, 24*time.Hour, func(v *Values) **time.Duration { return &v.ReturnTimeout }),
	floatField("routing_log_sample", ScopePool, 0, 1, func(v *Values) **float64 { return &v.RoutingLogSample }),
}

// validOutage reports whether p is one of the defined policies.
func validOutage(p contract.OutagePolicy) bool {
	return p == contract.OutageRefuse || p == contract.OutageRun
}

// Defaults returns the values that apply where a tree sets none.
func Defaults() Values {
	return Values{
		Availability:      ref(0.99),
		Deadline:          ref(2 * time.Second),
		Priority:          ref(50),
		Idempotent:        ref(false),
		KeyOutage:         ref(contract.OutageRefuse),
		RetryBudget:       ref(0.1),
		MaxBodyBytes:      ref[int64](1 << 20),
		HeldAnswerBytes:   ref[int64](1 << 20),
		BufferWeight:      ref(1.0),
		MoveWeight:        ref(1.0),
		MinStay:           ref(time.Minute),
		MinHosts:          ref(1),
		MaxUnavailable:    ref(1),
		MaintenancePeriod: ref(7 * week),
		DrainTimeout:      ref(time.Minute),
		ReturnTimeout:     ref(10 * time.Minute),
		RoutingLogSample:  ref(1.0),
	}
}

// ref returns a pointer to v.
func ref[T any](v T) *T { return &v }

// inherit returns own, with the parent's values where own sets none. An invalid
// value of own is skipped, so that one error does not cause others.
func inherit(parent, own *Values) *Values {
	if *own == (Values{}) {
		return parent
	}
	merged := *parent
	for i := range fields {
		if fields[i].valid(own) {
			fields[i].override(&merged, own)
		}
	}
	return &merged
}
