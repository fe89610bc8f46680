package samples

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/report"
)

// maxGap is the longest time between two readings of a whole interval.
const maxGap = Step / 4

// Totals are a service's counts since some start.
type Totals struct {
	Answered, Late, Refused, Lost int64
}

// Reading is what a pool does at a moment.
type Reading struct {
	// Serving is the number of hosts that serve.
	Serving float64
	// Busy is the number of hosts that demand keeps busy.
	Busy float64
	// Moves, Maintained and Failures count since some start.
	Moves, Maintained, Failures int
	// Services holds the counts of each service.
	Services map[string]Totals
}

// Recorder turns readings of one pool into samples of whole intervals. It is
// for one goroutine.
type Recorder struct {
	pool string
	// intervalStart is the start of the interval under way, zero before the first.
	intervalStart time.Time
	// complete says that the interval was watched from its start.
	complete     bool
	startReading Reading
	// lastObserved is when the accumulatedTo reading was taken, accumulatedTo up to when it counts.
	lastObserved, accumulatedTo time.Time
	// servingTime and busyTime are sums of hosts times seconds.
	servingTime, busyTime float64
	hour                  []report.PoolSample
}

// NewRecorder returns a Recorder of a pool.
func NewRecorder(pool string) *Recorder { return &Recorder{pool: pool} }

// Observe takes in a reading. It returns the samples of the hour whenever an
// interval ends, and nil otherwise.
func (r *Recorder) Observe(now time.Time, reading Reading) []report.PoolSample {
	interval := now.UTC().Truncate(Step)
	continuous := now.Sub(r.lastObserved) <= maxGap
	r.lastObserved = now
	r.complete = r.complete && continuous
	if interval.Equal(r.intervalStart) {
		r.accumulate(now, reading)
		return nil
	}
	var done []report.PoolSample
	if r.complete {
		r.accumulate(interval, reading)
		r.appendSample(r.sample(reading))
		done = r.hour
	}
	r.complete = continuous
	r.intervalStart, r.accumulatedTo, r.startReading = interval, interval, reading
	r.servingTime, r.busyTime = 0, 0
	r.accumulate(now, reading)
	return done
}

// accumulate adds the time since the last reading.
func (r *Recorder) accumulate(now time.Time, reading Reading) {
	seconds := now.Sub(r.accumulatedTo).Seconds()
	r.servingTime += reading.Serving * seconds
	r.busyTime += reading.Busy * seconds
	r.accumulatedTo = now
}

// sample returns the sample of the interval that ends with the reading.
func (r *Recorder) sample(reading Reading) report.PoolSample {
	s := report.PoolSample{
		Pool: r.pool, At: r.intervalStart,
		Serving: r.servingTime / Step.Seconds(), Busy: r.busyTime / Step.Seconds(),
		Moves:      reading.Moves - r.startReading.Moves,
		Maintained: reading.Maintained - r.startReading.Maintained,
		Failures:   reading.Failures - r.startReading.Failures,
	}
	for name, now := range reading.Services {
		old := r.startReading.Services[name]
		s.Services = append(s.Services, report.ServiceSample{
			Service: name, Answered: now.Answered - old.Answered, Late: now.Late - old.Late,
			Refused: now.Refused - old.Refused, Lost: now.Lost - old.Lost,
		})
	}
	return s
}

// appendSample adds a sample to those of its hour.
func (r *Recorder) appendSample(s report.PoolSample) {
	if len(r.hour) > 0 && !r.hour[0].At.Truncate(time.Hour).Equal(s.At.Truncate(time.Hour)) {
		r.hour = nil
	}
	r.hour = append(r.hour, s)
}
