package interference

import (
	"cmp"
	"math"
	"slices"
)

const (
	// rounds is how often disturbances and sensitivities are fitted in turn. Each
	// fit starts from the last one.
	rounds = 3
	// disturbanceSD and sensitivitySD are the standard deviations of the two
	// parameters over images before there is any evidence: around 0 and around 1.
	disturbanceSD  = 0.5
	sensitivitySD  = 0.5
	maxSensitivity = 4
	// pairSD is the standard deviation of the effect of a pair around what the
	// parameters of its images give.
	pairSD = 0.15
	// priorNoise is the standard deviation of an observation before there is any
	// evidence, which counts as priorFreedom observations, for all images together
	// and then for each. minNoise bounds it from below.
	priorNoise   = 0.25
	priorFreedom = 10
	minNoise     = 0.05
)

const (
	// minEffect is the least effect that is acted on, a slowdown by a tenth: less
	// costs callers nothing that they notice.
	minEffect = 0.095
	// minCertainty is by how many standard errors an effect differs from none. With
	// 4, chance passes once in 30,000 comparisons; some hundred pairs are compared
	// each second, but successive fits share nearly all of their evidence.
	minCertainty = 4
	// minFreedom is the number of independent observations of an image before any
	// effect on it is known: with fewer, the noise itself is not known.
	minFreedom = 10
)

// Effect is how much a task of one image slows a task of another.
type Effect struct {
	Image, Cause string
	// Log is the natural logarithm of the slowdown, and Error its standard error.
	Log, Error float64
}

// fit computes the parameters of all images and the effects of all pairs. The
// disturbances follow from a regression over the observations of all images,
// given their sensitivities, and each sensitivity from one over its own.
func (e *Estimator) fit() {
	n := len(e.images)
	if n == 0 {
		return
	}
	for range rounds {
		e.fitNoise()
		var g [maxImages]float64
		var h [maxImages][maxImages]float64
		for i := range n {
			h[i][i] = 1 / (disturbanceSD * disturbanceSD)
		}
		for _, v := range e.images {
			if v.all.freedom <= 0 {
				continue
			}
			for i := range n {
				g[i] += v.sensitivity / v.noise * v.all.xy[i]
				for j := range n {
					h[i][j] += v.sensitivity * v.sensitivity / v.noise * v.all.xx[i][j]
				}
			}
		}
		disturbance, variance := solve(h, g, n)
		for i, c := range e.images {
			c.disturbance, c.disturbanceVar = disturbance[i], variance[i]
		}
		for _, v := range e.images {
			precision := 1 / (sensitivitySD * sensitivitySD)
			sum := precision
			for i, c := range e.images {
				sum += c.disturbance * v.all.xy[i] / v.noise
				for j, d := range e.images {
					precision += c.disturbance * d.disturbance * v.all.xx[i][j] / v.noise
				}
			}
			v.sensitivity, v.sensitivityVar = min(max(sum/precision, 0), maxSensitivity), 1/precision
			e.fitPairs(v)
		}
	}
	e.rankEffects()
}

// fitPairs computes the effects of all images on one. What the parameters give is
// the expectation before the pair's own data.
func (e *Estimator) fitPairs(v *image) {
	n := len(e.images)
	const prior = 1 / (pairSD * pairSD)
	var h [maxImages][maxImages]float64
	var g [maxImages]float64
	for i, c := range e.images {
		for j := range n {
			h[i][j] = v.all.xx[i][j] / v.noise
		}
		h[i][i] += prior
		g[i] = v.all.xy[i]/v.noise + prior*v.sensitivity*c.disturbance
	}
	effects, variance := solve(h, g, n)
	v.effects = effects
	v.fitted = 0
	for i, c := range e.images {
		// The share of the expectation in the estimate has its own error.
		share := variance[i] * prior
		v.fitted += 1 - share
		expected := v.sensitivity*v.sensitivity*c.disturbanceVar + c.disturbance*c.disturbance*v.sensitivityVar
		v.errors[i] = math.Sqrt(variance[i] + share*share*expected)
	}
}

