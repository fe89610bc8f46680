package measure

import (
	"context"
	"time"
)

// Series is a sequence of scenarios that differ in one size.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of the size, in the singular. Slopes are per unit.
	Unit string `json:"unit"`
	base Scenario
	// sizes are the sizes to measure, at least three.
	sizes []int
	// set sets the size in a copy of base.
	set func(*Scenario, int)
}

// Result holds the samples of a series and the lines fitted through them.
type Result struct {
	Series  Series           `json:"series"`
	Sizes   []int            `json:"sizes"`
	Samples []Sample         `json:"samples"`
	Fits    map[Quantity]Fit `json:"fits"`
}

// AllSeries returns the series that can be measured.
func AllSeries() []Series {
	entry := Scenario{Role: Entry, Pools: 20, HostsPerPool: 10, ServicesPerPool: 4, Teams: 20, Owners: 4}
	owner := Scenario{Role: Owner, Pools: 2, HostsPerPool: 19, ServicesPerPool: 11, Teams: 20, Entries: 20}
	idle := Scenario{Role: Idle, Pools: 2, HostsPerPool: 200, ServicesPerPool: 11, Teams: 20, Members: 10}
	return []Series{
		{Name: "entry-pools", Unit: "pool served", base: entry, sizes: []int{10, 20, 40, 80},
			set: func(s *Scenario, n int) { s.Pools = n }},
		{Name: "entry-hosts", Unit: "host per pool", base: entry, sizes: []int{5, 10, 20, 40},
			set: func(s *Scenario, n int) { s.HostsPerPool = n }},
		{Name: "entry-owners", Unit: "owner exchanged with", base: entry, sizes: []int{1, 4, 10, 20},
			set: func(s *Scenario, n int) { s.Owners = n }},
		{Name: "entry-services", Unit: "service per pool", base: entry, sizes: []int{2, 6, 12, 24},
			set: func(s *Scenario, n int) { s.ServicesPerPool = n }},
		{Name: "entry-changes", Unit: "change in 10 s", base: entry, sizes: []int{0, 1, 2, 4},
			set: func(s *Scenario, n int) { s.Changes = n }},
		{Name: "owner-entries", Unit: "entry", base: owner, sizes: []int{10, 20, 40, 80, 160},
			set: func(s *Scenario, n int) { s.Entries = n }},
		{Name: "owner-hosts", Unit: "host per pool", base: owner, sizes: []int{10, 20, 40, 80},
			set: func(s *Scenario, n int) { s.HostsPerPool = n }},
		{Name: "owner-pools", Unit: "pool owned", base: owner, sizes: []int{2, 4, 8, 16},
			set: func(s *Scenario, n int) { s.Pools = n }},
		{Name: "owner-controls", Unit: "other control process", base: owner, sizes: []int{0, 5, 10, 20},
			set: func(s *Scenario, n int) { s.Owners = n }},
		{Name: "owner-listed", Unit: "host on the list", base: owner, sizes: []int{0, 850, 1700, 3400},
			set: func(s *Scenario, n int) { s.Listed = n }},
		{Name: "owner-registered", Unit: "registered entry", base: owner, sizes: []int{10, 40, 160, 590},
			set: func(s *Scenario, n int) { s.Registered = n }},
		{Name: "idle-hosts", Unit: "host in all", base: idle, sizes: []int{200, 800, 1600, 3400},
			set: func(s *Scenario, n int) { s.HostsPerPool = n / s.Pools }},
		{Name: "idle-members", Unit: "control process", base: idle, sizes: []int{10, 40, 160, 590},
			set: func(s *Scenario, n int) { s.Members = n }},
		{Name: "idle-entries", Unit: "registered entry", base: idle, sizes: []int{10, 40, 160, 590},
			set: func(s *Scenario, n int) { s.Registered = n }},
		{Name: "idle-pools", Unit: "pool", base: idle, sizes: []int{10, 40, 90, 180}, set: setPools},
	}
}

// setPools sets the number of pools and that of the members, one for each pool.
// The total number of hosts stays about the same, with at least two per pool.
func setPools(s *Scenario, n int) {
	hosts := s.Pools * s.HostsPerPool
	s.Pools = n
	s.HostsPerPool = max(hosts/n, 2)
	s.Members = n
}

// Measure measures the scenarios of the series and fits a line for each
// quantity. It calls report after each sample.
func (s Series) Measure(ctx context.Context, binaries string, window time.Duration, report func(Sample)) (*Result, error) {
	r := &Result{Series: s, Sizes: s.sizes, Fits: map[Quantity]Fit{}}
	var x []float64
	for _, size := range s.sizes {
		scenario := s.base
		s.set(&scenario, size)
		sample, err := Run(ctx, scenario, binaries, window)
		if err != nil {
			return nil, err
		}
		report(sample)
		x = append(x, float64(size))
		r.Samples = append(r.Samples, sample)
	}
	for _, q := range quantities {
		y := make([]float64, len(r.Samples))
		for i := range r.Samples {
			y[i] = r.Samples[i].value(q)
		}
		r.Fits[q] = fitLine(x, y)
	}
	return r, nil
}
