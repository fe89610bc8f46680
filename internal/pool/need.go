package pool

import (
	"math"
	"time"
)

const (
	// releaseMargin scales demand when a pool is to give a host away, so that a
	// need that wavers by less than this does not cause moves to and fro.
	releaseMargin = 1.05
	// defaultSurgeHeight is the multiple of the mean that is expected of a pool
	// that has shown no surge yet.
	defaultSurgeHeight = 5.0
	// defaultSurgeLength is expected of a pool that has shown no surge yet.
	defaultSurgeLength = 10 * time.Second
	// defaultSurgeInterval is expected of a pool that has shown fewer than two.
	defaultSurgeInterval = time.Hour
	// headroom is the share of a host's slots that lasting demand may use.
	// Requests come at random, and a pool that is planned full keeps a queue.
	headroom = 0.9
	// usableDeadline is the share of a deadline that a request may wait. The
	// rest is left for running it.
	usableDeadline = 0.75
)

// need is what one pool asks for.
//
// A pool of capacity c meets a surge of height p. Work piles up at p-c and may
// wait for w, so in a surge of length l nothing is lost while (p-c)l <= cw,
// that is from c = pl/(l+w) on: the standing size. Hosts lent after the
// reaction time r help for the rest of the surge only, so each stands in for
// (l-r+w)/(l+w) of a host that is there from the start, and c must bridge the
// reaction time by itself: c >= pr/(r+w). What the availability budget allows
// to be lost lowers the work of a surge.
type need struct {
	// peak is the expected height of a surge in slots.
	peak float64
	// length is the expected length of a surge in seconds.
	length float64
	// reaction is how many seconds a lent host is late, at most length.
	reaction float64
	// wait is how many seconds a request may wait.
	wait float64
	// allowed is the work in slot-seconds that a surge may lose.
	allowed float64
	// slots is the number of slots of a host.
	slots float64
	// minimum is the number of hosts that the pool never goes below.
	minimum int
	// current is the number of hosts for present demand, if it lasts.
	current int
	// busy is how many hosts present demand keeps busy.
	busy int
}

// needOf works out the need of a pool for its demand times scale.
func needOf(p *Pool, reaction time.Duration, scale float64) need {
	slots := slotsPerHost(p.Hosts)
	length := surgeLength(p.Demand)
	offered := p.Demand.Last.Offered()
	sustained := hostsFor(scale*p.Demand.Mean, slots*headroom)
	return need{
		peak:     scale * expectedPeak(p.Demand),
		length:   length.Seconds(),
		reaction: min(reaction, length).Seconds(),
		wait:     usableDeadline * p.Deadline.Seconds(),
		allowed:  allowedLoss(p),
		slots:    slots,
		minimum:  max(p.Values.MinHosts, sustained, 1),
		current:  hostsFor(offered, slots*headroom),
		busy:     hostsFor(offered, slots),
	}
}

// baseSize returns the hosts that hold a surge without any move.
func (n *need) baseSize() int { return n.sizeWithLoan(0) }

// sizeWithLoan returns the hosts to hold when so many can be lent.
func (n *need) sizeWithLoan(loan int) int {
	lent := float64(loan) * n.slots * (n.length - n.reaction + n.wait)
	work := n.peak*n.length - n.allowed - lent
	return max(hostsFor(work/(n.length+n.wait), n.slots), n.bridgeSize())
}

// bridgeSize returns the fewest hosts that hold a surge until lent hosts serve.
func (n *need) bridgeSize() int {
	work := n.peak*n.reaction - n.allowed
	return max(hostsFor(work/(n.reaction+n.wait), n.slots), n.minimum)
}

// surgeSize returns the size to reach by loans in a surge that the pool meets with
// the given number of hosts.
func (n *need) surgeSize(serving int) int {
	work := n.peak*n.length - n.allowed - float64(serving)*n.slots*n.reaction
	return hostsFor(work/(n.length-n.reaction+n.wait), n.slots)
}

// allowedLoss returns the slot-seconds that the availability budget allows to
// be lost in one surge.
func allowedLoss(p *Pool) float64 {
	left := max(0, 1-p.BudgetSpent)
	interval := surgeInterval(p.Demand).Seconds()
	return left * (1 - p.Values.Availability) * p.Demand.Mean * interval
}

// expectedPeak returns the height of surge to expect. A pool that has shown
// none yet is expected to show the one that users describe.
func expectedPeak(h History) float64 {
	if h.SurgeStart.IsZero() {
		return max(h.Peak, defaultSurgeHeight*h.Mean)
	}
	return h.Peak
}

// surgeLength returns the expected length of a surge.
func surgeLength(h History) time.Duration {
	if h.SurgeLength == 0 {
		return defaultSurgeLength
	}
	return h.SurgeLength
}

// surgeInterval returns the expected time between the starts of two surges.
func surgeInterval(h History) time.Duration {
	if h.SurgeInterval == 0 {
		return defaultSurgeInterval
	}
	return h.SurgeInterval
}

// hostsFor returns the hosts that offer so many slots.
func hostsFor(slots, perHost float64) int {
	return int(math.Ceil(max(0, slots) / perHost))
}

// slotsPerHost returns the mean number of slots of the hosts whose slots are
// known, at least 1. A host that the platform does not list has none known.
func slotsPerHost(hosts []Host) float64 {
	sum, known := 0, 0
	for i := range hosts {
		if hosts[i].Slots > 0 {
			sum += hosts[i].Slots
			known++
		}
	}
	return max(1, float64(sum)/float64(max(known, 1)))
}
