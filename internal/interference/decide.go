package interference

import (
	"cmp"
	"math"
	"slices"
)

const (
	// throttleAbove and releaseBelow are tails relative to their targets: above the
	// first, fillers are throttled such that the tail is expected to fall to aim,
	// and below the second they are released such that it rises to aim at most.
	throttleAbove = 0.9
	releaseBelow  = 0.7
	aim           = 0.8
	// minPercent is the percentage below which a filler is throttled to 0.
	minPercent = 15
)

// Strongest returns the known effects, the largest first, n at most. The caller
// must not keep them beyond the next observation.
func (e *Estimator) Strongest(n int) []Effect { return e.strongest[:min(n, len(e.strongest))] }

// Active reports whether any effect is known.
func (e *Estimator) Active() bool { return len(e.strongest) > 0 }

// Known returns the logarithm of the slowdown of a task of an image by one task of
// a cause, and 0 if it is not large or not certain enough to act on.
func (e *Estimator) Known(image, cause string) float64 {
	sum := 0.0
	for _, p := range e.pairs[image] {
		if p.other == cause {
			sum += p.slowed
		}
	}
	return sum
}

// Slowdown returns the expected logarithm of the slowdown of a task of the image
// beside the neighbours, from known effects only.
func (e *Estimator) Slowdown(image string, beside []Neighbour) float64 {
	sum := 0.0
	for _, p := range e.pairs[image] {
		for _, n := range beside {
			if n.Image == p.other {
				sum += p.slowed * n.Share
			}
		}
	}
	return sum
}

// Cost returns how much slower a task of the image would run beside the
// neighbours, and how much slower these would run, as the sum of the logarithms of
// the slowdowns over all tasks. Only known effects count.
func (e *Estimator) Cost(image string, beside []Neighbour) float64 {
	cost := 0.0
	for _, p := range e.pairs[image] {
		for _, n := range beside {
			if n.Image == p.other {
				cost += p.slowed*n.Share + p.slows*float64(n.Tasks)
			}
		}
	}
	return cost
}

// Serving is a serving task on a worker.
type Serving struct {
	Image string
	// TailOfTarget is its tail latency relative to its target.
	TailOfTarget float64
}

// Filler is a filler on the same worker. Percent is its throttle, 0 to 100.
type Filler struct {
	Image   string
	Percent int
}

// Throttle returns the throttle in percent of each filler beside serving tasks.
// While a tail is near its target, the known causes are throttled, the strongest
// first, by as much as is needed. explained is false if a tail is near its target
// and its known causes do not suffice: then the cause is not known. Fillers whose
// effects on all serving tasks are known are released as far as the tails allow;
// the others keep their throttle.
func (e *Estimator) Throttle(serving []Serving, fillers []Filler) (percents []int, explained bool) {
	percents = make([]int, len(fillers))
	for i, f := range fillers {
		percents[i] = f.Percent
	}
	explained, near := true, false
	for _, s := range serving {
		if s.TailOfTarget > throttleAbove {
			near = true
			explained = e.cut(s, fillers, percents) && explained
		}
	}
	if !near {
		e.release(serving, fillers, percents)
	}
	return percents, explained
}

// cut throttles the known causes of a high tail. It reports whether they suffice.
func (e *Estimator) cut(s Serving, fillers []Filler, percents []int) bool {
	need := math.Log(s.TailOfTarget / aim)
	for i, f := range fillers { // what was cut for other serving tasks helps this one
		need -= e.Known(s.Image, f.Image) * float64(f.Percent-percents[i]) / 100
	}
	order := make([]int, 0, len(fillers))
	for i, f := range fillers {
		if e.Known(s.Image, f.Image) > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(e.Known(s.Image, fillers[b].Image), e.Known(s.Image, fillers[a].Image))
	})
	for _, i := range order {
		if need <= 0 {
			return true
		}
		effect := e.Known(s.Image, fillers[i].Image)
		left := percents[i] - int(math.Ceil(100*need/effect))
		if left < minPercent {
			left = 0
		}
		left = min(left, percents[i])
		need -= effect * float64(percents[i]-left) / 100
		percents[i] = left
	}
	return need <= 0
}

// release raises the throttles of fillers as far as all tails are expected to stay
// below aim, the one that disturbs least first.
func (e *Estimator) release(serving []Serving, fillers []Filler, percents []int) {
	tails := make([]float64, len(serving))
	for i, s := range serving {
		tails[i] = s.TailOfTarget
	}
	order := make([]int, len(fillers))
	worst := make([]float64, len(fillers))
	for i, f := range fillers {
		order[i] = i
		for _, s := range serving {
			worst[i] = max(worst[i], e.Known(s.Image, f.Image))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worst[a], worst[b]) })
	for _, i := range order {
		if percents[i] >= 100 || worst[i] == 0 {
			continue
		}
		allowed := 100 - percents[i]
		for k, s := range serving {
			effect := e.Known(s.Image, fillers[i].Image)
			switch {
			case tails[k] >= releaseBelow:
				allowed = 0
			case effect > 0 && tails[k] > 0:
				allowed = min(allowed, int(100*math.Log(aim/tails[k])/effect))
			}
		}
		if allowed <= 0 {
			continue
		}
		percents[i] += allowed
		for k, s := range serving {
			tails[k] *= math.Exp(e.Known(s.Image, fillers[i].Image) * float64(allowed) / 100)
		}
	}
}
