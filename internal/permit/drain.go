package permit

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// EntryID names one start of an entry.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// Scan names a scan of the registrations.
type Scan int

// Reason says why a drain waits for an entry.
type Reason string

const (
	// NotAcknowledged entries may still route to the host.
	NotAcknowledged Reason = "not acknowledged"
	// InFlight entries have requests at the host.
	InFlight Reason = "requests in flight"
)

// Waiting is an entry that a drain waits for.
type Waiting struct {
	Entry  EntryID
	Reason Reason
}

// Decision says whether a drained host may leave its pool.
type Decision struct {
	// Complete says that it may, by the transaction of Extend.
	Complete bool
	// Rescan says that everybody has acknowledged and the registrations are
	// to be scanned again.
	Rescan bool
	// Waiting names the entries that the drain waits for.
	Waiting []Waiting
	// Absent are the entries that the drain does without.
	Absent []membership.Entry
}

// Extend adds to the transaction that completes the drain the removal of the
// entries it does without, so that later moves need not judge them again. One
// that wakes after all writes its row anew before it fetches an assignment.
func (d Decision) Extend(t platform.Txn) platform.Txn {
	for _, e := range d.Absent {
		t.Conditions = append(t.Conditions, platform.Condition{Key: e.Key(), Version: e.Version})
		t.Writes = append(t.Writes, platform.Write{Key: e.Key(), Delete: true})
	}
	return t
}

// Drain decides when a host may leave its pool. It does no I/O, has no clock
// and is for one goroutine. The owner of the pool's shard
//
//  1. commits the host's row as draining and creates the Drain with the mark
//     of that commit (from then on its assignments lack the host);
//  2. feeds acknowledgements, and scans of the registrations in each round;
//  3. completes by a transaction conditional on the shard's and the host's
//     row, once MayComplete says so.
//
// The last scan must begin after the last acknowledgement. An entry that
// registers later fetches its first assignment when nobody holds the host any
// more; one that registered earlier, and may have been given the host by a
// peer that had not acknowledged yet, is in the scan and waited for.
type Drain struct {
	version AssignmentVersion
	acks    map[EntryID]acknowledgement
	// sequence counts acknowledgements and scans, to tell which came first.
	sequence int
	// scan is the order of the last scan, 0 before the first.
	scan    Scan
	entries []membership.Entry
}

// acknowledgement is an entry's word that it routes without the host.
type acknowledgement struct {
	sequence int
	inFlight uint32
}

// NewDrain returns the Drain of a host whose row was committed as draining
// under the mark. A new owner of the shard creates it anew with the epoch and
// version of the row that it finds.
func NewDrain(version AssignmentVersion) *Drain {
	return &Drain{version: version, acks: map[EntryID]acknowledgement{}}
}

// Acknowledge notes the mark of the assignment that an entry routes by, and
// how many requests it has at the host. The entry counted them after the
// assignment came into use.
func (d *Drain) Acknowledge(id EntryID, version AssignmentVersion, inFlight uint32) {
	if version.Compare(d.version) < 0 {
		return
	}
	old, known := d.acks[id]
	if known && old.inFlight == 0 {
		return // final: the host cannot come back into its assignment
	}
	d.sequence++
	d.acks[id] = acknowledgement{sequence: d.sequence, inFlight: inFlight}
}

// BeginScan notes that a scan of the registrations begins now.
func (d *Drain) BeginScan() Scan {
	d.sequence++
	return Scan(d.sequence)
}

// Scanned notes the result of a scan.
func (d *Drain) Scanned(scan Scan, entries []membership.Entry) {
	if scan > d.scan {
		d.scan = scan
		d.entries = entries
	}
}

// MayComplete decides, given how long each entry has been gone.
func (d *Drain) MayComplete(absentFor func(membership.Entry) time.Duration) Decision {
	if d.scan == 0 {
		return Decision{Rescan: true}
	}
	var decision Decision
	for _, e := range d.entries {
		id := EntryID{Name: e.Name, Incarnation: e.Incarnation}
		ack, acked := d.acks[id]
		switch {
		case acked && ack.inFlight == 0:
			decision.Rescan = decision.Rescan || ack.sequence > int(d.scan)
		case absentFor(e) > MaxAbsence:
			decision.Absent = append(decision.Absent, e)
		case acked:
			decision.Waiting = append(decision.Waiting, Waiting{Entry: id, Reason: InFlight})
		default:
			decision.Waiting = append(decision.Waiting, Waiting{Entry: id, Reason: NotAcknowledged})
		}
	}
	decision.Rescan = decision.Rescan && len(decision.Waiting) == 0
	decision.Complete = !decision.Rescan && len(decision.Waiting) == 0
	return decision
}
