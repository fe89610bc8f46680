package workerspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testTask = time.Second
	testTick = 100 * time.Millisecond
)

// fleet plays workers that run one task of a second after another, and reports
// their progress twice a second and their ends.
type fleet struct {
	Estimator
	rng   *rand.Rand
	now   time.Duration
	noise float64
	// speed, and what the worker claims it to be.
	speed, claimed map[string]float64
	ids            []string
	// started is when the present task started, 0 if there is none, and reported
	// when its progress was.
	started, reported map[string]time.Duration
	starts            map[string]int
}

func newFleet(workers int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 1)), now: time.Second, noise: 0.2, speed: map[string]float64{}, claimed: map[string]float64{},
		started: map[string]time.Duration{}, reported: map[string]time.Duration{}, starts: map[string]int{}}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		f.ids = append(f.ids, id)
		f.speed[id] = 1
	}
	return f
}

// run plays for a time. A slow worker gets tasks only as trials.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += testTick {
		for _, id := range f.ids {
			f.step(id)
		}
	}
}

func (f *fleet) step(id string) {
	if f.started[id] == 0 {
		if f.SlowFactor(id, f.now) == 1 {
			f.Started(id, f.now)
			f.starts[id]++
			f.started[id], f.reported[id] = f.now, f.now
		}
		return
	}
	speed, claimed := f.speed[id], f.claimed[id]
	if claimed == 0 {
		claimed = speed
	}
	noise := math.Exp(f.noise * f.rng.NormFloat64())
	if f.now-f.reported[id] >= 500*time.Millisecond {
		f.reported[id] = f.now
		f.Observe(Observation{Worker: id, Group: "g", Rate: claimed * noise, Weight: 0.25}, f.now)
	}
	if took := f.now - f.started[id]; float64(took)*speed >= float64(testTask) {
		rate := testTask.Seconds() / took.Seconds() * noise
		f.Observe(Observation{Worker: id, Group: "g, whole", Rate: rate, Weight: 1, Whole: true, Claimed: claimed, ReportedGroup: "g"}, f.now)
		f.started[id] = 0
	}
}

// TestSlowWorkersAreFoundAndNoOthers guards against a worker at an eighth of its
// speed that keeps its share, and against normal ones that lose theirs by chance.
func TestSlowWorkersAreFoundAndNoOthers(t *testing.T) {
	f := newFleet(40)
	f.noise = noise
	f.speed["w3"], f.speed["w17"] = 0.125, 0.125
	f.run(5 * time.Second)
	for range 60 {
		f.run(time.Second)
		for _, id := range f.ids {
			if got := f.Estimate(id, f.now); (got.Class == Slow) != (f.speed[id] < 1) {
				t.Fatalf("%s is %v at %v: %+v", id, got.Class, f.now, got)
			}
		}
	}
	if got := f.SlowFactor("w3", f.now); got < 5 || got > 13 {
		t.Errorf("a run is expected to take %.1f times as long, want 8", got)
	}
}

// TestRecoveredWorkerGetsItsShareBackByFewTrials guards against a worker that
// stays slow for good, and against trials without a bound.
func TestRecoveredWorkerGetsItsShareBackByFewTrials(t *testing.T) {
	f := newFleet(20)
	f.speed["w3"] = 0.125
	f.run(30 * time.Second)
	before := f.Estimate("w3", f.now)
	if before.Class != Slow || before.Trials < 1 || before.Trials > 4 {
		t.Fatalf("after 30 s it is %v with %d trials, want slow with 1 to 4", before.Class, before.Trials)
	}
	var e Estimator
	for i := range 40 {
		e.Observe(Observation{Worker: fmt.Sprint("w", i%4), Group: "g", Rate: []float64{0.1, 1, 1, 1}[i%4], Weight: 1}, time.Second)
	}
	trials := 0
	for now := time.Second; now < time.Minute; now += testTick {
		if e.Started("w0", now) {
			trials++
		}
	}
	if trials < 3 || trials > 6 {
		t.Errorf("%d trials in a minute, want 3 to 6", trials)
	}
	f.speed["w3"] = 1
	f.run(2*maxTrial + 8*testTask)
	if after := f.Estimate("w3", f.now); after.Class != Normal {
		t.Errorf("it is %v %v after its recovery: %+v", after.Class, 2*maxTrial+8*testTask, after)
	}
}

