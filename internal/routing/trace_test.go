package routing_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/limit"
	"github.com/egretpitch/egretpitch/internal/routing"
)

var policies = []struct {
	name          string
	ignoresHealth bool
	make          func(seed uint64) routing.Policy
}{
	{"round-robin", true, func(uint64) routing.Policy { return &routing.RoundRobin{} }},
	{"least-outstanding", true, func(seed uint64) routing.Policy { return routing.NewLeastOutstanding(seed) }},
	{"least-expected", false, func(seed uint64) routing.Policy { return routing.NewLeastExpected(seed) }},
}

var faults = []struct {
	name          string
	slow, failing int
}{{"healthy", -1, -1}, {"one-slow", 4, -1}, {"one-failing-fast", -1, 4}}

func productConfig() modelConfig {
	return modelConfig{
		policy: policies[2].make, rules: limit.DefaultRules(), gate: limit.GateLimit,
		slow: -1, failing: -1,
	}
}

// inTime returns the share of all requests that were answered before their
// deadline.
func inTime(tallies [4]tally) float64 {
	all, good := 0, 0
	for _, t := range tallies {
		all += t.all
		good += t.inTime
	}
	return float64(good) / float64(all)
}

// seeds is the number of generated demands to run; their seeds start at 1.
var seeds = flag.Uint64("trace.seeds", 3, "number of generated demands to run")

// TestProductPolicyAnswersMoreInTimeThanBaselines compares LeastExpected with
// both baselines. With a faulty worker it must answer at least as many
// requests in time over all demands. On any single demand, and without a
// fault, it may answer fewer by at most the tolerance: without a fault it
// differs from least-outstanding only in the choice among equal hosts, so that
// chance decides between the two.
func TestProductPolicyAnswersMoreInTimeThanBaselines(t *testing.T) {
	const tolerance = 0.005
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			var mean [3]float64
			for seed := range *seeds {
				demand := generateDemand(seed+1, 0)
				var shares [3]float64
				for i, p := range policies {
					s := productConfig()
					s.policy, s.ignoresHealth, s.slow, s.failing = p.make, p.ignoresHealth, f.slow, f.failing
					shares[i] = inTime(run(s, demand))
					mean[i] += shares[i] / float64(*seeds)
				}
				if shares[2] < max(shares[0], shares[1])-tolerance {
					t.Errorf("seed %d: in time %.4f, baselines %.4f", seed+1, shares[2], shares[:2])
				}
			}
			least := max(mean[0], mean[1])
			if f.name == "healthy" {
				least -= tolerance
			}
			if mean[2] < least {
				t.Errorf("over %d demands: in time %.4f, baselines %.4f", *seeds, mean[2], mean[:2])
			}
			t.Logf("over %d demands: in time %.4f, baselines %.4f", *seeds, mean[2], mean[:2])
		})
	}
}

// BenchmarkTrace reports the outcomes of one generated demand; its time is
// that of the simulation. Its figures are in docs/ROUTING.md.
func BenchmarkTrace(b *testing.B) {
	for _, f := range faults {
		for _, p := range policies {
			s := productConfig()
			s.policy, s.ignoresHealth, s.slow, s.failing = p.make, p.ignoresHealth, f.slow, f.failing
			benchmarkTrace(b, f.name+"/"+p.name, s, 0)
		}
	}
	gateFactor := func(factor float64) func(*modelConfig) {
		return func(s *modelConfig) {
			s.gate = func(slots, c int) int { return min(int(float64(slots)*factor), c) }
		}
	}
	for _, a := range []struct {
		name string
		skew float64
		set  func(*modelConfig)
	}{
		{"gate/1.0-of-slots", 0, gateFactor(1)},
		{"gate/2.0-of-slots", 0, gateFactor(2)},
		{"gate/connections-only", 0, gateFactor(1000)},
		{"gate/adaptive", 0, func(s *modelConfig) { s.adaptive = true }},
		{"gate/lifo", 0, func(s *modelConfig) { s.order = limit.LIFO }},
		{"shares/subset-of-5", 0, func(s *modelConfig) { s.rules.SubsetSize = 5 }},
		{"shares/skewed-by-demand", 0.3, func(*modelConfig) {}},
		{"shares/skewed-equal", 0.3, func(s *modelConfig) { s.rules.EqualShare = 1 }},
		{"shares/skewed-all-by-demand", 0.3, func(s *modelConfig) { s.rules.EqualShare = 0 }},
	} {
		s := productConfig()
		a.set(&s)
		benchmarkTrace(b, a.name, s, a.skew)
	}
}

func benchmarkTrace(b *testing.B, name string, s modelConfig, skew float64) {
	b.Run(name, func(b *testing.B) {
		var tallies [4]tally
		for range b.N {
			tallies = run(s, generateDemand(1, skew))
		}
		var sum tally
		for i, t := range tallies {
			b.ReportMetric(100*float64(t.inTime)/float64(t.all), services[i].name+"-%")
			sum.all += t.all
			sum.late += t.late
			sum.failed += t.failed
			sum.refused += t.refused
			sum.latencies = append(sum.latencies, t.latencies...)
		}
		slices.Sort(sum.latencies)
		n := float64(sum.all) / 100
		b.ReportMetric(100*inTime(tallies), "in-time-%")
		b.ReportMetric(float64(sum.late+sum.failed)/n, "wasted-%")
		b.ReportMetric(float64(sum.refused)/n, "refused-%")
		for _, q := range []int{50, 99} {
			at := sum.latencies[len(sum.latencies)*q/100]
			b.ReportMetric(float64(at)/float64(time.Millisecond), map[int]string{50: "p50-ms", 99: "p99-ms"}[q])
		}
	})
}
