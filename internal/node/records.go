package node

import (
	"context"
	"slices"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"

	"go.uber.org/zap"
)

// Releases up to 2417bbb keep the records in the control part, where their writes
// delayed the heartbeats of a slow store. movedRow is the first row of their record
// of workers in use. An owner writes movedMark to it before it starts tasks: a
// process of such a release cannot read it, takes every worker as possibly in use,
// and waits until all leases have expired.
var (
	movedRow  = controlRow(usedWorkersTable, usedWorkersKey(0))
	movedMark = []byte("moved to part " + recordsPart)
)

// loadRecords reads the workers in use and the waves. The workers in use of earlier
// releases count until they are marked as moved, their waves always.
func (o *owner) loadRecords(ctx context.Context, l *recoveredState) error {
	rows := o.node.Rows
	used, _, err := rows.ReadRows(ctx, usedWorkersTable, recordsPart, "", "")
	if err != nil {
		return err
	}
	o.used.restore(used)
	if l.waves, _, err = rows.ReadRows(ctx, waveTable, recordsPart, "", ""); err != nil {
		return err
	}
	announced, _, err := rows.ReadRows(ctx, announcedRow.Table, recordsPart, "", "")
	if err != nil {
		return err
	}
	if len(announced) > 0 {
		l.announced = announced[0]
	}
	// An owner marks the records before it has stored the waves in its own part.
	waves, _, err := rows.ReadRows(ctx, waveTable, controlPart, "", "")
	if err != nil {
		return err
	}
	l.waves = append(l.waves, waves...)
	earlier, _, err := rows.ReadRows(ctx, usedWorkersTable, controlPart, "", "")
	if err != nil {
		return err
	}
	if o.used.moved = slices.ContainsFunc(earlier, isMoved); o.used.moved {
		l.readUsedWorkers(used, o.node.Log)
		return nil
	}
	newer, older := used, earlier
	if newestVersion(earlier) > newestVersion(used) { // a process of an earlier release replaced the mark
		newer, older = earlier, used
	}
	l.readUsedWorkers(newer, o.node.Log)
	known := l.used
	l.readUsedWorkers(older, o.node.Log)
	l.used = slices.DeleteFunc(l.used, func(u usedWorker) bool {
		return !slices.Contains(known, u) && slices.ContainsFunc(known, func(k usedWorker) bool { return k.ID == u.ID })
	})
	if len(earlier)+len(waves) > 0 {
		event.RecordsMoved.Log(o.node.Log, zap.Int("workers", len(l.used)), zap.Int("waves", len(waves)))
	}
	return nil
}

// newestVersion returns the highest version of rows, NoVersion without any. Versions
// rise over the whole store.
func newestVersion(rows []platform.PartRow) int64 {
	newest := platform.NoVersion
	for _, r := range rows {
		newest = max(newest, r.Version)
	}
	return newest
}

func isMoved(r platform.PartRow) bool {
	return r.RowKey == movedRow && string(r.Value) == string(movedMark)
}

// markMoved marks the record of earlier releases as moved.
func (o *owner) markMoved(ctx context.Context) error {
	if o.used.moved {
		return nil
	}
	_, err := o.node.Rows.CommitRows(ctx, platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence()}, Writes: []platform.RowWrite{{RowKey: movedRow, Value: movedMark}},
	})
	o.used.moved = err == nil
	return err
}
