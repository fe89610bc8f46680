// Package ownership gives the control work of an estate to one process at a
// time, through conditional writes in the table service. It decides only;
// package node reads and writes.
//
// The owner record is written when the work is taken or released and at no
// other time, so its version is a token that rises with every owner, and every
// write of an owner is conditional on it. The owner proves that it lives by
// beats, also conditional on the record. Two things follow from their timing:
// an owner acts only within LeaseDuration of the sending of its last successful
// beat, and another process takes the work only when it has seen the same beat
// for longer than that.
package ownership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

const (
	// HeartbeatInterval is the time between two beats.
	HeartbeatInterval = 300 * time.Millisecond
	// LeaseDuration is how long after the sending of its last successful beat an
	// owner gives orders: several beats, and the answer of a slow store.
	LeaseDuration = 1700 * time.Millisecond
	// nearExpiryAfter is the age of the last successful beat after which the proof
	// counts as fading: two beats and a slow answer.
	nearExpiryAfter = 900 * time.Millisecond
	// TakeoverTimeout is how long a process must have seen the same beat before it
	// takes the work: LeaseDuration and a quarter, for clocks that drift and for
	// orders on their way. Only an unchanged beat counts, whatever it says: a
	// beat without an answer may be applied seconds later, over a newer one.
	TakeoverTimeout = 2200 * time.Millisecond
)

// Record says who owns the control work.
type Record struct {
	// Owner is the name of the host, empty for work that was released.
	Owner string `json:"owner"`
	// Address tells hosts of one name apart.
	Address string `json:"address"`
	// Incarnation is the process's.
	Incarnation uint64 `json:"incarnation"`
	// Epoch counts the owners.
	Epoch int64 `json:"epoch"`
	// HostOrderHolder is the last host that could give orders about hosts. It stays
	// when the work is released.
	HostOrderHolder string `json:"duty_holder,omitempty"`
}

// Heartbeat is the owner's sign of life, with what entries answer from.
type Heartbeat struct {
	Incarnation uint64 `json:"incarnation"`
	// PendingKnown says that the owner knows all jobs.
	PendingKnown bool `json:"counted"`
	// Pending counts each queue's jobs of which no task has started; a queue
	// with none is left out.
	Pending map[string]int `json:"pending,omitempty"`
	// Surges are the surges of the pools' demand, for a successor.
	Surges []Surge `json:"surges,omitempty"`
	// Waves tells when each maintenance wave was seen first, on the store's
	// clock.
	Waves map[int64]int64 `json:"waves,omitempty"`
}

// Surge is a surge of a pool's demand.
type Surge struct {
	Pool string `json:"pool"`
	// StoreMS is when it was noticed, on the store's clock.
	StoreMS int64 `json:"store_ms"`
	// Peak is how many workers it needed.
	Peak int `json:"peak"`
}

// Encode returns a value's form in the table service.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, errors.Wrap(err, "encode ownership")
}

// View is what a process knows of the ownership. Its times are of one steady
// clock that counts suspensions.
type View struct {
	Record           Record
	RecordVersion    int64
	Heartbeat        Heartbeat
	HeartbeatVersion int64
	// HeartbeatSeen is when the answer that first showed HeartbeatVersion was received.
	HeartbeatSeen time.Duration
	// known says that the rows were read at least once.
	known bool
}

// ObserveRecord takes in the owner record as an answer showed it; version 0 means
// that there is none.
func (v *View) ObserveRecord(value []byte, version int64, received time.Duration) error {
	v.known = true
	if version == 0 || version == v.RecordVersion {
		return nil
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrap(err, "decode owner record")
	}
	v.Record, v.RecordVersion = r, version
	v.HeartbeatSeen = received // a new owner gets the time for its first beat
	return nil
}

// ObserveHeartbeat takes in the beat as an answer that was received at a time showed
// it.
func (v *View) ObserveHeartbeat(value []byte, version int64, received time.Duration) error {
	if version == v.HeartbeatVersion {
		return nil
	}
	var b Heartbeat
	if err := json.Unmarshal(value, &b); err != nil {
		return errors.Wrap(err, "decode beat")
	}
	v.Heartbeat, v.HeartbeatVersion, v.HeartbeatSeen = b, version, received
	return nil
}

// Vacant reports whether the work may be taken, judged by an answer that was
// asked for at sent and showed no newer beat. self is who asks.
func (v *View) Vacant(self Record, sent time.Duration) bool {
	switch {
	case !v.known:
		return false
	case v.RecordVersion == 0 || v.Record.Owner == "":
		return true
	case v.Record.Incarnation == self.Incarnation:
		return false
	case v.Record.Owner == self.Owner && v.Record.Address == self.Address:
		// The process that owned it here has ended: one runs at a time.
		return true
	}
	return sent-v.HeartbeatSeen > TakeoverTimeout
}

// Next returns the record with which self takes the work.
func (v *View) Next(self Record) Record {
	self.Epoch = v.Record.Epoch + 1
	self.HostOrderHolder = self.Owner
	return self
}

// Lease is an owner's knowledge that it still is one.
type Lease struct {
	until time.Duration
}

// Renew takes in that a beat which was sent at a time has succeeded.
func (p *Lease) Renew(sent time.Duration) { p.until = max(p.until, sent+LeaseDuration) }

// NearExpiry reports whether several beats in a row have failed.
func (p *Lease) NearExpiry(now time.Duration) bool {
	return now > p.until-LeaseDuration+nearExpiryAfter
}

// Valid reports whether the owner may give orders.
func (p *Lease) Valid(now time.Duration) bool { return now < p.until }
