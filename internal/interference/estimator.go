// Package interference estimates how much the tasks of one image slow those of
// another on the same worker, and decides by it which fillers to throttle. It is
// pure: callers pass the time, as the duration since any fixed point.
//
// Each image has two parameters: how much one of its tasks disturbs others, and
// how sensitive its own tasks are (Bubble-Up, MICRO 2011). The logarithm of a
// task's slowdown is expected to be its sensitivity times the sum of what its
// neighbours disturb. Pairs that were seen together often enough deviate from
// that by their own data (see fit.go).
//
// An Estimator is not safe for concurrent use.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// binLength is the time over which tasks of an image are compared with each
	// other. The load of a pool changes within seconds, and with it the tails of
	// all tasks of an image: only differences within a bin are evidence.
	binLength = time.Second
	// memory is the time in which the weight of evidence falls by the factor e.
	memory = 10 * time.Second
	// maxImages bounds the number of images that are told apart. Beyond it, the
	// one that was not seen for longest is forgotten.
	maxImages = 20
	// maxLog bounds the logarithm of an observed slowdown relative to its image's
	// mean: single outliers of a tail are not evidence.
	maxLog = 2.0
	// minSlowdown is the least slowdown that is taken in, so that its logarithm is
	// finite.
	minSlowdown = 1e-3
)

// Neighbour is the tasks of one image on a worker.
type Neighbour struct {
	Image string
	// Tasks is their number, and Share the sum of the shares, 0 to 1, to which they
	// are throttled.
	Tasks int
	Share float64
}

// Observation is how slow a task was while others ran on its worker.
type Observation struct {
	Image string
	// Beside lists each image once, none of them empty. Of more than 19, the rest is
	// left out.
	Beside []Neighbour
	// Slowdown is in any unit that is the same for all tasks of the image, such as
	// its tail latency relative to its target, or the reciprocal of its progress
	// relative to its estimate.
	Slowdown float64
	// Weight is 1 for an independent observation. Successive ones of one task
	// depend on each other and weigh less.
	Weight float64
}

// Estimator holds the evidence and the estimates. The zero value is ready to use.
type Estimator struct {
	index  map[string]int
	images []*image
	binEnd time.Duration
	// strongest holds the known effects, the largest first.
	strongest []Effect
	// pairs holds the same effects by image, for the images that have any.
	pairs map[string][]pair
}

// pair is what is known of an image with another: by how much it is slowed by one
// task of the other, and by how much it slows one.
type pair struct {
	other         string
	slowed, slows float64
}

// image is the evidence about the tasks of one image, and its parameters.
type image struct {
	name   string
	seenAt time.Duration
	// bin holds the observations since the last bin ended, and all the decayed
	// sum of the moments within each bin.
	bin bin
	all moments
	// disturbance and sensitivity are the two parameters, with their variances.
	disturbance, disturbanceVar float64
	sensitivity, sensitivityVar float64
	// noise is the variance of one observation around the estimate, squares the sum
	// of the squares of the deviations, and fitted the number of parameters that
	// the observations determine.
	noise, squares, fitted float64
	// effects and errors hold, by the index of the cause, the logarithm of the
	// slowdown of a task of this image by one task of the cause, and its standard
	// error.
	effects, errors [maxImages]float64
}

// bin holds the sums over the observations of one image in one bin.
type bin struct {
	count     int
	weight    float64
	x         [maxImages]float64
	y         float64
	xx        [maxImages][maxImages]float64
	xy        [maxImages]float64
	yy        float64
	used      []int // the indices of x that are not zero
	reference float64
}

// moments are the sums of squares and products of deviations from the means of
// their bins. freedom is the number of independent observations in them.
type moments struct {
	xx      [maxImages][maxImages]float64
	xy      [maxImages]float64
	yy      float64
	freedom float64
}

