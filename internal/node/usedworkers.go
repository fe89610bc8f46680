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

// usedWorkersInterval is the time after which workers that are no longer in use are
// taken from the record for a successor.
const usedWorkersInterval = time.Second

// firstUsedRow is written with every record, so that its version is that of
// the whole record.
var firstUsedRow = controlRow(usedWorkersTable, usedKey(0))

func usedKey(i int) string { return "workers-" + strconv.Itoa(i) }

// usedWorkersRecord is what this owner knows of the record of workers in use.
type usedWorkersRecord struct {
	version int64
	rows    int
	// incarnations are the births of the recorded workers by id.
	incarnations map[string]int64
	lastWrite    time.Duration
	writing      bool
}

// restore takes in the rows of a former owner's record.
func (u *usedWorkersRecord) restore(rows []platform.PartRow) {
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

// usedWorkersPerRow is how many workers one row lists: a tenth of what fits into the
// platform's 64 KB.
const usedWorkersPerRow = 100

// usedWorkerRows splits the list of workers in use into rows. Rows that an earlier,
// longer list filled are emptied.
func usedWorkerRows(used []usedWorker, rowsBefore int) ([]platform.RowWrite, error) {
	var writes []platform.RowWrite
	for i := 0; i == 0 || len(used) > 0 || i < rowsBefore; i++ {
		n := min(len(used), usedWorkersPerRow)
		value, err := json.Marshal(used[:n])
		if err != nil {
			return nil, errors.Wrap(err, "encode workers in use")
		}
		used = used[n:]
		writes = append(writes, platform.RowWrite{RowKey: controlRow(usedWorkersTable, usedKey(i)), Value: value})
	}
	return writes, nil
}

// hasEnded reports whether a list of hosts that was read since shows that the
// worker's life is over: its host has moved, or no longer runs the worker.
func (u *usedWorker) hasEnded(hosts map[string]estate.Host) bool {
	h, ok := hosts[u.Host]
	if u.Host == "" || !ok {
		return false
	}
	return h.Pool != u.Pool || noLongerOn(h, u.ID)
}

// noLongerOn reports whether a host that ran a worker does so no more. A worker
// that is cut off is still listed; a host that crashed is listed as down,
// without a worker.
func noLongerOn(h estate.Host, worker string) bool {
	return h.WorkerID != worker && (h.WorkerID != "" || h.State != estate.HostUp)
}

func hostsByName(list []estate.Host) map[string]estate.Host {
	hosts := make(map[string]estate.Host, len(list))
	for _, h := range list {
		hosts[h.Name] = h
	}
	return hosts
}

// endedWorkers returns the workers that an earlier list shows on a host and a
// later one no longer does.
func endedWorkers(earlier, later []estate.Host) []string {
	now := hostsByName(later)
	var ids []string
	for _, h := range earlier {
		if n, ok := now[h.Name]; ok && h.WorkerID != "" && noLongerOn(n, h.WorkerID) {
			ids = append(ids, h.WorkerID)
		}
	}
	return ids
}

// possiblyRunning returns the workers of which tasks may still run.
func possiblyRunning(used []usedWorker, list []estate.Host) []estate.Worker {
	hosts := hostsByName(list)
	var workers []estate.Worker
	for i := range used {
		if !used[i].hasEnded(hosts) {
			workers = append(workers, used[i].worker())
		}
	}
	return workers
}

// recordUsedWorkers writes down the workers that a successor has to fence, before the
// first start on a new one.
func (o *owner) recordUsedWorkers(ctx context.Context, now time.Duration) {
	if o.used.writing {
		return
	}
	if !o.engine.Unrecorded() && (now-o.used.lastWrite < usedWorkersInterval || o.usedWorkersUpToDate()) {
		return
	}
	list := o.engine.InUse()
	txn, err := o.usedWorkersTxn(list)
	if err != nil {
		event.RowUnreadable.Log(o.node.Log, zap.String("key", usedWorkersTable), zap.Error(err))
		return
	}
	o.used.writing = true
	o.used.lastWrite = now
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		stamp, err := o.node.Rows.CommitRows(callCtx, txn)
		o.post(ctx, func(time.Duration) { o.usedWorkersRecorded(list, len(txn.Writes), stamp.Version, err) })
	}()
}

// usedWorkersTxn returns the transaction that records workers as in use. It is
// conditional on the record that it replaces: a write whose answer was lost may
// be applied seconds later, and must not bring back an older record.
func (o *owner) usedWorkersTxn(list []estate.Worker) (platform.RowTxn, error) {
	writes, err := usedWorkerRows(o.withHosts(list), o.used.rows)
	return platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence(), {RowKey: firstUsedRow, Version: o.used.version}}, Writes: writes,
	}, err
}

// usedWorkersRecorded takes in the outcome of a record.
func (o *owner) usedWorkersRecorded(list []estate.Worker, rows int, version int64, err error) {
	o.used.writing = false
	var conflict *platform.RowConflict
	switch {
	case errors.As(err, &conflict):
		// An earlier write without an answer was applied.
		o.used.version = conflict.Row(firstUsedRow).Version
		o.used.rows = max(o.used.rows, rows)
		o.used.lastWrite = 0
	case err != nil:
		o.used.rows = max(o.used.rows, rows)
		o.used.lastWrite = 0
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
	hosts := make(map[string]string, len(o.fleetController.hosts))
	for _, h := range o.fleetController.hosts {
		hosts[h.WorkerID] = h.Name
	}
	used := make([]usedWorker, len(list))
	for i, w := range list {
		used[i] = usedWorker{ID: w.ID, Pool: w.Pool, Address: w.Address, StartedMS: w.StartedMS, Host: hosts[w.ID]}
	}
	return used
}

// usedWorkersUpToDate reports whether the record of workers in use is up to date.
func (o *owner) usedWorkersUpToDate() bool {
	list := o.engine.InUse()
	for _, w := range list {
		if startedMS, ok := o.used.incarnations[w.ID]; !ok || startedMS != w.StartedMS {
			return false
		}
	}
	return len(list) == len(o.used.incarnations)
}
