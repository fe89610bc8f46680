// Package control implements the control process. Its control work is divided
// into shards, one per pool: the owner of a shard assigns the pool's hosts to
// entries and drains and moves them. Every process also serves the
// administration API. Durable state is written to the table service under the
// shard's epoch. A single goroutine owns the in-memory control state; commits
// and reads of the platform run outside it.
package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/hostlist"
	"github.com/egretpitch/egretpitch/internal/job"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/pool"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/rpc"
	"github.com/egretpitch/egretpitch/internal/samples"
	"github.com/egretpitch/egretpitch/internal/serial"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// reconcileInterval is the time between two reconciliations when no report
	// or snapshot triggers one sooner.
	reconcileInterval = 250 * time.Millisecond
	// settingsPollPeriod bounds how long a settings version goes unnoticed when
	// its announcement was lost.
	settingsPollPeriod = 4 * time.Second
	// commitTimeout bounds one commit, including the time to resolve an unknown
	// outcome.
	commitTimeout = 5 * time.Second
)

// Options configure a Manager.
type Options struct {
	// Name is unique among control processes.
	Name string
	// Address is the drpc address, AdminAddress the address of the
	// administration API.
	Address, AdminAddress string
	// Incarnation is different for every start of the process.
	Incarnation uint64
	Platform    *platform.Platform
	Log         *zap.Logger
}

// Manager is one control process.
type Manager struct {
	name     string
	platform *platform.Platform
	log      *zap.Logger
	now      func() time.Time

	rpc      *rpc.Client
	exec     *serial.Executor
	members  *membership.Manager
	registry *membership.Registry
	started  time.Time
	leases   *lease.Manager
	store    *rollout.Store
	samples  *samples.Store
	adopter  *rollout.Adopter[*settings.Effective]
	// listCopy is the copy of another process's host list. Only the goroutine
	// of readLoop uses it.
	listCopy hostlist.Copy
	// wakeRead triggers a read of the platform before the interval has passed.
	wakeRead chan struct{}

	// The fields below are owned by exec.
	ctx       context.Context
	fleet     fleet
	shards    map[string]*shard
	instances map[entryID]instance
	absences  *permit.Absences
	// listLog records the changes of the host list for other processes while
	// this process reads the list from the platform.
	listLog *hostlist.Log
	sizing  sizing
	waves   waves
	jobs    *job.Manager
	// directoryVersion is the version of the shard directory for which waiting
	// exchanges were last woken.
	directoryVersion int64
	// changed is closed and replaced when the settings or the directory change.
	changed chan struct{}
	// readDone is closed and replaced after each read of the platform.
	readDone chan struct{}
	packed   packedTree
}

// instance is the last state reported by an entry whose home is this process.
type instance struct {
	settingsVersion uint64
	lastExchange    time.Time
}

// New returns a Manager. It owns no shards until Run is called.
func New(o Options) *Manager {
	m := &Manager{
		name:      o.Name,
		platform:  o.Platform,
		log:       o.Log,
		now:       time.Now,
		rpc:       rpc.NewClient(),
		exec:      serial.New(),
		registry:  membership.NewRegistry(o.Platform.Table, o.Log),
		store:     rollout.NewStore(o.Platform.Table, o.Platform.Objects, o.Log),
		samples:   samples.NewStore(o.Platform.Objects),
		wakeRead:  make(chan struct{}, 1),
		fleet:     newFleet(),
		shards:    map[string]*shard{},
		instances: map[entryID]instance{},
		absences:  permit.NewAbsences(),
		listLog:   hostlist.NewLog(o.Incarnation),
		sizing:    sizing{histories: map[string]pool.History{}, wanted: map[string]int{}, needed: map[string]int{}},
		waves:     newWaves(),
		started:   time.Now(),
		changed:   make(chan struct{}),
		readDone:  make(chan struct{}),
	}
	m.jobs = job.NewManager(o.Platform, o.Log, m.now)
	m.adopter = rollout.NewAdopter(rollout.AdopterConfig[*settings.Effective]{
		Table: o.Platform.Table, Objects: o.Platform.Objects, Log: o.Log,
		Parse:      settings.ParseEffective,
		PollPeriod: settingsPollPeriod,
		Adopted:    func(*rollout.InForce[*settings.Effective]) { go m.exec.Do(context.Background(), m.wakeAll) },
	})
	m.members = membership.NewManager(membership.Config{
		Table: o.Platform.Table, Log: o.Log, SettingsVersion: m.adopter.Version,
		Self: membership.MemberRow{
			Name: o.Name, Address: o.Address, AdminAddress: o.AdminAddress, Incarnation: o.Incarnation,
		},
	})
	m.leases = lease.NewManager(lease.Config{
		Table: o.Platform.Table, Log: o.Log, Members: m.members.Snapshot, Shards: m.shardNames,
		Self: lease.Identity{Name: o.Name, Address: o.Address, Incarnation: o.Incarnation},
	})
	return m
}

// Run joins the control processes and works until ctx ends, then releases its
// shards and leaves the membership.
func (m *Manager) Run(ctx context.Context) error {
	// The executor outlives ctx so that calls in progress can finish.
	execCtx, stopExec := context.WithCancel(context.WithoutCancel(ctx))
	defer stopExec()
	m.ctx = ctx
	go m.exec.Run(execCtx)
	go func() { _ = m.adopter.Run(ctx) }()
	membersDone := make(chan struct{})
	go func() {
		defer close(membersDone)
		_ = m.members.Run(ctx)
	}()
	go m.readLoop(ctx)
	go m.reconcileLoop(ctx)
	go m.sizeLoop(ctx)
	go func() { _ = m.jobs.Run(ctx) }()
	err := m.leases.Run(ctx)
	<-membersDone
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	if leaveErr := m.members.Leave(leaveCtx); err == nil {
		err = leaveErr
	}
	return err
}

// elapsed returns the time since the start of the process on the monotonic
// clock.
func (m *Manager) elapsed() time.Duration { return m.now().Sub(m.started) }

// Ready reports whether the process has adopted settings.
func (m *Manager) Ready() bool { return m.adopter.Version() > 0 }

// shardNames returns the names of the pools in the current settings, each of
// which is one shard.
func (m *Manager) shardNames() []string {
	current := m.adopter.Current()
	if current == nil {
		return nil
	}
	names := make([]string, 0, len(current.Value.Pools))
	for name := range current.Value.Pools {
		names = append(names, name)
	}
	return names
}
