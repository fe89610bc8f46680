package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/permit"
)

// readLoop reads the platform periodically, and when requestRead is called,
// until ctx ends.
func (m *Manager) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := m.now()
		m.readOnce(ctx)
		timer := time.NewTimer(m.nextReading() - m.now().Sub(began))
		select {
		case <-timer.C:
		case <-m.wakeRead:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// readOnce takes one snapshot of the platform and applies it.
func (m *Manager) readOnce(ctx context.Context) {
	var after int64
	var scans map[*drain]permit.Scan
	registry := m.registry
	begun := m.exec.Do(ctx, func() {
		after, scans = m.fleet.rowsVersion, m.beginScans()
		if !m.needsRegistrations(m.now()) {
			registry = nil
		}
	})
	if !begun {
		return
	}
	r, err := m.readPlatform(ctx, registry, after)
	if err != nil {
		m.log.Debug("failed to read the platform", zap.Error(err))
	}
	m.exec.Do(ctx, func() { m.applySnapshot(r, scans) })
}

// beginScans notifies all drains that a scan of the registrations is about to
// begin.
func (m *Manager) beginScans() map[*drain]permit.Scan {
	scans := map[*drain]permit.Scan{}
	for _, s := range m.shards {
		for _, d := range s.drains {
			scans[d] = d.BeginScan()
		}
	}
	return scans
}

// applySnapshot updates the state from a snapshot and reconciles. It ignores a
// host list that is not plausible.
func (m *Manager) applySnapshot(r snapshot, scans map[*drain]permit.Scan) {
	if r.listed != nil && !m.fleet.plausible(r.listed) {
		event.HostListRejected.Log(m.log, zap.Int("listed", len(r.listed)), zap.Int("known", len(m.fleet.listed)))
		r.listed = nil
	}
	m.fleet.apply(r)
	if r.listed != nil && r.listedLocally {
		m.listLog.Update(r.listed)
	}
	close(m.readDone)
	m.readDone = make(chan struct{})
	if r.entriesOK {
		for d, scan := range scans {
			d.Scanned(scan, r.entries)
		}
	}
	if r.listed != nil && r.entriesOK {
		m.absences.Observe(m.elapsed(), slices.Collect(maps.Values(r.listed)), r.entries)
	}
	m.reconcile(m.now())
}

// requestRead triggers a read of the platform without waiting for it.
func (m *Manager) requestRead() {
	select {
	case m.wakeRead <- struct{}{}:
	default:
	}
}
