package link

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// noDeadline stands for the remaining time of a request without one.
	noDeadline = 30 * time.Second
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 1.0 / 8
	// deviationGain is the weight of a new sample in its mean deviation.
	deviationGain = 1.0 / 4
	// upperBoundDeviations is how many mean deviations above the mean still count
	// as a usual latency.
	upperBoundDeviations = 4
	// probeRequest asks the upstream's server itself, not an application
	// (RFC 9110, section 9.3.7).
	probeRequest = "OPTIONS * HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n"
)

// latency is the smoothed time to the first byte of an answer.
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

// upperBound returns a time that most answers do not exceed.
func (l latency) upperBound() time.Duration { return l.mean + upperBoundDeviations*l.deviation }

// silenceTimeouts are the times after which a silent connection is doubted.
type silenceTimeouts struct {
	// probe is for how long no byte may move before the upstream is probed.
	probe time.Duration
	// giveUp is the time from sending after which a request that is not sent
	// again is given up if the probe was answered.
	giveUp time.Duration
}

// silenceTimeoutsFor returns the bounds for a request. An upstream that is usually
// slow is probed later, so that slow answers are not taken for silence.
func silenceTimeoutsFor(o Options, remaining time.Duration, l latency) silenceTimeouts {
	giveUp := time.Duration(o.GiveUpFraction * float64(remaining))
	probe := max(time.Duration(o.ProbeFraction*float64(remaining)), l.upperBound())
	return silenceTimeouts{probe: min(probe, giveUp), giveUp: giveUp}
}

// probeIfSilent runs when the time of bounds.probe has passed. If no byte moved in it,
// it probes the upstream on a new connection. If that is answered and still no
// byte moved, the silent connection is condemned with its older idle siblings.
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

// shouldAbandon reports whether the request is given up at once. One that is not
// sent again gains nothing by that, nor does one whose answer streams already.
func (x *exchange) shouldAbandon() bool {
	return x.req.MayRepeat && x.reader.Load() == readerDo && (x.req.ShouldAbandon == nil || x.req.ShouldAbandon())
}

// probe reports whether the upstream answers on a new connection. It waits for
// its turn within the host's share like any request, but at the front.
func (h *hostLinks) probe(ctx context.Context) bool {
	// The request that asked first may end; others wait for the same probe.
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
	// The head suffices; the body goes with the connection.
	_, err = http.ReadResponse(c.r, nil)
	return err == nil
}
