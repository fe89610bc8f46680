package permit

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// EntryID identifies one incarnation of an entry.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// Scan identifies a scan of the registrations by its sequence number.
type Scan int

// Reason is why a drain waits for an entry.
type Reason string

const (
	// NotAcknowledged means that the entry may still route to the host.
	NotAcknowledged Reason = "not acknowledged"
	// InFlight means that the entry has requests at the host.
	InFlight Reason = "requests in flight"
)

// Waiting is an entry that a drain waits for.
type Waiting struct {
	Entry  EntryID
	Reason Reason
}

// Decision is whether a draining host may leave its pool, and if not, why.
type Decision struct {
	// Complete means that the host may leave, by a transaction that Extend
	// has extended.
	Complete bool
	// Rescan means that the drain waits for no known entry, but that the
	// registrations have to be scanned again before it may complete.
	Rescan bool
	// Waiting lists the entries that the drain waits for.
	Waiting []Waiting
	// Absent lists the registered entries that have been absent for longer
	// than MaxAbsence. The drain doesn't wait for them.
	Absent []membership.Entry
}

// Extend adds the removal of the absent entries' rows to the transaction that
// completes the drain, so that later drains need not evaluate them again. An
// absent entry that resumes nevertheless writes its row again before it fetches
// an assignment.
func (d Decision) Extend(t platform.Txn) platform.Txn {
	for _, e := range d.Absent {
		t.Conditions = append(t.Conditions, platform.Condition{Key: e.Key(), Version: e.Version})
		t.Writes = append(t.Writes, platform.Write{Key: e.Key(), Delete: true})
	}
	return t
}

// Drain decides when a host may leave its pool. It does no I/O, has no clock
// and is not safe for concurrent use. The owner of the pool's shard
//
//  1. commits the host's row as draining and creates the Drain with the
//     assignment version of that commit (from then on its assignments lack the
//     host);
//  2. passes on acknowledgements, and scans of the registrations in each round;
//  3. completes the drain by a transaction conditional on the shard's and the
//     host's row, once MayComplete allows it.
//
// The last scan must begin after the last acknowledgement. An entry that
// registers after that scan fetches its first assignment when no entry holds
// the host any more. An entry that registered earlier may have received the
// host from a peer that had not acknowledged yet; it is in the scan, and the
// drain waits for it.
type Drain struct {
	version AssignmentVersion
	acks    map[EntryID]acknowledgement
	// sequence numbers acknowledgements and scans in the order of their
	// arrival or beginning.
	sequence int
	// scan is the latest scan whose result is known, 0 before the first.
	scan    Scan
	entries []membership.Entry
}

// acknowledgement is an entry's report that its assignment lacks the host.
type acknowledgement struct {
	sequence int
	inFlight uint32
}

// NewDrain returns the Drain of a host whose row was committed as draining at
// the given version. A new owner of the shard creates the Drain again, with the
// epoch and version of the row that it reads.
func NewDrain(version AssignmentVersion) *Drain {
	return &Drain{version: version, acks: map[EntryID]acknowledgement{}}
}

// Acknowledge records the version of the assignment that an entry routes by,
// and how many requests it has in flight at the host. The entry must have
// counted them after it began to use the assignment.
func (d *Drain) Acknowledge(id EntryID, version AssignmentVersion, inFlight uint32) {
	if version.Compare(d.version) < 0 {
		return
	}
	old, known := d.acks[id]
	if known && old.inFlight == 0 {
		return // final: no later assignment of this entry has the host
	}
	d.sequence++
	d.acks[id] = acknowledgement{sequence: d.sequence, inFlight: inFlight}
}

// BeginScan records that a scan of the registrations begins now.
func (d *Drain) BeginScan() Scan {
	d.sequence++
	return Scan(d.sequence)
}

// Scanned records the result of a scan, unless a later one is already known.
func (d *Drain) Scanned(scan Scan, entries []membership.Entry) {
	if scan > d.scan {
		d.scan = scan
		d.entries = entries
	}
}

// MayComplete returns whether the drain may complete, given how long each entry
// has been absent.
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
