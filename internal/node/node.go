// Package node implements a process of egretpitch on the users' platform.
// Every process serves the callers' API, which accepts jobs. One process at a
// time also owns the control work (see package ownership): it schedules tasks
// on the workers and moves and maintains hosts. Processes share state only
// through the platform's table service.
package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
)

// Options configures a Node: its identity, its timing and its clients of the
// platform.
type Options struct {
	// Name is the name of the host.
	Name string
	// Address distinguishes hosts of the same name.
	Address string
	// TakeoverBackoff is how long the control work has to stay vacant before the
	// process acquires it, so that a process with more processor time can acquire it
	// first.
	TakeoverBackoff time.Duration
	// Pressure is set if jobs are refused for the load of their pool also where the
	// configuration has no teams.
	Pressure bool
	// OwnershipChanged is called when this process begins to own the control work
	// and when it no longer does, if set.
	OwnershipChanged func(owner bool)
	// ConfigWithin is the time after which a stored configuration must be in force
	// here while the process reaches the table service, 0 for no bound.
	ConfigWithin time.Duration
	// StrictRevocation is set if requests are refused once the configuration has not
	// been known to be up to date for RevokeWithin.
	StrictRevocation bool
	RevokeWithin     time.Duration
	// HolderLease is the minimum time between orders about hosts by two
	// holders.
	HolderLease time.Duration
	// Migration is how long a host is unavailable while it moves to another
	// pool.
	Migration time.Duration
	// Scheduling holds the engine's options. The fields that depend on the
	// ownership, such as the token, are set when an ownership starts.
	Scheduling scheduler.Options

	Rows        platform.Rows
	Operator    platform.Operator
	Discovery   platform.Discovery
	Runner      platform.Runner
	Fleet       platform.Fleet
	Recommender platform.Recommender
	Log         *zap.Logger
}

// Node is a process of egretpitch on the users' platform.
type Node struct {
	Options
	Clock       Clock
	incarnation uint64

	catalog      atomic.Pointer[estate.Catalog]
	confirmed    confirmation
	floor        floor
	view         atomic.Pointer[ownership.View]
	waves        waveSet
	acceptor     *acceptor
	newJobs      *newJobs
	reachability reachability
	storeHealth  storeHealth
	admission    *admissionGate
	metrics      *metrics
	// owner is the current ownership of the control work, nil if this process
	// does not own it.
	owner atomic.Pointer[owner]
	// releasing holds a token during a release.
	releasing chan struct{}
	// endedToken is the token of the last ownership that ended in this process.
	endedToken atomic.Int64
	// vacantSince is when the view was requested that first showed the control work
	// as vacant, as all since have, 0 if the latest one does not. It belongs to the
	// goroutine that watches the control table.
	vacantSince time.Duration
	// stopping is set once the process shuts down. It then no longer acquires
	// the control work.
	stopping atomic.Bool
	// requests is the base context of requests. endRequests ends it.
	requests    context.Context
	endRequests context.CancelFunc
	// catalogChanged signals the control goroutine that catalog was replaced.
	catalogChanged chan struct{}
}

// New returns a Node. It does nothing until Run.
func New(o Options) *Node {
	if o.OwnershipChanged == nil {
		o.OwnershipChanged = func(bool) {}
	}
	n := &Node{Options: o, incarnation: rand.Uint64() | 1, catalogChanged: make(chan struct{}, 1), releasing: make(chan struct{}, 1),
		admission: newAdmissionGate()}
	n.metrics = newMetrics(n.storeState)
	n.requests, n.endRequests = context.WithCancel(context.Background())
	n.view.Store(&ownership.View{})
	n.acceptor = newAcceptor(n)
	n.newJobs = newNewJobs(n)
	n.floor.adopted, n.floor.delivered = make(chan struct{}, 1), make(chan struct{}, 1)
	configuration := n.configurationMetrics
	n.metrics.configuration.Store(&configuration)
	return n
}

// Run follows the platform, stores submitted jobs and does the control work
// while this process owns it, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.watchOperator(ctx) })
	group.Go(func() error { return n.watchControl(ctx) })
	group.Go(func() error { return n.keepFloor(ctx) })
	group.Go(func() error { return n.acceptor.run(ctx) })
	group.Go(func() error { return n.probeStore(ctx) })
	return group.Wait()
}

// Ready reports whether the process can serve callers: it has a configuration by
// which it may serve, is not shutting down, and calls to the table service have not
// all failed for unreadyAfter.
func (n *Node) Ready() bool {
	c := n.catalog.Load()
	if c == nil || n.stopping.Load() || n.reachability.refusing() {
		return false
	}
	return !n.hasTeams() || n.configurationUse() != configurationUnconfirmed
}

// Limits returns the configuration's limits on requests, zero before there is one.
func (n *Node) Limits() estate.Limits {
	if c := n.catalog.Load(); c != nil {
		return c.Limits
	}
	return estate.Limits{}
}

// self returns the owner record of this process, without epoch and host order
// holder.
func (n *Node) self() ownership.Record {
	return ownership.Record{Owner: n.Name, Address: n.Address, Incarnation: n.incarnation, Constrained: n.TakeoverBackoff > 0}
}
