package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// world draws observations of tasks whose slowdowns follow planted effects.
type world struct {
	images []string
	// effects holds the logarithm of the slowdown of an image by another.
	effects map[[2]string]float64
	noise   float64
	// load, if set, is what all tasks of an image have in common at a time, from -1 to
	// 1. The more there is, the more neighbours they have.
	load func(now time.Duration) float64
	rng  *rand.Rand
	now  time.Duration
	seen int
}

func newWorld(seed uint64, images int) *world {
	w := &world{effects: map[[2]string]float64{}, noise: 0.2, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range images {
		w.images = append(w.images, fmt.Sprintf("i%d", i))
	}
	return w
}

// observe feeds observations at 50 a second, each of a task beside up to four
// others.
func (w *world) observe(e *Estimator, n int) {
	for range n {
		w.now += 20 * time.Millisecond
		w.seen++
		image := w.images[w.rng.IntN(len(w.images))]
		var beside []Neighbour
		y := w.noise * w.rng.NormFloat64()
		together := 0.5
		if w.load != nil {
			y += w.load(w.now)
			together += 0.4 * w.load(w.now)
		}
		for _, other := range w.images {
			if count := w.rng.IntN(3); count > 0 && w.rng.Float64() < together {
				share := float64(count)
				if w.rng.IntN(4) == 0 {
					share /= 2 // throttled
				}
				beside = append(beside, Neighbour{other, count, share})
				y += w.effects[[2]string{image, other}] * share
			}
		}
		e.Observe(Observation{Image: image, Beside: beside, Slowdown: 0.5 * math.Exp(y), Weight: 1}, w.now)
	}
	e.Advance(w.now + binLength)
}

// TestPlantedPairsAreFoundWithin600Observations guards against an estimate that
// needs more evidence than a pool of six images yields within its memory.
func TestPlantedPairsAreFoundWithin600Observations(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 6)
		w.effects[[2]string{"i0", "i3"}] = 0.4
		w.effects[[2]string{"i1", "i3"}] = 0.4
		w.effects[[2]string{"i2", "i4"}] = 0.5
		var e Estimator
		w.observe(&e, 600)
		for pair, effect := range w.effects {
			if got := e.Known(pair[0], pair[1]); math.Abs(got-effect) > 0.2 {
				t.Errorf("seed %d: %v has %.2f, planted is %.2f", seed, pair, got, effect)
			}
		}
		for _, p := range e.Strongest(100) {
			if w.effects[[2]string{p.Image, p.Cause}] == 0 {
				t.Errorf("seed %d: reported is %+v, which was not planted", seed, p)
			}
		}
	}
}

// TestNoPairsAreReportedWhereThereAreNone guards against effects that only noise,
// or a load that all tasks of an image have in common, suggests.
func TestNoPairsAreReportedWhereThereAreNone(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 8)
		w.noise = 0.4
		w.load = func(now time.Duration) float64 { return math.Sin(now.Seconds() / 2) }
		var e Estimator
		for range 30 {
			w.observe(&e, 100)
			if found := e.Strongest(100); len(found) > 0 {
				t.Fatalf("seed %d after %d observations: reported is %+v", seed, w.seen, found)
			}
		}
	}
}

// TestFillersThatAreThrottledTogetherAreToldApart guards against a cause that stays
// unknown because a harmless filler beside it always has the same throttle.
func TestFillersThatAreThrottledTogetherAreToldApart(t *testing.T) {
	var e Estimator
	rng := rand.New(rand.NewPCG(1, 1))
	for now := time.Second; now < 20*time.Second; now += 400 * time.Millisecond {
		for i := range 8 {
			beside, y := []Neighbour{{"quiet", 1, 1}}, 0.1*rng.NormFloat64()
			if i < 5 {
				beside, y = []Neighbour{{"noisy", 1, 0.5}, {"quiet", 1, 0.5}}, y+0.55
			}
			e.Observe(Observation{Image: "web", Beside: beside, Slowdown: math.Exp(y), Weight: 0.2}, now)
		}
	}
	if noisy, quiet := e.Known("web", "noisy"), e.Known("web", "quiet"); noisy < 0.7 || quiet > 0 {
		t.Errorf("the cause has an effect of %.2f, want 1.1, and the other %.2f, want 0", noisy, quiet)
	}
}

