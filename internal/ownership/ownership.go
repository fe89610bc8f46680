// Package ownership elects the process that owns the control work of an estate,
// through conditional writes in the table service. The package only decides;
// package node does the reads and writes.
//
// The owner record is written only when the control work is acquired or
// released. Its version rises with each owner and is the fencing token: every
// write of an owner is conditional on it. Between those writes the owner renews
// its ownership lease with heartbeats, which are conditional on the record too.
// Three rules keep two processes from acting at the same time: an owner gives
// orders only within LeaseDuration after it sent its last successful heartbeat;
// another process takes over only after it has seen no new heartbeat for longer
// than that; and its Takeover fails if the store has applied a heartbeat that it
// has not seen. Later heartbeats of the previous owner fail, so its lease has
// expired when the record of its successor is stored, however slow the store and
// both processes are.
package ownership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/admission"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 300 * time.Millisecond
	// LeaseDuration is how long after sending its last successful heartbeat an
	// owner may give orders. It covers several heartbeats and the answer of a
	// slow store.
	LeaseDuration = 1700 * time.Millisecond
	// nearExpiryAfter is the age of the last successful heartbeat from which
	// the ownership lease is near expiry. It covers two heartbeats and a slow
	// answer.
	nearExpiryAfter = 900 * time.Millisecond
	// TakeoverTimeout is how long a process must have seen no new heartbeat
	// before it takes over: LeaseDuration plus a margin of 500 ms for clock
	// drift and for orders in flight. Any change of the heartbeat row restarts
	// the timeout, whatever the row contains: a heartbeat that got no answer
	// may be applied seconds later and overwrite a newer one.
	TakeoverTimeout = 2200 * time.Millisecond
)

// Record is the owner record. It names the process that owns the control work.
type Record struct {
	// Owner is the name of the owner's host, empty after a release.
	Owner string `json:"owner"`
	// Address distinguishes hosts that have the same name.
	Address string `json:"address"`
	// Incarnation identifies the run of the owner's process.
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the number of times that the control work was acquired.
	Epoch int64 `json:"epoch"`
	// HostOrderHolder is the last host that was allowed to give orders about hosts.
	// It is kept when the control work is released.
	HostOrderHolder string `json:"duty_holder,omitempty"`
	// LeasesEndMS is when every worker lease of the owner that released the control
	// work and of those before it has expired, in milliseconds on the store's clock.
	// It is 0 if unknown, and while there is an owner.
	LeasesEndMS int64 `json:"leases_end_ms,omitempty"`
	// Constrained is set if the owner's host has less processor time than the
	// control work may take.
	Constrained bool `json:"constrained,omitempty"`
}

// Offer is the row by which a process that is not constrained offers to take the
// control work over from an owner that is.
type Offer struct {
	// By is the name of the offering process's host.
	By string `json:"by"`
	// Token is the version of the owner record that the offer is for.
	Token int64 `json:"token"`
}

// Heartbeat is the row that the owner writes periodically. It also carries the
// state that entries answer from and that a successor continues with.
type Heartbeat struct {
	Incarnation uint64 `json:"incarnation"`
	// PendingKnown reports whether the owner has loaded all jobs, so that
	// Pending is complete.
	PendingKnown bool `json:"counted"`
	// Pending is the number of jobs in each queue of which no task has started.
	// Queues without such jobs are left out.
	Pending map[string]int `json:"pending,omitempty"`
	// JobsVersion is the version of the table service up to which Pending covers
	// all accepted jobs, and JobsMS the store's clock, in milliseconds, when that
	// was its newest version. They do not advance while the owner does not read
	// or handle new jobs.
	JobsVersion int64 `json:"jobs_version,omitempty"`
	JobsMS      int64 `json:"jobs_ms,omitempty"`
	// Surges are the latest surges of the pools' demand, for the forecast of a
	// successor.
	Surges []Surge `json:"surges,omitempty"`
	// Waves holds, by wave number, when the owner first saw each maintenance
	// wave, in milliseconds on the store's clock.
	Waves map[int64]int64 `json:"waves,omitempty"`
	// Evacuations holds, by host, since when the hosts of waves are evacuated whose
	// evacuation has not ended, in milliseconds on the store's clock.
	Evacuations map[string]int64 `json:"evacuations,omitempty"`
	// Admission is the load of the full pools, as of JobsMS. It is nil where entries
	// refuse no jobs for it.
	Admission *admission.State `json:"admission,omitempty"`
}

// Surge is a surge in a pool's demand.
type Surge struct {
	Pool string `json:"pool"`
	// StoreMS is when the surge was detected, in milliseconds on the store's
	// clock.
	StoreMS int64 `json:"store_ms"`
	// Workers is the mean number of workers that the surge needed.
	Workers int `json:"peak"`
}

