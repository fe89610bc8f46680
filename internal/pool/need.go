package pool

import (
	"math"
	"time"
)

const (
	// releaseMargin multiplies demand when it is decided whether a pool may
	// give up a host, so that fluctuations of less than 5% don't cause moves
	// back and forth.
	releaseMargin = 1.05
	// defaultSurgeHeight is the expected surge height, as a multiple of the
	// mean, of a pool without an observed surge.
	defaultSurgeHeight = 5.0
	// defaultSurgeLength is the expected surge length of a pool without a
	// finished surge.
	defaultSurgeLength = 10 * time.Second
	// defaultSurgeInterval is the expected surge interval of a pool with fewer
	// than two observed surges.
	defaultSurgeInterval = time.Hour
	// headroom is the share of a host's slots that sustained demand may use.
	// Arrivals are random, and at full utilization the queue never empties.
	headroom = 0.9
	// usableDeadline is the share of a deadline that a request may spend
	// waiting. The rest is left for running it.
	usableDeadline = 0.75
)

// need holds the demand parameters of one pool and derives its sizes.
//
// Model: with a capacity of c slots in a surge of height p, work accumulates at
// the rate p-c and may wait for w. In a surge of length l nothing is lost while
// (p-c)l <= cw, that is for c >= pl/(l+w): the base size. Hosts lent after the
// reaction time r only help for the rest of the surge, so each replaces
// (l-r+w)/(l+w) of a host that is there from the start, and the pool must cover
// the reaction time by itself: c >= pr/(r+w), the bridge size. The work of a
// surge is reduced by what the availability budget allows to be lost.
type need struct {
	// peak is the expected height of a surge, in slots.
	peak float64
	// length is the expected length of a surge, in seconds.
	length float64
	// reaction is the time until a lent host serves, in seconds; at most
	// length.
	reaction float64
	// wait is how long a request may wait, in seconds.
	wait float64
	// allowed is the work that may be lost in one surge, in slot-seconds.
	allowed float64
	// slots is the mean number of slots of a host.
	slots float64
	// minimum is the number of hosts below which the pool never falls.
	minimum int
	// current is the number of hosts needed if the present demand is sustained.
	current int
	// busy is the number of hosts that the present demand fully occupies.
	busy int
}

// needOf returns the need of a pool at scale times its demand.
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

// baseSize returns the number of hosts that handle an expected surge without
// loans.
func (n *need) baseSize() int { return n.sizeWithLoan(0) }

// sizeWithLoan returns the number of hosts to hold if loan hosts can be
// borrowed in a surge.
func (n *need) sizeWithLoan(loan int) int {
	lent := float64(loan) * n.slots * (n.length - n.reaction + n.wait)
	work := n.peak*n.length - n.allowed - lent
	return max(hostsFor(work/(n.length+n.wait), n.slots), n.bridgeSize())
}

// bridgeSize returns the minimum number of hosts that handle the start of a
// surge until lent hosts serve.
func (n *need) bridgeSize() int {
	work := n.peak*n.reaction - n.allowed
	return max(hostsFor(work/(n.reaction+n.wait), n.slots), n.minimum)
}

// surgeSize returns the number of hosts, including borrowed ones, needed for
// the rest of a surge that began with the given number of serving hosts.
func (n *need) surgeSize(serving int) int {
	work := n.peak*n.length - n.allowed - float64(serving)*n.slots*n.reaction
	return hostsFor(work/(n.length-n.reaction+n.wait), n.slots)
}

// allowedLoss returns the work, in slot-seconds, that may be lost in one surge
// within the rest of the availability budget.
func allowedLoss(p *Pool) float64 {
	left := max(0, 1-p.BudgetSpent)
	interval := surgeInterval(p.Demand).Seconds()
	return left * (1 - p.Values.Availability) * p.Demand.Mean * interval
}

// expectedPeak returns the expected height of a surge in slots: at least
// defaultSurgeHeight times the mean until a surge was observed.
func expectedPeak(h History) float64 {
	if h.SurgeStart.IsZero() {
		return max(h.Peak, defaultSurgeHeight*h.Mean)
	}
	return h.Peak
}

// surgeLength returns the expected length of a surge, or its default.
func surgeLength(h History) time.Duration {
	if h.SurgeLength == 0 {
		return defaultSurgeLength
	}
	return h.SurgeLength
}

// surgeInterval returns the expected time between the starts of two surges, or
// its default.
func surgeInterval(h History) time.Duration {
	if h.SurgeInterval == 0 {
		return defaultSurgeInterval
	}
	return h.SurgeInterval
}

// hostsFor returns the number of hosts that provide the slots, rounded up.
func hostsFor(slots, perHost float64) int {
	return int(math.Ceil(max(0, slots) / perHost))
}

// slotsPerHost returns the mean number of slots over the hosts with a known
// number, and at least 1. The number is unknown for a host that the platform
// doesn't list.
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
