package node

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// usedWorkersInterval is the minimum time between two writes of the record
// while no worker waits to be recorded. Workers that are no longer in use are
// removed from the record with such a write.
const usedWorkersInterval = time.Second

// firstUsedWorkersRow is written with every update of the record, so its
// version is the version of the whole record.
var firstUsedWorkersRow = recordsRow(usedWorkersTable, usedWorkersKey(0))

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
	// moved is set once the record of earlier releases is marked as moved. It
	// belongs to the write in progress.
	moved bool
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
	// LeaseEndMS is scheduler.UsedWorker.LeaseEnd in milliseconds on the store's
	// clock.
	LeaseEndMS int64 `json:"lease_end_ms,omitempty"`
	// Epoch is that of the owner that stated LeaseEndMS.
	Epoch int64 `json:"epoch,omitempty"`
	// Tasks and TasksKnown are those of scheduler.UsedWorker, the former separated
	// by spaces so that workers can be compared.
	Tasks      string `json:"tasks,omitempty"`
	TasksKnown bool   `json:"tasks_known,omitempty"`
}

// worker returns the worker for the engine of the owner with the given epoch. What
// another owner than the one before stated about the lease may have changed since,
// and tasks that cannot be read are unknown.
func (u *usedWorker) worker(clock *Clock, epoch int64) scheduler.UsedWorker {
	w := scheduler.UsedWorker{Worker: estate.Worker{ID: u.ID, Pool: u.Pool, Address: u.Address, StartedMS: u.StartedMS}}
	if u.LeaseEndMS == 0 {
		return w
	}
	end, known := clock.LatestAt(u.LeaseEndMS)
	if !known || u.Epoch != epoch-1 {
		w.LeaseEnd = math.MaxInt64
		return w
	}
	w.LeaseEnd, w.TasksKnown = max(end, 1), u.TasksKnown // it may have ended before this host started
	for _, name := range strings.Fields(u.Tasks) {
		id, err := workload.ParseTaskID(name)
		if err != nil {
			w.Tasks, w.TasksKnown = nil, false
			break
		}
		w.Tasks = append(w.Tasks, id)
	}
	return w
}

const (
	// maxTaskNames bounds the names of the tasks of one worker in the record, in
	// bytes, so that they fit its row: some 300 tasks.
	maxTaskNames = 8 << 10
	// maxAllTaskNames bounds those of all workers, so that the record fits one
	// transaction.
	maxAllTaskNames = 100 << 10
)

// setTasks sets the tasks of a record if their names have at most the given number
// of bytes. It returns how many they have.
func (u *usedWorker) setTasks(tasks []workload.TaskID, most int) int {
	names := make([]string, len(tasks))
	for i, id := range tasks {
		names[i] = id.String()
	}
	all := strings.Join(names, " ")
	if len(all) > min(most, maxTaskNames) {
		return 0
	}
	u.Tasks, u.TasksKnown = all, true
	return len(all)
}

// leaseEndTolerance is how much later than necessary a recorded LeaseEndMS may be:
// the estimates of the store's clock vary by milliseconds.
const leaseEndTolerance = 100 * time.Millisecond

// sameRecord reports whether a record of the worker need not be replaced.
func (u *usedWorker) sameRecord(recorded usedWorker) bool {
	if late := recorded.LeaseEndMS - u.LeaseEndMS; u.LeaseEndMS > 0 && late >= 0 && late <= leaseEndTolerance.Milliseconds() {
		recorded.LeaseEndMS = u.LeaseEndMS
	}
	return recorded == *u
}

// usedWorkersPerRow is the maximum number of workers in one row. With the usual
// names they take a tenth of maxRowBytes.
const usedWorkersPerRow = 100

// usedWorkerRows splits the list of workers in use into rows. Rows left over
// from an earlier, longer list are written empty.
func usedWorkerRows(used []usedWorker, rowsBefore int) ([]platform.RowWrite, error) {
	var writes []platform.RowWrite
	for i := 0; i == 0 || len(used) > 0 || i < rowsBefore; i++ {
		n := min(len(used), usedWorkersPerRow)
		value, err := json.Marshal(used[:n])
		for ; err == nil && len(value) > maxRowBytes && n > 1; value, err = json.Marshal(used[:n]) {
			n /= 2
		}
		if err != nil {
			return nil, errors.Wrap(err, "encode workers in use")
		}
		used = used[n:]
		writes = append(writes, platform.RowWrite{RowKey: recordsRow(usedWorkersTable, usedWorkersKey(i)), Value: value})
	}
	return writes, nil
}

