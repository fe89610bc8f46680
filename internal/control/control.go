// Package control owns shards of control work, one shard a pool: it assigns
// hosts to entries, drains and moves hosts, and answers operators. What must
// last goes through the table service under the shard's epoch. One goroutine
// owns the control state; commits and readings run outside of it.
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
	// reconcileInterval is the time between two rounds of decisions, when no report
	// asks for one sooner.
	reconcileInterval = 250 * time.Millisecond
	// settingsPollPeriod bounds how long a settings version that no process
	// announced stays unseen.
	settingsPollPeriod = 4 * time.Second
	// commitTimeout bounds one commit with its settling.
	commitTimeout = 5 * time.Second
)

// Options configure a Manager.
type Options struct {
	// Name is unique among control processes.
	Name string
	// Address is the drpc address, AdminAddress that of the administration API.
	Address, AdminAddress string
	// Incarnation differs for every start.
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
	// listCopy is used by the goroutine that reads.
	listCopy hostlist.Copy
	// wakeRead asks for a reading before the interval is over.
	wakeRead chan struct{}

	// The fields below are owned by exec.
	ctx       context.Context
	fleet     fleet
	shards    map[string]*shard
	instances map[entryID]instance
	absences  *permit.Absences
	// listLog records the host listLog for others, while this process reads it.
	listLog *hostlist.Log
	sizing  sizing
	waves   waves
	jobs    *job.Manager
	// directoryVersion is the directory that waiting exchanges know of.
	directoryVersion int64
	// changed is closed and replaced when settings or directory change.
	changed chan struct{}
	// readDone is closed and replaced after each reading.
	readDone chan struct{}
	packed   packedTree
}

// instance is an entry as it last reported.
type instance struct {
	settingsVersion uint64
	lastExchange    time.Time
}

// New returns a manager that owns nothing until Run runs.
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

// Run works until ctx ends, then gives the shards up and leaves.
func (m *Manager) Run(ctx context.Context) error {
	// The executor outlives ctx, so that calls in progress end cleanly.
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

// elapsed returns the time since the start on the monotonic clock.
func (m *Manager) elapsed() time.Duration { return m.now().Sub(m.started) }

// Ready reports whether the process has adopted settings.
func (m *Manager) Ready() bool { return m.adopter.Version() > 0 }

// shardNames returns one name a pool of the settings in force.
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
