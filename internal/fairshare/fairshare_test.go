package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

func TestShareIsThatOfTheDominantResource(t *testing.T) {
	var p Pool
	cpu, memory := p.Member("cpu"), p.Member("memory")
	capacity := placement.Resources{Processors: 9, MemoryMB: 18}
	// The example of the paper: the first team has 3 tasks, the second 2.
	for range 3 {
		memory.Add(placement.Resources{Processors: 1, MemoryMB: 4})
	}
	for range 2 {
		cpu.Add(placement.Resources{Processors: 3, MemoryMB: 1})
	}
	p.SetCapacity(capacity)
	p.Advance(time.Minute)
	for name, m := range map[string]*Member{"cpu": cpu, "memory": memory} {
		if got := m.Share(); math.Abs(got-2.0/3) > 1e-6 {
			t.Errorf("share of %s is %v, want 2/3", name, got)
		}
		if m.Weighted(2) != m.Share()/2 {
			t.Errorf("share of %s does not follow its weight", name)
		}
	}
}

// One of the teams has had the pool before, and both have as much now.
func TestTeamMakesUpForWhatItHadBefore(t *testing.T) {
	var p Pool
	first, second := p.Member("first"), p.Member("second")
	one := placement.Resources{Processors: 1}
	capacity := placement.Resources{Processors: 2}
	first.Add(one)
	first.Add(one)
	p.SetCapacity(capacity)
	p.Advance(10 * time.Second)
	first.Remove(one)
	second.Add(one)
	if first.Share() <= second.Share() {
		t.Errorf("shares are %v and %v", first.Share(), second.Share())
	}
	p.Advance(40 * time.Second)
	if math.Abs(first.Share()-second.Share()) > 0.01 {
		t.Errorf("shares are %v and %v after 30 s of equal use", first.Share(), second.Share())
	}
	first.Remove(one)
	p.Advance(time.Hour)
	if first.Share() > 1e-9 {
		t.Errorf("share is %v long after the last run", first.Share())
	}
}

func TestJobsBeyondTheWeightAreCounted(t *testing.T) {
	for _, c := range []struct {
		weight, rate float64
		want         float64 // fraction within the weight, over 20 s
	}{{4, 2, 1}, {4, 4, 1}, {4, 30, 0.14}, {0.5, 1, 0.5}, {0, 1, 0}} {
		var b Bucket
		within, n := 0, int(20*c.rate)
		for i := range n {
			if b.Take(c.weight, time.Duration(float64(i)/c.rate*float64(time.Second))) {
				within++
			}
		}
		if got := float64(within) / float64(n); math.Abs(got-c.want) > 0.05 {
			t.Errorf("weight %v, %v jobs a second: %v are within it, want %v", c.weight, c.rate, got, c.want)
		}
	}
}

// Jobs that were accepted before the owner's clock began must not use up the weight.
func TestJobsFromBeforeTheClockAreCountedByTheirTimes(t *testing.T) {
	var b Bucket
	for at := -100 * time.Second; at < 100*time.Second; at += time.Second {
		if !b.Take(1, at) {
			t.Errorf("a job at %v is beyond the weight, though one comes each second", at)
		}
	}
}