// fitNoise computes the variances of the observations around the present
// estimates. What an image lacks in evidence is taken from all of them.
func (e *Estimator) fitNoise() {
	sum, freedom := priorFreedom*priorNoise*priorNoise, float64(priorFreedom)
	for _, v := range e.images {
		v.squares = v.residual(len(e.images))
		sum += v.squares
		freedom += max(v.all.freedom-v.fitted, 0)
	}
	pooled := sum / freedom
	for _, v := range e.images {
		variance := (v.squares + priorFreedom*pooled) / (max(v.all.freedom-v.fitted, 0) + priorFreedom)
		v.noise = max(variance, minNoise*minNoise)
	}
}

// residual returns the sum of the squares of the deviations from the estimate.
func (v *image) residual(n int) float64 {
	sum := v.all.yy
	for i := range n {
		sum -= 2 * v.effects[i] * v.all.xy[i]
		for j := range n {
			sum += v.effects[i] * v.effects[j] * v.all.xx[i][j]
		}
	}
	return max(sum, 0)
}

// rankEffects lists the known effects, the largest first.
func (e *Estimator) rankEffects() {
	e.strongest = e.strongest[:0]
	e.pairs = map[string][]pair{}
	for _, v := range e.images {
		for i, c := range e.images {
			if v.known(i) {
				e.strongest = append(e.strongest, Effect{v.name, c.name, v.effects[i], v.errors[i]})
				e.pairs[v.name] = append(e.pairs[v.name], pair{other: c.name, slowed: v.effects[i]})
				e.pairs[c.name] = append(e.pairs[c.name], pair{other: v.name, slows: v.effects[i]})
			}
		}
	}
	slices.SortFunc(e.strongest, func(a, b Effect) int {
		return cmp.Or(-cmp.Compare(a.Log, b.Log), cmp.Compare(a.Image, b.Image), cmp.Compare(a.Cause, b.Cause))
	})
}

// known reports whether the effect of the image with the given index is large and
// certain enough to act on.
func (v *image) known(cause int) bool {
	return v.all.freedom >= minFreedom && v.effects[cause] >= minEffect && v.effects[cause] >= minCertainty*v.errors[cause]
}

// solve returns the solution x of a x = g with its variances. No task makes another
// one faster: what would be negative is 0, and the rest is solved without it. That
// separates two fillers that are throttled together, as one of them must then speed
// up what the other one slows.
func solve(a [maxImages][maxImages]float64, g [maxImages]float64, n int) (x, variance [maxImages]float64) {
	for range maxImages {
		inverse := invert(a, n)
		negative := false
		for i := range n {
			x[i], variance[i] = dot(inverse[i], g, n), inverse[i][i]
			if x[i] < -1e-9 {
				negative = true
				for j := range n {
					a[i][j], a[j][i] = 0, 0
				}
				a[i][i], g[i] = 1, 0
			}
		}
		if !negative {
			break
		}
	}
	for i := range n {
		if x[i] <= 1e-9 {
			x[i], variance[i] = 0, 0
		}
	}
	return x, variance
}

// invert returns the inverse of the leading n rows and columns of a symmetric,
// positive definite matrix.
func invert(a [maxImages][maxImages]float64, n int) [maxImages][maxImages]float64 {
	var inverse [maxImages][maxImages]float64
	for i := range n {
		inverse[i][i] = 1
	}
	for i := range n {
		pivot := a[i][i]
		for j := range n {
			a[i][j] /= pivot
			inverse[i][j] /= pivot
		}
		for k := range n {
			if k == i || a[k][i] == 0 {
				continue
			}
			factor := a[k][i]
			for j := range n {
				a[k][j] -= factor * a[i][j]
				inverse[k][j] -= factor * inverse[i][j]
			}
		}
	}
	return inverse
}

func dot(a, b [maxImages]float64, n int) float64 {
	sum := 0.0
	for i := range n {
		sum += a[i] * b[i]
	}
	return sum
}