// TestClaimedProgressDoesNotOutweighEnds guards against a worker that gets work
// because it claims progress that it does not make, and one that gets none because
// it claims too little.
func TestClaimedProgressDoesNotOutweighEnds(t *testing.T) {
	f := newFleet(20)
	f.speed["w3"], f.claimed["w3"] = 0.25, 1
	f.claimed["w4"] = 0.2
	f.run(40 * time.Second)
	if got := f.Estimate("w3", f.now); got.Class != Slow || !got.Lies {
		t.Errorf("the worker that claims too much is %+v, want slow", got)
	}
	if got := f.Estimate("w4", f.now); got.Class != Normal || !got.Lies {
		t.Errorf("the worker that claims too little is %+v, want normal", got)
	}
}

// TestClassesAreToldApart guards against a worker whose runs fail or hang that is
// taken for a slow one.
func TestClassesAreToldApart(t *testing.T) {
	var e Estimator
	e.Stalled("a", time.Second)
	e.Failed("b", time.Second)
	for id, want := range map[string]Class{"a": Stalled, "b": Failing, "c": Normal} {
		if got := e.Estimate(id, 2*time.Second).Class; got != want {
			t.Errorf("%s is %v, want %v", id, got, want)
		}
		if got := e.Estimate(id, time.Second+faultMemory).Class; got != Normal {
			t.Errorf("%s is %v after %v, want normal", id, got, faultMemory)
		}
	}
}

// TestGroupsAreNotComparedWithEachOther guards against a worker that counts as slow
// because its tasks are far from their data or their estimates are wrong.
func TestGroupsAreNotComparedWithEachOther(t *testing.T) {
	var e Estimator
	now := time.Second
	for range 200 {
		now += 50 * time.Millisecond
		for i := range 6 {
			e.Observe(Observation{Worker: fmt.Sprint("near", i), Group: "near", Rate: 1, Weight: 0.25}, now)
			e.Observe(Observation{Worker: fmt.Sprint("far", i), Group: "far", Rate: 0.4, Weight: 0.25}, now)
		}
	}
	if e.AnySlow() {
		t.Errorf("%d workers are slow", e.Slow())
	}
	if ratio, ok := e.Ratio("near", "far", now); !ok || math.Abs(ratio-2.5) > 0.01 {
		t.Errorf("a far task takes %.2f times as long, want 2.5", ratio)
	}
}

// Eight tasks of a job whose estimate is a third of the truth run on one worker.
func TestWrongEstimateOfAJobMakesNoWorkerSlow(t *testing.T) {
	var e Estimator
	for i := range 60 {
		e.Observe(Observation{Worker: string(rune('a' + i%6)), Job: string(rune('A' + i)), Group: "g", Rate: 1, Weight: 1}, 0)
	}
	for range 8 {
		e.Observe(Observation{Worker: "w", Job: "wrong", Group: "g", Rate: 0.33, Weight: 1}, time.Second)
	}
	if x := e.Estimate("w", time.Second); x.Class == Slow {
		t.Errorf("one job makes the worker slow: %+v", x)
	}
	for i := range 4 {
		e.Observe(Observation{Worker: "w", Job: string(rune('0' + i)), Group: "g", Rate: 0.33, Weight: 1}, time.Second)
	}
	if x := e.Estimate("w", time.Second); x.Class != Slow {
		t.Errorf("five jobs do not: %+v", x)
	}
}
