// Package entry is the process between callers and upstreams: it takes
// requests, limits and routes them, sends them again where that is safe, and
// answers. One goroutine owns the control state; traffic reads immutable
// snapshots of it.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/claim"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/rpc"
	"github.com/egretpitch/egretpitch/internal/serial"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// warmUpTime is how long an entry waits for the assignments of all pools
// before it serves those that it has.
const warmUpTime = 20 * time.Second

// Options configure an Entry.
type Options struct {
	// Name is unique among entries.
	Name string
	// Address is the drpc address under which peers reach the entry.
	Address string
	Place   datacentre.Place
	// Control lists the drpc addresses of control processes, the nearest first.
	Control []string
	// Boot identifies the running kernel, see membership.BootID.
	Boot string
	// Incarnation differs for every start.
	Incarnation uint64
	Platform    *platform.Platform
	Log         *zap.Logger
}

// Entry is one entry process.
type Entry struct {
	name        string
	address     string
	place       datacentre.Place
	control     []string
	incarnation uint64
	started     time.Time
	platform    *platform.Platform
	log         *zap.Logger

	links  *link.Set
	claims *claim.Manager
	rpc    *rpc.Client
	exec   *serial.Executor

	registry *membership.Registry
	// registration holds the rights to route of all pools.
	registration *permit.Registration
	// rowLock is held by whoever writes the entry's row. It guards
	// deregistered.
	rowLock chan struct{}
	// deregistered says that the row is not to be written again.
	deregistered bool
	// wakeConfirm asks for a look at the registration.
	wakeConfirm chan struct{}
	// homeLastReply is when the home last answered, on the monotonic clock. It is
	// owned by exec.
	homeLastReply time.Duration
	adopter       *rollout.Adopter[*settings.Effective]
	row           membership.EntryRow

	catalog atomic.Pointer[catalog]
	// warm says that assignments were there.
	warm atomic.Bool
	// draining says that no new request is to come.
	draining atomic.Bool

	// The fields below are owned by exec.
	pools     map[string]*pool
	demands   map[string]*demand
	directory directory
	sessions  map[string]context.CancelFunc
	// home is the index in control of the process that the entry exchanges
	// with besides the owners.
	home int
}

// New returns an entry that serves once Run runs.
func New(o Options) *Entry {
	e := &Entry{
		name:        o.Name,
		address:     o.Address,
		place:       o.Place,
		control:     o.Control,
		incarnation: o.Incarnation,
		platform:    o.Platform,
		log:         o.Log,
		links:       link.NewSet(link.Options{Log: o.Log}),
		claims: claim.New(claim.Options{
			Entry: o.Name, Incarnation: o.Incarnation, Table: o.Platform.Table, Log: o.Log,
		}),
		rpc:          rpc.NewClient(),
		exec:         serial.New(),
		pools:        map[string]*pool{},
		demands:      map[string]*demand{},
		started:      time.Now(),
		sessions:     map[string]context.CancelFunc{},
		registration: permit.NewRegistration(0),
		wakeConfirm:  make(chan struct{}, 1),
		rowLock:      make(chan struct{}, 1),
		registry:     membership.NewRegistry(o.Platform.Table, o.Log),
		row: membership.EntryRow{
			Name: o.Name, Address: o.Address, Incarnation: o.Incarnation,
			Host: o.Name, Boot: o.Boot, Place: o.Place,
		},
	}
	e.adopter = rollout.NewAdopter(rollout.AdopterConfig[*settings.Effective]{
		Table: o.Platform.Table, Objects: o.Platform.Objects, Log: o.Log,
		Parse:   settings.ParseEffective,
		Adopted: func(*rollout.InForce[*settings.Effective]) { go e.exec.Do(context.Background(), e.adoptSettings) },
	})
	return e
}

// Run keeps the control state until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.exec.Run(ctx)
	// The claims' last batch is written before Run returns.
	claimsDone := make(chan struct{})
	go func() {
		defer close(claimsDone)
		_ = e.claims.Run(ctx)
	}()
	defer func() { <-claimsDone }()
	go func() { _ = e.adopter.Run(ctx) }()
	go e.tick(ctx)
	go e.maintainRegistration(ctx)
	return e.manageSessions(ctx)
}

// Deregister removes the registration for good, after the last routing
// decision. A registration that is under way comes first, so that its row
// goes, too.
func (e *Entry) Deregister(ctx context.Context) error {
	select {
	case e.rowLock <- struct{}{}:
	case <-ctx.Done():
		return operr.Wrap(ctx.Err(), "entry: deregister", e.name)
	}
	defer func() { <-e.rowLock }()
	e.deregistered = true
	e.registration.Unregister(e.elapsed())
	return e.registry.Deregister(ctx, e.row)
}

// Ready reports whether the balancer may send callers here: once every pool
// had an assignment, or some had after warmUpTime, until the entry drains.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.warm.Load() }

// warmUp notes whether the pools have assignments. Readiness stays once it
// came: refusals of a single pool are no reason to lose all others.
func (e *Entry) warmUp() {
	if e.warm.Load() || e.catalog.Load() == nil {
		return
	}
	granted := 0
	for _, p := range e.pools {
		if p.permit.MayRoute(e.elapsed()) {
			granted++
		}
	}
	if granted == len(e.pools) || granted > 0 && e.elapsed() > warmUpTime {
		e.warm.Store(true)
	}
}

// elapsed returns the time since the start on the monotonic clock.
func (e *Entry) elapsed() time.Duration { return time.Since(e.started) }
