package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/maintenance"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/pool"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// minDecisionCPU is the processor time for which a decision is repeated,
	// unless maxRepeats is reached first.
	minDecisionCPU = time.Second
	// maxRepeats is the maximum number of repetitions of a decision.
	maxRepeats = 10000
	// plannedPools and plannedHostsPerPool are the full size of the planned
	// estate.
	plannedPools        = 180
	plannedHostsPerPool = 19
	// jobsPerHost is the number of pending jobs per host of the planned estate.
	jobsPerHost = 3
)

// Decision is a decision function without I/O, whose processor time is measured
// at fractions of the planned estate.
type Decision struct {
	Name string `json:"name"`
	// prepare returns a function that makes the decision once for an estate
	// with that many pools.
	prepare func(pools int) (func() error, error)
}

// DecisionResult is the processor time of a decision at several sizes.
type DecisionResult struct {
	Name string `json:"name"`
	// Hosts are the sizes in hosts. Milliseconds is the mean processor time of
	// one decision at each of them.
	Hosts        []float64 `json:"hosts"`
	Milliseconds []float64 `json:"cpu_ms"`
	Fit          Fit       `json:"fit"`
}

// AllDecisions returns the decisions that can be measured.
func AllDecisions() []Decision {
	return []Decision{
		{Name: "settings-parse", prepare: prepareParse},
		{Name: "sizing", prepare: prepareSizing},
		{Name: "wave-plan", prepare: prepareWaves},
		{Name: "placement-pass", prepare: preparePlacement},
	}
}

// Measure measures the decision at a quarter, a half and the whole of the
// planned estate.
func (d Decision) Measure() (*DecisionResult, error) {
	r := &DecisionResult{Name: d.Name}
	for _, pools := range []int{plannedPools / 4, plannedPools / 2, plannedPools} {
		decide, err := d.prepare(pools)
		if err != nil {
			return nil, err
		}
		began, n := ownCPU(), 0
		for ; n < maxRepeats && ownCPU()-began < minDecisionCPU; n++ {
			if err := decide(); err != nil {
				return nil, err
			}
		}
		cpu := (ownCPU() - began).Seconds() * 1000 / float64(n)
		r.Hosts = append(r.Hosts, float64(pools*plannedHostsPerPool))
		r.Milliseconds = append(r.Milliseconds, cpu)
	}
	r.Fit = fitLine(r.Hosts, r.Milliseconds)
	return r, nil
}

// WriteMarkdown writes the result as a Markdown table.
func (r *DecisionResult) WriteMarkdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n| hosts | CPU ms |\n|---|---|\n", r.Name)
	for i := range r.Hosts {
		fmt.Fprintf(w, "| %.0f | %.3g |\n", r.Hosts[i], r.Milliseconds[i])
	}
	fmt.Fprintf(w, "| **slope a 1,000 hosts ± error (R²)** | %.3g ± %.2g (%.3f) |\n\n",
		1000*r.Fit.Slope, 1000*r.Fit.SlopeError, r.Fit.R2)
}

// scenarioWithPools returns a scenario with that many pools of the planned
// estate: 11 services per pool and 3 services per team.
func scenarioWithPools(pools int) *Scenario {
	return &Scenario{
		Pools: pools, HostsPerPool: plannedHostsPerPool, ServicesPerPool: 11, Teams: pools * 11 / 3,
	}
}

// prepareParse prepares parsing and checking a tree and computing its effective
// settings.
func prepareParse(pools int) (func() error, error) {
	data, err := settings.Encode(scenarioWithPools(pools).Tree())
	if err != nil {
		return nil, err
	}
	return func() error {
		_, err := settings.ParseEffective(data)
		return err
	}, nil
}

// prepareSizing prepares the sizing of all pools, each with an hour of demand
// samples.
func prepareSizing(pools int) (func() error, error) {
	effective, err := scenarioWithPools(pools).Tree().Effective()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	state := pool.State{Now: now, Reaction: 4 * time.Second}
	for _, values := range effective.Pools {
		p := pool.Pool{Values: values, Deadline: time.Second}
		for i := range 3600 {
			busy := 40 + float64(i%60)
			p.Demand = p.Demand.Observe(pool.Sample{At: now.Add(time.Duration(i-3600) * time.Second), Busy: busy})
		}
		for _, name := range values.Hosts {
			p.Hosts = append(p.Hosts, pool.Host{
				Name: name, Place: effective.Places[name], Slots: hostSlots,
				Phase: host.Serving, Since: now.Add(-24 * time.Hour),
			})
		}
		state.Pools = append(state.Pools, p)
	}
	return func() error { pool.Size(state); return nil }, nil
}

// prepareWaves prepares the planning of maintenance waves for hosts that are due
// at different times.
func prepareWaves(pools int) (func() error, error) {
	effective, err := scenarioWithPools(pools).Tree().Effective()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	state := maintenance.State{Now: now}
	for _, values := range effective.Pools {
		p := maintenance.Pool{Values: values, Need: len(values.Hosts) * 3 / 4}
		for i, name := range values.Hosts {
			age := values.MaintenancePeriod * time.Duration(i+1) / time.Duration(len(values.Hosts))
			p.Hosts = append(p.Hosts, maintenance.Host{
				Name: name, Place: effective.Places[name], Phase: host.Serving,
				Since: now.Add(-age), Maintained: now.Add(-age), Listed: true,
			})
		}
		state.Pools = append(state.Pools, p)
	}
	return func() error { maintenance.Plan(state); return nil }, nil
}

// preparePlacement prepares a placement pass over jobs of all teams and of
// different sizes.
func preparePlacement(pools int) (func() error, error) {
	effective, err := scenarioWithPools(pools).Tree().Effective()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	state := placement.State{Now: now, Teams: effective.Teams, Usage: map[string]placement.ClassUsage{}}
	teams := len(effective.Teams)
	for _, values := range effective.Pools {
		for _, name := range values.Hosts {
			state.Workers = append(state.Workers, placement.Worker{
				Name: name, Pool: values.Pool, Serving: true,
				Capacity: placement.Resources{Processors: 64, MemoryMB: 131072},
				Reserved: placement.Resources{Processors: 16, MemoryMB: 16384},
			})
			for range jobsPerHost {
				n := len(state.Jobs)
				state.Jobs = append(state.Jobs, placement.Job{
					ID: fmt.Sprintf("job-%05d", n), Team: fmt.Sprintf("team-%03d", n%teams), Class: fmt.Sprint(n % (4 * teams)),
					Pool: values.Pool, Priority: n % 100, Submitted: now.Add(-time.Duration(n%3600) * time.Second),
					Declared: placement.Resources{Processors: float64(1 + n%24), MemoryMB: 1024 * (1 + n%32)},
				})
			}
		}
	}
	return func() error { placement.Pass(state); return nil }, nil
}
