package entry

import (
	"sync/atomic"
	"time"

	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// demand counts a service's requests by result since the start of the entry.
type demand struct {
	arrived, answered, late, refused, lost atomic.Uint64
	queued                                 atomic.Int64
	busyMicros                             atomic.Uint64
}

// addBusy adds time that a request spent at upstreams.
func (d *demand) addBusy(t time.Duration) { d.busyMicros.Add(uint64(t.Microseconds())) }

// message returns the counts as they are reported to the pool's owner.
func (d *demand) message(service string) *controlpb.ServiceDemand {
	return &controlpb.ServiceDemand{
		Service:  service,
		Arrived:  d.arrived.Load(),
		Answered: d.answered.Load(),
		Late:     d.late.Load(),
		Refused:  d.refused.Load(),
		Lost:     d.lost.Load(),
		Queued:   uint32(max(d.queued.Load(), 0)),
		BusyUs:   d.busyMicros.Load(),
	}
}
