package samples

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/report"
)

// maxGap is the maximum time between two readings of a complete interval.
const maxGap = Step / 4

// Totals are the cumulative request counts of a service.
type Totals struct {
	Answered, Late, Refused, Lost int64
}

// Reading is the state of a pool at one time.
type Reading struct {
	// Serving is the number of hosts that serve.
	Serving float64
	// Busy is the number of hosts that are needed for the demand.
	Busy float64
	// Moves, Maintained and Failures are cumulative counts.
	Moves, Maintained, Failures int
	// Services holds the cumulative counts of each service.
	Services map[string]Totals
}

// Recorder turns readings of one pool into samples of complete intervals. It is
// not safe for concurrent use.
type Recorder struct {
	pool string
	// intervalStart is the start of the current interval, zero before the first
	// reading.
	intervalStart time.Time
	// complete is true while the readings cover the current interval from its
	// start without a gap.
	complete bool
	// startReading is the first reading of the current interval.
	startReading Reading
	// lastObserved is the time of the last reading; accumulatedTo is the time
	// up to which servingTime and busyTime are summed.
	lastObserved, accumulatedTo time.Time
	// servingTime and busyTime are sums over the current interval, in
	// host-seconds.
	servingTime, busyTime float64
	// hour holds the samples of the current hour.
	hour []report.PoolSample
}

// NewRecorder returns a Recorder of a pool.
func NewRecorder(pool string) *Recorder { return &Recorder{pool: pool} }

// Observe adds a reading. If it ends a complete interval, Observe returns all
// samples of that interval's hour so far, and nil otherwise.
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

// accumulate adds the host-seconds since the last reading.
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

// appendSample appends a sample to those of its hour, and starts a new list
// with each hour.
func (r *Recorder) appendSample(s report.PoolSample) {
	if len(r.hour) > 0 && !r.hour[0].At.Truncate(time.Hour).Equal(s.At.Truncate(time.Hour)) {
		r.hour = nil
	}
	r.hour = append(r.hour, s)
}
