package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// commitRow writes a host's row under the shard's epoch, on condition that the
// row still has the version in row. The control state changes only when the
// commit is known to have succeeded; done is then logged. extra contains
// further conditions and writes of the same transaction. It does nothing while
// another commit for the host is in progress.
func (m *Manager) commitRow(s *shard, row hostRow, extra platform.Txn, done event.Event) {
	if s.committing[row.Host] {
		return
	}
	s.committing[row.Host] = true
	row.Epoch = s.epoch
	go func() {
		version, err := m.writeRow(s.lease, row, extra)
		m.exec.Do(m.ctx, func() { m.rowWritten(s, row, version, err, done) })
	}()
}

// writeRow commits a host's row and returns its new version. It runs outside
// the control goroutine.
func (m *Manager) writeRow(l *lease.Shard, row hostRow, txn platform.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, commitTimeout)
	defer cancel()
	value, err := json.Marshal(row.Row)
	if err != nil {
		return 0, errors.Wrap(err, "encode host row")
	}
	key := host.Key(row.Host)
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: row.version})
	txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: value})
	return l.Commit(ctx, m.platform.Table, txn)
}

// rowWritten handles the result of a commit. After a failure the outcome may be
// unknown, so the state stays as it is until the next snapshot shows the row.
func (m *Manager) rowWritten(s *shard, row hostRow, version int64, err error, done event.Event) {
	delete(s.committing, row.Host)
	if err != nil {
		m.log.Debug("failed to write host row", zap.String("host", row.Host), zap.Error(err))
		m.requestRead()
		return
	}
	row.version = version
	m.fleet.put(row)
	done.Log(m.log, zap.String("host", row.Host), zap.String("pool", row.Pool),
		zap.String("phase", string(row.Phase)), zap.String("purpose", string(row.Purpose)),
		zap.String("move_to", row.MoveTo), zap.Uint64("epoch", row.Epoch))
	// Assignments reflect only versions that a scan has returned, so the
	// commit takes effect with the next one.
	m.requestRead()
	m.reconcile(m.now())
}

// applyHostList drains hosts that the platform is removing, marks hosts that
// are no longer listed as lost and returns hosts to service that are listed
// again.
func (m *Manager) applyHostList(s *shard) {
	for name, row := range m.fleet.rows {
		if row.Pool != s.pool || s.committing[name] {
			continue
		}
		listed, ok := m.fleet.listedHost(name)
		live := ok && listed.State == platform.HostLive
		leaving := ok && !live
		switch {
		case row.Phase == host.Serving && leaving:
			m.beginDrain(s, row, host.ForLeaving, "")
		case row.Phase == host.Serving && !ok:
			m.setPhase(s, row, host.Lost, event.HostLost)
		case row.Phase == host.Lost && live:
			m.setPhase(s, row, host.Serving, event.HostReturned)
		case row.Phase == host.Stopped && row.Purpose == host.ForLeaving && live:
			m.setPhase(s, row, host.Serving, event.HostReturned)
		}
	}
}

// beginDrain commits the draining phase of a host, in which it gets no new
// work.
func (m *Manager) beginDrain(s *shard, row hostRow, purpose host.Purpose, moveTo string) {
	row.Phase = host.Draining
	row.Purpose = purpose
	row.MoveTo = moveTo
	row.Since = m.now().UnixMilli()
	m.commitRow(s, row, platform.Txn{}, event.DrainBegun)
}

// setPhase commits a change of phase that needs no drain.
func (m *Manager) setPhase(s *shard, row hostRow, phase host.Phase, done event.Event) {
	row.Phase = phase
	row.Purpose = host.ForNothing
	row.MoveTo = ""
	row.Since = m.now().UnixMilli()
	m.commitRow(s, row, platform.Txn{}, done)
}

// finishDrains commits the next row of each host whose drain is complete.
func (m *Manager) finishDrains(s *shard) {
	s.syncDrains(&m.fleet)
	for name, d := range s.drains {
		if s.committing[name] {
			continue
		}
		decision := d.MayComplete(m.absences.AbsentFor)
		switch {
		case decision.Complete && m.jobs.Active(s.lease, name, d.observedAt) > 0:
			// The host's tasks must first be checkpointed, stopped or finished.
		case decision.Complete:
			m.drainFinished(s, m.fleet.rows[name], decision)
		case decision.Rescan:
			m.requestRead()
		}
	}
}

// drainFinished commits the row that follows a completed drain.
func (m *Manager) drainFinished(s *shard, row hostRow, decision permit.Decision) {
	next, done := row.afterDrain(m.adopter.Current().Value.Pools)
	next.Since = m.now().UnixMilli()
	m.commitRow(s, next, decision.Extend(platform.Txn{}), done)
}

// afterDrain returns the row that follows a completed drain and the event to
// log when it is committed. If the target pool of a move was removed from the
// settings, the host stays in its pool: in the removed pool it would have no
// owner.
func (row hostRow) afterDrain(pools map[string]*settings.PoolValues) (hostRow, event.Event) {
	if row.Purpose != host.ForMove {
		row.Phase = host.Stopped
		return row, event.DrainFinished
	}
	done := event.HostReturned
	if pools[row.MoveTo] != nil {
		row.Pool = row.MoveTo
		row.Moves++
		done = event.MoveCompleted
	}
	row.MoveTo = ""
	row.Phase = host.Serving
	row.Purpose = host.ForNothing
	return row, done
}
