package link

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// noDeadline is the remaining time assumed for a request without a deadline.
	noDeadline = 30 * time.Second
	// latencyGain is the weight of a new sample in the smoothed latency, as in
	// TCP's estimate of the round-trip time.
	latencyGain = 1.0 / 8
	// deviationGain is the weight of a new sample in the mean deviation.
	deviationGain = 1.0 / 4
	// upperBoundDeviations is how many mean deviations latency.upperBound is
	// above the mean.
	upperBoundDeviations = 4
	// probeRequest is answered by the upstream's server itself, not by an
	// application (RFC 9110, section 9.3.7).
	probeRequest = "OPTIONS * HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n"
)

// latency is the smoothed time to the first byte of an answer, with its mean
// deviation. Zero means that there is no sample yet.
type latency struct {
	mean, deviation time.Duration
}

// add returns the latency with one more sample.
func (l latency) add(sample time.Duration) latency {
	if l.mean == 0 {
		return latency{mean: sample, deviation: sample / 2}
	}
	diff := sample - l.mean
	return latency{
		mean:      l.mean + time.Duration(latencyGain*float64(diff)),
		deviation: l.deviation + time.Duration(deviationGain*float64(diff.Abs()-l.deviation)),
	}
}

// upperBound returns a latency that most answers do not exceed.
func (l latency) upperBound() time.Duration { return l.mean + upperBoundDeviations*l.deviation }

// silenceTimeouts has the times after which a silent connection is probed and
// given up.
type silenceTimeouts struct {
	// probe is the time without a transferred byte after which the upstream is
	// probed.
	probe time.Duration
	// giveUp is the time after sending at which a request that will not be
	// retried is given up if the probe was answered.
	giveUp time.Duration
}

// silenceTimeoutsFor returns the timeouts of a request. An upstream whose
// latency is usually high is probed later, so that slow answers are not
// mistaken for silence.
func silenceTimeoutsFor(o Options, remaining time.Duration, l latency) silenceTimeouts {
	giveUp := time.Duration(o.GiveUpFraction * float64(remaining))
	probe := max(time.Duration(o.ProbeFraction*float64(remaining)), l.upperBound())
	return silenceTimeouts{probe: min(probe, giveUp), giveUp: giveUp}
}

// probeIfSilent runs whenever the probe timeout has passed. If no byte was
// transferred in that time, it probes the upstream on a new connection. If the
// probe is answered and still no byte was transferred, it marks the connection
// as silent and closes idle connections that are not newer.
func (x *exchange) probeIfSilent(ctx context.Context) {
	h, c := x.host, x.conn
	if !c.isCurrent(x.number) {
		return
	}
	if ioCount := c.ioCount.Load(); ioCount != x.ioCount || x.reader.Load() == readerPaused {
		x.ioCount = ioCount
		x.probeTimer.Reset(x.silenceTimeouts.probe)
		return
	}
	answered, _, _ := h.probes.Do("", func() (any, error) { return h.probe(ctx), nil })
	if !answered.(bool) {
		x.probeTimer.Reset(x.silenceTimeouts.probe)
		return
	}
	if !c.markSilent(x.number, x.ioCount, x.sent.Add(x.silenceTimeouts.giveUp)) {
		return
	}
	if x.shouldAbandon() {
		c.markSilent(x.number, x.ioCount, aLongTimeAgo)
	}
	silentConns.Add(1)
	event.LinkSilent.Log(h.set.opts.Log,
		zap.String("host", h.name), zap.String("address", h.address),
		zap.String("local", c.tcp.LocalAddr().String()),
		zap.Duration("after", time.Since(x.sent)), zap.Duration("age", time.Since(c.dialled)))
	h.retireOlder(c.dialled)
}

// shouldAbandon reports whether the request is given up at once. This has no
// use for a request that will not be retried, or whose answer is already being
// streamed.
func (x *exchange) shouldAbandon() bool {
	return x.req.MayRepeat && x.reader.Load() == readerDo && (x.req.ShouldAbandon == nil || x.req.ShouldAbandon())
}

// probe reports whether the upstream answers on a new connection. The new
// connection counts towards the host's share; the probe waits for it ahead of
// all requests.
func (h *hostLinks) probe(ctx context.Context) bool {
	// The request that started the probe may end while others wait for its
	// result.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.set.opts.ProbeTimeout)
	defer cancel()
	if !h.acquireDial(ctx) {
		return false
	}
	probesSent.Add(1)
	c, err := h.dial(ctx)
	if err != nil {
		h.connClosed()
		return false
	}
	defer h.retire(c)
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if _, err := c.w.WriteString(h.probeHead); err != nil || c.w.Flush() != nil {
		return false
	}
	c.headBytesLeft = h.set.opts.MaxHeaderBytes
	// The header is enough; the body is dropped with the connection.
	_, err = http.ReadResponse(c.r, nil)
	return err == nil
}