// Encode returns the JSON encoding of v for the table service.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, errors.Wrap(err, "encode ownership row")
}

// View is the latest state of the owner record and the heartbeat that a process
// has read. Its times are on one monotonic clock that keeps running while the
// host is suspended.
type View struct {
	Record           Record
	RecordVersion    int64
	Heartbeat        Heartbeat
	HeartbeatVersion int64
	// HeartbeatSeen is when the answer that first showed HeartbeatVersion, or a
	// newer owner record, was received. The takeover timeout counts from it.
	HeartbeatSeen time.Duration
	// Offer is the latest offer, also one to an earlier owner.
	Offer Offer
	// recordRead is set once the rows were read.
	recordRead bool
}

// ObserveRecord updates the view with the owner record of an answer that was
// received at the given time. Version 0 means that there is no record. It
// returns an error if value cannot be decoded.
func (v *View) ObserveRecord(value []byte, version int64, received time.Duration) error {
	v.recordRead = true
	if version == 0 || version == v.RecordVersion {
		return nil
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrap(err, "decode owner record")
	}
	v.Record, v.RecordVersion = r, version
	v.HeartbeatSeen = received // a new owner gets TakeoverTimeout for its first heartbeat
	return nil
}

// ObserveHeartbeat updates the view with the heartbeat of an answer that was
// received at the given time. It returns an error if value cannot be decoded.
func (v *View) ObserveHeartbeat(value []byte, version int64, received time.Duration) error {
	if version == v.HeartbeatVersion {
		return nil
	}
	var h Heartbeat
	if err := json.Unmarshal(value, &h); err != nil {
		return errors.Wrap(err, "decode heartbeat")
	}
	v.Heartbeat, v.HeartbeatVersion, v.HeartbeatSeen = h, version, received
	return nil
}

// ObserveOffer updates the view with an offer. It returns an error if value cannot
// be decoded.
func (v *View) ObserveOffer(value []byte) error {
	var o Offer
	if err := json.Unmarshal(value, &o); err != nil {
		return errors.Wrap(err, "decode offer")
	}
	v.Offer = o
	return nil
}

// OfferDue reports whether the process self should offer to take the control work
// over: the owner is constrained, self is not, and there is no offer yet.
func (v *View) OfferDue(self Record) bool {
	return v.Record.Owner != "" && v.Record.Constrained && !self.Constrained && v.Offer.Token != v.RecordVersion
}

// Offered reports whether a process offers to take the control work over from the
// owner with the given token.
func (v *View) Offered(token int64) bool { return v.Offer.Token == token && v.RecordVersion == token }

// Vacant reports whether the process self may acquire the control work, given
// an answer that was requested at sent and showed no newer heartbeat.
func (v *View) Vacant(self Record, sent time.Duration) bool {
	switch {
	case !v.recordRead:
		return false
	case v.RecordVersion == 0 || v.Record.Owner == "":
		return true
	case v.Record.Incarnation == self.Incarnation:
		return false
	case v.Record.Owner == self.Owner && v.Record.Address == self.Address:
		// One process runs at this address at a time, so the previous one has
		// ended.
		return true
	}
	return sent-v.HeartbeatSeen > TakeoverTimeout
}

// Takeover is a transaction that acquires the control work. It is applied only if
// the rows still have the versions that its process has read, 0 for a row that
// does not exist.
type Takeover struct {
	Record           Record
	RecordVersion    int64
	HeartbeatVersion int64
}

// Takeover returns the transaction by which self acquires the control work.
func (v *View) Takeover(self Record) Takeover {
	self.Epoch = v.Record.Epoch + 1
	self.HostOrderHolder = self.Owner
	return Takeover{Record: self, RecordVersion: v.RecordVersion, HeartbeatVersion: v.HeartbeatVersion}
}

// Lease is an owner's knowledge that it still owns the control work. The zero
// value has expired.
type Lease struct {
	until time.Duration
}

// Renew extends the lease after the success of a heartbeat that was sent at the
// given time. A heartbeat older than the latest one changes nothing.
func (l *Lease) Renew(sent time.Duration) { l.until = max(l.until, sent+LeaseDuration) }

// NearExpiry reports whether several heartbeats in a row have failed, so that
// the lease has expired or may expire soon.
func (l *Lease) NearExpiry(now time.Duration) bool {
	return now > l.until-LeaseDuration+nearExpiryAfter
}

// Valid reports whether the lease is valid, so that the owner may give orders.
func (l *Lease) Valid(now time.Duration) bool { return now < l.until }