// readUsedWorkers adds the workers of the record's rows. An unreadable row costs
// the workers in it only.
func (l *recoveredState) readUsedWorkers(rows []platform.PartRow, log *zap.Logger) {
	for _, r := range rows {
		var list []usedWorker
		if err := json.Unmarshal(r.Value, &list); err != nil {
			l.usedIncomplete = true
			event.RowUnreadable.Log(log, zap.String("key", usedWorkersTable+"/"+r.Key), zap.Error(err))
			continue
		}
		l.used = append(l.used, list...)
	}
}

// unknownWorkerPrefix is the first part of the id of a worker that stands for
// those of a pool that an unreadable row may name.
const unknownWorkerPrefix = "unreadable record of pool "

// unknownWorkers returns one worker for each pool in which jobs may run. None of
// them answers, so the recovery of the pool lasts until the leases of previous
// owners have expired.
func (l *recoveredState) unknownWorkers(catalog *estate.Catalog) []scheduler.UsedWorker {
	pools := map[string]bool{}
	for name := range catalog.Pools {
		pools[name] = true
	}
	for _, r := range l.jobs {
		if job, err := workload.DecodeJob(r.Value); err == nil && job.Pool != "" {
			pools[job.Pool] = true
		}
	}
	list := make([]scheduler.UsedWorker, 0, len(pools))
	for name := range pools {
		list = append(list, scheduler.UsedWorker{Worker: estate.Worker{ID: unknownWorkerPrefix + name, Pool: name}})
	}
	return list
}

// workerHostsOf returns the hosts of the workers in use, according to the record
// of the previous owner. A host list tells nothing about unknown workers.
func workerHostsOf(used []usedWorker) scheduler.WorkerHosts {
	hosts := scheduler.WorkerHosts{}
	for _, u := range used {
		if strings.HasPrefix(u.ID, unknownWorkerPrefix) {
			continue
		}
		hosts[u.ID] = scheduler.WorkerHost{Host: u.Host, Pool: u.Pool}
	}
	return hosts
}

// workersOf returns the workers of a record for the owner with the given epoch.
func workersOf(used []usedWorker, clock *Clock, epoch int64) []scheduler.UsedWorker {
	list := make([]scheduler.UsedWorker, len(used))
	for i := range used {
		list[i] = used[i].worker(clock, epoch)
	}
	return list
}

// recordUsedWorkers updates the stored record of the workers that a successor
// must fence. The engine starts tasks on a worker only after the worker is
// recorded.
func (o *owner) recordUsedWorkers(ctx context.Context, now time.Duration) {
	if o.used.writing {
		return
	}
	if !o.engine.Unrecorded(now) && (now-o.used.lastWrite < usedWorkersInterval || o.usedWorkersUpToDate(now)) {
		return
	}
	list := o.engine.InUse(now)
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
		if err == nil {
			err = o.markMoved(callCtx)
		}
		o.post(ctx, func(time.Duration) { o.usedWorkersRecorded(used, len(txn.Writes), stamp.Version, err) })
	}()
}

// usedWorkersTxn returns the transaction that stores the record. It is
// conditional on the record that it replaces: a write whose answer was lost may
// be applied seconds later and must not replace a newer record.
func (o *owner) usedWorkersTxn(used []usedWorker) (platform.RowTxn, error) {
	writes, err := usedWorkerRows(used, o.used.rows)
	return platform.RowTxn{
		Conditions: []platform.RowCondition{o.recordsFence, {RowKey: firstUsedWorkersRow, Version: o.used.version}}, Writes: writes,
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
		for _, u := range used {
			o.used.recorded[u.ID] = u
		}
		o.engine.Recorded(workersOf(used, &o.node.Clock, o.record.Epoch+1))
	}
}

// withHosts adds the names of the workers' hosts, where they are known.
func (o *owner) withHosts(list []scheduler.UsedWorker) []usedWorker {
	used := make([]usedWorker, len(list))
	taskNames := 0
	for i, w := range list {
		used[i] = usedWorker{
			ID: w.ID, Pool: w.Pool, Address: w.Address, StartedMS: w.StartedMS, Host: o.fleetController.workerHosts[w.ID].Host,
		}
		if w.LeaseEnd > 0 {
			used[i].LeaseEndMS, used[i].Epoch = o.node.Clock.LatestStoreMS(w.LeaseEnd), o.record.Epoch
			if w.TasksKnown {
				taskNames += used[i].setTasks(w.Tasks, maxAllTaskNames-taskNames)
			}
		}
	}
	return used
}

// usedWorkersUpToDate reports whether the stored record lists exactly the
// workers in use, with their hosts.
func (o *owner) usedWorkersUpToDate(now time.Duration) bool {
	used := o.withHosts(o.engine.InUse(now))
	for _, u := range used {
		if !u.sameRecord(o.used.recorded[u.ID]) {
			return false
		}
	}
	return len(used) == len(o.used.recorded)
}
