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

// usedWorkersInterval is the minimum time between two writes of the record
// while no worker waits to be recorded. Workers that are no longer in use are
// removed from the record with such a write.
const usedWorkersInterval = time.Second

// firstUsedWorkersRow is written with every update of the record, so its
// version is the version of the whole record.
var firstUsedWorkersRow = controlRow(usedWorkersTable, usedWorkersKey(0))

// usedWorkersKey returns the key of the i-th row of the record.
func usedWorkersKey(i int) string { return "workers-" + strconv.Itoa(i) }

// usedWorkersRecord is the state of the stored record of workers in use, as far
// as this owner knows it.
type usedWorkersRecord struct {
	// version is the version of firstUsedWorkersRow, and rows the number of
	// rows of the record.
	version int64
	rows    int
	// incarnations holds the start time of each recorded worker, in
	// milliseconds, by id.
	incarnations map[string]int64
	// lastWrite is when the last write started, 0 to write again at once.
	lastWrite time.Duration
	writing   bool
}

// restore initializes the state from the rows that the previous owner stored.
func (u *usedWorkersRecord) restore(rows []platform.PartRow) {
	u.rows = len(rows)
	for _, r := range rows {
		if r.RowKey == firstUsedWorkersRow {
			u.version = r.Version
		}
	}
}

// usedWorker is a worker on which tasks may have been started.
type usedWorker struct {
	ID        string `json:"id"`
	Pool      string `json:"pool"`
	Address   string `json:"address"`
	StartedMS int64  `json:"born_ms,omitempty"`
	// Host is the host of the worker, empty if it was not known.
	Host string `json:"host,omitempty"`
}

func (u *usedWorker) worker() estate.Worker {
	return estate.Worker{ID: u.ID, Pool: u.Pool, Address: u.Address, StartedMS: u.StartedMS}
}

// usedWorkersPerRow is the maximum number of workers in one row. They take a
// tenth of the platform's limit of 64 KB.
const usedWorkersPerRow = 100

// usedWorkerRows splits the list of workers in use into rows. Rows left over
// from an earlier, longer list are written empty.
func usedWorkerRows(used []usedWorker, rowsBefore int) ([]platform.RowWrite, error) {
	var writes []platform.RowWrite
	for i := 0; i == 0 || len(used) > 0 || i < rowsBefore; i++ {
		n := min(len(used), usedWorkersPerRow)
		value, err := json.Marshal(used[:n])
		if err != nil {
			return nil, errors.Wrap(err, "encode workers in use")
		}
		used = used[n:]
		writes = append(writes, platform.RowWrite{RowKey: controlRow(usedWorkersTable, usedWorkersKey(i)), Value: value})
	}
	return writes, nil
}

// hasEnded reports whether a later host list shows that the worker has ended:
// its host has changed pools or no longer runs it.
func (u *usedWorker) hasEnded(hosts map[string]estate.Host) bool {
	h, ok := hosts[u.Host]
	if u.Host == "" || !ok {
		return false
	}
	return h.Pool != u.Pool || noLongerOn(h, u.ID)
}

// noLongerOn reports whether a host that ran a worker no longer runs it. A
// worker that is only cut off from the network is still listed; a host that
// crashed is listed as down, without a worker.
func noLongerOn(h estate.Host, worker string) bool {
	return h.WorkerID != worker && (h.WorkerID != "" || h.State != estate.HostUp)
}

// hostsByName indexes a host list by name.
func hostsByName(list []estate.Host) map[string]estate.Host {
	hosts := make(map[string]estate.Host, len(list))
	for _, h := range list {
		hosts[h.Name] = h
	}
	return hosts
}

// endedWorkers returns the ids of the workers that the earlier host list shows
// on a host that no longer runs them in the later list.
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

// possiblyRunning returns the workers that the host list does not show as
// ended, whose tasks may still run.
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

// recordUsedWorkers updates the stored record of the workers that a successor
// must fence. The engine starts tasks on a worker only after the worker is
// recorded.
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

// usedWorkersTxn returns the transaction that stores the record. It is
// conditional on the record that it replaces: a write whose answer was lost may
// be applied seconds later and must not replace a newer record.
func (o *owner) usedWorkersTxn(list []estate.Worker) (platform.RowTxn, error) {
	writes, err := usedWorkerRows(o.withHosts(list), o.used.rows)
	return platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence(), {RowKey: firstUsedWorkersRow, Version: o.used.version}}, Writes: writes,
	}, err
}

// usedWorkersRecorded handles the outcome of a write of the record.
func (o *owner) usedWorkersRecorded(list []estate.Worker, rows int, version int64, err error) {
	o.used.writing = false
	var conflict *platform.RowConflict
	switch {
	case errors.As(err, &conflict):
		// An earlier write whose outcome was unknown was applied.
		o.used.version = conflict.Row(firstUsedWorkersRow).Version
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

// withHosts adds the names of the workers' hosts, where they are known.
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

// usedWorkersUpToDate reports whether the stored record lists exactly the
// workers in use.
func (o *owner) usedWorkersUpToDate() bool {
	list := o.engine.InUse()
	for _, w := range list {
		if startedMS, ok := o.used.incarnations[w.ID]; !ok || startedMS != w.StartedMS {
			return false
		}
	}
	return len(list) == len(o.used.incarnations)
}
