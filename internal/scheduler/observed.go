package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// observedInterval is the time between two reports of what was observed.
	observedInterval = time.Second
	// maxObservedKeys bounds the images, and the queues, of one report.
	maxObservedKeys = 24
	// maxSlowestWorkers is how many of the slowest workers a report lists.
	maxSlowestWorkers = 5
	// maxLoggedName bounds the length of an image's name in bytes. Callers choose
	// these names.
	maxLoggedName = 64
)

// observations sums up what was observed of runs since the last report.
type observations struct {
	images, queues map[string]*observedKey
	workers        map[string]*cell
	next           time.Duration
	// number counts the reports.
	number int
}

// cell sums up observations of one kind.
type cell struct {
	rates, tails int
	rate, tail   float64
}

func (c *cell) add(o observation) {
	if o.rate >= 0 {
		c.rates++
		c.rate += o.rate
	}
	if o.tail > 0 {
		c.tails++
		c.tail += o.tail
	}
}

func (c *cell) meanRate() float64 { return c.rate / float64(max(c.rates, 1)) }
func (c *cell) meanTail() float64 { return c.tail / float64(max(c.tails, 1)) }

// observedKey sums up the observations of one image or queue.
type observedKey struct {
	// runs counts the runs with an observation.
	runs int
	all  cell
	// remote holds those on another rack than that of their data.
	remote cell
	// others and full are indexed by whether fillers ran beside, and by the range
	// of the number of other runs and of the used share of the worker's processors.
	others [2][len(otherRanges)]cell
	full   [2][len(fullRanges)]cell
}

var (
	otherRanges = [...]string{"0", "1-3", "4-7", "8-15", "16+"}
	fullRanges  = [...]string{"0-25%", "25-50%", "50-75%", "75-90%", "90%+"}
)

func otherRange(n int) int {
	switch {
	case n == 0:
		return 0
	case n < 4:
		return 1
	case n < 8:
		return 2
	case n < 16:
		return 3
	}
	return 4
}

func fullRange(share float64) int {
	switch {
	case share < 0.25:
		return 0
	case share < 0.5:
		return 1
	case share < 0.75:
		return 2
	case share < 0.9:
		return 3
	}
	return 4
}

func (k *observedKey) add(o observation, first bool) {
	if first {
		k.runs++
	}
	k.all.add(o)
	if o.remote {
		k.remote.add(o)
	}
	others, fillers := o.occupancy.runs-1, o.occupancy.fillers
	if o.task.step.Filler {
		fillers--
	}
	beside := 0
	if fillers > 0 {
		beside = 1
	}
	k.others[beside][otherRange(others)].add(o)
	k.full[beside][fullRange(o.occupancy.full)].add(o)
}

// add counts an observation.
func (t *observations) add(o observation) {
	if t.images == nil {
		t.images, t.queues, t.workers = map[string]*observedKey{}, map[string]*observedKey{}, map[string]*cell{}
	}
	first := o.sampled.report != t.number+1
	o.sampled.report = t.number + 1
	if image := o.task.step.Image; image != "" {
		addToKey(t.images, image, o, first)
	}
	addToKey(t.queues, o.task.step.job.Queue, o, first)
	if o.rate >= 0 && !o.remote {
		c := t.workers[o.worker.ID]
		if c == nil {
			c = &cell{}
			t.workers[o.worker.ID] = c
		}
		c.add(o)
	}
}

func addToKey(keys map[string]*observedKey, name string, o observation, first bool) {
	k := keys[name]
	if k == nil {
		if len(keys) >= maxObservedKeys {
			return
		}
		k = &observedKey{}
		keys[name] = k
	}
	k.add(o, first)
}

// reportObserved logs what was observed since the last report, at most once in
// observedInterval.
func (e *Engine) reportObserved(now time.Duration) {
	t := &e.observed
	if !e.opts.LearnPerformance || now < t.next || t.queues == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(t.images)) {
		event.ImageObserved.Log(e.opts.Log, append(t.images[name].fields(), zap.String("image", boundedName(name)))...)
	}
	for _, name := range slices.Sorted(maps.Keys(t.queues)) {
		event.QueueObserved.Log(e.opts.Log, append(t.queues[name].fields(), zap.String("queue", boundedName(name)))...)
	}
	if len(t.workers) > 0 {
		event.SlowestWorkers.Log(e.opts.Log, zap.Int("observed", len(t.workers)), zap.String("slowest", t.slowest()))
	}
	*t = observations{next: now + observedInterval, number: t.number + 1}
}

// slowest lists the slowest workers with their mean progress relative to the
// estimate and the number of observations.
func (t *observations) slowest() string {
	ids := slices.SortedFunc(maps.Keys(t.workers), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.workers[a].meanRate(), t.workers[b].meanRate()), cmp.Compare(a, b))
	})
	var list []string
	for _, id := range ids[:min(len(ids), maxSlowestWorkers)] {
		list = append(list, fmt.Sprintf("%s %.2f/%d", id, t.workers[id].meanRate(), t.workers[id].rates))
	}
	return strings.Join(list, ", ")
}

func (k *observedKey) fields() []zap.Field {
	fields := []zap.Field{zap.Int("runs", k.runs)}
	if k.all.rates > 0 {
		fields = append(fields, zap.Int("progress_count", k.all.rates), zap.Float64("progress", rounded(k.all.meanRate())))
	}
	if k.remote.rates > 0 {
		fields = append(fields, zap.Int("remote_count", k.remote.rates), zap.Float64("remote_progress", rounded(k.remote.meanRate())))
	}
	if k.all.tails > 0 {
		fields = append(fields, zap.Int("tail_count", k.all.tails), zap.Float64("tail_of_target", rounded(k.all.meanTail())))
	}
	return append(fields,
		zap.String("others", cells(otherRanges[:], k.others[0][:])), zap.String("others_with_fillers", cells(otherRanges[:], k.others[1][:])),
		zap.String("full", cells(fullRanges[:], k.full[0][:])), zap.String("full_with_fillers", cells(fullRanges[:], k.full[1][:])))
}

// cells lists the ranges that were observed, each with its mean and the number of
// observations: p for progress relative to the estimate, t for the tail relative
// to its target.
func cells(ranges []string, list []cell) string {
	var out []string
	for i := range list {
		c := &list[i]
		if c.rates > 0 {
			out = append(out, fmt.Sprintf("%s p%.2f/%d", ranges[i], c.meanRate(), c.rates))
		}
		if c.tails > 0 {
			out = append(out, fmt.Sprintf("%s t%.2f/%d", ranges[i], c.meanTail(), c.tails))
		}
	}
	return strings.Join(out, ", ")
}

// boundedName cuts a name that a caller chose for a log line.
func boundedName(name string) string { return name[:min(len(name), maxLoggedName)] }

// rounded rounds a ratio for a log line.
func rounded(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }
