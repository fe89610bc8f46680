package fleetplan

import (
	"testing"
	"time"
)

// bursts returns a demand of the given cores for 0.4 s in each period from a time on.
func bursts(cores float64, period, from time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && (now-from)%period < 400*time.Millisecond {
			return cores
		}
		return 0
	}
}

// Guards against small bursts without a surge that have a pool sized for one again and again.
func TestSmallBurstsDoNotHoldTheHostsOfASurge(t *testing.T) {
	for _, period := range []time.Duration{3 * time.Second, 8 * time.Second} {
		f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 12})
		f.pools["b"].demand = surge(20*testCores, time.Second, 9*time.Second)
		f.run(14 * time.Second)
		f.pools["a"].demand = bursts(4*testCores, period, f.now)
		f.run(20 * time.Second)
		moves, most := f.moves, 0
		for end := f.now + 30*time.Second; f.now < end; {
			f.step()
			most = max(most, f.size("a"))
		}
		if moves = f.moves - moves; most > 9 || moves > 20 {
			t.Errorf("period %v: the pool has up to %d hosts and %d moves within 30 s for bursts that 4 serve", period, most, moves)
		}
	}
}

// Guards against a steady demand before the first surge that hides its beginning.
func TestFirstSurgeAboveASteadyDemandGetsMoreHostsThanItsPoolHolds(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 12})
	f.run(2 * time.Second)
	f.pools["a"].demand = func(time.Duration) float64 { return 2 * testCores }
	f.run(12 * time.Second)
	from := f.now
	f.pools["a"].demand = func(now time.Duration) float64 { return max(2*testCores, ramp(13*testCores, from)(now)) }
	if waiting, allowed := f.maxWaiting("a", 7*time.Second), latencyTarget.Seconds()*13*testCores; waiting > allowed {
		t.Errorf("up to %.0f core-seconds wait while demand rises, allowed are %.0f", waiting, allowed)
	}
}

// Guards against a steady demand after a surge that hides the beginning of the next one.
func TestNextSurgeAboveASteadyDemandGetsItsUsualHosts(t *testing.T) {
	f := newFleet(map[string]int{"a": 9, "b": 9, "c": 9, "spare": 12})
	first := surge(20*testCores, time.Second, 9*time.Second)
	f.pools["a"].demand = func(now time.Duration) float64 { return max(2*testCores, first(now)) }
	f.run(24 * time.Second)
	from := f.now
	f.pools["a"].demand = func(now time.Duration) float64 { return max(2*testCores, ramp(20*testCores, from)(now)) }
	if waiting, allowed := f.maxWaiting("a", 7*time.Second), latencyTarget.Seconds()*20*testCores; waiting > allowed {
		t.Errorf("up to %.0f core-seconds wait while demand rises, allowed are %.0f", waiting, allowed)
	}
}

// Guards against a pause of the feed after which a demand that goes on counts as the beginning of a surge.
func TestDemandThatGoesOnAfterAPauseIsNoRise(t *testing.T) {
	f := newFleet(map[string]int{"a": 12, "b": 9, "c": 9, "spare": 9})
	a := f.pools["a"]
	first := surge(20*testCores, 2*time.Second, 9*time.Second)
	a.demand = func(now time.Duration) float64 { return max(3.5*testCores, first(now)) }
	f.run(20 * time.Second)
	before := f.size("a")
	a.paused = true
	f.run(1400 * time.Millisecond)
	a.paused = false
	most := 0
	for range 20 {
		f.step()
		most = max(most, f.size("a"))
	}
	if most > before+5 { // the jobs of the pause need 3.5 * 1.4 hosts beside the new ones
		t.Errorf("the pool has %d hosts after a pause of the feed, %d before", most, before)
	}
}

// Guards against a successor that takes the demand of its first seconds for the beginning of a surge.
func TestDemandAtAChangeOfOwnerIsNoRise(t *testing.T) {
	f := newFleet(map[string]int{"a": 12, "b": 9, "c": 9, "spare": 9})
	a := f.pools["a"]
	first := surge(20*testCores, 2*time.Second, 9*time.Second)
	a.demand = func(now time.Duration) float64 { return max(3.5*testCores, first(now)) }
	f.run(20 * time.Second)
	before, most := f.size("a"), 0
	f.planner = New(testMigration, nil, f.planner.Surges(), nil, nil)
	for range 20 {
		f.step()
		most = max(most, f.size("a"))
	}
	if most > before+1 {
		t.Errorf("the pool has %d hosts after a change of the owner, %d before", most, before)
	}
}
