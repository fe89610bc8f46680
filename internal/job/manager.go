package job

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/serial"
)

const (
	// scanInterval is the time between two scans for new rows, unless one is
	// requested earlier.
	scanInterval = time.Second
	// fullScanEvery is the number of scans after which a scan reads all rows
	// again. Only such a full scan detects deleted rows.
	fullScanEvery = 60
	// maxCalls bounds the concurrent platform calls.
	maxCalls = 128
)

// Manager runs the jobs of the pools that this process owns.
type Manager struct {
	platform  *platform.Platform
	log       *zap.Logger
	now       func() time.Time
	exec      *serial.Executor
	wake      chan struct{}
	callSlots chan struct{}
	views     atomic.Pointer[map[string]*View]
	snapshot  atomic.Pointer[snapshot]

	// The fields below are accessed only by functions that exec runs, except for
	// ctx, which is constant once exec runs.
	ctx            context.Context
	pools          map[string]*ownedPool
	rows           map[string]Stored
	scannedVersion int64
	placed         []placement.Job
	scanCount      int
	scanning       bool
	lastScan       time.Time
	scanRequested  bool
}

// ownedPool is a pool that this process owns.
type ownedPool struct {
	shard *lease.Shard
	// ownedSince is the time at which this process learnt of its ownership.
	ownedSince time.Time
	// pool is nil until a full scan that started after ownedSince has completed.
	pool *Pool
	view *View
}

// NewManager returns a Manager. It does nothing until Run is called.
func NewManager(p *platform.Platform, log *zap.Logger, now func() time.Time) *Manager {
	m := &Manager{
		platform: p, log: log, now: now, exec: serial.New(),
		wake: make(chan struct{}, 1), callSlots: make(chan struct{}, maxCalls),
		pools: map[string]*ownedPool{}, rows: map[string]Stored{},
	}
	m.views.Store(&map[string]*View{})
	m.snapshot.Store(&snapshot{})
	return m
}

// Update sets the views of the pools that this process owns, by pool name. It
// may be called from any goroutine; the caller must not change the views
// afterwards.
func (m *Manager) Update(views map[string]*View) { m.views.Store(&views) }

// Wake triggers a scan and a step immediately.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run runs steps until ctx ends and returns its error.
func (m *Manager) Run(ctx context.Context) error {
	m.ctx = ctx
	go m.exec.Run(ctx)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.exec.Do(ctx, m.step)
		case <-m.wake:
			m.exec.Do(ctx, func() { m.scanRequested = true; m.step() })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step runs one step of every owned pool and starts a scan if one is due.
func (m *Manager) step() {
	now := m.now()
	m.sync(now)
	if !m.scanning && (m.scanRequested || now.Sub(m.lastScan) >= scanInterval) {
		m.scan()
	}
	for _, o := range m.pools {
		m.stepPool(o, now)
	}
}

// stepPool runs one step of a pool. The snapshot is published before the calls
// are made, so that it counts every placement in flight.
func (m *Manager) stepPool(o *ownedPool, now time.Time) {
	if o.pool == nil || !o.shard.Held() {
		return
	}
	calls := o.pool.Step(o.view, now)
	if len(calls) == 0 {
		return
	}
	m.publish()
	for _, c := range calls {
		go m.execute(o, c)
	}
}

// execute makes a call and passes its result to done.
func (m *Manager) execute(o *ownedPool, c *Call) {
	select {
	case m.callSlots <- struct{}{}:
	case <-m.ctx.Done():
		return
	}
	r := Execute(m.ctx, m.platform, o.shard, c, m.now)
	<-m.callSlots
	m.exec.Do(m.ctx, func() { m.done(o, r) })
}

// done handles the result of a call. After a commit it runs a step at once,
// since the commit may allow further calls such as a start.
func (m *Manager) done(o *ownedPool, r Result) {
	o.pool.Done(r, m.now())
	m.scanRequested = o.pool.Stale() || m.scanRequested
	m.publish()
	if r.Call.Kind == CallCommit {
		m.step()
	}
}

// sync adds and removes owned pools to match the current views.
func (m *Manager) sync(now time.Time) {
	views := *m.views.Load()
	for name, v := range views {
		o := m.pools[name]
		if o == nil || o.shard != v.Shard {
			o = &ownedPool{shard: v.Shard, ownedSince: now}
			m.pools[name] = o
			m.scanRequested = true
		}
		view := *v
		view.Placed = m.placed
		o.view = &view
	}
	for name := range m.pools {
		if views[name] == nil {
			delete(m.pools, name)
		}
	}
}

// placedJobs returns the placed jobs of all pools. They count against the
// quotas of their teams.
func (m *Manager) placedJobs() []placement.Job {
	var placed []placement.Job
	for _, r := range m.rows {
		if !r.Placed() {
			continue
		}
		j := placementJob(&r.Row)
		j.ID = r.TaskID() // job IDs are unique only within a pool
		j.Task = &placement.Task{Host: r.Host}
		placed = append(placed, j)
	}
	return placed
}

// scan reads the rows that were written since the last scan, or all rows if a
// full scan is due or a pool is not loaded yet.
func (m *Manager) scan() {
	m.scanRequested = false
	m.scanning = true
	began := m.now()
	full := m.scanCount%fullScanEvery == 0
	for _, o := range m.pools {
		full = full || o.pool == nil
	}
	after := m.scannedVersion
	if full {
		after = 0
	}
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
		defer cancel()
		rows, err := Scan(ctx, m.platform.Table, KeyPrefix, after)
		m.exec.Do(m.ctx, func() { m.scanDone(rows, err, full, began) })
	}()
}

// scanDone applies the rows of a scan that started at began.
func (m *Manager) scanDone(rows []Stored, err error, full bool, began time.Time) {
	m.scanning = false
	m.lastScan = m.now()
	if err != nil {
		m.log.Debug("scanning job rows failed", zap.Error(err))
		return
	}
	m.scanCount++
	if full {
		m.rows = make(map[string]Stored, len(rows))
	}
	for _, r := range rows {
		m.rows[r.TaskID()] = r
		m.scannedVersion = max(m.scannedVersion, r.Version)
	}
	m.placed = m.placedJobs()
	for name, o := range m.pools {
		m.load(name, o, rows, full, began)
	}
	m.publishScan(began)
	m.step()
}

// load passes scanned rows to a pool. A pool is created from the first full
// scan that started after its acquisition.
func (m *Manager) load(name string, o *ownedPool, rows []Stored, full bool, began time.Time) {
	switch {
	case o.pool != nil:
		o.pool.ApplyScan(rows, began, m.now())
	case full && began.After(o.ownedSince):
		o.pool = NewPool(name, o.shard.Epoch(), rows, m.now(), m.log)
		event.JobsLoaded.Log(m.log, zap.String("pool", name), zap.Uint64("epoch", o.shard.Epoch()),
			zap.Int("jobs", len(o.pool.jobs)))
	}
}