// Observe takes in an observation at the given time.
func (e *Estimator) Observe(o Observation, now time.Duration) {
	if o.Image == "" || o.Weight <= 0 || math.IsNaN(o.Slowdown) || math.IsInf(o.Slowdown, 0) {
		return
	}
	e.Advance(now)
	var indices [maxImages]int
	beside := o.Beside[:min(len(o.Beside), maxImages-1)]
	for _, n := range beside {
		e.indexOf(n.Image, now)
	}
	b := &e.images[e.indexOf(o.Image, now)].bin
	for k, n := range beside {
		indices[k] = e.index[n.Image] // all are as recent as any, so none displaces another
	}
	y := math.Log(max(o.Slowdown, minSlowdown))
	if b.count == 0 {
		b.reference = y
	}
	y = min(max(y-b.reference, -maxLog), maxLog)
	b.count++
	b.weight += o.Weight
	b.y += o.Weight * y
	b.yy += o.Weight * y * y
	for k, n := range beside {
		i := indices[k]
		if n.Share <= 0 {
			continue
		}
		if !slices.Contains(b.used, i) {
			b.used = append(b.used, i)
		}
		b.x[i] += o.Weight * n.Share
		b.xy[i] += o.Weight * n.Share * y
		for l, m := range beside {
			b.xx[i][indices[l]] += o.Weight * n.Share * m.Share
		}
	}
}

// Advance ends the bins that are over and computes the estimates anew.
func (e *Estimator) Advance(now time.Duration) {
	if now < e.binEnd {
		return
	}
	past := 1.0
	if e.binEnd > 0 {
		past += math.Floor(float64(now-e.binEnd) / float64(binLength))
	}
	e.binEnd = now + binLength
	decay := math.Exp(-past * float64(binLength) / float64(memory))
	for _, v := range e.images {
		v.all.decay(decay, len(e.images))
		v.all.add(&v.bin)
		v.bin = bin{used: v.bin.used[:0]}
	}
	e.fit()
}

func (m *moments) decay(by float64, n int) {
	m.yy *= by
	m.freedom *= by
	for i := range n {
		m.xy[i] *= by
		for j := range n {
			m.xx[i][j] *= by
		}
	}
}

// add adds the deviations from the means of a bin.
func (m *moments) add(b *bin) {
	if b.count < 2 || b.weight <= 0 {
		return
	}
	m.freedom += b.weight * (1 - 1/float64(b.count))
	m.yy += max(b.yy-b.y*b.y/b.weight, 0)
	for _, i := range b.used {
		m.xy[i] += b.xy[i] - b.x[i]*b.y/b.weight
		for _, j := range b.used {
			m.xx[i][j] += b.xx[i][j] - b.x[i]*b.x[j]/b.weight
		}
	}
}

// indexOf returns the index of an image, which it adds if it is new.
func (e *Estimator) indexOf(name string, now time.Duration) int {
	if i, ok := e.index[name]; ok {
		e.images[i].seenAt = now
		return i
	}
	if e.index == nil {
		e.index = map[string]int{}
	}
	added := &image{name: name, seenAt: now, sensitivity: 1}
	if len(e.images) < maxImages {
		e.images = append(e.images, added)
		e.index[name] = len(e.images) - 1
		return len(e.images) - 1
	}
	oldest := 0
	for i, v := range e.images {
		if cmp.Or(cmp.Compare(v.seenAt, e.images[oldest].seenAt), cmp.Compare(v.name, e.images[oldest].name)) < 0 {
			oldest = i
		}
	}
	e.forget(oldest)
	e.images[oldest] = added
	e.index[name] = oldest
	return oldest
}

// forget removes what is known of the image with the given index as a cause.
func (e *Estimator) forget(i int) {
	delete(e.index, e.images[i].name)
	for _, v := range e.images {
		v.effects[i], v.errors[i] = 0, 0
		v.all.xy[i], v.bin.x[i], v.bin.xy[i] = 0, 0, 0
		for j := range maxImages {
			v.all.xx[i][j], v.all.xx[j][i], v.bin.xx[i][j], v.bin.xx[j][i] = 0, 0, 0, 0
		}
	}
}
