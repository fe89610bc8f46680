package node

import (
	"context"
	"encoding/json"
	"slices"
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
	// recorded holds the recorded workers by id.
	recorded map[string]usedWorker
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

// minListsWithoutHost is the number of consecutive host lists without a host
// after which the host is taken to have left the estate. A host can fall
// between two pages of a single list.
const minListsWithoutHost = 2

// workerHosts maps the ids of workers to the hosts on which this owner or a
// previous one saw them.
type workerHosts map[string]workerHost

type workerHost struct {
	// host is empty if no list has shown the worker.
	host, pool string
	// missing counts the latest host lists without the host, or without the
	// worker if its host is not known.
	missing int
}

// newWorkerHosts returns the hosts of the workers in use, according to the
// record of the previous owner.
func newWorkerHosts(used []usedWorker) workerHosts {
	hosts := workerHosts{}
	for _, u := range used {
		hosts[u.ID] = workerHost{host: u.Host, pool: u.Pool}
	}
	return hosts
}

// update applies a host list. It returns the ids of the workers that have ended,
// because their hosts changed pools or no longer run them, and of those whose
// hosts have left the estate or that no host runs. An empty list tells nothing.
func (m workerHosts) update(list []estate.Host) (ended, left []string) {
	if len(list) == 0 {
		return nil, nil
	}
	hosts := hostsByName(list)
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.WorkerID] = true
	}
	for id, w := range m {
		h, ok := hosts[w.host]
		switch {
		case w.host == "" && listed[id]: // updated below
		case !ok:
			w.missing++
			m[id] = w
			if w.missing >= minListsWithoutHost {
				left = append(left, id)
			}
		case h.Pool != w.pool || noLongerOn(h, id):
			ended = append(ended, id)
		default:
			w.missing = 0
			m[id] = w
		}
	}
	for _, h := range list {
		if h.WorkerID != "" {
			m[h.WorkerID] = workerHost{host: h.Name, pool: h.Pool}
		}
	}
	slices.Sort(ended)
	slices.Sort(left)
	return ended, left
}

// possiblyRunning returns the workers in use other than those that have ended.
func possiblyRunning(used []usedWorker, ended []string) []estate.Worker {
	var workers []estate.Worker
	for i := range used {
		if !slices.Contains(ended, used[i].ID) {
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
	used := o.withHosts(list)
	txn, err := o.usedWorkersTxn(used)
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
		o.post(ctx, func(time.Duration) { o.usedWorkersRecorded(used, len(txn.Writes), stamp.Version, err) })
	}()
}

// usedWorkersTxn returns the transaction that stores the record. It is
// conditional on the record that it replaces: a write whose answer was lost may
// be applied seconds later and must not replace a newer record.
func (o *owner) usedWorkersTxn(used []usedWorker) (platform.RowTxn, error) {
	writes, err := usedWorkerRows(used, o.used.rows)
	return platform.RowTxn{
		Conditions: []platform.RowCondition{o.fence(), {RowKey: firstUsedWorkersRow, Version: o.used.version}}, Writes: writes,
	}, err
}

// usedWorkersRecorded handles the outcome of a write of the record.
func (o *owner) usedWorkersRecorded(used []usedWorker, rows int, version int64, err error) {
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
		o.used.recorded = nil // either record may be stored
		o.used.lastWrite = 0
	default:
		o.used.version, o.used.rows = version, rows
		o.used.recorded = make(map[string]usedWorker, len(used))
		list := make([]estate.Worker, len(used))
		for i, u := range used {
			o.used.recorded[u.ID] = u
			list[i] = u.worker()
		}
		o.engine.Recorded(list)
	}
}

// withHosts adds the names of the workers' hosts, where they are known.
func (o *owner) withHosts(list []estate.Worker) []usedWorker {
	used := make([]usedWorker, len(list))
	for i, w := range list {
		used[i] = usedWorker{ID: w.ID, Pool: w.Pool, Address: w.Address, StartedMS: w.StartedMS, Host: o.fleetController.workerHosts[w.ID].host}
	}
	return used
}

// usedWorkersUpToDate reports whether the stored record lists exactly the
// workers in use, with their hosts.
func (o *owner) usedWorkersUpToDate() bool {
	used := o.withHosts(o.engine.InUse())
	for _, u := range used {
		if o.used.recorded[u.ID] != u {
			return false
		}
	}
	return len(used) == len(o.used.recorded)
}
