// Package entry is the proxy process between callers and upstreams: it accepts
// requests, limits and routes them, retries them where that is safe, and
// returns the responses. A single goroutine owns the control state; request
// handling reads immutable snapshots of it.
package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/claim"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/machine"
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
// before it becomes ready with those that it has.
const warmUpTime = 20 * time.Second

// Options configure an Entry.
type Options struct {
	// Name is unique among entries.
	Name string
	// Address is the drpc address on which peers reach the entry.
	Address string
	Place   datacentre.Place
	// Control lists the drpc addresses of control processes, the nearest first.
	Control []string
	// Boot identifies the running kernel, see membership.BootID.
	Boot string
	// Incarnation is different for every start of the process.
	Incarnation uint64
	Platform    *platform.Platform
	// Memory is the limit on the memory of the process in bytes, and FileDescriptors
	// that on its file descriptors. 0 stands for those of the machine.
	Memory          int64
	FileDescriptors int
	Log             *zap.Logger
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
	// bounds are what callers may hold of the process, whose memory may be limited.
	bounds        intake.Bounds
	memoryLimited bool

	links  *link.Set
	claims *claim.Manager
	rpc    *rpc.Client
	exec   *serial.Executor

	registry *membership.Registry
	// registration holds the routing permits of all pools.
	registration *permit.Registration
	// rowLock is a mutex with a cancellable wait: whoever sends on it may write
	// the entry's row. It guards deregistered.
	rowLock chan struct{}
	// deregistered is true once the row must not be written again.
	deregistered bool
	// wakeConfirm wakes maintainRegistration before its next interval.
	wakeConfirm chan struct{}
	// homeLastReply is when the home control process last replied, as the time
	// since the start of the entry. It is owned by exec.
	homeLastReply time.Duration
	adopter       *rollout.Adopter[*settings.Effective]
	row           membership.EntryRow

	catalog atomic.Pointer[catalog]
	// warm is true once the pools had assignments, see warmUp.
	warm atomic.Bool
	// draining is true once the entry is shutting down.
	draining atomic.Bool

	// The fields below are owned by exec.
	pools     map[string]*pool
	demands   map[string]*demand
	directory directory
	sessions  map[string]context.CancelFunc
	// home is the index in control of the home control process: the one with
	// which the entry keeps a session in addition to those with the owners.
	home int
}

// New returns an entry that serves requests once Run runs.
func New(o Options) *Entry {
	e := &Entry{
		name:        o.Name,
		address:     o.Address,
		place:       o.Place,
		control:     o.Control,
		incarnation: o.Incarnation,
		platform:    o.Platform,
		log:         o.Log,
		bounds: intake.EntryBounds(
			cmp.Or(o.Memory, machine.Memory()), cmp.Or(o.FileDescriptors, machine.FileDescriptors())),
		memoryLimited: o.Memory > 0,
		links:         link.NewSet(link.Options{Log: o.Log}),
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

// Run maintains the control state until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.exec.Run(ctx)
	// Run returns only after the last batch of claims is written.
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

// Deregister removes the registration permanently, after the last routing
// decision. It waits for a registration in progress, so that the row which
// that writes is removed, too.
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

// Ready reports whether the load balancer may send requests to this entry:
// from the time when every pool had an assignment, or some pools had one after
// warmUpTime, until the entry drains.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.warm.Load() }

// warmUp makes the entry ready once the pools have assignments. It stays ready
// when a pool loses its permit later: refusing the requests of one pool is
// better than losing all other pools.
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

// elapsed returns the time since the start of the entry, on the monotonic
// clock.
func (e *Entry) elapsed() time.Duration { return time.Since(e.started) }
