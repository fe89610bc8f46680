package report

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Build returns the report of the input. Samples outside it and duplicates are
// only counted.
func Build(in Input) Report {
	r := Report{
		Estate:      in.Estate,
		From:        in.From,
		To:          in.To,
		StepSeconds: in.Step.Seconds(),
		Rollouts:    buildRollouts(in.Rollouts),
	}
	grid, ignored := samplesByInterval(&in)
	r.Ignored = ignored
	for i := range in.Terms {
		r.Pools = append(r.Pools, buildPool(&in, &in.Terms[i], grid[i]))
	}
	return r
}

// intervals returns the number of intervals of the report; the last one may be
// cut short by To.
func (in *Input) intervals() int {
	if in.Step <= 0 || !in.To.After(in.From) {
		return 0
	}
	return int((in.To.Sub(in.From) + in.Step - 1) / in.Step)
}

// samplesByInterval returns the samples of each pool by interval, nil where
// there is none, and the number of ignored samples. Only the first sample of an
// interval counts, so that a sample which was delivered twice is not counted
// twice.
func samplesByInterval(in *Input) (grid [][]*PoolSample, ignored int) {
	n := in.intervals()
	index := map[string]int{}
	grid = make([][]*PoolSample, len(in.Terms))
	for i := range in.Terms {
		index[in.Terms[i].Pool] = i
		grid[i] = make([]*PoolSample, n)
	}
	for i := range in.Samples {
		s := &in.Samples[i]
		pool, known := index[s.Pool]
		at := -1
		if n > 0 && !s.At.Before(in.From) {
			at = int(s.At.Sub(in.From) / in.Step)
		}
		if !known || at < 0 || at >= n || grid[pool][at] != nil {
			ignored++
			continue
		}
		grid[pool][at] = s
	}
	return grid, ignored
}

// buildPool sums the samples of one pool.
func buildPool(in *Input, terms *Terms, samples []*PoolSample) PoolReport {
	p := PoolReport{Pool: terms.Pool, Intervals: len(samples), Missing: []Gap{}}
	base := meanBusy(samples)
	services := map[string]*ServiceReport{}
	for i, s := range samples {
		at := in.From.Add(time.Duration(i) * in.Step)
		if s == nil {
			p.Series = append(p.Series, Point{At: at, Missing: true})
			p.addGap(Gap{From: at, To: earlierOf(at.Add(in.Step), in.To)})
			continue
		}
		spare := max(0, s.Serving-s.Busy)
		p.Series = append(p.Series, Point{At: at, Spare: spare, Busy: s.Busy})
		p.Measured++
		p.SpareHours += spare * in.Step.Hours()
		p.Moves += s.Moves
		p.Maintained += s.Maintained
		p.Failures += s.Failures
		if unanswered(s) == 0 {
			p.Absorbed += s.Failures
		}
		addServices(services, s, shareBeyond(s.Busy, base))
	}
	p.BufferCost = p.SpareHours * terms.BufferWeight
	p.MoveCost = float64(p.Moves) * terms.MoveWeight
	p.Services = finishServices(services, terms)
	return p
}

// earlierOf returns the earlier of two times.
func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addGap adds a missing interval, and merges it with the preceding gap if they
// are adjacent.
func (p *PoolReport) addGap(g Gap) {
	if n := len(p.Missing); n > 0 && p.Missing[n-1].To.Equal(g.From) {
		p.Missing[n-1].To = g.To
		return
	}
	p.Missing = append(p.Missing, g)
}

// meanBusy returns the number of hosts that are busy at the mean demand,
// rounded up.
func meanBusy(samples []*PoolSample) float64 {
	sum, n := 0.0, 0
	for _, s := range samples {
		if s != nil {
			sum += s.Busy
			n++
		}
	}
	return math.Ceil(sum / float64(max(n, 1)))
}

// shareBeyond returns the fraction of the work done by hosts beyond the base.
func shareBeyond(busy, base float64) float64 {
	if busy <= base {
		return 0
	}
	return 1 - base/busy
}

// unanswered returns the number of requests in an interval that were refused or
// lost.
func unanswered(s *PoolSample) int64 {
	n := int64(0)
	for _, service := range s.Services {
		n += service.Refused + service.Lost
	}
	return n
}

// addServices adds one sample to the reports of the pool's services. beyondBase
// is the fraction of the work done by spare hosts.
func addServices(services map[string]*ServiceReport, s *PoolSample, beyondBase float64) {
	for _, sample := range s.Services {
		r := services[sample.Service]
		if r == nil {
			r = &ServiceReport{Service: sample.Service}
			services[sample.Service] = r
		}
		r.Asked += sample.requests()
		r.Answered += sample.Answered
		r.Late += sample.Late
		r.Refused += sample.Refused
		r.Lost += sample.Lost
		r.AnsweredBySpare += float64(sample.Answered) * beyondBase
	}
}

// finishServices computes the budgets of the services and sorts them by name. A
// service that has a contract and no sample is included, with 0 requests.
func finishServices(services map[string]*ServiceReport, terms *Terms) []ServiceReport {
	for name := range terms.Availability {
		if services[name] == nil {
			services[name] = &ServiceReport{Service: name}
		}
	}
	all := make([]ServiceReport, 0, len(services))
	for name, s := range services {
		s.Promised = terms.Availability[name]
		budget := float64(s.Asked) * (1 - s.Promised)
		if s.Promised > 0 && budget > 0 {
			s.BudgetKnown = true
			s.BudgetSpent = float64(s.Asked-s.Answered) / budget
		}
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// buildRollouts computes how long each change took.
func buildRollouts(rollouts []Rollout) []RolloutReport {
	all := make([]RolloutReport, 0, len(rollouts))
	for _, r := range rollouts {
		out := RolloutReport{Version: r.Version, Accepted: r.Accepted, Done: !r.Complete.IsZero()}
		if out.Done {
			out.Seconds = r.Complete.Sub(r.Accepted).Seconds()
		}
		all = append(all, out)
	}
	return all
}
