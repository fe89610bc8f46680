package entry

import (
	"sync/atomic"
	"time"

	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// demand counts what became of a service's requests since the entry's start.
type demand struct {
	arrived, answered, late, refused, lost atomic.Uint64
	queued                                 atomic.Int64
	busyMicros                             atomic.Uint64
}

// addBusy adds time spent at upstreams.
func (d *demand) addBusy(t time.Duration) { d.busyMicros.Add(uint64(t.Microseconds())) }

// message returns the counts for a report.
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
