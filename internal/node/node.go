// Package node runs one process of egretpitch on the users' platform. Every
// process takes callers' requests; one at a time also owns the control work
// (see package ownership). Processes meet only in the platform's table
// service.
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

// Options are a process's identity and its ways to the platform.
type Options struct {
	Name string
	// Address identifies the host among hosts of one name.
	Address string
	// TakeoverBackoff is how long the process leaves the control work to others that
	// may take it too.
	TakeoverBackoff time.Duration
	// HolderLease is how long orders about hosts by two holders must be apart.
	HolderLease time.Duration
	// Migration is how long a host is away while it changes its pool.
	Migration time.Duration
	// Scheduling holds what the engine needs besides the owner's token.
	Scheduling scheduler.Options

	Rows        platform.Rows
	Operator    platform.Operator
	Discovery   platform.Discovery
	Runner      platform.Runner
	Fleet       platform.Fleet
	Recommender platform.Recommender
	Log         *zap.Logger
}

// Node is one process.
type Node struct {
	Options
	Clock       Clock
	incarnation uint64

	catalog      atomic.Pointer[estate.Catalog]
	view         atomic.Pointer[ownership.View]
	waves        waveSet
	acceptor     *acceptor
	reachability reachability
	metrics      *metrics
	// owner is what this process owns, nil for nothing.
	owner atomic.Pointer[owner]
	// stopping processes do not take the control work.
	stopping       atomic.Bool
	catalogChanged chan struct{}
}

// New returns a process that does nothing until Run.
func New(o Options) *Node {
	n := &Node{Options: o, incarnation: rand.Uint64() | 1, metrics: newMetrics(), catalogChanged: make(chan struct{}, 1)}
	n.view.Store(&ownership.View{})
	n.acceptor = newAcceptor(n)
	return n
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.watchOperator(ctx) })
	group.Go(func() error { return n.watchControl(ctx) })
	group.Go(func() error { return n.acceptor.run(ctx) })
	return group.Wait()
}

// Ready reports whether the process can serve callers.
func (n *Node) Ready() bool {
	return n.catalog.Load() != nil && !n.stopping.Load() && n.reachability.failingFor() < unreadyAfter
}

func (n *Node) self() ownership.Record {
	return ownership.Record{Owner: n.Name, Address: n.Address, Incarnation: n.incarnation}
}
