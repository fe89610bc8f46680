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
	// scanInterval is the time between two scans for new rows, when nothing
	// asks for one sooner.
	scanInterval = time.Second
	// fullScanEvery is how many scans there are from one that starts anew,
	// which finds deleted rows, to the next.
	fullScanEvery = 60
	// maxCalls bounds the calls that are under way at once.
	maxCalls = 128
)

// Manager keeps the jobs of the pools that this process owns.
type Manager struct {
	platform  *platform.Platform
	log       *zap.Logger
	now       func() time.Time
	exec      *serial.Executor
	wake      chan struct{}
	callSlots chan struct{}
	views     atomic.Pointer[map[string]*View]
	snapshot  atomic.Pointer[snapshot]

	// The fields below are owned by exec.
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
	// ownedSince is when this process ownedSince of its ownership.
	ownedSince time.Time
	// pool is nil until the rows were scanned after learnt.
	pool *Pool
	view *View
}

// NewManager returns a manager that does nothing until Run runs.
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

// Update hands over what is known of the pools that this process owns. It may
// be called by any goroutine; the views are not changed afterwards.
func (m *Manager) Update(views map[string]*View) { m.views.Store(&views) }

// Wake asks for a scan and a round of decisions now.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
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

// step brings every pool one step on.
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

// stepPool brings one pool on. The snapshot is published before the calls are
// made, so that no placement is under way that it does not count.
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

// execute makes a call and hands its result back.
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

// done takes in a result. What a commit allows, such as a start, follows at
// once.
func (m *Manager) done(o *ownedPool, r Result) {
	o.pool.Done(r, m.now())
	m.scanRequested = o.pool.Stale() || m.scanRequested
	m.publish()
	if r.Call.Kind == CallCommit {
		m.step()
	}
}

// sync starts and ends pools as the views say.
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

// placedJobs returns the placed jobs of all pools, whose teams hold quota by
// them.
func (m *Manager) placedJobs() []placement.Job {
	var placed []placement.Job
	for _, r := range m.rows {
		if !r.Placed() {
			continue
		}
		j := placementJob(&r.Row)
		j.ID = r.TaskID() // IDs are unique within a pool only
		j.Task = &placement.Task{Host: r.Host}
		placed = append(placed, j)
	}
	return placed
}

// scan reads the rows that were written since the last scan, or all of them.
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

// scanDone takes in a scan that began at a time.
func (m *Manager) scanDone(rows []Stored, err error, full bool, began time.Time) {
	m.scanning = false
	m.lastScan = m.now()
	if err != nil {
		m.log.Debug("job rows not scanned", zap.Error(err))
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

// load hands scanned rows to a pool. A pool begins with a full scan that began
// after its acquisition.
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