// TestOldEvidenceDecays guards against a pair that is acted on after its effect
// has ended.
func TestOldEvidenceDecays(t *testing.T) {
	w := newWorld(1, 4)
	pair := [2]string{"i0", "i1"}
	w.effects[pair] = 0.5
	var e Estimator
	w.observe(&e, 1000)
	if e.Known(pair[0], pair[1]) == 0 {
		t.Fatal("the planted pair is not known")
	}
	w.effects[pair] = 0
	w.observe(&e, 1500) // 30 s
	if got := e.Known(pair[0], pair[1]); got > 0.2 {
		t.Errorf("the effect is %.2f 30 s after it ended", got)
	}
}

// TestImagesBeyondTheBoundDisplaceTheOldest guards against memory that grows with
// the names that callers choose.
func TestImagesBeyondTheBoundDisplaceTheOldest(t *testing.T) {
	var e Estimator
	for i := range 5 * maxImages {
		name := fmt.Sprint("image", i)
		e.Observe(Observation{Image: name, Beside: []Neighbour{{"steady", 1, 1}}, Slowdown: 1, Weight: 1}, time.Duration(i)*time.Second)
	}
	if len(e.images) > maxImages || len(e.index) > maxImages {
		t.Errorf("%d images and %d names are kept, allowed are %d", len(e.images), len(e.index), maxImages)
	}
	if _, ok := e.index["steady"]; !ok {
		t.Error("an image that is seen all the time is forgotten")
	}
}

// known returns an estimator that has found i0 to be slowed by i1 strongly and by
// i2 less.
func known(t *testing.T) *Estimator {
	w := newWorld(7, 4)
	w.noise = 0.1
	w.effects[[2]string{"i0", "i1"}] = 0.8
	w.effects[[2]string{"i0", "i2"}] = 0.3
	var e Estimator
	w.observe(&e, 1500)
	if e.Known("i0", "i1") < 0.6 || e.Known("i0", "i2") < 0.2 || e.Known("i0", "i3") > 0 {
		t.Fatalf("known are %+v", e.Strongest(10))
	}
	return &e
}

// TestCostCountsBothDirections guards against a task that is placed where it slows
// others because it is not slowed itself.
func TestCostCountsBothDirections(t *testing.T) {
	e := known(t)
	slowed := e.Cost("i0", []Neighbour{{"i1", 1, 1}})
	slows := e.Cost("i1", []Neighbour{{"i0", 2, 2}})
	if slowed < 0.6 || math.Abs(slows-2*slowed) > 1e-9 || e.Cost("i0", []Neighbour{{"i3", 1, 1}}) != 0 {
		t.Errorf("the cost is %.2f for the one that is slowed and %.2f for the one that slows two", slowed, slows)
	}
}

func TestThrottle(t *testing.T) {
	e := known(t)
	for _, c := range []struct {
		name      string
		tail      float64
		fillers   []Filler
		explained bool
		ok        func(percents []int) bool
	}{
		{"the strongest cause alone, by as much as is needed", 1.2, []Filler{{"i3", 100}, {"i2", 100}, {"i1", 100}}, true,
			func(p []int) bool { return p[0] == 100 && p[1] == 100 && p[2] > 25 && p[2] < 75 }},
		{"the second cause after the first is at 0", 2, []Filler{{"i1", 100}, {"i2", 100}}, true,
			func(p []int) bool { return p[0] == 0 && p[1] < 100 && p[1] > 0 }},
		{"known causes do not suffice", 5, []Filler{{"i1", 100}, {"i3", 100}}, false,
			func(p []int) bool { return p[0] == 0 && p[1] == 100 }},
		{"no cause is known", 1.2, []Filler{{"i3", 100}}, false, func(p []int) bool { return p[0] == 100 }},
		{"released at once as far as the tail allows", 0.3, []Filler{{"i1", 0}}, true, func(p []int) bool { return p[0] == 100 }},
		{"released in part near the target", 0.6, []Filler{{"i1", 0}}, true, func(p []int) bool { return p[0] > 15 && p[0] < 60 }},
		{"unchanged in between", 0.8, []Filler{{"i1", 40}}, true, func(p []int) bool { return p[0] == 40 }},
	} {
		percents, explained := e.Throttle([]Serving{{"i0", c.tail}}, c.fillers)
		if explained != c.explained || !c.ok(percents) {
			t.Errorf("%s: %v, explained %v", c.name, percents, explained)
		}
	}
}
