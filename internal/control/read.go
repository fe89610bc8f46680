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

// readLoop reads the platform until ctx ends.
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

// readOnce does one reading and acts on it.
func (m *Manager) readOnce(ctx context.Context) {
	var after int64
	var scans map[*drain]permit.Scan
	registry := m.registry
	begun := m.exec.Do(ctx, func() {
		after, scans = m.world.rowsVersion, m.beginScans()
		if !m.needsRegistrations(m.now()) {
			registry = nil
		}
	})
	if !begun {
		return
	}
	r, err := m.readPlatform(ctx, registry, after)
	if err != nil {
		m.log.Debug("platform not read", zap.Error(err))
	}
	m.exec.Do(ctx, func() { m.takeReading(r, scans) })
}

// beginScans tells all drains that the registrations are about to be scanned.
func (m *Manager) beginScans() map[*drain]permit.Scan {
	scans := map[*drain]permit.Scan{}
	for _, s := range m.shards {
		for _, d := range s.drains {
			scans[d] = d.BeginScan()
		}
	}
	return scans
}

// takeReading takes in a reading and acts on it.
func (m *Manager) takeReading(r reading, scans map[*drain]permit.Scan) {
	if r.listed != nil && !m.world.believable(r.listed) {
		event.HostListRejected.Log(m.log, zap.Int("listed", len(r.listed)), zap.Int("known", len(m.world.listed)))
		r.listed = nil
	}
	m.world.take(r)
	if r.listed != nil && r.listedHere {
		m.list.Update(r.listed)
	}
	close(m.read)
	m.read = make(chan struct{})
	if r.entryOK {
		for d, scan := range scans {
			d.Scanned(scan, r.entries)
		}
	}
	if r.listed != nil && r.entryOK {
		m.absences.Observe(m.elapsed(), slices.Collect(maps.Values(r.listed)), r.entries)
	}
	m.act(m.now())
}

// readSoon asks for a reading now.
func (m *Manager) readSoon() {
	select {
	case m.wakeRead <- struct{}{}:
	default:
	}
}
