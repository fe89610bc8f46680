package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// usedInterval is the time after which workers that are no longer in use are
// taken from the record for a successor.
const usedInterval = time.Second

// firstUsedRow is written with every record, so that its version is that of
// the whole record.
var firstUsedRow = controlRow(fencedTable, usedKey(0))

func usedKey(i int) string { return "workers-" + strconv.Itoa(i) }

// usedRecord is what this owner knows of the record of workers in use.
type usedRecord struct {
	version int64
	rows    int
	// incarnations are the births of the recorded workers by id.
	incarnations map[string]int64
	at           time.Duration
	writing      bool
}

// see takes in the rows of a former owner's record.
func (u *usedRecord) see(rows []platform.PartRow) {
	u.rows = len(rows)
	for _, r := range rows {
		if r.RowKey == firstUsedRow {
			u.version = r.Version
		}
	}
}

// usedWorker is a worker that tasks may have been started on.
type usedWorker struct {
	ID        string `json:"id"`
	Pool      string `json:"pool"`
	Address   string `json:"address"`
	StartedMS int64  `json:"born_ms,omitempty"`
	// Host is the host that it runs on, empty if it was not known.
	Host string `json:"host,omitempty"`
}

func (u *usedWorker) worker() estate.Worker {
	return estate.Worker{ID: u.ID, Pool: u.Pool, Address: u.Address, StartedMS: u.StartedMS}
}

// usedPerRow is how many workers one row lists: a tenth of what fits into the
// platform's 64 KB.
const usedPerRow = 100

// fencedRows splits the list of workers in use into rows. Rows that an earlier,
// longer list filled are emptied.
func fencedRows(used []usedWorker, rowsBefore int) ([]platform.RowWrite, error) {
	var writes []platform.RowWrite
	for i := 0; i == 0 || len(used) > 0 || i < rowsBefore; i++ {
		n := min(len(used), usedPerRow)
		value, err := json.Marshal(used[:n])
		if err != nil {
			return nil, errors.Wrap(err, "encode workers in use")
		}
		used = used[n:]
		writes = append(writes, platform.RowWrite{RowKey: controlRow(fencedTable, usedKey(i)), Value: value})
	}
	return writes, nil
}

// ended reports whether a list of hosts that was read since shows that the
// worker's life is over: its host has moved, or no longer runs the worker.
func (u *usedWorker) ended(hosts map[string]estate.Host) bool {
	h, ok := hosts[u.Host]
	if u.Host == "" || !ok {
		return false
	}
	return h.Pool != u.Pool || endedOn(h, u.ID)
}

// endedOn reports whether a host that ran a worker does so no more. A worker
// that is cut off is still listed; a host that crashed is listed as down,
// without a worker.
func endedOn(h estate.Host, worker string) bool {
	return h.WorkerID != worker && (h.WorkerID != "" || h.State != estate.HostUp)
}

func byName(list []estate.Host) map[string]estate.Host {
	hosts := make(map[string]estate.Host, len(list))
	for _, h := range list {
		hosts[h.Name] = h
	}
	return hosts
}

// endedLives returns the workers that an earlier list shows on a host and a
// later one no longer does.
func endedLives(earlier, later []estate.Host) []string {
	now := byName(later)
	var ids []string
	for _, h := range earlier {
		if n, ok := now[h.Name]; ok && h.WorkerID != "" && endedOn(n, h.WorkerID) {
			ids = append(ids, h.WorkerID)
		}
	}
	return ids
}

// alive returns the workers of which tasks may still run.
func alive(used []usedWorker, list []estate.Host) []estate.Worker {
	hosts := byName(list)
	var workers []estate.Worker
	for i := range used {
		if !used[i].ended(hosts) {
			workers = append(workers, used[i].worker())
		}
	}
	return workers
}

// recordUse writes down the workers that a successor has to fence, before the
// first start on a new one.
func (o *owner) recordUse(ctx context.Context, now time.Duration) {
	if o.used.writing {
		return
	}
	if !o.engine.Unrecorded() && (now-o.used.at < usedInterval || o.sameUse()) {
		return
	}
	list := o.engine.InUse()
	txn, err := o.usedTxn(list)
	if err != nil {
		event.RowUnreadable.Log(o.node.Log, zap.String("key", fencedTable), zap.Error(err))
		return
	}
	o.used.writing = true
	o.used.at = now
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		stamp, err := o.node.Rows.CommitRows(callCtx, txn)
		o.post(ctx, func(time.Duration) { o.useRecorded(list, len(txn.Writes), stamp.Version, err) })
	}()
}

// usedTxn returns the transaction that records workers as in use. It is
// conditional on the record that it replaces: a write whose answer was lost may
// be applied seconds later, and must not bring back an older record.
func (o *owner) usedTxn(list []estate.Worker) (platform.RowTxn, error) {
	writes, err := fencedRows(o.withHosts(list), o.used.rows)
	return platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence(), {RowKey: firstUsedRow, Version: o.used.version}}, Writes: writes,
	}, err
}

// useRecorded takes in the outcome of a record.
func (o *owner) useRecorded(list []estate.Worker, rows int, version int64, err error) {
	o.used.writing = false
	var conflict *platform.RowConflict
	switch {
	case errors.As(err, &conflict):
		// An earlier write without an answer was applied.
		o.used.version = conflict.Row(firstUsedRow).Version
		o.used.rows = max(o.used.rows, rows)
		o.used.at = 0
	case err != nil:
		o.used.rows = max(o.used.rows, rows)
		o.used.at = 0
	default:
		o.used.version, o.used.rows = version, rows
		o.used.incarnations = make(map[string]int64, len(list))
		for _, w := range list {
			o.used.incarnations[w.ID] = w.StartedMS
		}
		o.engine.Recorded(list)
	}
}

// withHosts adds the hosts of workers, as far as they are known.
func (o *owner) withHosts(list []estate.Worker) []usedWorker {
	hosts := make(map[string]string, len(o.duties.hosts))
	for _, h := range o.duties.hosts {
		hosts[h.WorkerID] = h.Name
	}
	used := make([]usedWorker, len(list))
	for i, w := range list {
		used[i] = usedWorker{ID: w.ID, Pool: w.Pool, Address: w.Address, StartedMS: w.StartedMS, Host: hosts[w.ID]}
	}
	return used
}

// sameUse reports whether the record of workers in use is up to date.
func (o *owner) sameUse() bool {
	list := o.engine.InUse()
	for _, w := range list {
		if startedMS, ok := o.used.incarnations[w.ID]; !ok || startedMS != w.StartedMS {
			return false
		}
	}
	return len(list) == len(o.used.incarnations)
}
